"""What a pool's job board holds in memory: batches, workers and attempts."""

from collections import defaultdict
from dataclasses import dataclass, field

from peridotspoke.jobs.estimation import UsageEstimator
from peridotspoke.jobs.evidence import FailureEvidence
from peridotspoke.jobs.lifecycle import JobStarting, apply_event
from peridotspoke.jobs.messages import JobBatch, JobPhase
from peridotspoke.jobs.needs import WorkerRoom
from peridotspoke.jobs.records import JobId
from peridotspoke.jobs.settings import BoardSettings
from peridotspoke.store.records import Stored
from peridotspoke.store.workers import WorkerReport

__all__ = [
    "AttemptMemory",
    "HeldBatch",
    "HeldBatches",
    "HeldWorker",
    "JobPlace",
    "PoolState",
    "Writing",
]


@dataclass(frozen=True, slots=True)
class JobPlace:
    """Where a job stands: the key of its batch and its index."""

    key: str
    index: int

    def get_id(self):
        """Return the job's identity as callers see it."""
        return str(JobId(self.key.rpartition("/")[2], self.index))


@dataclass(slots=True)
class HeldBatch:
    """A batch with the events that wait to be written.

    `pending_since` is when the oldest of them came. `stale` says that the batch is
    to be read again before it is written.
    """

    revision: int
    stored: Stored[JobBatch]
    pending: list = field(default_factory=list)
    stale: bool = False
    pending_since: float = 0.0

    def make_successor(self):
        """Return the batch after the pending events, or None if they change nothing."""
        jobs = list(self.stored.body.jobs)
        for index, event in self.pending:
            jobs[index] = apply_event(jobs[index], event)
        before = self.stored.body
        if all(new is old for new, old in zip(jobs, before.jobs, strict=True)):
            return None
        return JobBatch(before.pool, before.accepted_at, tuple(jobs), before.digest)

    def add_event(self, index, event, now):
        """Let `event` be written with the next swap."""
        if (index, event) in self.pending:
            return
        if not self.pending:
            self.pending_since = now
        self.pending.append((index, event))

    def retry(self, events):
        """Let the events of a lost swap be written again, but for the starts.

        Jobs to start are placed anew.
        """
        events = [*events, *self.pending]
        self.pending = [item for item in events if not isinstance(item[1], JobStarting)]
        self.stale = True


@dataclass(frozen=True, slots=True)
class Writing:
    """The events of a swap that is under way, and the batch before them."""

    events: tuple
    before: JobBatch


@dataclass(slots=True)
class HeldWorker:
    """A worker with its latest report, heard at the board's time `heard_at`."""

    room: WorkerRoom
    heard_at: float
    report: WorkerReport | None = None
    asking: bool = False
    suspect_since: float | None = None
    asked_out: bool = False

    def estimate_clock(self, now):
        """Return a time that the worker's own clock has certainly reached."""
        return self.report.clock + max(0.0, now - self.heard_at)


class HeldBatches:
    """The batches of a pool with indexes of their queued and active jobs.

    `queues` maps each class and team to its queued jobs by `JobPlace`; `active`
    maps the place of each starting or running job to it. Of batches whose jobs have
    all ended, or whose record is gone, only the key is held, in `done`.
    """

    def __init__(self):
        self.batches = {}
        self.done = set()
        self.queues = defaultdict(dict)
        self.active = {}

    def take(self, key, revision, stored):
        """Take a batch as it stands in the service; return whether it is news."""
        held = self.batches.get(key)
        if held is not None and revision < held.revision:
            return False
        news = held is None or revision > held.revision
        if stored.body.is_done():
            self.drop(key)
            return news
        if held is None:
            held = self.batches[key] = HeldBatch(revision, stored)
        elif news:
            self._remove(key, held.stored.body)
            held.revision = revision
            held.stored = stored
        held.stale = False
        if news:
            self._add(key, stored.body)
        return news

    def drop(self, key):
        """Keep only the key of a batch."""
        held = self.batches.pop(key, None)
        if held is not None:
            self._remove(key, held.stored.body)
        self.done.add(key)

    def get_job(self, place):
        """Return the `Job` at a `JobPlace`, or None."""
        held = self.batches.get(place.key)
        if held is None or place.index >= len(held.stored.body.jobs):
            return None
        return held.stored.body.jobs[place.index]

    def iterate_queued(self):
        """Yield the place and the job of each queued job."""
        for jobs in self.queues.values():
            yield from jobs.items()

    def _remove(self, key, batch):
        for index, job in enumerate(batch.jobs):
            place = JobPlace(key, index)
            self.active.pop(place, None)
            queue = self.queues.get((job.spec.urgency, job.spec.team), {})
            queue.pop(place, None)

    def _add(self, key, batch):
        for index, job in enumerate(batch.jobs):
            place = JobPlace(key, index)
            if job.state.phase is JobPhase.QUEUED:
                self.queues[job.spec.urgency, job.spec.team][place] = job
            elif job.state.phase in (JobPhase.STARTING, JobPhase.RUNNING):
                self.active[place] = job


