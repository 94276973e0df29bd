"""Sizes pools to their near future and plans the moves between them.

It answers demand that rises within a second to several times a pool's room, stays for
some seconds and falls to nearly nothing: machines come from the spare pool as soon as
accepted work exceeds the room, and go back once it has stayed below for a while.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from peridotspoke.workloads.executors import Condition
from peridotspoke.workloads.machines import MachineState
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runs import RunPhase, compute_need

__all__ = [
    "ArrivalRate",
    "DemandHistory",
    "MovePlan",
    "PoolDemand",
    "SizingRules",
    "describe_demand",
    "plan_moves",
]


LEAST_ROOM = 1.0  # processors
SHORTEST_SPAN = 0.2  # seconds


@dataclass(frozen=True, slots=True)
class SizingRules:
    """How demand becomes machines.

    Parameters
    ----------
    slack_share : float
        Share of a job's slack that its work may be spread over.
    window : float
        Seconds over which the rate of arriving work is measured.
    late_horizon : float
        Seconds in which work that is late anyway should be done.
    hold : float
        Seconds for which the highest need is kept.
    headroom : float
        Factor on the need.
    least : int
        Machines that a pool keeps.
    """

    slack_share: float = 0.5
    window: float = 1.0
    late_horizon: float = 6.0
    hold: float = 2.0
    headroom: float = 1.15
    least: int = 2


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """What a pool needs, as its owner describes it.

    Parameters
    ----------
    cores : float
        Processors that its work needs in the near future.
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
    spread: int = 0
    removable: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()
    wait: float = 0.0


class ArrivalRate:
    """Measures the rate of arriving work in processor-seconds a second.

    Examples
    --------
    >>> arrivals = ArrivalRate(window=2.0)
    >>> arrivals.note(10.0, now=0.0)
    >>> arrivals.note(30.0, now=1.0)
    >>> arrivals.read(now=1.5), arrivals.read(now=2.5)
    (20.0, 15.0)
    """

    def __init__(self, window):
        self._window = window
        self._arrivals = deque()

    def note(self, work, now):
        """Note `work` processor-seconds that were accepted."""
        self._arrivals.append((now, work))

    def read(self, now):
        """Return the mean rate over the window that ends now."""
        while self._arrivals and self._arrivals[0][0] < now - self._window:
            self._arrivals.popleft()
        return sum(work for _, work in self._arrivals) / self._window


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
        Arriving work, processor-seconds a second.
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
    finite = max(_sum_running(ledger), min(ready, timely + late), rate)
    return PoolDemand(
        cores=_sum_lasting(ledger) + finite,
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


@dataclass(frozen=True, slots=True)
class MovePlan:
    """What to do next for the sizes of pools.

    `moves` holds pairs of a machine and its new pool, `withdraw` machines to empty,
    `restore` machines whose withdrawal ends.
    """

    moves: tuple[tuple[str, str], ...] = ()
    withdraw: tuple[str, ...] = ()
    restore: tuple[str, ...] = ()


@dataclass(slots=True)
class _PoolSize:
    name: str
    needed: float
    held: float
    machines: list = field(default_factory=list)

    @property
    def supply(self):
        return sum(machine.capacity.cpu for machine in self.machines) / 1000


def plan_moves(
    machines, demands, held, spare, resizing, moving, busy, rules, held_back=frozenset()
):
    """Return the `MovePlan` that brings pools to their needs.

    Parameters
    ----------
    machines : dict of str to Machine
        As last listed.
    demands : dict of str to PoolDemand
        By pool.
    held : dict of str to float
        The highest need of each pool of the last seconds, processors.
    spare : str
        The pool whose machines are off; empty for none.
    resizing : dict of str to bool
        Machines that are being emptied for a move, and whether they are empty.
    moving : dict of str to str
        Machines on their way, and to which pool.
    busy : set of str
        Machines with other business.
    rules : SizingRules
    held_back : set of str, optional
        Machines that must not get an order yet.

    Notes
    -----
    A pool that lacks room first gets back what it was giving away, then machines that
    are off, then machines that others have given away. What nobody needs goes to the
    spare pool.
    """
    sizes = _measure_pools(machines, demands, held, resizing, moving, busy, rules)
    unorderable = busy | held_back | moving.keys()
    free = sorted(
        machine.name
        for machine in machines.values()
        if machine.pool == spare
        and machine.state is MachineState.UP
        and machine.name not in unorderable
    )
    empty = [
        name
        for name, is_empty in resizing.items()
        if is_empty and name in machines and name not in unorderable
    ]
    moves, restore = [], []
    for size in sorted(sizes.values(), key=lambda item: item.supply - item.needed):
        lacking = size.needed - size.supply
        for name in [*_list_own(machines, resizing, size.name, moving), *free, *empty]:
            if lacking <= 0:
                break
            machine = machines[name]
            if name in restore or any(name == moved for moved, _ in moves):
                continue
            if machine.pool == size.name:
                restore.append(name)
            else:
                moves.append((name, size.name))
            lacking -= machine.capacity.cpu / 1000
    taken = {name for name, _ in moves} | set(restore)
    if spare:
        moves += [(name, spare) for name in empty if name not in taken]
    withdraw = _list_surplus(sizes, demands, spare) if spare else ()
    return MovePlan(tuple(moves), tuple(withdraw), tuple(restore))


def _measure_pools(machines, demands, held, resizing, moving, busy, rules):
    sizes = {}
    for pool, demand in demands.items():
        own = [
            machine
            for machine in machines.values()
            if moving.get(machine.name, machine.pool) == pool
            and machine.state in (MachineState.UP, MachineState.MOVING)
            and machine.name not in resizing
            and machine.name not in busy
            and machine.executor_id not in demand.unusable
        ]
        typical = max((item.capacity.cpu for item in machines.values()), default=0)
        floor = max(rules.least, demand.spread) * typical / 1000
        needed = max(demand.cores * rules.headroom, floor)
        size = _PoolSize(pool, needed, max(needed, held.get(pool, 0.0)))
        size.machines = own
        sizes[pool] = size
    return sizes


def _list_own(machines, resizing, pool, moving):
    return [
        name
        for name in resizing
        if name in machines and machines[name].pool == pool and name not in moving
    ]


def _list_surplus(sizes, demands, spare):
    for size in sizes.values():
        if size.name == spare:
            continue
        surplus = size.supply - size.held
        by_executor = {
            machine.executor_id: machine
            for machine in size.machines
            if machine.state is MachineState.UP and machine.executor_id
        }
        for executor_id in demands[size.name].removable:
            machine = by_executor.get(executor_id)
            if machine is None:
                continue
            if surplus < machine.capacity.cpu / 1000:
                break
            surplus -= machine.capacity.cpu / 1000
            yield machine.name
