"""Jobs as callers hand them in: steps of tasks, and when they are due."""

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["Job", "Need", "QueueTerms", "Step", "TaskKey"]


class TaskKey(NamedTuple):
    """Names one task: its job, occurrence, step and index in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class Need:
    """Room that one task takes: thousandths of a core, MB and accelerators."""

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Need
    estimate : float
        Rough duration of a task, seconds.
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    checkpointing : bool
        Whether tasks save their progress.
    gang : bool
        Whether the tasks work only all together.
    same_rack : bool
        Whether the tasks are slower on more than one rack.
    requires : str
        Label that the executor must have; empty for none.
    affinity : str
        Rack where the data lies; empty for none.
    most_per_executor : int
        Most tasks of the step on one executor; 0 for any number.
    speculative : bool
        Whether copies may run in parallel.
    lasting : bool
        Whether the tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target : float
        Seconds below which the tail of a lasting task's answers must stay; 0: none.
    fills : bool
        Whether the tasks use only what others leave.
    may_miss : int
        Lasting tasks that may be away at once through decisions of the system.
    """

    count: int
    need: Need = Need()
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    most_per_executor: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target: float = 0.0
    fills: bool = False
    may_miss: int = 0


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """What a queue promises its jobs.

    `priority` 0 comes first; `stretch` times the chain of work and `latency` seconds
    more is the objective.
    """

    priority: int = 0
    max_attempts: int = 3
    stretch: float = 1.5
    latency: float = 0.6
    advised: bool = False


@dataclass(frozen=True, slots=True)
class Job:
    """A job as it was accepted.

    `accepted_at` and `first_due` are seconds since the Unix epoch. A job with
    `repeats` above 0 runs its steps that many times, `interval` seconds apart.
    """

    job_id: str
    queue: str
    pool: str
    spec: str
    steps: tuple[Step, ...]
    terms: QueueTerms = field(default_factory=QueueTerms)
    accepted_at: float = 0.0
    first_due: float = 0.0
    interval: float = 0.0
    repeats: int = 0

    @property
    def occurrences(self):
        """The number of times that the steps run."""
        return max(1, self.repeats)

    @property
    def lasts(self):
        """Whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    def compute_due(self, occurrence):
        """Return when an occurrence is due, seconds since the Unix epoch."""
        if not self.repeats:
            return 0.0
        return self.first_due + occurrence * self.interval
