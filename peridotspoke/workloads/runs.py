"""Runs of tasks on executors, and the resources that they use."""

import enum
from dataclasses import dataclass, field

from peridotspoke.workloads.executors import ExecutorCondition, ExecutorEntry
from peridotspoke.workloads.jobs import Need, Step, TaskKey
from peridotspoke.workloads.progress import JobProgress, TaskProgress

__all__ = ["ExecutorState", "Run", "RunPhase", "compute_need"]


class RunPhase(enum.Enum):
    """The latest phase that a run is known to have reached.

    `INHERITED` : ordered by an earlier owner of the pool and not reported since.
    `PLANNED` : assigned to an executor, but not sent before this is stored.
    `STARTING` : its start is being sent and has not been answered.
    `RUNNING` : its start was confirmed, or the executor reported it.
    `STOPPING` : it is to be stopped, and its end is not confirmed yet.
    """

    INHERITED = enum.auto()
    PLANNED = enum.auto()
    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on an executor. All times are monotonic, in seconds.

    Parameters
    ----------
    task : TaskProgress
        The task that runs.
    progress : JobProgress
        The progress of the task's job.
    step : Step
        The task's step.
    number : int
        Number of the run, from 1 for the first run of the task.
    executor_id : str
    phase : RunPhase
    planned_at : float
        When the task was assigned to the executor, or when this owner took the pool
        over.
    started_at : float or None
        When the start was confirmed, or else first reported; None before that.
    start_unconfirmed : bool
        Whether the start got no answer, so that the executor may still carry it out.
    start_pending : bool
        Whether the start was sent and may still be carried out: it was not answered,
        and no report has listed the run or its end.
    start_lost_at : float or None
        When the call was given up; None as long as its answer is awaited.
    is_confirmed : bool
        Whether it is certain which incarnation carried out the start, by its answer or
        by a report.
    confirmed_by : str
        What made that certain: ``answer`` or ``report``; empty before that.
    stop_answered_at : float or None
        When the executor answered the stop; None before that.
    missing_since : float or None
        Since when reports have listed neither the run nor its end; None if the latest
        one listed it.
    percent : int
        Completion as last reported, percent.
    load : int
        Load as last reported: the tail latency in milliseconds for a task with a
        target, the thousandths of a core in use for any other.
    lease_excess : float or None
        By how much the run may outlast the leases that are recorded for its executor
        as long as it is not confirmed, seconds; by default as much as any run may.
    first_percent : int
        Completion in the first report that lists the run, percent.
    reported_at : float
        When the latest report that lists the run was requested.
    progress_clock : int or None
        The executor's clock in the first report that shows the run's latest progress,
        in percent or by checkpoint, milliseconds; None before the first report.
    stalled_time : float
        Time without progress up to the latest report that lists the run, seconds on
        the executor's clock.
    share : int
        Speed that the executor was told to run it at, percent of full speed.
    throttled_at : float
        When that speed was last sent.
    ticket : str
        Ticket of the advice service that is sent with the start; empty if the queue
        needs none.
    resumed : bool
        Whether the run resumes from a checkpoint.
    """

    task: TaskProgress
    progress: JobProgress
    step: Step
    number: int
    executor_id: str
    phase: RunPhase
    planned_at: float
    started_at: float | None = None
    start_unconfirmed: bool = False
    start_pending: bool = False
    start_lost_at: float | None = None
    is_confirmed: bool = False
    confirmed_by: str = ""
    stop_answered_at: float | None = None
    missing_since: float | None = None
    percent: int = 0
    load: int = 0
    first_percent: int = 0
    reported_at: float = float("-inf")
    progress_clock: int | None = None
    stalled_time: float = 0.0
    share: int = 100
    throttled_at: float = float("-inf")
    ticket: str = ""
    resumed: bool = False
    lease_excess: float | None = None

    @property
    def key(self):
        """The `TaskKey` of the run's task."""
        return self.task.key


