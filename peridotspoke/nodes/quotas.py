"""Shares the limits of workspaces among pools through the records under `quota/`.

A node follows them only while it owns a pool and a workspace has a limit. The owner of
a pool runs the rules of `peridotspoke.workloads.quotas` in each round, and writes its
row of a workspace's record on condition that the record is still the one that it knows
and that it still owns the pool.
"""

import asyncio
from contextlib import aclosing

from peridotspoke.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    RecordError,
)
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import QUOTA_PREFIX, key_owner, key_quota, split_quota_key
from peridotspoke.nodes.quotareports import QuotaReport
from peridotspoke.nodes.records import decode_quota, encode_value
from peridotspoke.nodes.view import wait_until
from peridotspoke.store import Condition, Put, Transaction
from peridotspoke.workloads.quotarecords import QuotaRecord
from peridotspoke.workloads.quotas import QuotaBook, UseCounter

__all__ = ["PoolQuotas", "QuotaRecords", "follow_quotas", "list_limits"]

POLL_INTERVAL = 0.02  # seconds between two batches of the watch
RETRY_DELAY = 0.1  # seconds without writes after one that failed
ABSENT = (0, {})


def list_limits(configuration):
    """Return the limit of each workspace that has one, as a dict of str to Need."""
    return {} if configuration is None else configuration.list_limits()


class QuotaRecords:
    """A node's copy of the quotas' records.

    Attributes
    ----------
    revision : int
        Revision of the store as of which the copy is complete; -1 if there is none.
    changes : int
        Number of changes of the copy so far.
    lost_at : dict of str to float
        By workspace, when its record was last seen to be deleted, or to be readable
        again, monotonic seconds.
    """

    def __init__(self):
        self.revision, self.changes = -1, 0
        self.lost_at = {}
        self._records = {}

    def apply(self, followed, now):
        """Apply changed records; one that can't be decoded is logged.

        Parameters
        ----------
        followed : FollowedRecords
        now : float
            Monotonic seconds.
        """
        changed = followed.changed
        if self.revision < 0:
            # Those that were deleted while nothing was followed aren't among them.
            known = frozenset(map(key_quota, self._records))
            changed = changed | (known - followed.records.keys())
        for key in changed:
            name, record = split_quota_key(key), followed.records.get(key)
            known = self._records.get(name, ABSENT)
            if known[1] is None or (record is None and known[0]):
                self.lost_at[name] = now
            if record is None:
                self._records.pop(name, None)
            else:
                self._records[name] = (record.revision, read_rows(record))
            self.changes += 1
        self.revision = max(self.revision, followed.revision)

    def find_known(self, workspace):
        """Return the copy's revision, the record's revision and the record's rows."""
        return (self.revision, *self._records.get(workspace, ABSENT))

    def list_granted(self, pool):
        """Return the workspaces whose records have a row of the pool."""
        records = self._records.items()
        return [name for name, (_, rows) in records if rows and pool in rows]


def read_rows(record):
    """Return the rows of a quota's record, or None, which is logged."""
    try:
        return decode_quota(record).pools
    except RecordError as error:
        log_event("record-unreadable", "ERROR", key=record.key, error=error)
        return None


async def follow_quotas(parts, follow, owns_pool):
    """Follow the quotas' records while they are needed, until cancelled.

    Parameters
    ----------
    parts : NodeParts
    follow : callable
        Returns the iterator of `follow_prefix` for a prefix.
    owns_pool : callable
        Returns whether this node owns a pool.
    """

    def is_needed():
        return owns_pool() and bool(list_limits(parts.view.configuration))

    while True:
        await wait_until(parts.view.changes, is_needed)
        async with aclosing(follow(QUOTA_PREFIX)) as updates:
            async for followed in updates:
                parts.quotas.apply(followed, parts.clock.read_monotonic())
                if not is_needed():
                    break
                await asyncio.sleep(POLL_INTERVAL)
        parts.quotas.revision = -1


