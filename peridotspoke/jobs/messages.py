"""Jobs as callers describe them and as the platform's service keeps them."""

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
    """Which jobs start first; only those that may wait give way to others."""

    URGENT = "urgent"
    NORMAL = "normal"
    MAY_WAIT = "may-wait"


class JobPhase(enum.StrEnum):
    """Where a job stands.

    A job in ``starting`` may already run: the phase is written before its worker is
    called.
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
    """Whether any attempt of a job has run, as far as is proved."""

    NO = "no"
    POSSIBLY = "possibly"
    YES = "yes"


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its caller declared it.

    Parameters
    ----------
    name : str
        Names the kind of work; measured usage is kept by it.
    team : str
        The team whose quota the job counts against.
    command : tuple of str
    cores : float
    memory : int
        Bytes.
    accelerators : int
    run_time : float
        Declared run time, seconds.
    urgency : Urgency
    idempotent : bool
        Whether the job may run more than once.
    checkpointable : bool
        Whether a worker can save the job's progress and go on from it later.
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
    """One try at running a job on one incarnation of a worker.

    `start_by` is on the worker's own clock, in seconds; the worker refuses to begin
    the attempt later.
    """

    number: int
    worker: str
    incarnation: int
    start_by: float


@dataclass(frozen=True, slots=True)
class JobState:
    """What is known of a job.

    `attempts` counts the attempts written so far, `failed_on` names the workers on
    which one failed, `checkpoint` names saved progress, and `reason` says why the
    job is in its phase.
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
    """A job's declaration with its state."""

    spec: JobSpec
    state: JobState = field(default_factory=JobState)


@dataclass(frozen=True, slots=True)
class JobBatch:
    """The jobs of one pool that were accepted by one swap.

    `accepted_at` is in seconds since the Unix epoch by the accepting entry's clock.
    `digest` identifies the body of a submission that has an idempotency key.
    """

    pool: str
    accepted_at: float
    jobs: tuple[Job, ...]
    digest: str = ""

    def is_done(self):
        """Return whether every job is in a phase that it never leaves."""
        return all(job.state.phase in TERMINAL_PHASES for job in self.jobs)
