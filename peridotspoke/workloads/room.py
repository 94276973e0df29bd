"""Finds the processors and executors with which a pool has room by every resource.

It answers long-running tasks that take more of an executor's memory than of its
processors, some of them so much that one executor has room for a single one.
"""

from collections import Counter
from dataclasses import dataclass

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.placement import Offer, fits
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runs import compute_need

__all__ = [
    "Amounts",
    "compute_binding_cores",
    "count_whole_executors",
    "limit_need",
    "list_lasting_tasks",
    "measure_finite_mix",
    "measure_workspace_mixes",
    "measure_shape",
    "sum_lasting",
    "sum_needs",
]


@dataclass(frozen=True, slots=True)
class Amounts:
    """Summed resources.

    Parameters
    ----------
    cores : float
    memory : float
        Megabytes.
    accelerators : float
    """

    cores: float = 0.0
    memory: float = 0.0
    accelerators: float = 0.0

    def __add__(self, other):
        return Amounts(
            self.cores + other.cores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def widen(self, other):
        """Return the larger of both amounts of each resource."""
        return Amounts(
            max(self.cores, other.cores),
            max(self.memory, other.memory),
            max(self.accelerators, other.accelerators),
        )

    def scale(self, factor):
        """Return these amounts times `factor`."""
        return Amounts(
            self.cores * factor, self.memory * factor, self.accelerators * factor
        )


def sum_needs(counted):
    """Return the `Amounts` of pairs of a `Need` and its number."""
    cpu = memory = accelerators = 0
    for need, count in counted:
        cpu += need.cpu * count
        memory += need.memory * count
        accelerators += need.accelerators * count
    return Amounts(cpu / 1000, memory, accelerators)


def compute_binding_cores(needed, shape):
    """Return the processors of executors that have all the amounts needed.

    Parameters
    ----------
    needed : Amounts
    shape : Amounts
        Processors for each megabyte and each accelerator, as of `measure_shape`.

    Returns
    -------
    float
        The processors needed, or those that come with the memory or the accelerators
        needed if these are more.

    Examples
    --------
    >>> shape = Amounts(1.0, memory=0.0005)  # 2000 MB for each processor
    >>> compute_binding_cores(Amounts(96.0, memory=360_000), shape)
    180.0
    """
    return max(
        needed.cores,
        needed.memory * shape.memory,
        needed.accelerators * shape.accelerators,
    )


def measure_shape(ledger):
    """Return how many processors of the pool come with each unit of a resource.

    Only executors that have accelerators count for these: machines without any don't
    make up for a lack of them. A resource that no executor has is 0.

    Parameters
    ----------
    ledger : PoolLedger

    Returns
    -------
    Amounts
        Processors for each processor, megabyte and accelerator.
    """
    capacities = [
        state.entry.capacity
        for state in ledger.executors.values()
        if state.entry is not None
    ]
    whole = sum_needs((capacity, 1) for capacity in capacities)
    fast = sum_needs((item, 1) for item in capacities if item.accelerators)
    return Amounts(
        1.0,
        whole.cores / whole.memory if whole.memory else 0.0,
        fast.cores / fast.accelerators if fast.accelerators else 0.0,
    )


def measure_finite_mix(ledger):
    """Return the amounts that open finite jobs take for each of their processors.

    The processors of tasks that fill count here, as in the rate of arriving work.

    Parameters
    ----------
    ledger : PoolLedger

    Returns
    -------
    Amounts
        Of one processor's work; 0 for the other resources without such jobs.
    """
    sizes = _list_sizes(ledger)
    total = sum_needs(
        (limit_need(step.need, sizes), step.count)
        for progress in ledger.jobs.values()
        if progress.outcome is JobOutcome.OPEN and not progress.job.is_long_running
        for step in progress.job.steps
    )
    return total.scale(1.0 / total.cores) if total.cores else Amounts(1.0)


def measure_workspace_mixes(ledger):
    """Return by workspace what `measure_finite_mix` returns of its jobs alone.

    Jobs without a workspace are those of the workspace with an empty name.

    Parameters
    ----------
    ledger : PoolLedger

    Returns
    -------
    dict of str to Amounts
    """
    sizes = _list_sizes(ledger)
    counted = {}
    for progress in ledger.jobs.values():
        job = progress.job
        if progress.outcome is JobOutcome.OPEN and not job.is_long_running:
            needs = counted.setdefault(job.workspace, Counter())
            for step in job.steps:
                needs[step.need] += step.count
    mixes = {}
    for name, needs in counted.items():
        total = sum_needs(
            (limit_need(need, sizes), count) for need, count in needs.items()
        )
        has_cores = total.cores > 0
        mixes[name] = total.scale(1.0 / total.cores) if has_cores else Amounts(1.0)
    return mixes


def sum_lasting(ledger):
    """Return the `Amounts` that the unfinished long-running tasks take."""
    sizes = _list_sizes(ledger)
    return sum_needs(
        (limit_need(compute_need(step), sizes), 1)
        for _, step in list_lasting_tasks(ledger)
    )


def limit_need(need, sizes):
    """Return a need, or its processors alone if no executor has room for all of it.

    No number of machines like those of the pool gives such a task room.

    Parameters
    ----------
    need : Need
    sizes : iterable of (Need, tuple)
        Capacities and labels of the pool's executors; if empty, the need is kept.

    Examples
    --------
    >>> from peridotspoke.workloads.jobs import Need
    >>> limit_need(Need(1000, 90_000), [(Need(8000, 64_000), ())])
    Need(cpu=1000, memory=0, accelerators=0)
    """
    if not sizes or any(
        capacity.memory >= need.memory and capacity.accelerators >= need.accelerators
        for capacity, _ in sizes
    ):
        return need
    return Need(need.cpu, 0, 0)


def list_lasting_tasks(ledger):
    """Yield each unfinished long-running task of the open jobs and its `Step`."""
    for progress in ledger.jobs.values():
        if progress.outcome is JobOutcome.OPEN and progress.job.is_long_running:
            for task in progress.list_tasks():
                step = progress.job.steps[task.key.step]
                if step.lasting and task.status is not TaskStatus.DONE:
                    yield task, step


def count_whole_executors(ledger):
    """Return the number of executors with which each long-running task has a place.

    Tasks count where they run. All others, and those on executors that are unreachable
    or being emptied, are put as whole tasks, the largest first, where others are, and
    then on further executors like those of the pool. Finite tasks are left out: they
    end by themselves. So is a task that no executor of the pool could take.

    Parameters
    ----------
    ledger : PoolLedger

    Returns
    -------
    int
    """
    empty = _list_empty_offers(ledger)
    occupied, homeless, steps = {}, Counter(), {}
    for task, step in list_lasting_tasks(ledger):
        group = task.key[:3]
        is_assigned = task.status is TaskStatus.ASSIGNED
        offer = empty.get(task.executor) if is_assigned else None
        if offer is None:
            homeless[group] += 1
            steps[group] = step
        else:
            offer.reserve(compute_need(step), group)
            occupied[task.executor] = offer
    if not homeless:
        return len(occupied)
    sizes = _list_sizes(ledger)
    offers = list(occupied.values())
    for group in sorted(
        homeless, key=lambda item: (-_measure_share(steps[item], sizes), item)
    ):
        _place_whole(offers, sizes, steps[group], group, homeless[group])
    return len(offers)


def _place_whole(offers, sizes, step, group, count):
    """Reserve places for tasks of one step; append the offers of further executors."""
    need = compute_need(step)
    for offer in offers:
        while count and fits(offer, step, need, group):
            offer.reserve(need, group)
            count -= 1
    while count:
        further = (_make_empty_offer(*size) for size in sizes)
        offer = next((item for item in further if fits(item, step, need, group)), None)
        if offer is None:
            return
        offers.append(offer)
        while count and fits(offer, step, need, group):
            offer.reserve(need, group)
            count -= 1


def _measure_share(step, sizes):
    """Return the largest share of an executor's resource that a task of a step takes.

    `sizes` are the executors'; the largest one of each resource counts.
    """
    need = compute_need(step)
    return max(
        need.cpu / max((item.cpu for item, _ in sizes), default=1),
        need.memory / max((item.memory for item, _ in sizes), default=1),
    )


def _list_empty_offers(ledger):
    """Return by executor what it would offer without any run, if it can keep tasks."""
    return {
        state.executor_id: _make_empty_offer(state.entry.capacity, state.entry.labels)
        for state in ledger.executors.values()
        if state.reachable and not state.is_draining
    }


def _list_sizes(ledger):
    """Return the distinct capacities and labels of the pool's executors.

    The one with the most processors comes first.
    """
    sizes = {
        (state.entry.capacity, tuple(state.entry.labels))
        for state in ledger.executors.values()
        if state.entry is not None
    }
    return sorted(sizes, key=lambda item: (-item[0].cpu, -item[0].memory, item[1]))


def _make_empty_offer(capacity, labels):
    return Offer(
        "",
        "",
        frozenset(labels),
        capacity.cpu,
        capacity.memory,
        capacity.accelerators,
    )
