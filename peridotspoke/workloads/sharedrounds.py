"""Orders the work of a pool's rounds by the shares of its workspaces.

It answers rounds every 10 ms under a backlog: a round sums up what the workspaces use
only if it has capacity for some tasks and not for all.
"""

from dataclasses import dataclass

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.quotarounds import count_startable
from peridotspoke.workloads.runs import compute_need
from peridotspoke.workloads.shares import (
    TOLERANCE,
    divide,
    fill_weights,
    list_amounts,
    share_out,
)

__all__ = ["PoolShares", "RoundShares", "Standing"]


@dataclass(frozen=True, slots=True)
class Standing:
    """The share that a workspace has of a pool and the share that it is entitled to.

    Parameters
    ----------
    use : float
        Dominant share of what runs.
    demand : float
        Dominant share of what runs and of what may start.
    entitlement : float
        At most `demand`; below it if the workspace needs more than its share.
    """

    use: float
    demand: float
    entitlement: float

    @property
    def is_limited(self):
        """Whether the workspace needs more than it is entitled to."""
        return self.entitlement < self.demand - TOLERANCE


class RoundShares:
    """What the workspaces use of a pool in one round, and their entitlements.

    Resources are listed as processors, memory and accelerators.

    Parameters
    ----------
    uses : dict of str to list of int
        Amounts in use by workspace; changed by `record`.
    ready : dict of str to list of int
        Amounts that waiting tasks need, by workspace.
    startable : dict of str to list of int
        The part of them that quotas have room for. What a quota holds back counts for
        the entitlement of its workspace alone, which may be granted more in this round.
    capacity : list of int
        Total of the executors that take work.
    free : list of int
        The part of it that isn't in use.
    weights : dict of str to float
        Positive, for each workspace.
    """

    def __init__(self, uses, ready, startable, capacity, free, weights):
        self._uses = uses
        self._capacity = capacity
        available = [sum(column) for column in zip(free, *uses.values(), strict=True)]
        left = divide(available, capacity)
        demands = self._sum_demands(ready)
        self._demands = {name: max(shares) for name, shares in demands.items()}
        self._entitlements = share_out(demands, weights, left)
        if startable is not ready:
            others = share_out(self._sum_demands(startable), weights, left)
            for name, entitlement in others.items():
                if startable.get(name) == ready.get(name):
                    self._entitlements[name] = entitlement
        self.limits = {
            name: entitlement
            for name, entitlement in self._entitlements.items()
            if entitlement < self._demands[name] - TOLERANCE
        }

    def _sum_demands(self, ready):
        """Return the shares of the resources in use or needed, by workspace."""
        demands = dict(self._uses)
        for name, (cpu, memory, accelerators) in ready.items():
            used = self._uses.get(name, (0, 0, 0))
            demands[name] = (cpu + used[0], memory + used[1], accelerators + used[2])
        return {name: divide(item, self._capacity) for name, item in demands.items()}

    def list_standings(self):
        """Return the `Standing` of each workspace by name."""
        return {
            name: Standing(self._measure_use(name), self._demands[name], entitlement)
            for name, entitlement in self._entitlements.items()
        }

    def record(self, run):
        """Count a run that the round has planned."""
        name = run.progress.job.workspace
        if name:
            _add(self._uses.setdefault(name, [0, 0, 0]), run.step, 1)

    def has_reached(self, workspace):
        """Return whether a workspace uses all that it is entitled to."""
        limit = self.limits.get(workspace)
        return limit is not None and self._measure_use(workspace) >= limit - TOLERANCE

    def _measure_use(self, name):
        return max(divide(self._uses.get(name, (0, 0, 0)), self._capacity))


