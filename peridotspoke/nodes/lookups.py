"""Finds jobs and counts queues, from recently confirmed records or from the store."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from peridotspoke.exceptions import AnswerLostError, RecordError
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import key_identity, prefix_job, prefix_jobs

__all__ = ["TOMBSTONE", "JobLookup", "QueueCount"]

MAX_AGE = 2.0  # seconds, from the platform's protocol
TOMBSTONE = b""  # value of the identity of a job whose lost write must not take effect


@dataclass(frozen=True, slots=True)
class QueueCount:
    """The number of jobs of a queue that wait for their first start.

    Parameters
    ----------
    waiting : int
    age : float
        Upper bound of the age of the number, in seconds.
    source : str
        Where the number comes from: view, owner or store.
    """

    waiting: int
    age: float
    source: str


class JobLookup:
    """Looks up jobs without following the jobs of all pools.

    A node knows the jobs of the pools that it follows, and for other pools the counts
    that their owners publish. Information older than `MAX_AGE` is not used; the store
    is read instead.

    Parameters
    ----------
    node : NodeParts
    """

    def __init__(self, node):
        self._node = node
        self._pending_reads = {}

    def find(self, pool, job_id):
        """Return the `JobView` of a job of a followed pool, or None.

        An outdated view is used only for jobs that have ended, since they do not change
        any more.
        """
        jobs = self._node.view.jobs.get(pool)
        job_view = jobs and jobs.find(job_id)
        if job_view is None or not job_view.is_open or self._find_recent(pool):
            return job_view
        return None

    async def read(self, pool, job_id):
        """Return the current `JobView` of a job, or None if there is no such job.

        A job that was accepted while its queue belonged to another pool stays in that
        pool and is looked up there.

        Parameters
        ----------
        pool : str
            The pool of the job's queue.
        job_id : str

        Raises
        ------
        PlatformError
            If the store can't be read, or the record of the job can't be decoded.
        """
        job_view = self.find(pool, job_id)
        if job_view is not None:
            return job_view
        jobs = await self._read_records(pool, prefix_job(pool, job_id))
        if jobs.find(job_id) is not None:
            return jobs.find(job_id)
        identity = await self._node.store.read(key_identity(job_id))
        if identity is None or identity.value == TOMBSTONE:
            return None
        pool = _decode_pool(identity)
        jobs = await self._read_records(pool, prefix_job(pool, job_id))
        found = jobs.find(job_id)
        if found is None:
            raise RecordError("no readable job", step="read job", peer=identity.key)
        return found

    async def has_job(self, job_id):
        """Return whether the store has a job.

        Parameters
        ----------
        job_id : str

        Raises
        ------
        PlatformError
            If the store can't be read.
        """
        identity = await self._node.store.read(key_identity(job_id))
        return identity is not None and identity.value != TOMBSTONE

    async def count(self, queue):
        """Return the `QueueCount` of a queue.

        Jobs that were accepted while the queue belonged to other pools are included if
        their counts are recent; the store is not read for them.

        Parameters
        ----------
        queue : Queue

        Raises
        ------
        PlatformError
            If no recent count is known and the store can't be read in time.
        """
        waiting, age, source = self._find_counts(queue.pool)
        if waiting is None:
            waiting, age = await self._read_counts(queue.pool)
            source = "store"
        in_other_pools = sum(
            counts[queue.name]
            for pool in self._list_pools()
            if pool != queue.pool and (counts := self._find_counts(pool)[0])
        )
        return QueueCount(waiting[queue.name] + in_other_pools, age, source)

    def _list_pools(self):
        return self._node.view.counts.keys() | self._node.view.jobs.keys()

    def _find_counts(self, pool):
        """Return a pool's waiting jobs by queue, their age in seconds and the source.

        The waiting jobs are None if no recent count is known.
        """
        now = self._node.clock.read_monotonic()
        jobs = self._find_recent(pool)
        if jobs is not None:
            return jobs.count_waiting(), jobs.find_age(now), "view"
        waiting, age = self._node.view.find_waiting(pool, now)
        if waiting is None or age > MAX_AGE:
            return None, age, "owner"
        return Counter(waiting), age, "owner"

    async def _read_counts(self, pool):
        jobs = await self._read_pool(pool)
        age = jobs.find_age(self._node.clock.read_monotonic())
        if age > MAX_AGE:
            raise AnswerLostError(
                "the records were outdated when read", step="count", peer=pool
            )
        return jobs.count_waiting(), age

    def _find_recent(self, pool):
        """Return the `PoolJobs` of a followed pool if they are recent, or None."""
        jobs = self._node.view.jobs.get(pool)
        age = jobs and jobs.find_age(self._node.clock.read_monotonic())
        return jobs if age is not None and age <= MAX_AGE else None

    async def _read_pool(self, pool):
        """Read the `PoolJobs` from the store; concurrent callers share one read."""
        pending_read = self._pending_reads.get(pool)
        if pending_read is None:
            pending_read = asyncio.ensure_future(
                self._read_records(pool, prefix_jobs(pool))
            )
            self._pending_reads[pool] = pending_read
            pending_read.add_done_callback(lambda _: self._pending_reads.pop(pool))
        return await asyncio.shield(pending_read)

    async def _read_records(self, pool, prefix):
        asked_at = self._node.clock.read_monotonic()
        snapshot = await self._node.store.read_prefix(prefix)
        return PoolJobs.from_snapshot(pool, snapshot, asked_at)


def _decode_pool(identity):
    try:
        return identity.value.decode()
    except UnicodeDecodeError as error:
        raise RecordError(str(error), step="read job", peer=identity.key) from error
