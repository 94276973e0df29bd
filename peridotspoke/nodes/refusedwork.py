"""Tells the pools' owners after an outage which refused jobs are about to return."""

import asyncio
import math

from peridotspoke.exceptions import LeaseExpiredError, PlatformError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import key_refused
from peridotspoke.nodes.records import RefusedRecord, encode_value
from peridotspoke.store import Put, Transaction
from peridotspoke.workloads.returning import ReturningJob, estimate_arrival

__all__ = ["RefusedTeller", "list_told", "record_refused_job"]

CHECK_INTERVAL = 0.05  # seconds between two checks for the store's return
RETRY_DELAY = 0.3  # seconds after a failed write
MIN_TELL_INTERVAL = 2.0  # seconds between two writes, where the store comes and goes
RETURN_MARGIN = 0.5  # seconds after the told delay in which a caller comes back


def record_refused_job(node, job, retry_after):
    """Record a job that was refused and told to return after a number of seconds.

    Jobs without finite work are left out.

    Parameters
    ----------
    node : NodeParts
    job : Job
    retry_after : float
    """
    arrival = estimate_arrival(job, [step.estimate for step in job.steps])
    if arrival.work <= 0:
        return
    now = node.clock.read_monotonic()
    until = now + math.ceil(retry_after) + RETURN_MARGIN
    node.refused_jobs.record(
        ReturningJob(job.job_id, job.pool, arrival.cores, now, until)
    )


class RefusedTeller:
    """Tells what one node refused for the absent store, once the store is back.

    All pools are told in one record under the node's lease: one write for an outage in
    which anything was refused, and one deletion once no caller is awaited any more.

    Parameters
    ----------
    node : NodeParts
    """

    def __init__(self, node):
        self._node = node
        self._told_at = float("-inf")
        self._told_until = None
        self._ended_lease = 0

    async def run(self):
        """Tell what was refused after each outage, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            try:
                await self.update()
            except PlatformError as error:
                log_event("refused-not-told", "WARNING", error=error)
                await asyncio.sleep(RETRY_DELAY)

    async def update(self):
        """Write or delete the node's record if that is due.

        Raises
        ------
        PlatformError
            If the store did not carry it out, or may not have.
        """
        node = self._node
        now = node.clock.read_monotonic()
        if not node.has_store():
            return
        if node.refused_jobs.has_untold and now >= self._told_at + MIN_TELL_INTERVAL:
            lease = node.ownership.lease_id
            if lease and lease != self._ended_lease:
                await self._tell(lease, now)
        elif self._told_until is not None and now >= self._told_until:
            await self._delete()

    async def _tell(self, lease, now):
        jobs = self._node.refused_jobs.list_current(now)
        if not jobs:
            self._node.refused_jobs.mark_told()
            return
        record = RefusedRecord()
        for job in jobs:
            pool = record.pools.setdefault(job.pool, {})
            cores = job.compute_expected(now)
            pool[job.job_id] = (round(cores, 1), round(job.until - now, 2))
        key = key_refused(self._node.settings.name)
        put = Put(key, encode_value(record), lease)
        try:
            await self._node.store.commit(Transaction((), (put,)))
        except LeaseExpiredError:
            self._ended_lease = lease
            return
        self._node.refused_jobs.mark_told()
        self._told_at, self._told_until = now, max(job.until for job in jobs)
        log_event(
            "refused-told",
            jobs=len(jobs),
            pools=len(record.pools),
            cores=sum(job.compute_expected(now) for job in jobs),
        )

    async def _delete(self):
        key = key_refused(self._node.settings.name)
        await self._node.store.commit(Transaction((), deletions=(key,)))
        self._told_until = None


def list_told(view, pool):
    """Yield the `ReturningJob` that the nodes have told of a pool.

    Parameters
    ----------
    view : StoreView
    pool : str
    """
    for record, seen_at in view.refused.values():
        for job_id, (cores, seconds) in record.pools.get(pool, {}).items():
            yield ReturningJob(job_id, pool, cores, seen_at, seen_at + seconds)
