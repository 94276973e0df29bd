"""Finds executors that stand still, are slow or fail what they start.

Executors report how far each finite task has come, in percent, so that a task's
whole duration can be told long before its end.
"""

from dataclasses import dataclass

from peridotspoke.workloads.runs import RunPhase

__all__ = ["SuspicionRules", "find_stalled", "predict_rest"]

DONE_PERCENT = 100


@dataclass(frozen=True, slots=True)
class SuspicionRules:
    """When a run counts as stalled.

    Parameters
    ----------
    still : float
        Seconds between two reports of the same percent.
    slow_factor : float
        How many times its expected duration a run may take.
    restart_gain : float
        How many times a new run's duration the rest of a slow run must be.
    """

    still: float = 0.6
    slow_factor: float = 2.5
    restart_gain: float = 1.3


def predict_rest(run, expected, now):
    """Return the seconds that a run still needs.

    Parameters
    ----------
    run : Run
    expected : float
        Seconds that the whole task is expected to take.
    now : float
        Monotonic seconds.
    """
    if run.started_at is None:
        return expected
    spent = now - run.started_at
    seen = run.seen_at - run.started_at
    if run.percent <= run.first_percent or seen <= 0:
        return max(0.0, expected - spent)
    speed = (run.percent - run.first_percent) / seen
    return max(0.0, (DONE_PERCENT - run.percent) / speed - (now - run.seen_at))


def find_stalled(ledger, state, now, rules=SuspicionRules()):
    """Yield the finite runs of an executor that should be run elsewhere.

    Parameters
    ----------
    ledger : PoolLedger
    state : ExecutorState
    now : float
        Monotonic seconds.
    rules : SuspicionRules, optional
    """
    for run in list(state.runs.values()):
        if run.phase is not RunPhase.RUNNING or run.step.lasting or run.step.gang:
            continue
        if run.share < DONE_PERCENT or run.percent >= DONE_PERCENT:
            continue
        if run.seen_at - run.moved_at > rules.still:
            yield run
        elif _is_slow(ledger, run, now, rules):
            yield run


def _is_slow(ledger, run, now, rules):
    if run.started_at is None or run.seen_at - run.started_at < rules.still:
        return False
    job = run.progress.job
    expected = ledger.durations.predict(job.queue, run.step.estimate)
    rest = predict_rest(run, expected, now)
    whole = now - run.started_at + rest
    if whole < rules.slow_factor * max(expected, _find_sibling(ledger, run, now)):
        return False
    return rest > rules.restart_gain * expected + rules.still


def _find_sibling(ledger, run, now):
    """Return the longest predicted duration of the step's tasks elsewhere."""
    longest = 0.0
    progress, key = run.progress, run.key
    for task in progress.occurrences[key.occurrence][key.step]:
        other = ledger.find_run(task)
        if other is None or other.executor_id == run.executor_id:
            continue
        if other.started_at is not None and other.percent > other.first_percent:
            rest = predict_rest(other, 0.0, now)
            longest = max(longest, now - other.started_at + rest)
    return longest
