"""Keeps a local copy of the records under a prefix up to date through a watch."""

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
    """Settings of `follow_prefix`.

    Parameters
    ----------
    check_interval : float, optional
        Mean interval, in seconds, of the reads that check whether the watch has
        missed a change.
    backoff : BackoffRules, optional
        Delays between retries while the service fails.
    """

    check_interval: float = 1.5
    backoff: BackoffRules = field(default_factory=BackoffRules)


@dataclass(frozen=True, slots=True)
class FollowedRecords:
    """A copy of the records under a prefix, and what has changed in it.

    Parameters
    ----------
    records : Mapping of str to Record
        All records by key.
    changed : frozenset of str
        Keys that were written or deleted since the previous update.
    confirmed_at : float, optional
        Latest monotonic time, in seconds, at which the copy is known to have been
        complete.
    revision : int, optional
        Revision up to which the copy contains every change.
    proved_at : float, optional
        Monotonic time, in seconds, at which the latest request was sent whose answer
        proved the copy complete. Unlike `confirmed_at` it is never the time at which
        an answer was read: a process that was stopped may read answers of any age.
    """

    records: Mapping[str, Record]
    changed: frozenset[str]
    confirmed_at: float = 0.0
    revision: int = 0
    proved_at: float = float("-inf")


async def follow_prefix(
    service,
    prefix,
    sleep=asyncio.sleep,
    rules=FollowingRules(),
    clock=SystemClock(),
    chance=random,
):
    """Yield the records under a prefix at first and after each change or check.

    If the watch is lost or its revision compacted, the prefix is read again. A watch
    whose batches do not prove completeness is checked by small reads, because a
    connection whose peer has vanished looks like a prefix without changes. While the
    service fails, the records stay as they are and nothing is yielded.

    Parameters
    ----------
    service : KeyValueService
    prefix : str
    sleep : callable, optional
        Coroutine function that waits for a number of seconds.
    rules : FollowingRules, optional
    clock : Clock, optional
    chance : random.Random, optional
        Source of the jitter that spreads the checks and the retries of processes
        that failed together.

    Yields
    ------
    FollowedRecords
        Its mapping is the same object each time and changes only between yields.
    """
    records = {}
    failures = 0
    confirmed_at = None
    while True:
        try:
            requested_at = clock.read_monotonic()
            snapshot = await service.read_prefix(prefix)
            _log_read(prefix, snapshot, requested_at, confirmed_at, clock)
            changed = _replace_records(records, snapshot.records)
            failures, confirmed_at = 0, requested_at
            yield FollowedRecords(
                records, changed, requested_at, snapshot.revision, requested_at
            )
            follower = _WatchFollower(
                service, prefix, rules, clock, chance, records, requested_at
            )
            async with aclosing(follower.follow(snapshot.revision)) as updates:
                async for update in updates:
                    confirmed_at = update.confirmed_at
                    yield update
        except PlatformError as error:
            failures += 1
            age = _compute_age(confirmed_at, clock)
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


def _compute_age(confirmed_at, clock):
    """Return the seconds since `confirmed_at`; None before the first snapshot."""
    return None if confirmed_at is None else clock.read_monotonic() - confirmed_at


def _log_read(prefix, snapshot, requested_at, confirmed_at, clock):
    log_event(
        "prefix-read",
        prefix=prefix,
        records=len(snapshot.records),
        bytes=sum(len(record.value or b"") for record in snapshot.records),
        revision=snapshot.revision,
        seconds=clock.read_monotonic() - requested_at,
        age=_compute_age(confirmed_at, clock),
    )


class _CheckResult(enum.Enum):
    CONFIRMED = enum.auto()
    STALE = enum.auto()
    UNKNOWN = enum.auto()


