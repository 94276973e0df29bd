"""In-memory state of one pool's job board: batches, workers and attempts."""

from collections import defaultdict
from dataclasses import dataclass, field

from peridotspoke.jobs.estimation import UsageEstimator
from peridotspoke.jobs.evidence import FailureEvidence
from peridotspoke.jobs.lifecycle import JobStarting, apply_event
from peridotspoke.jobs.messages import JobBatch, JobPhase
from peridotspoke.jobs.needs import WorkerCapacity
from peridotspoke.jobs.records import JobId
from peridotspoke.jobs.settings import BoardSettings
from peridotspoke.store.records import Stored
from peridotspoke.store.workers import WorkerReport

__all__ = [
    "AttemptTracker",
    "BatchCache",
    "CachedBatch",
    "JobLocation",
    "PoolState",
    "WorkerState",
    "WriteInFlight",
]


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


@dataclass(frozen=True, slots=True)
class WriteInFlight:
    """The events that a running swap writes, and the `JobBatch` before them."""

    events: tuple
    before: JobBatch


@dataclass(slots=True)
class WorkerState:
    """A worker with its latest report.

    Parameters
    ----------
    capacity : WorkerCapacity
    heard_at : float
        Monotonic time of the latest report on the controller's clock, in seconds;
        before the first report, the time at which the worker was added.
    report : WorkerReport or None
    exchange_in_flight : bool
    suspect_since : float or None
        Monotonic time since which the worker is suspected, in seconds.
    removal_requested : bool
        Whether a `TakeOutWorker` was returned for the worker.
    """

    capacity: WorkerCapacity
    heard_at: float
    report: WorkerReport | None = None
    exchange_in_flight: bool = False
    suspect_since: float | None = None
    removal_requested: bool = False

    def estimate_clock(self, now):
        """Return a lower bound of the time on the worker's own clock, in seconds."""
        return self.report.clock + max(0.0, now - self.heard_at)


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


class AttemptTracker:
    """State of attempts that is not part of their records, by task identifier.

    Attributes
    ----------
    reported_running : set of str
        Tasks that a worker reported as running.
    reported_ended : set of str
        Tasks that a worker reported as ended.
    stopping : dict of str to TaskStop
        Tasks that are being stopped, with the manner of the stop.
    throttled : set of str
        Tasks that are limited to a share of their cores.
    peak_usage : dict of str to (float, int)
        Largest reported numbers of cores and of bytes of memory.
    started_at : dict of str to float
        Monotonic time of the first start call, in seconds.
    """

    def __init__(self):
        self.reported_running = set()
        self.reported_ended = set()
        self.stopping = {}
        self.throttled = set()
        self.peak_usage = {}
        self.started_at = {}
        self._last_calls = {}

    def record_load(self, load):
        """Record that a task runs, and its peak usage, from a `TaskLoad`."""
        self.reported_running.add(load.task)
        cores, memory = self.peak_usage.get(load.task, (0.0, 0))
        self.peak_usage[load.task] = (max(cores, load.cores), max(memory, load.memory))

    def is_call_due(self, call, task, now, interval):
        """Return whether a call about a task is due; if so, record it as made.

        Parameters
        ----------
        call : str or TaskStop
            Kind of the call.
        task : str
        now : float
            Monotonic time in seconds.
        interval : float
            Minimum time in seconds between two calls of this kind.
        """
        if now < self._last_calls.get((task, call), float("-inf")) + interval:
            return False
        self._last_calls[task, call] = now
        return True

    def keep_only(self, tasks):
        """Delete the state of all tasks except those in the set `tasks`."""
        self.reported_running &= tasks
        self.reported_ended &= tasks
        self.throttled &= tasks
        for kept in (self.stopping, self.peak_usage, self.started_at):
            for task in kept.keys() - tasks:
                del kept[task]
        for task, call in list(self._last_calls):
            if task not in tasks:
                del self._last_calls[task, call]


@dataclass(slots=True)
class PoolState:
    """State of the jobs and workers of one pool.

    Parameters
    ----------
    pool : str
    settings : BoardSettings
    cache : BatchCache
    writes_in_flight : dict of str to WriteInFlight
        Running swaps by the key of the batch.
    workers : dict of str to WorkerState
    quotas : dict of str to Resources
        Resources that each team may occupy at once.
    attempts : AttemptTracker
    estimator : UsageEstimator
    evidence : FailureEvidence
    queued_since : dict of (JobLocation, int) to float
        Monotonic time at which each queued job was first seen, in seconds, by its
        location and its number of attempts.
    confirmed : dict of str to set of str
        For each worker, the ended tasks that it no longer needs to report.
    keys_to_read : set of str
        Keys of batches that must be read again.
    needs_placement : bool
        Whether something changed since the latest placement round.
    """

    pool: str
    settings: BoardSettings = field(default_factory=BoardSettings)
    cache: BatchCache = field(default_factory=BatchCache)
    writes_in_flight: dict[str, WriteInFlight] = field(default_factory=dict)
    workers: dict[str, WorkerState] = field(default_factory=dict)
    quotas: dict = field(default_factory=dict)
    attempts: AttemptTracker = field(default_factory=AttemptTracker)
    estimator: UsageEstimator = field(default_factory=UsageEstimator)
    evidence: FailureEvidence = field(default_factory=FailureEvidence)
    queued_since: dict = field(default_factory=dict)
    confirmed: dict = field(default_factory=lambda: defaultdict(set))
    keys_to_read: set = field(default_factory=set)
    needs_placement: bool = False

    def find_largest(self):
        """Return the `Resources` of the largest worker, or None without workers."""
        sizes = [worker.capacity.size for worker in self.workers.values()]
        return max(sizes, key=lambda size: (size.cores, size.memory), default=None)

    def add_event(self, location, event, now):
        """Add `event` to the pending events of a job unless it is being written."""
        in_flight = self.writes_in_flight.get(location.key)
        if in_flight is None or (location.index, event) not in in_flight.events:
            self.cache.batches[location.key].add_event(location.index, event, now)

    def list_starts(self):
        """Return the worker by `JobLocation` for each start that is not stored yet."""
        events = [
            (key, item)
            for key, cached in self.cache.batches.items()
            for item in cached.pending
        ]
        events += [
            (key, item)
            for key, in_flight in self.writes_in_flight.items()
            for item in in_flight.events
        ]
        return {
            JobLocation(key, index): event.attempt.worker
            for key, (index, event) in events
            if isinstance(event, JobStarting)
        }

    def is_usable(self, worker, now):
        """Return whether jobs may start on a `WorkerState` at the time `now`."""
        return (
            worker.capacity.usable
            and worker.report is not None
            and worker.suspect_since is None
            and now < worker.heard_at + self.settings.lost_after / 2
        )
