"""Decides which runs are stopped on executors that are to be empty."""

from peridotspoke.workloads.placement import choose_executor
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runs import RunPhase, compute_need
from peridotspoke.workloads.scheduling import make_offers
from peridotspoke.workloads.suspicion import predict_rest

__all__ = ["count_away", "may_interrupt", "plan_evacuation"]

AT_WORK = 100  # percent of a lasting task that serves
FRESH = 0.3  # seconds since a report was asked for
SHORT_REST = 1.0  # seconds; what ends so soon is not stopped for a withdrawal


def count_away(ledger, run, now):
    """Return how many other tasks of a lasting run's step are not surely at work.

    A task is surely at work only as of a fresh report. Where the last one is older,
    its executor is added to the ledger's wanted looks.
    """
    progress, key = run.progress, run.key
    away = 0
    for task in progress.occurrences[key.occurrence][key.step]:
        if task is run.task:
            continue
        other = ledger.find_run(task)
        if other is None or other.phase is not RunPhase.RUNNING:
            away += 1
        elif other.percent < AT_WORK:
            away += 1
        elif now - other.seen_at > FRESH:
            ledger.wanted_looks.add(other.executor_id)
            away += 1
    return away


def may_interrupt(ledger, run, now):
    """Return whether stopping a lasting run keeps its step's availability."""
    if not run.step.lasting or not run.step.may_miss:
        return True
    if run.phase is RunPhase.PLANNED:
        return True
    return count_away(ledger, run, now) < run.step.may_miss


def plan_evacuation(ledger, now):
    """Yield the runs to stop now on executors that drain or are withdrawn.

    Runs move only where there is room for them: lasting ones within what their step
    may miss, checkpointing ones unless they end soon. Others run to their end,
    unless their executor leaves before that.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic seconds.
    """
    leaving = [state for state in ledger.executors.values() if _is_leaving(state)]
    if not leaving:
        return
    offers = list(make_offers(ledger, now).values())
    for state in leaving:
        for run in list(state.runs.values()):
            if not _should_move(ledger, state, run, now):
                continue
            if not may_interrupt(ledger, run, now) and not _will_leave(state):
                continue
            need = compute_need(run.step)
            group = run.key[:3]
            offer = choose_executor(offers, run.step, need, group)
            if offer is None:
                continue
            offer.take(need, group)
            yield run


def _is_leaving(state):
    return state.entry is not None and state.drains and bool(state.runs)


def _will_leave(state):
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
    if run.step.lasting:
        return True
    rest = _predict_rest(ledger, run, now)
    if run.step.checkpointing:
        return rest > SHORT_REST
    remaining = state.entry.remaining
    return remaining is not None and rest > remaining + SHORT_REST


def _predict_rest(ledger, run, now):
    job = run.progress.job
    expected = ledger.durations.predict(job.queue, run.step.estimate)
    return predict_rest(run, expected, now)