class _WatchFollower:
    """Applies one watch to the records until it is lost or has missed a change."""

    def __init__(self, service, prefix, rules, clock, chance, records, read_at):
        self._service = service
        self._prefix = prefix
        self._rules = rules
        self._clock = clock
        self._chance = chance
        self._records = records
        self._failed_checks = 0
        self._confirmed_at = self._proved_at = read_at

    async def follow(self, revision):
        """Yield `FollowedRecords` after each batch and each check that succeeds.

        A batch does not prove that no other change was made, so that only checks
        confirm the records. If a check finds a change that the watch has not
        delivered, its batch may still be in transit. The watch counts as silent only
        if no batch has arrived since the previous check.
        """
        if self._service.watch_is_complete:
            async with aclosing(self._follow_complete_watch(revision)) as updates:
                async for update in updates:
                    yield update
            return
        loop = asyncio.get_running_loop()
        check_due_at = loop.time() + self._draw_check_interval()
        silent = True
        async with aclosing(self._service.watch(self._prefix, revision)) as batches:
            pending = asyncio.ensure_future(anext(batches, None))
            try:
                while True:
                    time_left = max(0.0, check_due_at - loop.time())
                    done, _ = await asyncio.wait({pending}, timeout=time_left)
                    if done:
                        batch = self._require_batch(pending.result())
                        revision = _find_delivered_revision(batch)
                        pending = asyncio.ensure_future(anext(batches, None))
                        silent = False
                        changed = _apply_batch(self._records, batch)
                        yield self._make_update(changed, revision)
                    if loop.time() < check_due_at:
                        continue
                    result = await self._check(revision)
                    if result is _CheckResult.STALE and silent:
                        self._log_silence(revision)
                        return
                    if result is _CheckResult.CONFIRMED:
                        yield self._make_update(frozenset(), revision)
                    check_due_at = loop.time() + self._draw_check_interval()
                    silent = True
            finally:
                pending.cancel()
                with suppress(asyncio.CancelledError, PlatformError):
                    await pending

    def _draw_check_interval(self):
        return self._rules.check_interval * self._chance.uniform(0.8, 1.2)

    def _require_batch(self, batch):
        if batch is None:
            raise PlatformUnavailableError(
                "the service ended the watch", step="watch", peer=self._prefix
            )
        return batch

    async def _check(self, revision):
        """Check by a read whether the watch has missed a change.

        The result is ``UNKNOWN`` if the read fails.
        """
        requested_at = self._clock.read_monotonic()
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
        self._confirmed_at = self._proved_at = requested_at
        return _CheckResult.CONFIRMED

    def _log_silence(self, revision):
        log_event("watch-silent", "WARNING", prefix=self._prefix, revision=revision)

    async def _follow_complete_watch(self, revision):
        """Yield after each batch; each confirms the records up to its revision.

        A batch with changes may have been in transit for long, so that it confirms
        the records only as of the time at which it was requested. A batch of either
        kind proves them only as of that time.
        """
        requested_at = self._clock.read_monotonic()
        async with aclosing(self._service.watch(self._prefix, revision)) as batches:
            async for batch in batches:
                now = self._clock.read_monotonic()
                complete_at = requested_at if batch.changes else now
                self._confirmed_at = max(self._confirmed_at, complete_at)
                self._proved_at = requested_at
                changed = _apply_batch(self._records, batch)
                yield self._make_update(changed, batch.revision)
                requested_at = self._clock.read_monotonic()

    def _make_update(self, changed, revision):
        return FollowedRecords(
            self._records, changed, self._confirmed_at, revision, self._proved_at
        )


def _find_delivered_revision(batch):
    """Return the revision up to which the watch has delivered every change."""
    return batch.changes[-1].revision if batch.changes else batch.revision


def _replace_records(records, snapshot_records):
    """Replace the contents of `records` and return the keys that differ."""
    previous = dict(records)
    records.clear()
    records.update({record.key: record for record in snapshot_records})
    keys = previous.keys() | records.keys()
    return frozenset(key for key in keys if previous.get(key) != records.get(key))


def _apply_batch(records, batch):
    """Apply the changes that are newer than the known records; return their keys."""
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
