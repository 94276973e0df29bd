"""The state machine of a job.

Each event is applied inside a swap of the job's batch, so that of two events that
exclude each other, such as a cancellation and a start, exactly one takes effect.
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

MAX_ATTEMPTS = 12
MAX_FAILURES = 6


@dataclass(frozen=True, slots=True)
class JobEvent:
    """Base of all events."""


@dataclass(frozen=True, slots=True)
class JobStarting(JobEvent):
    """A worker was chosen; it is called only after this has been written."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class JobRunning(JobEvent):
    """The worker says that the attempt runs."""

    number: int


@dataclass(frozen=True, slots=True)
class JobFinished(JobEvent):
    """The worker says that the attempt ran to its end."""

    number: int


@dataclass(frozen=True, slots=True)
class JobFailed(JobEvent):
    """The worker says that the attempt ran and failed."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class JobNeverStarted(JobEvent):
    """It is proved that the attempt never ran and never will."""

    number: int
    reason: str
    failed: bool = False


@dataclass(frozen=True, slots=True)
class JobStopped(JobEvent):
    """The worker stopped the attempt; `checkpoint` names saved progress.

    `preempted` says that it was stopped to make room for others.
    """

    number: int
    reason: str
    checkpoint: str = ""
    preempted: bool = True


@dataclass(frozen=True, slots=True)
class WorkerLost(JobEvent):
    """The attempt's worker has vanished; whether the attempt ran is not known."""

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class CancelAsked(JobEvent):
    """The caller wants the job not to run, or to be stopped."""


@dataclass(frozen=True, slots=True)
class JobSetAside(JobEvent):
    """The job can't run."""

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
        `job` itself where the event is stale, doubled, or loses against what
        happened before.

    Notes
    -----
    An event about an attempt counts only while that attempt is the current one.
    A job that is not idempotent leaves ``starting`` or ``running`` for ``queued``
    only by proof that the attempt never ran, or by a checkpoint from which it goes
    on.
    """
    state = _APPLY[type(event)](job, event)
    return job if state is job.state else Job(job.spec, state)


def _start(job, event):
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


def _note_running(job, event):
    state = job.state
    if not _is_current(state, event.number) or state.phase is JobPhase.RUNNING:
        return state
    return replace(state, phase=JobPhase.RUNNING, ran=Ran.YES)


def _finish(job, event):
    state = job.state
    if not _is_current(state, event.number):
        return state
    reason = "finished before it could be stopped" if state.cancel_asked else ""
    return replace(state, phase=JobPhase.FINISHED, ran=Ran.YES, reason=reason)


def _fail(job, event):
    state = job.state
    if not _is_current(state, event.number):
        return state
    failed_on = _add_worker(state)
    state = replace(state, ran=Ran.YES, failed_on=failed_on, reason=event.reason)
    if not job.spec.idempotent or len(failed_on) >= MAX_FAILURES:
        return replace(state, phase=JobPhase.FAILED)
    return _queue_again(state, event.reason)


def _never_started(job, event):
    state = job.state
    if not _is_current(state, event.number) or state.phase is JobPhase.RUNNING:
        return state
    if event.failed:
        state = replace(state, failed_on=_add_worker(state))
    return _queue_again(state, event.reason)


def _stop(job, event):
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
        return _queue_again(stopped, event.reason)
    reason = f"stopped in the middle and not idempotent: {event.reason}"
    return replace(state, phase=JobPhase.UNKNOWN, reason=reason)


def _lose_worker(job, event):
    state = job.state
    if not _is_current(state, event.number):
        return state
    if state.ran is Ran.NO:
        state = replace(state, ran=Ran.POSSIBLY)
    if job.spec.idempotent and not state.cancel_asked:
        return _queue_again(state, event.reason)
    return replace(state, phase=JobPhase.UNKNOWN, reason=event.reason)


def _queue_again(state, reason):
    """Return `state` queued again, or ended where it is cancelled or tried out."""
    if state.cancel_asked:
        return replace(state, phase=JobPhase.CANCELLED, reason=reason)
    if state.attempts >= MAX_ATTEMPTS + state.preemptions:
        reason = f"no attempt succeeded in {state.attempts}, the last: {reason}"
        return replace(state, phase=JobPhase.FAILED, reason=reason)
    return replace(state, phase=JobPhase.QUEUED, attempt=None, reason=reason)


def _cancel(job, event):
    state = job.state
    if state.phase in TERMINAL_PHASES or state.cancel_asked:
        return state
    if state.phase is JobPhase.QUEUED:
        return replace(state, phase=JobPhase.CANCELLED, reason="cancelled while queued")
    return replace(state, cancel_asked=True)


def _set_aside(job, event):
    state = job.state
    if state.phase is not JobPhase.QUEUED:
        return state
    return replace(state, phase=JobPhase.SET_ASIDE, reason=event.reason)


def _add_worker(state):
    worker = state.attempt.worker
    return (*(name for name in state.failed_on if name != worker), worker)


_APPLY = {
    JobStarting: _start,
    JobRunning: _note_running,
    JobFinished: _finish,
    JobFailed: _fail,
    JobNeverStarted: _never_started,
    JobStopped: _stop,
    WorkerLost: _lose_worker,
    CancelAsked: _cancel,
    JobSetAside: _set_aside,
}
