"""The batches of one pool in memory: as stored, and with the events still to write."""

from collections import defaultdict
from dataclasses import dataclass, field

from peridotspoke.jobs.lifecycle import JobStarting, apply_event
from peridotspoke.jobs.messages import JobBatch, JobPhase
from peridotspoke.jobs.records import JobId
from peridotspoke.store.records import Stored

__all__ = ["BatchCache", "CachedBatch", "JobLocation"]


@dataclass(frozen=True, slots=True)
class JobLocation:
    """Location of a job: the key of its batch in the store and its index there."""

    key: str
    index: int

    def get_id(self):
        """Return the job's identifier in the form shown to callers, a str."""
        return str(JobId(self.key.rpartition("/")[2], self.index))


@dataclass(slots=True)
class CachedBatch:
    """A batch as last read or written, with events that are not written yet.

    Parameters
    ----------
    revision : int
        Revision of the record in the store.
    stored : Stored of JobBatch
    pending : list of (int, JobEvent)
        Events to write, each with the index of its job.
    stale : bool
        Whether the batch must be read again before it is written.
    pending_since : float
        Monotonic time of the oldest pending event, in seconds.
    """

    revision: int
    stored: Stored[JobBatch]
    pending: list = field(default_factory=list)
    stale: bool = False
    pending_since: float = 0.0

    def make_successor(self):
        """Return the `JobBatch` after the pending events, or None if it is the same."""
        jobs = list(self.stored.body.jobs)
        for index, event in self.pending:
            jobs[index] = apply_event(jobs[index], event)
        before = self.stored.body
        if all(new is old for new, old in zip(jobs, before.jobs, strict=True)):
            return None
        return JobBatch(before.pool, before.accepted_at, tuple(jobs), before.digest)

    def add_event(self, index, event, now):
        """Add `event` to the pending events unless it is among them."""
        if (index, event) in self.pending:
            return
        if not self.pending:
            self.pending_since = now
        self.pending.append((index, event))

    def retry(self, events):
        """Return the events of a failed swap to the pending events.

        Starts are dropped, because those jobs go through placement again.
        """
        events = [*events, *self.pending]
        self.pending = [item for item in events if not isinstance(item[1], JobStarting)]
        self.stale = True


class BatchCache:
    """The batches of a pool, with indexes of queued and active jobs.

    Attributes
    ----------
    batches : dict of str to CachedBatch
        Batches with a job that has not ended, by key.
    done : set of str
        Keys of batches whose jobs have all ended or whose record was deleted.
    queues : dict of (Urgency, str) to dict of JobLocation to Job
        Queued jobs by class and team.
    active : dict of JobLocation to Job
        Starting and running jobs.
    """

    def __init__(self):
        self.batches = {}
        self.done = set()
        self.queues = defaultdict(dict)
        self.active = {}

    def take(self, key, revision, stored):
        """Update a batch from its record; return whether the record was new.

        Parameters
        ----------
        key : str
        revision : int
        stored : Stored of JobBatch
        """
        cached = self.batches.get(key)
        if cached is not None and revision < cached.revision:
            return False
        is_new = cached is None or revision > cached.revision
        if stored.body.is_done():
            self.drop(key)
            return is_new
        if cached is None:
            cached = self.batches[key] = CachedBatch(revision, stored)
        elif is_new:
            self._remove(key, cached.stored.body)
            cached.revision = revision
            cached.stored = stored
        cached.stale = False
        if is_new:
            self._add(key, stored.body)
        return is_new

    def drop(self, key):
        """Remove a batch and remember its key as done."""
        cached = self.batches.pop(key, None)
        if cached is not None:
            self._remove(key, cached.stored.body)
        self.done.add(key)

    def get_job(self, location):
        """Return the `Job` at a `JobLocation`, or None if it is not in memory."""
        cached = self.batches.get(location.key)
        if cached is None or location.index >= len(cached.stored.body.jobs):
            return None
        return cached.stored.body.jobs[location.index]

    def iterate_queued(self):
        """Yield the `JobLocation` and the `Job` of each queued job."""
        for jobs in self.queues.values():
            yield from jobs.items()

    def _remove(self, key, batch):
        for index, job in enumerate(batch.jobs):
            location = JobLocation(key, index)
            self.active.pop(location, None)
            queue = self.queues.get((job.spec.urgency, job.spec.team), {})
            queue.pop(location, None)

    def _add(self, key, batch):
        for index, job in enumerate(batch.jobs):
            location = JobLocation(key, index)
            if job.state.phase is JobPhase.QUEUED:
                self.queues[job.spec.urgency, job.spec.team][location] = job
            elif job.state.phase in (JobPhase.STARTING, JobPhase.RUNNING):
                self.active[location] = job