class PoolShares:
    """Orders the work of a pool's rounds by the shares of its workspaces.

    Parameters
    ----------
    weights : dict of str to float
        By workspace of the configuration.

    Attributes
    ----------
    latest : RoundShares or None
        Of the latest round that lacked capacity; None once a round has enough.
    """

    def __init__(self, weights):
        self.weights = weights
        self.latest = None
        self._filled = {}

    def order_work(self, ledger, work, offers, planned, quotas=None):
        """Return the steps of a round in the order in which to place them.

        Steps of jobs without a workspace and of workspaces that use less than their
        entitlement come first, then the others, each in the order given. What a
        workspace uses before a step decides, so that a wide step or a gang that alone
        exceeds the entitlement isn't held back for ever.

        Parameters
        ----------
        ledger : PoolLedger
        work : list of StepWork
        offers : dict of str to Offer
        planned : list of Run
            The caller appends the runs of each step before it asks for the next one.
        quotas : QuotaBook or None, optional

        Returns
        -------
        iterable of StepWork
            `work` itself if the pool has capacity for all of it, or for none.
        """
        free, largest = _sum_free(offers.values())
        if not _has_place(work, largest):
            return work
        waiting = [len(item.tasks) for item in work]
        ready, total = _sum_ready(work, waiting)
        fits = all(need <= room for need, room in zip(total, free, strict=True))
        if fits or not ready:
            self.latest = None
            return work
        startable = ready if quotas is None else _sum_startable(quotas, work, ready)
        self.latest = self._measure(ledger, offers, ready, startable, free)
        if not self.latest.limits:
            return work
        return _list_passes(work, planned, self.latest)

    def _measure(self, ledger, offers, ready, startable, free):
        """Return the `RoundShares` by the runs of the executors that make offers."""
        uses, capacity = {}, [0, 0, 0]
        for executor_id in offers:
            state = ledger.executors[executor_id]
            for number, amount in enumerate(list_amounts(state.entry.capacity)):
                capacity[number] += amount
            for run in state.runs.values():
                name = run.progress.job.workspace
                if name:
                    if name not in uses:
                        uses[name] = [0, 0, 0]
                    _add(uses[name], run.step, 1)
        missing = (uses.keys() | ready.keys()) - self._filled.keys()
        if missing:
            self._filled |= fill_weights(self.weights, missing)
        return RoundShares(uses, ready, startable, capacity, free, self._filled)


def _list_passes(work, planned, shares):
    """Yield the steps of the first pass and then those of the second."""
    postponed, counted = [], 0
    for item in work:
        while counted < len(planned):
            shares.record(planned[counted])
            counted += 1
        if shares.has_reached(item.progress.job.workspace):
            postponed.append(item)
        else:
            yield item
    yield from postponed


def _sum_free(offers):
    """Return by resource what is free in total, and the most on one executor."""
    free, largest = [0, 0, 0], [0, 0, 0]
    for offer in offers:
        for number, amount in enumerate((offer.cpu, offer.memory, offer.accelerators)):
            if amount > 0:
                free[number] += amount
                largest[number] = max(largest[number], amount)
    return free, largest


def _has_place(work, largest):
    """Return whether a task may fit on an executor, by the most that one has free."""
    cpu, memory, accelerators = largest
    for item in work:
        step = item.progress.job.steps[item.step_number]
        need = compute_need(step)
        if need.cpu <= cpu and need.memory <= memory:
            if need.accelerators <= accelerators:
                return True
    return False


def _sum_ready(work, counts):
    """Return what `counts` tasks of the steps need, by workspace and in total.

    Jobs without a workspace count in the total alone.
    """
    ready = {}
    for item, count in zip(work, counts, strict=True):
        job = item.progress.job
        step, name = job.steps[item.step_number], job.workspace
        if name not in ready:
            ready[name] = [0, 0, 0]
        _add(ready[name], step, count)
    total = [sum(column) for column in zip(*ready.values(), strict=True)]
    ready.pop("", None)
    return ready, total


def _sum_startable(quotas, work, ready):
    """Return the part of `ready` that the quotas have room for; `ready` if for all."""
    needs = {name: Need(*amounts) for name, amounts in ready.items()}
    if not quotas.lacks_room(needs):
        return ready
    return _sum_ready(work, count_startable(quotas, work))[0]


def _add(amounts, step, count):
    """Add what a number of a step's tasks take to a list of amounts."""
    need = compute_need(step)
    amounts[0] += need.cpu * count
    amounts[1] += need.memory * count
    amounts[2] += need.accelerators * count
