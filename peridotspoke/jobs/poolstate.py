"""In-memory state of one pool's job board: workers, attempts and running writes."""

from collections import defaultdict
from dataclasses import dataclass, field

from peridotspoke.jobs.batches import BatchCache, JobLocation
from peridotspoke.jobs.estimation import UsageEstimator
from peridotspoke.jobs.evidence import FailureEvidence
from peridotspoke.jobs.lifecycle import JobStarting
from peridotspoke.jobs.messages import JobBatch
from peridotspoke.jobs.needs import WorkerCapacity
from peridotspoke.jobs.settings import BoardSettings
from peridotspoke.store.workers import WorkerReport

__all__ = [
    "AttemptTracker",
    "PoolState",
    "WorkerState",
    "WriteInFlight",
]


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