@dataclass(slots=True, eq=False)
class ExecutorState:
    """The state of one executor as its pool's owner knows it.

    All times but `incarnation` are monotonic, in seconds.

    Parameters
    ----------
    executor_id : str
    entry : ExecutorEntry or None
        The executor's current entry; None while it is not listed.
    last_entry : ExecutorEntry or None
        The entry that was seen last, also while it is not listed.
    incarnation : int
        Start of the executor's present incarnation, Unix milliseconds; 0 if unknown.
    known_since : float or None
        When this owner learned of that incarnation; None if it is unknown.
    unanswered_at : float or None
        When a call last got no answer, so that it may be carried out late; None if
        each was answered.
    lease_end : float
        Time after which every lease has expired that this owner granted, or that
        confirmed runs have from earlier owners.
    inherited_end : float
        Time after which every lease that earlier owners granted has expired.
    late_end : float
        Time after which every lease has expired that calls to an earlier incarnation
        can have granted on this one, as it carried them out late.
    late_excess : float
        By how much these leases may exceed that as long as the incarnation has not
        answered a call with its own fencing token, seconds.
    fence : int
        Fencing token of the calls to the executor; 0 before the first.
    fenced_incarnation : int or None
        The incarnation for which that token was chosen; calls to earlier ones had a
        lower one. None if a higher one has to be chosen.
    answered_at : float or None
        When this incarnation first answered a call with its own token; None before.
    is_announced : bool
        Whether it is stored how long late calls to it may have prolonged leases.
    may_be_reborn : bool
        Whether calls to an earlier incarnation may still be under way.
    reported_at : float or None
        When the latest report that this owner received was requested; None before
        the first.
    cursor : int
        Number of the last ended run that the ledger has processed.
    acknowledged : int
        Number of the last ended run whose effect is stored, so that the executor may
        forget it.
    runs : dict of TaskKey to Run
        Runs that this owner ordered, or inherited from an earlier owner.
    foreign : dict of (TaskKey, int) to Need
        Runs, by task and run number, that the executor reports but the ledger does
        not have, and the resources that they use.
    blocked_until : float
        Time before which no start is sent.
    removed_at : float or None
        When it was removed from the ledger; None before that.
    reachable : bool
        False from a call without an answer until the next report.
    unreachable_since : float
        When a call first got no answer since the latest report.
    withdrawn : bool
        Whether its instance is being emptied, so that no new run starts on it.
    ignored_incarnation : int
        The earlier incarnation whose entry or report came latest; 0 if none did.
    penalty : float
        Failure score as of `penalized_at`; executors with a lower one are preferred.
    penalized_at : float
        When the score was last raised.
    """

    executor_id: str
    entry: ExecutorEntry | None = None
    last_entry: ExecutorEntry | None = None
    incarnation: int = 0
    known_since: float | None = None
    unanswered_at: float | None = None
    lease_end: float = 0.0
    inherited_end: float = float("-inf")
    late_end: float = float("-inf")
    late_excess: float = 0.0
    fence: int = 0
    fenced_incarnation: int | None = None
    answered_at: float | None = None
    is_announced: bool = False
    may_be_reborn: bool = True
    reported_at: float | None = None
    cursor: int = 0
    acknowledged: int = 0
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    foreign: dict[tuple[TaskKey, int], Need] = field(default_factory=dict)
    blocked_until: float = 0.0
    removed_at: float | None = None
    reachable: bool = True
    unreachable_since: float = 0.0
    withdrawn: bool = False
    ignored_incarnation: int = 0
    penalty: float = 0.0
    penalized_at: float = 0.0

    @property
    def has_own_fence(self):
        """Whether the present incarnation refuses what was sent to earlier ones.

        It does so from its first answer to a call with its fencing token on.
        """
        return self.fenced_incarnation == self.incarnation

    @property
    def lacks_first_fence(self):
        """Whether calls were sent, but none yet with the incarnation's own fence."""
        return self.fence > 0 and self.answered_at is None and not self.has_own_fence

    def choose_fence(self, available):
        """Return the fencing token of the next call to the executor.

        Parameters
        ----------
        available : int
            The highest token that this owner may use, lower than that of any later
            owner.

        Returns
        -------
        int
            As before, unless a higher one is due and available.
        """
        if not self.has_own_fence and available > self.fence:
            self.fence, self.fenced_incarnation = available, self.incarnation
        return self.fence

    def renew_fence(self):
        """Let a higher fencing token be chosen before anything is started."""
        self.fenced_incarnation = None

    def has_address(self, address):
        """Return whether the present incarnation was last listed at an address.

        An entry that was written before a restart may be the latest that is known.
        """
        entry = self.last_entry
        return (
            entry is not None
            and entry.address == address
            and entry.incarnation == self.incarnation
        )

    @property
    def is_draining(self):
        """Whether the executor gets no new runs."""
        entry = self.entry
        return (
            entry is None
            or entry.condition is ExecutorCondition.DRAINING
            or self.withdrawn
        )

    def accepts_runs(self, now):
        """Return whether a start may be sent at `now`, monotonic seconds."""
        return (
            not self.is_draining
            and self.reachable
            and self.reported_at is not None
            and self.is_announced
            and self.has_own_fence
            and now >= self.blocked_until
        )

    @property
    def has_unconfirmed_run(self):
        """Whether a run may have started that no incarnation has confirmed."""
        return any(
            not run.is_confirmed and run.phase is not RunPhase.PLANNED
            for run in self.runs.values()
        )

    def compute_free(self):
        """Return the unused resources of the executor.

        Returns
        -------
        Need
            Capacity less the needs of all runs; negative where it is exceeded.
        """
        capacity = self.entry.capacity if self.entry else Need()
        cpu, memory, accelerators = (
            capacity.cpu,
            capacity.memory,
            capacity.accelerators,
        )
        needs = [compute_need(run.step) for run in self.runs.values()]
        for need in [*needs, *self.foreign.values()]:
            cpu -= need.cpu
            memory -= need.memory
            accelerators -= need.accelerators
        return Need(cpu, memory, accelerators)


def compute_need(step):
    """Return the resources that are reserved for a task of a step.

    Parameters
    ----------
    step : Step

    Returns
    -------
    Need
        The step's need. Tasks of a step that `fills` reserve no processor time, as
        they use only what other tasks leave idle.
    """
    if not step.fills:
        return step.need
    return Need(0, step.need.memory, step.need.accelerators)
