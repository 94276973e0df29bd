"""Follows the records under a prefix through one watch."""

import asyncio
import enum
import random
from collections.abc import Mapping
from contextlib import aclosing, suppress
from dataclasses import dataclass, field

from peridotspoke.backoff import BackoffRules, compute_backoff
from peridotspoke.clock import SystemClock
from peridotspoke.exceptions import PlatformError, PlatformUnavailableError
from peridotspoke.logs import log_event
from peridotspoke.store.keyvalue import Record

__all__ = ["FollowedRecords", "FollowingRules", "follow_prefix"]


@dataclass(frozen=True, slots=True)
class FollowingRules:
    """How a followed prefix is checked and tried again.

    Parameters
    ----------
    check_interval : float
        Seconds of a watch's silence after which the prefix is checked by a read.
    backoff : BackoffRules
        The waits between tries while the service fails.
    """

    check_interval: float = 1.5
    backoff: BackoffRules = field(default_factory=BackoffRules)


@dataclass(frozen=True, slots=True)
class FollowedRecords:
    """All records under the prefix, and the keys that changed since the last.

    `confirmed_at` is the monotonic time, in seconds, as of which the records were
    known to be complete, and `revision` the revision up to which they are.
    """

    records: Mapping[str, Record]
    changed: frozenset[str]
    confirmed_at: float = 0.0
    revision: int = 0


async def follow_prefix(
    service,
    prefix,
    sleep=asyncio.sleep,
    rules=FollowingRules(),
    clock=SystemClock(),
    chance=random,
):
    """Yield `FollowedRecords` for the first snapshot, each change and each check.

    The mapping that is yielded is the same object each time; it changes only
    between yields. After a lost or compacted watch the prefix is read again. A
    watch that is silent is checked by a small read, since a connection that has
    lost its other end looks the same as a prefix without changes. While the service
    fails, the records stay as they are and nothing is yielded.

    Parameters
    ----------
    service : KeyValueService
    prefix : str
    sleep : callable, optional
        Coroutine function that waits for seconds.
    rules : FollowingRules, optional
    clock : Clock, optional
    chance : random.Random, optional
        Spreads the tries of processes that failed together.
    """
    records = {}
    failures = 0
    confirmed_at = None
    while True:
        try:
            asked_at = clock.read_monotonic()
            snapshot = await service.read_prefix(prefix)
            _log_read(prefix, snapshot, asked_at, confirmed_at, clock)
            changed = _replace_records(records, snapshot.records)
            failures, confirmed_at = 0, asked_at
            yield FollowedRecords(records, changed, asked_at, snapshot.revision)
            follower = _WatchFollower(
                service, prefix, rules, clock, chance, records, asked_at
            )
            async with aclosing(follower.follow(snapshot.revision)) as steps:
                async for followed in steps:
                    confirmed_at = followed.confirmed_at
                    yield followed
        except PlatformError as error:
            failures += 1
            age = _find_age(confirmed_at, clock)
            log_event(
                "watch-lost",
                "WARNING",
                prefix=prefix,
                age=age,
                records=len(records),
                failures=failures,
                error=error,
            )
            await sleep(compute_backoff(rules.backoff, failures, chance))


def _find_age(confirmed_at, clock):
    """Return the seconds since the records were known to be complete, or None."""
    return None if confirmed_at is None else clock.read_monotonic() - confirmed_at


def _log_read(prefix, snapshot, asked_at, confirmed_at, clock):
    log_event(
        "prefix-read",
        prefix=prefix,
        records=len(snapshot.records),
        bytes=sum(len(record.value or b"") for record in snapshot.records),
        revision=snapshot.revision,
        seconds=clock.read_monotonic() - asked_at,
        age=_find_age(confirmed_at, clock),
    )


class _CheckResult(enum.Enum):
    CONFIRMED = enum.auto()
    STALE = enum.auto()
    UNKNOWN = enum.auto()


