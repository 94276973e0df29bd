"""Jobs as callers submit them: their steps, their tasks and their due times."""

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["Job", "Need", "QueueTerms", "Step", "TaskKey"]


class TaskKey(NamedTuple):
    """Identifies one task.

    Parameters
    ----------
    job_id : str
    occurrence : int
        Number of the job's repetition, from 0.
    step : int
        Number of the step in the job, from 0.
    index : int
        Number of the task in the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclass(frozen=True, slots=True)
class Need:
    """Resources: those that one task requires, or those that an executor has.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    memory : int
        Megabytes.
    accelerators : int
        Number of accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: a number of tasks of the same kind.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Need
        Resources that each task requires.
    estimate : float
        The caller's estimate of a task's duration, seconds.
    after : tuple of int
        Numbers of the earlier steps that must be complete before this one starts.
    checkpointing : bool
        Whether the tasks save checkpoints from which a later run can resume.
    gang : bool
        Whether the tasks can run only all at the same time.
    same_rack : bool
        Whether the tasks run slower when they are spread over several racks.
    requires : str
        Label that an executor must have to run the tasks; empty for none.
    affinity : str
        Preferred rack, where the tasks' data is; empty for none.
    most_per_executor : int
        Maximum number of the step's tasks on one executor; 0 for no limit.
    speculative : bool
        Whether several copies of a task may run at the same time.
    lasting : bool
        Whether the tasks are long-running: they run until the job is cancelled.
    image : str
        Name of the program that the tasks run. Tasks of the same image are expected
        to behave alike.
    target : float
        Upper limit for the tail latency of a lasting task's responses, seconds; 0
        for none.
    fills : bool
        Whether the tasks use only processor time that other tasks leave idle.
    may_miss : int
        Maximum number of lasting tasks that the system may interrupt at the same
        time.
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
    """The terms under which a queue runs its jobs.

    The time objective of a job is `stretch` times the duration of its critical path,
    plus `latency`.

    Parameters
    ----------
    priority : int
        Rank of the queue; 0 is the most important.
    max_attempts : int
        Number of failures of one task after which its job fails. Failures of lasting
        tasks do not count.
    stretch : float
        Factor on the duration of the job's critical path.
    latency : float
        Time allowed beyond that, seconds.
    advised : bool
        Whether a task needs a ticket from the advice service to start.
    """

    priority: int = 0
    max_attempts: int = 3
    stretch: float = 1.5
    latency: float = 0.6
    advised: bool = False


@dataclass(frozen=True, slots=True)
class Job:
    """A job as it was accepted.

    Parameters
    ----------
    job_id : str
        Identity of the job, 16 hexadecimal digits.
    queue : str
        Name of the queue that the job was submitted to.
    pool : str
        Name of the pool whose executors run the job.
    spec : str
        The caller's description of the work, passed to executors unchanged.
    steps : tuple of Step
    terms : QueueTerms
    accepted_at : float
        Seconds since the Unix epoch.
    first_due : float
        When the first occurrence of a repeated job is due, seconds since the Unix
        epoch.
    interval : float
        Time between the due times of consecutive occurrences, seconds.
    repeats : int
        Number of times that the steps run at the given interval; 0 for a job that
        runs once, as soon as possible.
    workspace : str
        Name of the workspace whose API key submitted the job; empty for a job of an
        anonymous queue or of a configuration without workspaces.
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
    workspace: str = ""

    @property
    def occurrences(self):
        """The number of times that the steps run."""
        return max(1, self.repeats)

    @property
    def is_long_running(self):
        """Whether any step is long-running, so that the job ends when cancelled."""
        return any(step.lasting for step in self.steps)

    def compute_due(self, occurrence):
        """Return when an occurrence is due.

        Parameters
        ----------
        occurrence : int
            Number of the occurrence, from 0.

        Returns
        -------
        float
            Seconds since the Unix epoch; 0.0 for a job that is not repeated.
        """
        if not self.repeats:
            return 0.0
        return self.first_due + occurrence * self.interval
