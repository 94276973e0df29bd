"""Describes what a pool needs in the near future, from its jobs and arrivals.

It answers demand that rises within a second to several times a pool's room, stays for
some seconds and falls to nearly nothing.
"""

import math
from collections import deque
from dataclasses import dataclass

from peridotspoke.workloads.executors import Condition
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runs import RunPhase, compute_need
from peridotspoke.workloads.sizing import SizingRules

__all__ = ["ArrivalRate", "DemandHistory", "PoolDemand", "describe_demand"]

LEAST_ROOM = 1.0  # processors
SHORTEST_SPAN = 0.2  # seconds


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """What a pool needs, as its owner describes it.

    Parameters
    ----------
    cores : float
        Processors that its work needs in the near future, but for what is late.
    late_cores : float
        Processors that the work of late jobs needs on top.
    spread : int
        Executors that its lasting tasks need for their limits on one executor.
    removable : tuple of str
        Executors that could be emptied, the one with the least work first.
    unusable : tuple of str
        Executors that are listed but take no work.
    wait : float
        Seconds in which the accepted work would be done by what takes work now, or
        by what the pool could get.
    """

    cores: float = 0.0
    late_cores: float = 0.0
    spread: int = 0
    removable: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()
    wait: float = 0.0


class ArrivalRate:
    """Measures the rate of arriving work in processor-seconds a second.

    Parameters
    ----------
    window : float
        Seconds over which a mean is taken.
    lead : float, optional
        Seconds from a demand to the first work of the machines that it brings.

    Notes
    -----
    Machines that are asked for now meet the work that may not wait for them any
    longer: what arrives until `lead`, less the time that it may wait, from now. So
    the mean is extrapolated to then from the middle of its window, by as much as its
    rise over the window before is above its standard error. A few large jobs are no
    rise.

    Examples
    --------
    >>> arrivals = ArrivalRate(window=2.0)
    >>> arrivals.note(10.0, now=0.0)
    >>> arrivals.note(30.0, now=1.0)
    >>> arrivals.read(now=1.5), arrivals.read(now=2.5)
    (20.0, 15.0)
    >>> arrivals = ArrivalRate(window=1.0, lead=1.0)
    >>> for number in range(100):
    ...     arrivals.note(1.0, now=number / 100, wait=0.5)
    >>> arrivals.read(now=0.995), arrivals.forecast(now=0.995)
    (100.0, 190.0)
    """

    def __init__(self, window, lead=0.0):
        self._window = window
        self._lead = lead
        self._arrivals = deque()

    def note(self, work, now, wait=math.inf):
        """Note `work` processor-seconds, accepted, that may wait `wait` seconds."""
        self._arrivals.append((now, work, wait))

    def read(self, now):
        """Return the mean rate over the window that ends now."""
        recent, _ = self._split(now)
        return sum(work for work, _ in recent) / self._window

    def forecast(self, now):
        """Return the rate that machines which are asked for now will meet."""
        recent, before = self._split(now)
        arrived = sum(work for work, _ in recent)
        error = math.sqrt(sum(work**2 for work, _ in [*recent, *before]))
        rise = max(0.0, arrived - sum(work for work, _ in before) - error)
        ahead = 0.0
        if rise:
            wait = sum(work * wait for work, wait in recent) / arrived
            ahead = max(0.0, self._lead + self._window / 2 - wait)
        return (arrived + rise * ahead / self._window) / self._window

    def _split(self, now):
        """Return work and wait of what came in the window, and in the one before."""
        begin = now - self._window
        while self._arrivals and self._arrivals[0][0] < begin - self._window:
            self._arrivals.popleft()
        recent = [row[1:] for row in self._arrivals if row[0] >= begin]
        before = [row[1:] for row in self._arrivals if row[0] < begin]
        return recent, before


class DemandHistory:
    """Keeps the highest need of the last seconds.

    Examples
    --------
    >>> history = DemandHistory(hold=2.0)
    >>> [history.note(need, now) for need, now in ((5, 0), (9, 1), (2, 2), (2, 4))]
    [5, 9, 9, 2]
    """

    def __init__(self, hold):
        self._hold = hold
        self._needs = deque()

    def note(self, need, now):
        """Take in the present need and return the highest that is kept."""
        self._needs.append((now, need))
        while self._needs[0][0] <= now - self._hold:
            self._needs.popleft()
        return max(kept for _, kept in self._needs)


def describe_demand(ledger, timings, ready, rate, attainable=0.0, rules=SizingRules()):
    """Return the `PoolDemand` of a pool.

    A job needs its work done over the chain that is left and a share of its slack.
    All jobs together need at most what could run at once, and at least what runs.

    Parameters
    ----------
    ledger : PoolLedger
    timings : iterable of JobTiming
        Of each open finite job.
    ready : float
        Processors that would be used if all that may start ran.
    rate : float
        Work that will arrive, processor-seconds a second.
    attainable : float, optional
        Processors that the pool could get from others.
    rules : SizingRules, optional
    """
    timely = late = left = 0.0
    for timing in timings:
        left += timing.work
        if timing.slack >= 0:
            span = timing.remaining + rules.slack_share * timing.slack
            timely += timing.work / max(span, SHORTEST_SPAN)
        else:
            late += timing.work / rules.late_horizon
    finite = max(_sum_running(ledger), min(ready, timely), rate)
    return PoolDemand(
        cores=_sum_lasting(ledger) + finite,
        late_cores=max(0.0, min(ready, timely + late) - finite),
        spread=_compute_spread(ledger),
        removable=_rank_removable(ledger),
        unusable=tuple(
            sorted(
                state.executor_id
                for state in ledger.executors.values()
                if state.entry is not None and not state.reachable
            )
        ),
        wait=left / max(_sum_room(ledger), attainable, LEAST_ROOM),
    )


def _sum_room(ledger):
    return sum(
        state.entry.capacity.cpu / 1000
        for state in ledger.executors.values()
        if state.entry is not None and state.reachable and not state.drains
    )


def _sum_running(ledger):
    return sum(
        compute_need(run.step).cpu / 1000
        for run in ledger.list_runs()
        if not run.step.lasting
    )


def _sum_lasting(ledger):
    cores = 0.0
    for progress in ledger.jobs.values():
        if progress.outcome is JobOutcome.OPEN and progress.job.lasts:
            for task in progress.list_tasks():
                step = progress.job.steps[task.key.step]
                if step.lasting and task.status is not TaskStatus.DONE:
                    cores += compute_need(step).cpu / 1000
    return cores


def _compute_spread(ledger):
    spread = 0
    for progress in ledger.jobs.values():
        if progress.outcome is not JobOutcome.OPEN:
            continue
        for step in progress.job.steps:
            if step.lasting and step.most_per_executor:
                spread = max(spread, math.ceil(step.count / step.most_per_executor))
    return spread


def _rank_removable(ledger):
    ranked = []
    for state in ledger.executors.values():
        if state.entry is None or state.entry.condition is Condition.DRAINING:
            continue
        runs = [
            run for run in state.runs.values() if run.phase is not RunPhase.STOPPING
        ]
        lasting = sum(run.step.lasting for run in runs)
        load = sum(compute_need(run.step).cpu for run in runs)
        ranked.append((lasting, load, state.executor_id))
    return tuple(executor_id for _, _, executor_id in sorted(ranked))
