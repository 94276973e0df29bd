"""Estimates the capacity that a pool needs soon from its open jobs and arrivals.

It is designed for demand that rises within a second to several times a pool's
capacity, stays there for some seconds and then falls to almost nothing.
"""

import math
from collections import deque
from dataclasses import dataclass

import msgspec

from peridotspoke.workloads.executors import ExecutorCondition
from peridotspoke.workloads.progress import JobOutcome
from peridotspoke.workloads.room import (
    compute_binding_cores,
    count_whole_executors,
    measure_finite_mix,
    measure_shape,
    sum_lasting,
    sum_needs,
)
from peridotspoke.workloads.runs import RunPhase, compute_need
from peridotspoke.workloads.sharewaits import compute_workspace_waits
from peridotspoke.workloads.sizing import SizingRules

__all__ = [
    "ArrivalRate",
    "DemandHistory",
    "ExecutorCounts",
    "PoolDemand",
    "count_executors",
    "estimate_demand",
]

MIN_CAPACITY = 1.0  # processors
MIN_SPAN = 0.2  # seconds over which the work of a job is spread


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """A pool's demand, as published by its owner.

    Where memory or accelerators bind before processors, `cores` and `late_cores` are
    the processors of executors that have enough of them. So the record is the same
    whichever resource binds, and earlier versions size pools by it as well.

    Parameters
    ----------
    cores : float
        Processors needed soon, without those for late jobs.
    late_cores : float
        Additional processors needed for late jobs.
    spread : int
        Minimum number of executors with which each long-running task has a place, as
        a whole and within its per-executor limit.
    removable : tuple of str
        Executors that could be emptied, the one with the least work first; those with
        long-running tasks are left out.
    unusable : tuple of str
        Executors that are listed but unreachable.
    wait : float
        Time to finish the accepted work, seconds, with the larger of the capacity
        that accepts work now and the capacity that the pool could get.
    workspace_waits : dict of str to float, optional
        The same time by workspace, where capacity is shared by weight; a workspace that
        is not named waits for 0 seconds. Left out of the record, and unset, where the
        configuration has no workspaces and in records of earlier versions.
    """

    cores: float = 0.0
    late_cores: float = 0.0
    spread: int = 0
    removable: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()
    wait: float = 0.0
    workspace_waits: dict[str, float] | msgspec.UnsetType = msgspec.UNSET


@dataclass(frozen=True, slots=True)
class ExecutorCounts:
    """Numbers of a pool's executors.

    Parameters
    ----------
    listed : int
        Those with an entry.
    present : int
        Of these, those that are neither draining nor withdrawn.
    reachable : int
        Of these, those that answered the last call.
    """

    listed: int
    present: int
    reachable: int


