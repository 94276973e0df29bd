"""Estimates how long the jobs of each workspace wait for their share of a pool."""

import math
from collections import Counter
from dataclasses import dataclass, field

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.room import (
    Amounts,
    compute_binding_cores,
    measure_shape,
    measure_workspace_mixes,
    sum_needs,
)
from peridotspoke.workloads.runs import compute_need
from peridotspoke.workloads.shares import compute_fair_waits

__all__ = ["ShareInputs", "SmoothedUses", "compute_workspace_waits", "sum_uses"]

MIN_TOLD_WAIT = 1.0  # seconds; no job is refused for a wait of less than 1.5
PRECISION = 2  # decimals of a wait
MIN_USE = 0.01  # processors below which an average use is dropped
MIN_PART = 0.05  # of the capacity, counted for workspaces beside jobs that have none
SMOOTHING_S = 2.0  # as many tasks end at once, the use of a moment says little


@dataclass(frozen=True, slots=True)
class ShareInputs:
    """What the waits of a pool's workspaces depend on beside its ledger.

    Parameters
    ----------
    weights : dict of str to float
        By workspace of the configuration.
    uses : dict of str to float, optional
        Processors that the runs of a workspace took lately, by workspace.
    limits : dict of str to Need, optional
        What a workspace may have running over all pools, by workspace.
    """

    weights: dict[str, float]
    uses: dict[str, float] = field(default_factory=dict)
    limits: dict[str, Need] = field(default_factory=dict)


class SmoothedUses:
    """Averages what the runs of each workspace take over some seconds.

    Examples
    --------
    >>> smoothed = SmoothedUses()
    >>> smoothed.record({"a": 8.0}, now=10.0)
    {'a': 8.0}
    >>> uses = smoothed.record({"b": 4.0}, now=11.0)
    >>> round(uses["a"], 2), round(uses["b"], 2)
    (4.85, 1.57)
    """

    def __init__(self):
        self._uses = {}
        self._recorded_at = float("-inf")

    def record(self, uses, now):
        """Record the use of this moment, and return the average by workspace.

        Parameters
        ----------
        uses : dict of str to float
        now : float
            Monotonic seconds.
        """
        kept = math.exp(-max(0.0, now - self._recorded_at) / SMOOTHING_S)
        smoothed = {}
        for name in self._uses.keys() | uses.keys():
            current = uses.get(name, 0.0)
            use = current + (self._uses.get(name, 0.0) - current) * kept
            if use >= MIN_USE:
                smoothed[name] = use
        self._uses, self._recorded_at = smoothed, now
        return dict(smoothed)


def compute_workspace_waits(ledger, timings, rate, shares):
    """Return the seconds until the accepted work of each workspace is processed.

    Work is measured in the processors that come with the resource that the workspace
    needs most of. Where workspaces need different resources, they are processed side by
    side, so that all of it takes as long as the resource that is needed for longest.
    Once its accepted work is done, a workspace is expected to go on using what it used
    lately. Jobs without a workspace are processed alongside. A workspace waits at least
    as long as its work takes at its limit: what it is entitled to beyond that stays
    unused. Its work in other pools is not known, and would add to that.

    Parameters
    ----------
    ledger : PoolLedger
    timings : iterable of JobTiming
        One for each open finite job.
    rate : float
        Processors.
    shares : ShareInputs

    Returns
    -------
    dict of str to float
        Workspaces that wait for less than `MIN_TOLD_WAIT` are left out.
    """
    backlogs, whole, needed = _sum_backlogs(ledger, timings)
    uses = dict(shares.uses)
    without, other_use = backlogs.pop("", 0.0), uses.pop("", 0.0)
    owned = sum(backlogs.values())
    if not owned:
        return {}
    # All work takes `whole / rate` seconds, whatever the number of binding resources.
    summed = owned + without
    full_rate = rate * summed / whole
    left = min(full_rate * owned / summed, full_rate - other_use)
    shared_rate = max(left, MIN_PART * full_rate)
    waits = compute_fair_waits(backlogs, shares.weights, shared_rate, uses)
    for name in waits.keys() & shares.limits.keys():
        at_limit = _compute_time_at_limit(needed[name], shares.limits[name])
        waits[name] = max(waits[name], at_limit)
    return {
        name: round(wait, PRECISION)
        for name, wait in waits.items()
        if wait >= MIN_TOLD_WAIT
    }


def _sum_backlogs(ledger, timings):
    """Return the unfinished work by workspace, and that of all by one resource.

    Returns
    -------
    backlogs : dict of str to float
        Processor-seconds by the resource that binds for the workspace.
    whole : float
        Processor-seconds by the resource that binds for all of them together.
    needed : dict of str to Amounts
        Seconds of each resource that the unfinished work needs, by workspace.
    """
    works = {}
    for timing in timings:
        if timing.remaining_work > 0:
            work = works.get(timing.workspace, 0.0)
            works[timing.workspace] = work + timing.remaining_work
    shape, mixes = measure_shape(ledger), measure_workspace_mixes(ledger)
    backlogs, needed, total = {}, {}, Amounts()
    for name, work in works.items():
        needed[name] = mixes.get(name, Amounts(1.0)).scale(work)
        backlogs[name] = compute_binding_cores(needed[name], shape)
        total += needed[name]
    return backlogs, compute_binding_cores(total, shape), needed


def _compute_time_at_limit(needed, limit):
    """Return the seconds that work takes with all that a limit allows at once."""
    pairs = (
        (needed.cores, limit.cpu / 1000),
        (needed.memory, limit.memory),
        (needed.accelerators, limit.accelerators),
    )
    return max((amount / most for amount, most in pairs if most), default=0.0)


def sum_uses(ledger):
    """Return the processors that all runs take, by workspace.

    They are those that come with the resource that the runs need most of, if these are
    more.

    Parameters
    ----------
    ledger : PoolLedger

    Returns
    -------
    dict of str to float
        With an empty name for the jobs without a workspace.
    """
    counted, shape = {}, measure_shape(ledger)
    for run in ledger.list_runs():
        needs = counted.setdefault(run.progress.job.workspace, Counter())
        needs[compute_need(run.step)] += 1
    return {
        name: compute_binding_cores(sum_needs(needs.items()), shape)
        for name, needs in counted.items()
    }