class PoolQuotas:
    """Runs the rules of quotas for one pool while this node owns it.

    Parameters
    ----------
    node : NodeParts
        Components shared by the node's tasks.
    holding : Holding
        The ownership of the pool; each write is conditional on it.
    jobs : PoolJobs
    ledger : PoolLedger
    tasks : TaskSet
        Runs the writes.
    log : callable
        Takes an event and its fields.
    wake : callable
        Called once a write is answered, so that the next round begins.
    """

    def __init__(self, node, holding, jobs, ledger, tasks, log, wake):
        self._node, self._holding, self._ledger = node, holding, ledger
        self._pool, self._tasks, self._wake = holding.unit, tasks, wake
        self._uses = UseCounter(lambda job_id: _find_job(jobs, job_id))
        self._report = QuotaReport(holding.unit, node.metrics, log)
        self._configuration, self._book = None, None
        self._changes, self._retry_at = -1, float("-inf")
        self._failures = {}

    def begin_round(self, now, wall):
        """Return the `QuotaBook` of a round, or None if no workspace has a limit.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        configuration = self._node.view.configuration
        if configuration is not self._configuration:
            self._apply_configuration(configuration, now)
        if self._book is None:
            return None
        if self._node.quotas.changes != self._changes:
            self._apply_records()
        uses = self._uses.count(self._ledger, self._book.limits, now)
        self._book.begin_round(uses, now, wall)
        return self._book

    def end_round(self, now, wall):
        """Send the writes that are due after a round, and report the quotas.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        if self._book is None:
            return
        if self._node.has_store() and now >= self._retry_at:
            for workspace, quota, row in list(self._book.list_writes()):
                transaction = self._make_transaction(workspace, quota, row)
                rows = quota.make_rows(row)
                quota.note_sent(row, now)
                self._tasks.spawn(self._write(workspace, quota, row, rows, transaction))
        self._report.update(self._book, now, wall)

    def clear(self):
        """Set the pool's gauges to 0, as another node reports from now on."""
        self._report.clear()

    def _apply_configuration(self, configuration, now):
        before, self._configuration = self._configuration, configuration
        limits = list_limits(configuration)
        if self._book is None:
            if not limits:
                return
            records = self._node.quotas
            self._book = QuotaBook(self._pool, self._holding.fence, records.find_known)
        self._changes = -1  # a workspace that is limited again may have a row
        known = {workspace.name for workspace in before.workspaces} if before else ()
        self._book.set_limits(limits, now, known)
        if not limits:
            self._book = None
            self._report.clear()

    def _apply_records(self):
        records = self._node.quotas
        self._changes = records.changes
        for workspace, lost_at in records.lost_at.items():
            self._book.note_lost_record(workspace, lost_at)
        for workspace in records.list_granted(self._pool):
            self._book.note_grant(workspace)

    def _make_transaction(self, workspace, quota, row):
        key = key_quota(workspace)
        conditions = (
            Condition(key_owner(self._pool), self._holding.fence),
            Condition(key, quota.revision),
        )
        value = encode_value(QuotaRecord(quota.make_rows(row)))
        return Transaction(conditions, (Put(key, value),))

    async def _write(self, workspace, quota, row, rows, transaction):
        """Send a row once. If its answer is lost, the next round sends a newer one.

        At most one of them takes effect, as both name the same revision.
        """
        failures = self._failures.pop(workspace, 0)
        before, age = quota.granted, quota.find_age(self._read_now())
        try:
            result = await self._node.commits.commit(transaction, failures)
        except PlatformError as error:
            if isinstance(error, PlatformUnavailableError):
                quota.note_unsent(row)
            self._retry_at = self._read_now() + RETRY_DELAY
            self._failures[workspace] = failures + 1
            log_event(
                "quota-not-stored",
                "WARNING",
                workspace=workspace,
                pool=self._pool,
                error=error,
            )
        else:
            now = self._read_now()
            if result.succeeded:
                quota.observe(result.revision, result.revision, rows, now)
                self._report.note_stored(
                    workspace, quota, row, before, result.revision, age
                )
            else:
                self._apply_refusal(workspace, quota, transaction, result, now)
        finally:
            quota.note_answered()
            self._wake()

    def _apply_refusal(self, workspace, quota, transaction, result, now):
        """Take the record from a refused write. A lost ownership is seen elsewhere.

        Until it is, or until the deletion of a record is seen, each write is refused.
        """
        self._node.metrics.count("quota_writes_refused", pool=self._pool)
        record = result.find_current(key_quota(workspace))
        if record is None or record.revision == transaction.conditions[-1].revision:
            self._retry_at = now + RETRY_DELAY
        else:
            quota.observe(record.revision, record.revision, read_rows(record), now)

    def _read_now(self):
        return self._node.clock.read_monotonic()


def _find_job(jobs, job_id):
    found = jobs.find(job_id)
    return None if found is None else found.job