class ArrivalRate:
    """Measures and forecasts the rate of arriving work, processor-seconds per second.

    Parameters
    ----------
    window : float
        Averaging window, seconds.
    lead : float, optional
        Time from requesting machines until they start their first work, seconds.

    Notes
    -----
    Machines that are requested at time t start working at t + `lead`. Work that can
    wait for w seconds is still served in time if it arrived at t + `lead` - w, so
    only the rate up to then has to be forecast. The mean rate holds for the middle of
    its window and is extrapolated linearly from there. The slope is the rise since
    the previous window, less its standard error, so that a few large jobs do not
    count as a rise.

    Examples
    --------
    >>> arrivals = ArrivalRate(window=2.0)
    >>> arrivals.record(10.0, now=0.0)
    >>> arrivals.record(30.0, now=1.0)
    >>> arrivals.compute_mean(now=1.5), arrivals.compute_mean(now=2.5)
    (20.0, 15.0)
    >>> arrivals = ArrivalRate(window=1.0, lead=1.0)
    >>> for number in range(100):
    ...     arrivals.record(1.0, now=number / 100, wait=0.5)
    >>> arrivals.compute_mean(now=0.995), arrivals.forecast(now=0.995)
    (100.0, 190.0)
    """

    def __init__(self, window, lead=0.0):
        self._window = window
        self._lead = lead
        self._arrivals = deque()

    def record(self, work, now, wait=math.inf):
        """Record the arrival of accepted work.

        Parameters
        ----------
        work : float
            Processor-seconds.
        now : float
            Monotonic time, seconds.
        wait : float, optional
            Time that the work may wait for machines, seconds.
        """
        self._arrivals.append((now, work, wait))

    def compute_mean(self, now):
        """Return the mean rate over the window that ends at `now`."""
        recent, _ = self._split(now)
        return sum(work for work, _ in recent) / self._window

    def forecast(self, now):
        """Return the rate that machines requested at `now` will have to serve."""
        recent, previous = self._split(now)
        arrived = sum(work for work, _ in recent)
        error = math.sqrt(sum(work**2 for work, _ in [*recent, *previous]))
        rise = max(0.0, arrived - sum(work for work, _ in previous) - error)
        horizon = 0.0
        if rise:
            mean_wait = sum(work * wait for work, wait in recent) / arrived
            horizon = max(0.0, self._lead + self._window / 2 - mean_wait)
        return (arrived + rise * horizon / self._window) / self._window

    def _split(self, now):
        """Return (work, wait) rows of the current window and of the previous one."""
        begin = now - self._window
        while self._arrivals and self._arrivals[0][0] < begin - self._window:
            self._arrivals.popleft()
        recent = [row[1:] for row in self._arrivals if row[0] >= begin]
        previous = [row[1:] for row in self._arrivals if row[0] < begin]
        return recent, previous


class DemandHistory:
    """Tracks the maximum need over a sliding window.

    Parameters
    ----------
    window : float
        Length of the window, seconds.

    Examples
    --------
    >>> history = DemandHistory(window=2.0)
    >>> [history.record(need, now) for need, now in ((5, 0), (9, 1), (2, 2), (2, 4))]
    [5, 9, 9, 2]
    """

    def __init__(self, window):
        self._window = window
        self._needs = deque()

    def record(self, need, now):
        """Record the current need and return the maximum over the window."""
        self._needs.append((now, need))
        while self._needs[0][0] <= now - self._window:
            self._needs.popleft()
        return max(need for _, need in self._needs)


@dataclass(frozen=True, slots=True)
class _OpenWork:
    """The open finite jobs of a pool, summed up.

    Parameters
    ----------
    unfinished : float
        Processor-seconds of all of them.
    on_time, late : float
        Processors for those that can still be in time, and for the others.
    hopeless : frozenset of tuple of (str, int)
        The occurrences that are late by more than their whole objective. Others that
        count as late may still be in time, as estimates are off by up to a half.
    """

    unfinished: float
    on_time: float
    late: float
    hopeless: frozenset


def estimate_demand(
    ledger,
    timings,
    ready,
    rate,
    attainable=0.0,
    rules=SizingRules(),
    returning=0.0,
    shares=None,
):
    """Return the `PoolDemand` of a pool.

    The work of a job is spread over the critical path of its unfinished steps and a
    share of its slack. All finite jobs together need at most the processors that
    their ready tasks could use at once, and at least those that running tasks use or
    that arriving work needs. What runs for jobs that are late by more than their whole
    objective is part of what late jobs need, so that the backlog of a peak that is over
    gives its machines to pools that lack them for work that can be in time.

    Parameters
    ----------
    ledger : PoolLedger
    timings : iterable of JobTiming
        One for each open finite job.
    ready : float
        Processors that all ready tasks of finite jobs would use at once.
    rate : float
        Forecast rate of arriving work, processor-seconds per second.
    attainable : float, optional
        Processors that the pool could get from the whole fleet.
    rules : SizingRules, optional
    returning : float, optional
        Processors for refused jobs that are about to come back. They add to those for
        open jobs, not to the rate, whose forecast rises as the jobs come back.
    shares : ShareInputs or None, optional
        None without workspaces.
    """
    timings = tuple(timings)
    work = _sum_open_work(timings, rules)
    running = _sum_running(ledger)
    running_on_time = _sum_running(ledger, work.hopeless)
    open_cores = min(ready, work.on_time)
    without_returning = max(running_on_time.cores, open_cores, rate)
    finite = max(without_returning, open_cores + returning)
    all_open_cores = max(running.cores, min(ready, work.on_time + work.late))
    late_finite = finite + max(0.0, all_open_cores - without_returning)
    cores, all_cores = _compute_cores(
        ledger, ((finite, running_on_time), (late_finite, running))
    )
    service_rate = max(_sum_capacity(ledger), attainable, MIN_CAPACITY)
    waits = msgspec.UNSET
    if shares is not None:
        waits = compute_workspace_waits(ledger, timings, service_rate, shares)
    return PoolDemand(
        cores=cores,
        late_cores=all_cores - cores,
        spread=max(_count_min_executors(ledger), count_whole_executors(ledger)),
        removable=_rank_removable(ledger),
        unusable=tuple(
            sorted(
                state.executor_id
                for state in ledger.executors.values()
                if state.entry is not None and not state.reachable
            )
        ),
        wait=work.unfinished / service_rate,
        workspace_waits=waits,
    )