class _WatchFollower:
    """Follows one watch until it is lost or found to be silent."""

    def __init__(self, service, prefix, rules, clock, chance, records, read_at):
        self._service = service
        self._prefix = prefix
        self._rules = rules
        self._clock = clock
        self._chance = chance
        self._records = records
        self._failed_checks = 0
        self._confirmed_at = read_at

    async def follow(self, revision):
        """Yield after each batch and each check that finds the records complete.

        A batch proves nothing of later changes, so that only checks confirm. A
        check that finds more than the watch has told means that the watch is silent
        only if no batch came since the check before: one may be on its way.
        """
        if self._service.watch_confirms:
            async with aclosing(self._follow_confirming(revision)) as steps:
                async for followed in steps:
                    yield followed
            return
        loop = asyncio.get_running_loop()
        due = loop.time() + self._draw_wait()
        quiet = True
        async with aclosing(self._service.watch(self._prefix, revision)) as batches:
            pending = asyncio.ensure_future(anext(batches, None))
            try:
                while True:
                    left = max(0.0, due - loop.time())
                    done, _ = await asyncio.wait({pending}, timeout=left)
                    if done:
                        batch = self._expect_batch(pending.result())
                        revision = _find_revision(batch)
                        pending = asyncio.ensure_future(anext(batches, None))
                        quiet = False
                        changed = _apply_batch(self._records, batch)
                        yield self._report(changed, revision)
                    if loop.time() < due:
                        continue
                    result = await self._check(revision)
                    if result is _CheckResult.STALE and quiet:
                        self._log_silence(revision)
                        return
                    if result is _CheckResult.CONFIRMED:
                        yield self._report(frozenset(), revision)
                    due = loop.time() + self._draw_wait()
                    quiet = True
            finally:
                pending.cancel()
                with suppress(asyncio.CancelledError, PlatformError):
                    await pending

    def _draw_wait(self):
        return self._rules.check_interval * self._chance.uniform(0.8, 1.2)

    def _expect_batch(self, batch):
        if batch is None:
            raise PlatformUnavailableError(
                "the watch ended", step="watch", peer=self._prefix
            )
        return batch

    async def _check(self, revision):
        """Read whether the watch has missed a change; a failed read tells nothing."""
        asked_at = self._clock.read_monotonic()
        try:
            check = await self._service.check_prefix(self._prefix, revision)
        except PlatformError as error:
            self._failed_checks += 1
            if self._failed_checks == 1:
                log_event(
                    "watch-unchecked", "WARNING", prefix=self._prefix, error=error
                )
            return _CheckResult.UNKNOWN
        self._failed_checks = 0
        if check.changed or check.count != len(self._records):
            return _CheckResult.STALE
        self._confirmed_at = asked_at
        return _CheckResult.CONFIRMED

    def _log_silence(self, revision):
        log_event("watch-silent", "WARNING", prefix=self._prefix, revision=revision)

    async def _follow_confirming(self, revision):
        """Yield after each batch; each proves the records up to its revision.

        One with changes may have been on its way for long, and proves them only as
        of when it was asked for.
        """
        asked_at = self._clock.read_monotonic()
        async with aclosing(self._service.watch(self._prefix, revision)) as batches:
            async for batch in batches:
                now = self._clock.read_monotonic()
                proved_at = asked_at if batch.changes else now
                self._confirmed_at = max(self._confirmed_at, proved_at)
                changed = _apply_batch(self._records, batch)
                yield self._report(changed, batch.revision)
                asked_at = self._clock.read_monotonic()

    def _report(self, changed, revision):
        return FollowedRecords(self._records, changed, self._confirmed_at, revision)


def _find_revision(batch):
    """Return the revision up to which the watch has told every change."""
    return batch.changes[-1].revision if batch.changes else batch.revision


def _replace_records(records, found):
    before = dict(records)
    records.clear()
    records.update({record.key: record for record in found})
    keys = before.keys() | records.keys()
    return frozenset(key for key in keys if before.get(key) != records.get(key))


def _apply_batch(records, batch):
    """Apply the changes that are newer than what is known of their keys."""
    changed = set()
    for change in batch.changes:
        known = records.get(change.key)
        if known is not None and known.revision >= change.revision:
            continue
        changed.add(change.key)
        if change.record is None:
            records.pop(change.key, None)
        else:
            records[change.key] = change.record
    return frozenset(changed)
