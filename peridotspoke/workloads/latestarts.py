"""Where a task may run while a start of an earlier run may still be carried out.

It answers calls that get no answer and are carried out seconds later, by whichever life
of their executor is up then. The next run goes to the same executor: the life that runs
it refuses the earlier start, and if that life ends, the run has ended with it, so that
a start that the next life carries out meets no other run. Only while the executor can't
take the run does the task wait, until the start can't be carried out any more.
"""

from dataclasses import dataclass

from peridotspoke.workloads.places import hold_place
from peridotspoke.workloads.progress import TaskStatus

__all__ = [
    "LateStart",
    "drop_past_starts",
    "find_bound_executor",
    "inherit_late_start",
    "may_start_bound",
    "note_foreign_run",
    "record_late_start",
]

LATE_START_S = 12.5  # since the call was given up: calls are at most 12 s late
LASTING_LATE_START_S = 6.0  # the same for a task that must not stand for longer


@dataclass(frozen=True, slots=True)
class LateStart:
    """A start of a task that may still be carried out. Times are monotonic seconds.

    Parameters
    ----------
    executor_id : str
        The executor that it was sent to; the task runs nowhere else meanwhile.
    until : float
        When it can't be carried out any more.
    proved_from : float
        A report that was requested from then on shows whether the executor runs it.
    """

    executor_id: str
    until: float
    proved_from: float


def record_late_start(ledger, run, now, proved_from):
    """Record that the start of a run that is given up may still be carried out.

    Where no report proves that the run isn't there, the executor's next call gets a
    higher fencing token, as it need not refuse the start for a later run that goes on.

    Parameters
    ----------
    ledger : PoolLedger
    run : Run
    now : float
        Monotonic seconds.
    proved_from : float or None
        When the run was proved not to be there, monotonic seconds; None if it was not.
    """
    if run.step.speculative:
        return
    given_up_at = now if run.start_lost_at is None else run.start_lost_at
    until = given_up_at + _get_limit(run.step)
    if until <= now:
        return
    run.task.late_start = True
    state = ledger.executors.get(run.executor_id)
    if proved_from is None and state is not None:
        state.renew_fence()
    ledger.late_starts[run.key] = LateStart(
        run.executor_id, until, now if proved_from is None else proved_from
    )
    if state is not None and not run.step.gang:
        hold_place(ledger, run, run.executor_id, now)
    ledger.note(
        "start-pending",
        task=run.key,
        run=run.number,
        executor=run.executor_id,
        wait=until - now,
        proved=proved_from is not None,
    )


def inherit_late_start(ledger, progress, task):
    """Record what an earlier owner stored of a start that may still be carried out.

    The call was sent before this owner took the pool over.

    Parameters
    ----------
    ledger : PoolLedger
    progress : JobProgress
    task : TaskProgress
    """
    step = progress.job.steps[task.key.step]
    until = ledger.taken_over_at + _get_limit(step)
    ledger.late_starts[task.key] = LateStart(task.executor, until, ledger.taken_over_at)


def note_foreign_run(ledger, state, reported, now):
    """Bind a waiting task to an executor that lists an earlier run of it.

    The run is being stopped. A report may list it neither as running nor as ended
    meanwhile.

    Parameters
    ----------
    ledger : PoolLedger
    state : ExecutorState
    reported : ReportedRun
    now : float
        Monotonic seconds.
    """
    progress = ledger.jobs.get(reported.key.job_id)
    task = None if progress is None else progress.find_task(reported.key)
    if task is None or task.status is not TaskStatus.WAITING:
        return
    step = progress.job.steps[task.key.step]
    if step.speculative:
        return
    is_bound = find_bound_executor(ledger, task.key) == state.executor_id
    proved_from = now + ledger.rules.stop_limit
    ledger.late_starts[task.key] = LateStart(
        state.executor_id, now + _get_limit(step), proved_from
    )
    if not is_bound:
        task.executor, task.late_start = state.executor_id, True
        ledger.mark_changed(task.key.job_id)


def drop_past_starts(ledger, now):
    """Forget the starts that can't be carried out any more.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic seconds.
    """
    for key, late in list(ledger.late_starts.items()):
        progress = ledger.jobs.get(key.job_id)
        task = None if progress is None else progress.find_task(key)
        if task is not None and now < late.until:
            continue
        del ledger.late_starts[key]
        if task is not None:
            task.late_start = False


def find_bound_executor(ledger, key):
    """Return the executor that a task is bound to, or None if it may run on any."""
    late = ledger.late_starts.get(key)
    return None if late is None else late.executor_id


def may_start_bound(ledger, task, max_attempts):
    """Return whether a bound task may start on its executor now.

    The executor must have reported, under the fence that is due, that no run of the
    task is there. A task that has failed there starts there again only while that
    leaves it another attempt.

    Parameters
    ----------
    ledger : PoolLedger
    task : TaskProgress
    max_attempts : int
        Number of failed runs after which the job fails.

    Returns
    -------
    bool
    """
    late = ledger.late_starts[task.key]
    state = ledger.executors.get(late.executor_id)
    if state is None or state.reported_at is None:
        return False
    if state.reported_at < late.proved_from:
        return False
    if any(key == task.key for key, _ in state.foreign):
        return False
    has_failed_there = late.executor_id in ledger.failed_on.get(task.key, ())
    return not has_failed_there or task.failures + 1 < max_attempts


def _get_limit(step):
    return LASTING_LATE_START_S if step.lasting else LATE_START_S
