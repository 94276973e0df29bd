"""Throttles filler tasks so that serving tasks meet their latency target.

Interference between tasks depends on their images and changes within seconds. The
speed of the filler tasks on an executor is therefore controlled by the tail latency
of the serving tasks there: it is halved while the worst one is close to its target,
and raised slowly while all are well below.
"""

from dataclasses import dataclass

from peridotspoke.workloads.runs import RunPhase

__all__ = ["ThrottlingRules", "plan_throttling"]

FULL_SPEED = 100  # percent
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ThrottlingRules:
    """Parameters of the throttling of filler tasks.

    Parameters
    ----------
    high : float
        Ratio of tail latency to target above which filler tasks are slowed down.
    low : float
        Ratio of tail latency to target below which filler tasks are sped up.
    interval : float
        Minimum time between two changes of one task's speed, seconds.
    rise : int
        Increase of the speed in one change, percentage points.
    min_share : int
        Speed below which a filler task is paused instead, percent.
    """

    high: float = 0.8
    low: float = 0.6
    interval: float = 0.9
    rise: int = 10
    min_share: int = 10


def plan_throttling(ledger, now, rules=ThrottlingRules()):
    """Yield the filler runs whose speed changes, each with its new speed in percent.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic time, seconds.
    rules : ThrottlingRules, optional
    """
    for state in ledger.executors.values():
        runs = [run for run in state.runs.values() if run.phase is RunPhase.RUNNING]
        fillers = [run for run in runs if run.step.fills]
        if not fillers:
            continue
        pressure = _find_pressure(runs)
        for run in fillers:
            share = _choose_share(run, pressure, rules)
            if share != run.share and now - run.throttled_at >= rules.interval:
                yield run, share


def _find_pressure(runs):
    """Return the highest ratio of tail latency to target; 0 without serving tasks."""
    return max(
        (
            run.load / (run.step.target * MS_PER_SECOND)
            for run in runs
            if run.step.target and run.step.lasting
        ),
        default=0.0,
    )


def _choose_share(run, pressure, rules):
    if pressure >= 1.0:
        return 0
    if pressure > rules.high:
        halved = run.share // 2
        return halved if halved >= rules.min_share else 0
    if pressure < rules.low:
        return min(FULL_SPEED, run.share + rules.rise)
    return run.share
