"""Jobs as submitted by callers and as stored in the platform's service."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "Attempt",
    "Job",
    "JobBatch",
    "JobPhase",
    "JobSpec",
    "JobState",
    "Ran",
    "TERMINAL_PHASES",
    "Urgency",
]


class Urgency(enum.StrEnum):
    """Priority class of a job; only jobs that may wait can be preempted."""

    URGENT = "urgent"
    NORMAL = "normal"
    MAY_WAIT = "may-wait"


class JobPhase(enum.StrEnum):
    """Phase of a job.

    A job in ``starting`` may be running already, because this phase is stored before
    its worker is called.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    SET_ASIDE = "set-aside"


TERMINAL_PHASES = frozenset(
    {
        JobPhase.FINISHED,
        JobPhase.FAILED,
        JobPhase.UNKNOWN,
        JobPhase.CANCELLED,
        JobPhase.SET_ASIDE,
    }
)


class Ran(enum.StrEnum):
    """Whether any attempt of a job has run; ``no`` and ``yes`` are proven."""

    NO = "no"
    POSSIBLY = "possibly"
    YES = "yes"


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as declared by its caller.

    Parameters
    ----------
    name : str
        Kind of work. Measured usage is recorded by this name.
    team : str
        Team whose quota the job is charged to.
    command : tuple of str
        Program and its arguments.
    cores : float
    memory : int
        Bytes.
    accelerators : int
    run_time : float
        Expected run time, in seconds.
    urgency : Urgency
    idempotent : bool
        Whether the job may safely run more than once.
    checkpointable : bool
        Whether a worker can write a checkpoint of the job and resume from it.
    """

    name: str
    team: str
    command: tuple[str, ...] = ()
    cores: float = 1.0
    memory: int = 1 << 30
    accelerators: int = 0
    run_time: float = 60.0
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    checkpointable: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to run a job on one incarnation of a worker.

    Parameters
    ----------
    number : int
        Attempts of a job are numbered from 1.
    worker : str
    incarnation : int
        Incarnation of the worker, which changes when it restarts.
    start_by : float
        Latest start on the worker's own clock, in seconds. The worker refuses to
        start the attempt later.
    """

    number: int
    worker: str
    incarnation: int
    start_by: float


@dataclass(frozen=True, slots=True)
class JobState:
    """The stored state of a job.

    Parameters
    ----------
    phase : JobPhase
    attempt : Attempt or None
        The current or last attempt; None if the job is queued or never started.
    attempts : int
        Number of attempts stored so far.
    ran : Ran
    cancel_asked : bool
        Whether the caller requested a cancellation.
    failed_on : tuple of str
        Workers on which an attempt failed.
    preemptions : int
    checkpoint : str
        Name of the latest checkpoint, or empty.
    reason : str
        Why the job is in its phase.
    """

    phase: JobPhase = JobPhase.QUEUED
    attempt: Attempt | None = None
    attempts: int = 0
    ran: Ran = Ran.NO
    cancel_asked: bool = False
    failed_on: tuple[str, ...] = ()
    preemptions: int = 0
    checkpoint: str = ""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Job:
    """The declaration of a job and its state."""

    spec: JobSpec
    state: JobState = field(default_factory=JobState)


@dataclass(frozen=True, slots=True)
class JobBatch:
    """Jobs of one pool that were accepted together and share a record.

    Parameters
    ----------
    pool : str
    accepted_at : float
        Seconds since the Unix epoch, by the clock of the accepting entry instance.
    jobs : tuple of Job
    digest : str
        Hash of the body of a submission with an idempotency key, else empty.
    """

    pool: str
    accepted_at: float
    jobs: tuple[Job, ...]
    digest: str = ""

    def is_done(self):
        """Return whether all jobs are in a terminal phase."""
        return all(job.state.phase in TERMINAL_PHASES for job in self.jobs)
