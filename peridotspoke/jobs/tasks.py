"""Attempts as tasks on workers: identifiers, and events derived from reports."""

from peridotspoke.jobs.lifecycle import (
    JobFailed,
    JobFinished,
    JobNeverStarted,
    JobStopped,
    WorkerLost,
)
from peridotspoke.jobs.messages import JobPhase
from peridotspoke.jobs.records import parse_job_id
from peridotspoke.store.workers import TaskOutcome

__all__ = ["interpret_absence", "interpret_end", "make_task_id", "parse_task_id"]


def make_task_id(job_id, number):
    """Return the task identifier of an attempt, which a worker runs at most once.

    Examples
    --------
    >>> make_task_id("4f1c.2", 3)
    '4f1c.2/3'
    """
    return f"{job_id}/{number}"


def parse_task_id(task):
    """Return the `JobId` and the attempt number in a task identifier.

    Raises
    ------
    RequestError
        If `task` does not contain the identifier of a job.

    Examples
    --------
    >>> parse_task_id("4f1c.2/3")
    (JobId(batch='4f1c', index=2), 3)
    """
    job, _, number = task.rpartition("/")
    return parse_job_id(job), int(number) if number.isdecimal() else 0


def interpret_end(number, end):
    """Return the `JobEvent` that a `TaskEnd` of attempt `number` stands for.

    Raises
    ------
    ValueError
        If the outcome is not a `TaskOutcome`.
    """
    reason = end.reason
    match end.outcome:
        case TaskOutcome.FINISHED:
            return JobFinished(number)
        case TaskOutcome.FAILED:
            return JobFailed(number, reason or "the command failed")
        case TaskOutcome.REFUSED:
            return JobNeverStarted(number, reason)
        case TaskOutcome.CHECKPOINTED:
            return JobStopped(number, "stopped with a checkpoint", end.checkpoint)
        case TaskOutcome.STOPPED:
            return JobStopped(number, reason or "stopped")
        case TaskOutcome.LAPSED:
            reason = "its lease lapsed on the worker"
            return JobStopped(number, reason, preempted=False)
        case TaskOutcome.LOST:
            return WorkerLost(number, reason or "the worker has restarted")
    raise ValueError(f"found {end.outcome!r}, expected a TaskOutcome")


def interpret_absence(state, report, seen_running):
    """Return the `JobEvent` for an attempt that is absent from a report.

    Parameters
    ----------
    state : JobState
        State of a job whose current attempt is on the report's worker.
    report : WorkerReport
    seen_running : bool
        Whether the worker reported the attempt as running before.

    Returns
    -------
    JobEvent or None
        None if the attempt may still start.

    Notes
    -----
    A worker reports each task until its end is confirmed, and starts none after
    `start_by` on its own clock. If a report of the same incarnation after that time
    does not contain the task, the task never ran and never will.
    """
    attempt = state.attempt
    if report.incarnation != attempt.incarnation:
        return WorkerLost(attempt.number, "the worker has restarted")
    if seen_running or state.phase is JobPhase.RUNNING:
        return WorkerLost(attempt.number, "the worker no longer knows the task")
    if report.clock > attempt.start_by:
        return JobNeverStarted(attempt.number, "the worker did not start it in time")
    return None