class AttemptMemory:
    """What is known of attempts beyond their records, by the task's identity.

    `seen` are tasks that a worker named as running, `ended` those that it named as
    ended, `leaving` maps those told to make room to the way in which they end,
    `throttled` are those held to a share of their cores, `peaks` maps to the
    largest cores and bytes reported.
    """

    def __init__(self):
        self.seen = set()
        self.ended = set()
        self.leaving = {}
        self.throttled = set()
        self.peaks = {}
        self.since = {}
        self._called = {}

    def note_load(self, load):
        """Take a `TaskLoad`; values that can't be true are left out."""
        self.seen.add(load.task)
        cores, memory = self.peaks.get(load.task, (0.0, 0))
        self.peaks[load.task] = (max(cores, load.cores), max(memory, load.memory))

    def may_call(self, call, task, now, interval):
        """Return whether a call about a task is due, and take note of it."""
        if now < self._called.get((task, call), float("-inf")) + interval:
            return False
        self._called[task, call] = now
        return True

    def keep_only(self, tasks):
        """Forget all tasks but `tasks`, a set."""
        self.seen &= tasks
        self.ended &= tasks
        self.throttled &= tasks
        for kept in (self.leaving, self.peaks, self.since):
            for task in kept.keys() - tasks:
                del kept[task]
        for task, call in list(self._called):
            if task not in tasks:
                del self._called[task, call]


@dataclass(slots=True)
class PoolState:
    """All that is known of one pool's jobs and workers.

    `quotas` maps a team to the `Need` that it may hold at once; `queued_since` maps
    the place and the number of attempts of each queued job to when it was first
    seen; `writing` maps keys to the swaps under way; `confirmed` maps a worker to
    the ends that it may forget; `unread` are keys of batches that are to be read
    again.
    """

    pool: str
    settings: BoardSettings = field(default_factory=BoardSettings)
    held: HeldBatches = field(default_factory=HeldBatches)
    writing: dict[str, Writing] = field(default_factory=dict)
    workers: dict[str, HeldWorker] = field(default_factory=dict)
    quotas: dict = field(default_factory=dict)
    attempts: AttemptMemory = field(default_factory=AttemptMemory)
    estimator: UsageEstimator = field(default_factory=UsageEstimator)
    evidence: FailureEvidence = field(default_factory=FailureEvidence)
    queued_since: dict = field(default_factory=dict)
    confirmed: dict = field(default_factory=lambda: defaultdict(set))
    unread: set = field(default_factory=set)
    dirty: bool = False

    def find_largest(self):
        """Return the `Need` that is the size of the largest worker, or None."""
        sizes = [worker.room.size for worker in self.workers.values()]
        return max(sizes, key=lambda size: (size.cores, size.memory), default=None)

    def add_event(self, place, event, now):
        """Let `event` be written with the next swap of the batch of `place`."""
        writing = self.writing.get(place.key)
        if writing is None or (place.index, event) not in writing.events:
            self.held.batches[place.key].add_event(place.index, event, now)

    def list_starts(self):
        """Return the worker of each job whose start is not written yet."""
        events = [
            (key, item)
            for key, held in self.held.batches.items()
            for item in held.pending
        ]
        events += [
            (key, item)
            for key, writing in self.writing.items()
            for item in writing.events
        ]
        return {
            JobPlace(key, index): event.attempt.worker
            for key, (index, event) in events
            if isinstance(event, JobStarting)
        }

    def is_usable(self, worker, now):
        """Return whether jobs may start on a `HeldWorker`."""
        return (
            worker.room.usable
            and worker.report is not None
            and worker.suspect_since is None
            and now < worker.heard_at + self.settings.lost_after / 2
        )
