"""Runs of tasks on executors, and the room that they take."""

import enum
from dataclasses import dataclass, field

from peridotspoke.workloads.executors import Condition, ExecutorEntry
from peridotspoke.workloads.jobs import Need, Step, TaskKey
from peridotspoke.workloads.progress import JobProgress, TaskProgress

__all__ = ["ExecutorState", "Run", "RunPhase", "compute_need"]


class RunPhase(enum.Enum):
    """How far a run is known to have come.

    `INHERITED` runs were ordered by an earlier owner and have not been reported
    since; `PLANNED` ones wait until their record is stored; `STARTING` ones for the
    answer to their start.
    """

    INHERITED = enum.auto()
    PLANNED = enum.auto()
    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task. Times are monotonic, in seconds.

    Parameters
    ----------
    task : TaskProgress
    progress : JobProgress
    step : Step
    number : int
    executor_id : str
    phase : RunPhase
    planned_at : float
    started_at : float or None
        When its start was answered, or when it was first reported.
    start_unsure : bool
        Whether its start had no answer and may still be carried out.
    stop_answered_at : float or None
    percent, load : int
        As last reported.
    first_percent : int
        As reported first.
    seen_at : float
        When the latest report that lists it was asked for.
    moved_at : float
        When its percent last changed.
    share : int
        Percent of its speed at which it was told to work.
    paced_at : float
        When it was last told so.
    ticket : str
        Sent with its start, where its queue needs advice.
    resumed : bool
        Whether it began from a checkpoint.
    """

    task: TaskProgress
    progress: JobProgress
    step: Step
    number: int
    executor_id: str
    phase: RunPhase
    planned_at: float
    started_at: float | None = None
    start_unsure: bool = False
    stop_answered_at: float | None = None
    percent: int = 0
    load: int = 0
    first_percent: int = 0
    seen_at: float = float("-inf")
    moved_at: float = 0.0
    share: int = 100
    paced_at: float = float("-inf")
    ticket: str = ""
    resumed: bool = False

    @property
    def key(self):
        """The run's `TaskKey`."""
        return self.task.key


@dataclass(slots=True, eq=False)
class ExecutorState:
    """What an owner believes of one executor.

    Parameters
    ----------
    executor_id : str
    entry : ExecutorEntry or None
        None while it is not listed.
    born : int
        Start of its present life, Unix milliseconds.
    lease_end : float
        Monotonic time after which nothing that was ordered still runs, seconds.
    reported_at : float or None
        When the latest report that this owner got was asked for.
    cursor : int
        Number of the last end that was taken into account.
    noted : int
        Number of the last end whose effect is stored.
    runs : dict of TaskKey to Run
    foreign : dict of (TaskKey, int) to Need
        Runs that it lists and that this owner did not order.
    blocked_until : float
        No start is sent before this time.
    silent_since : float
        When it was found to be unreachable.
    withdrawn : bool
        Whether its instance is to be emptied.
    """

    executor_id: str
    entry: ExecutorEntry | None = None
    last_entry: ExecutorEntry | None = None
    born: int = 0
    lease_end: float = 0.0
    reported_at: float | None = None
    cursor: int = 0
    noted: int = 0
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    foreign: dict[tuple[TaskKey, int], Need] = field(default_factory=dict)
    blocked_until: float = 0.0
    reachable: bool = True
    silent_since: float = 0.0
    withdrawn: bool = False
    strikes: float = 0.0
    struck_at: float = 0.0

    @property
    def drains(self):
        """Whether no new work goes there."""
        entry = self.entry
        return entry is None or entry.condition is Condition.DRAINING or self.withdrawn

    def takes_work(self, now):
        """Return whether a start may be sent there now."""
        return (
            not self.drains
            and self.reachable
            and self.reported_at is not None
            and now >= self.blocked_until
        )

    def compute_free(self):
        """Return the `Need` that still fits; parts may be negative."""
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
    """Return the room that a task takes; filling tasks take no processors."""
    if not step.fills:
        return step.need
    return Need(0, step.need.memory, step.need.accelerators)
