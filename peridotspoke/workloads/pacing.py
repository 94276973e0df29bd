"""Paces tasks that fill, so that tasks that serve keep their target.

It answers disturbance that differs by image and changes within seconds: the share of
what fills on an executor halves while the worst tail nears its target, and rises
slowly while it stays well below.
"""

from dataclasses import dataclass

from peridotspoke.workloads.runs import RunPhase

__all__ = ["PacingRules", "plan_paces"]

FULL = 100  # percent
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class PacingRules:
    """When shares change.

    Parameters
    ----------
    high, low : float
        Shares of the target above which the pace falls, below which it rises.
    interval : float
        Seconds between two changes of one task.
    rise : int
        Percent by which a share rises.
    least : int
        Percent below which a share becomes 0.
    """

    high: float = 0.8
    low: float = 0.6
    interval: float = 0.9
    rise: int = 10
    least: int = 10


def plan_paces(ledger, now, rules=PacingRules()):
    """Yield pairs of a run and its new share in percent.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic seconds.
    rules : PacingRules, optional
    """
    for state in ledger.executors.values():
        runs = [run for run in state.runs.values() if run.phase is RunPhase.RUNNING]
        fillers = [run for run in runs if run.step.fills]
        if not fillers:
            continue
        pressure = _find_pressure(runs)
        for run in fillers:
            share = _choose_share(run, pressure, rules)
            if share != run.share and now - run.paced_at >= rules.interval:
                yield run, share


def _find_pressure(runs):
    """Return the worst tail as a share of its target; 0 where nothing serves."""
    return max(
        (
            run.load / (run.step.target * MILLISECONDS)
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
        return halved if halved >= rules.least else 0
    if pressure < rules.low:
        return min(FULL, run.share + rules.rise)
    return run.share
