"""Finds jobs and counts queues, from what is known lately or from the store."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from peridotspoke.exceptions import AnswerLostError, RecordError
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import key_identity, prefix_job, prefix_jobs

__all__ = ["TOMBSTONE", "JobLookup", "QueueCount"]

MOST_AGE = 2.0  # seconds, from the platform's protocol
TOMBSTONE = b""  # in place of the pool of a job that is never stored


@dataclass(frozen=True, slots=True)
class QueueCount:
    """The jobs of a queue without a start, `age` seconds ago at the most.

    `source` is view, owner or store.
    """

    waiting: int
    age: float
    source: str


class JobLookup:
    """Looks jobs up without following those of all pools.

    A node knows the jobs of the pools that it follows, and of the others what their
    owners count. Whatever is older than `MOST_AGE` is not used; the store is read
    instead.

    Parameters
    ----------
    node : NodeParts
    """

    def __init__(self, node):
        self._node = node
        self._readings = {}

    def find(self, pool, job_id):
        """Return the `JobView` of a job that this node follows, or None.

        A job that has ended stays so, however old the view is.
        """
        jobs = self._node.view.jobs.get(pool)
        known = jobs and jobs.find(job_id)
        if known is None or not known.is_open or self._find_followed(pool):
            return known
        return None

    async def read(self, pool, job_id):
        """Return the `JobView` of a job as it is known now, or None without one.

        A job that was accepted while its queue belonged to another pool stays there.

        Parameters
        ----------
        pool : str
            The pool of the job's queue.
        job_id : str

        Raises
        ------
        PlatformError
            If the store can't tell.
        """
        known = self.find(pool, job_id)
        if known is not None:
            return known
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
        """Return whether the store has a job; raises `PlatformError`."""
        identity = await self._node.store.read(key_identity(job_id))
        return identity is not None and identity.value != TOMBSTONE

    async def count(self, queue):
        """Return the `QueueCount` of a queue.

        Jobs that were accepted while the queue belonged to other pools are added as
        the owners of these tell them.

        Raises
        ------
        PlatformError
            If nothing recent is known and the store can't tell.
        """
        waiting, age, source = self._find_counts(queue.pool)
        if waiting is None:
            waiting, age = await self._read_counts(queue.pool)
            source = "store"
        elsewhere = sum(
            counts[queue.name]
            for pool in self._list_pools()
            if pool != queue.pool and (counts := self._find_counts(pool)[0])
        )
        return QueueCount(waiting[queue.name] + elsewhere, age, source)

    def _list_pools(self):
        return self._node.view.counts.keys() | self._node.view.jobs.keys()

    def _find_counts(self, pool):
        """Return a pool's waiting jobs by queue or None, their age and the source."""
        now = self._node.clock.read_monotonic()
        jobs = self._find_followed(pool)
        if jobs is not None:
            return jobs.count_waiting(), jobs.find_age(now), "view"
        waiting, age = self._node.view.find_waiting(pool, now)
        if waiting is None or age > MOST_AGE:
            return None, age, "owner"
        return Counter(waiting), age, "owner"

    async def _read_counts(self, pool):
        jobs = await self._read_pool(pool)
        age = jobs.find_age(self._node.clock.read_monotonic())
        if age > MOST_AGE:
            raise AnswerLostError("reading took too long", step="count", peer=pool)
        return jobs.count_waiting(), age

    def _find_followed(self, pool):
        """Return the `PoolJobs` of a pool that this node follows up to now, or None."""
        jobs = self._node.view.jobs.get(pool)
        age = jobs and jobs.find_age(self._node.clock.read_monotonic())
        return jobs if age is not None and age <= MOST_AGE else None

    async def _read_pool(self, pool):
        """Return the `PoolJobs` as the store has them; callers share one reading."""
        reading = self._readings.get(pool)
        if reading is None:
            reading = asyncio.ensure_future(self._read_records(pool, prefix_jobs(pool)))
            self._readings[pool] = reading
            reading.add_done_callback(lambda _: self._readings.pop(pool))
        return await asyncio.shield(reading)

    async def _read_records(self, pool, prefix):
        asked_at = self._node.clock.read_monotonic()
        snapshot = await self._node.store.read_prefix(prefix)
        return PoolJobs.from_snapshot(pool, snapshot, asked_at)


def _decode_pool(identity):
    try:
        return identity.value.decode()
    except UnicodeDecodeError as error:
        raise RecordError(str(error), step="read job", peer=identity.key) from error