def _sum_open_work(timings, rules):
    on_time = late = unfinished = 0.0
    hopeless = set()
    for timing in timings:
        unfinished += timing.remaining_work
        if timing.slack >= 0:
            span = timing.remaining_time + rules.slack_share * timing.slack
            on_time += timing.remaining_work / max(span, MIN_SPAN)
            continue
        late += timing.remaining_work / rules.late_horizon
        if timing.slack < -timing.objective:
            hopeless.add(timing.occurrence)
    return _OpenWork(unfinished, on_time, late, frozenset(hopeless))


def count_executors(ledger):
    """Return the `ExecutorCounts` of a pool's ledger."""
    listed = [state for state in ledger.executors.values() if state.entry is not None]
    present = [state for state in listed if not state.is_draining]
    reachable = sum(state.reachable for state in present)
    return ExecutorCounts(len(listed), len(present), reachable)


def _sum_capacity(ledger):
    return sum(
        state.entry.capacity.cpu / 1000
        for state in ledger.executors.values()
        if state.entry is not None and state.reachable and not state.is_draining
    )


def _compute_cores(ledger, cases):
    """Return the processors needed by whichever resource binds first.

    Parameters
    ----------
    ledger : PoolLedger
    cases : iterable of tuple of (float, Amounts)
        Processors that finite jobs need, and what their running tasks take.

    Returns
    -------
    list of float
        By case, with what the long-running tasks take.
    """
    shape, mix = measure_shape(ledger), measure_finite_mix(ledger)
    lasting = sum_lasting(ledger)
    return [
        compute_binding_cores(lasting + mix.scale(cores).widen(running), shape)
        for cores, running in cases
    ]


def _sum_running(ledger, without=frozenset()):
    """Return what running finite tasks take, but those of the occurrences `without`."""
    return sum_needs(
        (compute_need(run.step), 1)
        for run in ledger.list_runs()
        if not run.step.lasting and run.key[:2] not in without
    )


def _count_min_executors(ledger):
    count = 0
    for progress in ledger.jobs.values():
        if progress.outcome is not JobOutcome.OPEN:
            continue
        for step in progress.job.steps:
            if step.lasting and step.most_per_executor:
                count = max(count, math.ceil(step.count / step.most_per_executor))
    return count


def _rank_removable(ledger):
    """Return the executors that could be emptied, the one with the least work first.

    Executors with long-running tasks are left out: emptying them would stop these
    tasks only to start them elsewhere. So are those with places held for such tasks.
    """
    ranked = []
    held = {place.executor_id for place in ledger.held_places.values()}
    for state in ledger.executors.values():
        if state.entry is None or state.entry.condition is ExecutorCondition.DRAINING:
            continue
        runs = [
            run for run in state.runs.values() if run.phase is not RunPhase.STOPPING
        ]
        if state.executor_id in held or any(run.step.lasting for run in runs):
            continue
        load = sum(compute_need(run.step).cpu for run in runs)
        ranked.append((load, state.executor_id))
    return tuple(executor_id for _, executor_id in sorted(ranked))
