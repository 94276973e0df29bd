"""Detects runs that have stalled or are far slower than expected.

Executors report the progress of each finite task in percent, so the total duration
of a run can be predicted long before its end.
"""

from dataclasses import dataclass

from peridotspoke.workloads.runs import RunPhase

__all__ = [
    "SlowRunRules",
    "find_slow_runs",
    "measure_progress",
    "predict_remaining",
]

FULL_PERCENT = 100
MS_PER_SECOND = 1000
PATIENCE_FACTOR = 2  # multiplies a task's limits for each run that was stopped as slow


@dataclass(frozen=True, slots=True)
class SlowRunRules:
    """When the first run of a task counts as stalled or slow.

    Parameters
    ----------
    stall_timeout : float
        Time without progress after which a run is stalled, and minimum time before a
        run can be judged slow, seconds.
    slow_factor : float
        Multiple of its expected duration above which a run is slow.
    restart_gain : float
        Multiple of the expected duration of a new run that the remaining time of a
        slow run, less `stall_timeout`, must exceed for a restart to pay off.
    """

    stall_timeout: float = 0.6
    slow_factor: float = 2.5
    restart_gain: float = 1.3


def predict_remaining(run, expected, now):
    """Return the predicted time until a run finishes, seconds.

    Parameters
    ----------
    run : Run
    expected : float
        Expected duration of the whole task, seconds. It is used until the run has
        reported progress.
    now : float
        Monotonic time, seconds.
    """
    if run.started_at is None:
        return expected
    elapsed = now - run.started_at
    observed = run.reported_at - run.started_at
    if run.percent <= run.first_percent or observed <= 0:
        return max(0.0, expected - elapsed)
    speed = (run.percent - run.first_percent) / observed  # percent per second
    return max(0.0, (FULL_PERCENT - run.percent) / speed - (now - run.reported_at))


def find_slow_runs(ledger, state, now, rules=SlowRunRules()):
    """Yield the finite runs of an executor that should be restarted elsewhere.

    A task that was slow on several executors may itself take long. So the limits of a
    task double with each run of it that was stopped as stalled or slow.

    Parameters
    ----------
    ledger : PoolLedger
    state : ExecutorState
    now : float
        Monotonic time, seconds.
    rules : SlowRunRules, optional
    """
    for run in list(state.runs.values()):
        if run.phase is not RunPhase.RUNNING or run.step.lasting or run.step.gang:
            continue
        if run.share < FULL_PERCENT or run.percent >= FULL_PERCENT:
            continue
        patience = PATIENCE_FACTOR ** ledger.slow_stops.get(run.key, 0)
        if run.stalled_time > patience * rules.stall_timeout:
            yield run
        elif _is_slow(ledger, run, now, rules, patience):
            yield run


def _is_slow(ledger, run, now, rules, patience):
    if run.started_at is None or run.reported_at - run.started_at < rules.stall_timeout:
        return False
    job = run.progress.job
    expected = ledger.durations.predict(job.queue, run.step.estimate)
    remaining = predict_remaining(run, expected, now)
    total = now - run.started_at + remaining
    usual = max(expected, _predict_siblings(ledger, run, now))
    if total < patience * rules.slow_factor * usual:
        return False
    return remaining > rules.restart_gain * expected + rules.stall_timeout


def _predict_siblings(ledger, run, now):
    """Return the longest predicted duration of the step's tasks on other executors.

    It is in seconds, and 0 if none of them has reported progress.
    """
    longest = 0.0
    progress, key = run.progress, run.key
    for task in progress.occurrences[key.occurrence][key.step]:
        other = ledger.find_run(task)
        if other is None or other.executor_id == run.executor_id:
            continue
        if other.started_at is not None and other.percent > other.first_percent:
            remaining = predict_remaining(other, 0.0, now)
            longest = max(longest, now - other.started_at + remaining)
    return longest


def measure_progress(run, reported, clock):
    """Record for how long a run has made no progress, on the executor's clock.

    An executor may hold its answer back for long after a report was requested, so that
    only its own clock tells how far apart two reports were made.

    Parameters
    ----------
    run : Run
    reported : ReportedRun
        The run as the report lists it.
    clock : int
        The executor's clock at the report, milliseconds.
    """
    has_progress = (
        reported.percent != run.percent or reported.checkpoint != run.task.checkpoint
    )
    if has_progress or run.progress_clock is None or clock < run.progress_clock:
        run.progress_clock = clock
    run.stalled_time = (clock - run.progress_clock) / MS_PER_SECOND
