"""The state machine of a job.

Each event is applied in a compare-and-swap of the record of the job's batch. Of two
conflicting events, such as a cancellation and a start, exactly one takes effect.
"""

from dataclasses import dataclass, replace

from peridotspoke.jobs.messages import TERMINAL_PHASES, Attempt, Job, JobPhase, Ran

__all__ = [
    "CancelAsked",
    "JobEvent",
    "JobFailed",
    "JobFinished",
    "JobNeverStarted",
    "JobRunning",
    "JobSetAside",
    "JobStarting",
    "JobStopped",
    "MAX_ATTEMPTS",
    "WorkerLost",
    "apply_event",
]

MAX_ATTEMPTS = 12  # without preempted ones
MAX_FAILURES = 6  # number of different workers on which a job failed


@dataclass(frozen=True, slots=True)
class JobEvent:
    """Base class of all events."""


@dataclass(frozen=True, slots=True)
class JobStarting(JobEvent):
    """A worker was selected for the next attempt.

    The worker is called only after this event has been stored.
    """

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class JobRunning(JobEvent):
    """The worker reported that the attempt is running."""

    number: int


@dataclass(frozen=True, slots=True)
class JobFinished(JobEvent):
    """The worker reported that the attempt succeeded."""

    number: int


@dataclass(frozen=True, slots=True)
class JobFailed(JobEvent):
    """The worker reported that the attempt ran and failed."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class JobNeverStarted(JobEvent):
    """The attempt provably never ran and never will.

    `failed` says whether this counts as a failure on the worker.
    """

    number: int
    reason: str
    failed: bool = False


@dataclass(frozen=True, slots=True)
class JobStopped(JobEvent):
    """The worker stopped the attempt before its end.

    Parameters
    ----------
    number : int
        Number of the attempt.
    reason : str
    checkpoint : str
        Name of the checkpoint, or empty without one.
    preempted : bool
        Whether the attempt was stopped to free resources for other jobs.
    """

    number: int
    reason: str
    checkpoint: str = ""
    preempted: bool = True


@dataclass(frozen=True, slots=True)
class WorkerLost(JobEvent):
    """The worker was lost; whether the attempt ran, and how far, is unknown."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class CancelAsked(JobEvent):
    """The caller requested the cancellation of the job."""


@dataclass(frozen=True, slots=True)
class JobSetAside(JobEvent):
    """The job was judged unable to run and is not tried again."""

    reason: str


def apply_event(job, event):
    """Return the job after `event`.

    Parameters
    ----------
    job : Job
    event : JobEvent

    Returns
    -------
    Job
        `job` itself if the event is stale, a duplicate, or in conflict with an
        earlier event.

    Notes
    -----
    An event about an attempt is ignored unless that attempt is the current one.
    A job that is not idempotent returns from ``starting`` or ``running`` to
    ``queued`` only with proof that the attempt never ran, or with a checkpoint from
    which it can resume.
    """
    state = _TRANSITIONS[type(event)](job, event)
    return job if state is job.state else Job(job.spec, state)


def _apply_starting(job, event):
    state = job.state
    if state.phase is not JobPhase.QUEUED:
        return state
    if event.attempt.number != state.attempts + 1:
        return state
    return replace(
        state,
        phase=JobPhase.STARTING,
        attempt=event.attempt,
        attempts=event.attempt.number,
        reason="",
    )


def _is_current(state, number):
    return (
        state.phase in (JobPhase.STARTING, JobPhase.RUNNING)
        and state.attempt.number == number
    )


def _apply_running(job, event):
    state = job.state
    if not _is_current(state, event.number) or state.phase is JobPhase.RUNNING:
        return state
    return replace(state, phase=JobPhase.RUNNING, ran=Ran.YES)


def _apply_finished(job, event):
    state = job.state
    if not _is_current(state, event.number):
        return state
    reason = "finished before it could be stopped" if state.cancel_asked else ""
    return replace(state, phase=JobPhase.FINISHED, ran=Ran.YES, reason=reason)


def _apply_failed(job, event):
    state = job.state
    if not _is_current(state, event.number):
        return state
    failed_on = _add_failed_worker(state)
    state = replace(state, ran=Ran.YES, failed_on=failed_on, reason=event.reason)
    if not job.spec.idempotent or len(failed_on) >= MAX_FAILURES:
        return replace(state, phase=JobPhase.FAILED)
    return _requeue(state, event.reason)


def _apply_never_started(job, event):
    state = job.state
    if not _is_current(state, event.number) or state.phase is JobPhase.RUNNING:
        return state
    if event.failed:
        state = replace(state, failed_on=_add_failed_worker(state))
    return _requeue(state, event.reason)


def _apply_stopped(job, event):
    state = job.state
    if not _is_current(state, event.number):
        return state
    state = replace(state, ran=Ran.YES)
    if job.spec.idempotent or event.checkpoint or state.cancel_asked:
        stopped = replace(
            state,
            checkpoint=event.checkpoint or state.checkpoint,
            preemptions=state.preemptions + event.preempted,
        )
        return _requeue(stopped, event.reason)
    reason = f"stopped in the middle and not idempotent: {event.reason}"
    return replace(state, phase=JobPhase.UNKNOWN, reason=reason)


def _apply_worker_lost(job, event):
    state = job.state
    if not _is_current(state, event.number):
        return state
    if state.ran is Ran.NO:
        state = replace(state, ran=Ran.POSSIBLY)
    if job.spec.idempotent and not state.cancel_asked:
        return _requeue(state, event.reason)
    return replace(state, phase=JobPhase.UNKNOWN, reason=event.reason)


def _requeue(state, reason):
    """Return `state` as queued again, or in a terminal phase.

    The job is cancelled if this was requested, and fails after `MAX_ATTEMPTS`
    attempts; preemptions don't count.
    """
    if state.cancel_asked:
        return replace(state, phase=JobPhase.CANCELLED, reason=reason)
    if state.attempts >= MAX_ATTEMPTS + state.preemptions:
        reason = f"no attempt succeeded in {state.attempts}, the last: {reason}"
        return replace(state, phase=JobPhase.FAILED, reason=reason)
    return replace(state, phase=JobPhase.QUEUED, attempt=None, reason=reason)


def _apply_cancellation(job, event):
    state = job.state
    if state.phase in TERMINAL_PHASES or state.cancel_asked:
        return state
    if state.phase is JobPhase.QUEUED:
        return replace(state, phase=JobPhase.CANCELLED, reason="cancelled while queued")
    return replace(state, cancel_asked=True)


def _apply_set_aside(job, event):
    state = job.state
    if state.phase is not JobPhase.QUEUED:
        return state
    return replace(state, phase=JobPhase.SET_ASIDE, reason=event.reason)


def _add_failed_worker(state):
    worker = state.attempt.worker
    return (*(name for name in state.failed_on if name != worker), worker)


_TRANSITIONS = {
    JobStarting: _apply_starting,
    JobRunning: _apply_running,
    JobFinished: _apply_finished,
    JobFailed: _apply_failed,
    JobNeverStarted: _apply_never_started,
    JobStopped: _apply_stopped,
    WorkerLost: _apply_worker_lost,
    CancelAsked: _apply_cancellation,
    JobSetAside: _apply_set_aside,
}
