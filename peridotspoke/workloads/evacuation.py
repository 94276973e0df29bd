"""Decides which runs to stop on executors that are being emptied."""

from peridotspoke.workloads.placement import choose_executor
from peridotspoke.workloads.places import drop_old_places, hold_place
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runs import RunPhase, compute_need
from peridotspoke.workloads.scheduling import make_offers
from peridotspoke.workloads.slowruns import predict_remaining

__all__ = ["count_unavailable", "may_stop", "plan_evacuation"]

READY_PERCENT = 100  # progress of a long-running task that has started up
MAX_REPORT_AGE = 0.3  # seconds since the report was requested
MIN_REMAINING = 1.0  # seconds; a run that ends sooner is not stopped


def count_unavailable(ledger, run, now):
    """Return how many other tasks of a long-running run's step may be unavailable.

    A task counts as available only if a recent report shows that it runs and has
    started up. If its last report is too old, the task counts as unavailable and its
    executor is added to `ledger.requested_reports`, which requests a new report.

    Parameters
    ----------
    ledger : PoolLedger
    run : Run
    now : float
        Monotonic time, seconds.
    """
    progress, key = run.progress, run.key
    count = 0
    for task in progress.occurrences[key.occurrence][key.step]:
        if task is run.task:
            continue
        other = ledger.find_run(task)
        if other is None or other.phase is not RunPhase.RUNNING:
            count += 1
        elif other.percent < READY_PERCENT:
            count += 1
        elif now - other.reported_at > MAX_REPORT_AGE:
            ledger.requested_reports.add(other.executor_id)
            count += 1
    return count


def may_stop(ledger, run, now):
    """Return whether a run may be stopped within its step's availability budget.

    The budget `may_miss` limits how many long-running tasks of a step may be
    unavailable at once; 0 sets no limit. A run that has not been started yet may
    always be stopped, and so may a run that is not long-running.

    Parameters
    ----------
    ledger : PoolLedger
    run : Run
    now : float
        Monotonic time, seconds.
    """
    if not run.step.lasting or not run.step.may_miss:
        return True
    if run.phase is RunPhase.PLANNED:
        return True
    return count_unavailable(ledger, run, now) < run.step.may_miss


def plan_evacuation(ledger, now):
    """Yield the runs to stop now on executors that are draining or withdrawn.

    A run is stopped only if another executor has capacity for it, which is held for a
    long-running one. Long-running runs
    are stopped within their step's availability budget, or regardless of it if their
    executor has announced that it will leave. Checkpointing runs are stopped unless
    they end soon. Other runs continue to their end unless their executor leaves
    before that.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic time, seconds.
    """
    leaving = [state for state in ledger.executors.values() if _is_leaving(state)]
    if not leaving:
        return
    drop_old_places(ledger, now)
    offers = list(make_offers(ledger, now).values())
    for state in leaving:
        for run in list(state.runs.values()):
            if not _should_move(ledger, state, run, now):
                continue
            if not may_stop(ledger, run, now) and not _has_departure_time(state):
                continue
            need = compute_need(run.step)
            group = run.key[:3]
            offer = choose_executor(offers, run.step, need, group)
            if offer is None:
                continue
            offer.reserve(need, group)
            if run.step.lasting:
                hold_place(ledger, run, offer.executor_id, now)
            yield run


def _is_leaving(state):
    return state.entry is not None and state.is_draining and bool(state.runs)


def _has_departure_time(state):
    return state.entry is not None and state.entry.remaining is not None


def _should_move(ledger, state, run, now):
    if run.phase is RunPhase.PLANNED:
        return True
    if run.phase is not RunPhase.RUNNING or run.step.gang:
        return False
    if run.progress.outcome is not JobOutcome.OPEN:
        return False
    if run.task.status is not TaskStatus.ASSIGNED:
        return False
    if run.key in ledger.late_starts:
        return False  # it could run nowhere else
    if run.step.lasting:
        return True
    remaining = _predict_remaining(ledger, run, now)
    if run.step.checkpointing:
        return remaining > MIN_REMAINING
    until_departure = state.entry.remaining
    return until_departure is not None and remaining > until_departure + MIN_REMAINING


def _predict_remaining(ledger, run, now):
    job = run.progress.job
    expected = ledger.durations.predict(job.queue, run.step.estimate)
    return predict_remaining(run, expected, now)
