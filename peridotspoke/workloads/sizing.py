"""Plans moves of machines between pools so that each pool meets its demand.

It is designed for load peaks that reach the pools one after another. Machines come
from the spare pool as soon as a pool lacks capacity, and return once its demand has
stayed lower for a while.
"""

from dataclasses import dataclass, field

from peridotspoke.workloads.machines import MachineState

__all__ = ["MovePlan", "SizingRules", "plan_moves"]


@dataclass(frozen=True, slots=True)
class SizingRules:
    """Parameters that turn demand into numbers of machines.

    Parameters
    ----------
    slack_share : float
        Share of a job's slack over which its work may be spread.
    window : float
        Averaging window of the arrival rate, seconds.
    late_horizon : float
        Time in which the work of late jobs should be finished, seconds.
    hold_time : float
        Time for which a pool keeps capacity for its highest recent need, seconds.
    headroom : float
        Factor applied to the demand.
    min_machines : int
        Minimum number of machines in a pool.
    """

    slack_share: float = 0.5
    window: float = 1.0
    late_horizon: float = 6.0
    hold_time: float = 2.0
    headroom: float = 1.15
    min_machines: int = 2


@dataclass(frozen=True, slots=True)
class MovePlan:
    """The next steps of resizing the pools.

    Parameters
    ----------
    moves : tuple of (str, str), optional
        Machines to move, each with its new pool.
    withdraw : tuple of str, optional
        Machines to start emptying.
    restore : tuple of str, optional
        Machines to stop emptying, which stay in their pool.
    """

    moves: tuple[tuple[str, str], ...] = ()
    withdraw: tuple[str, ...] = ()
    restore: tuple[str, ...] = ()


@dataclass(slots=True)
class _PoolSize:
    """Demand and machines of one pool; demand is in processors.

    `late` is what late jobs need in addition to `needed`. `recent_peak` is the highest
    need within the hold time.
    """

    name: str
    needed: float
    late: float
    recent_peak: float
    machines: list = field(default_factory=list)

    @property
    def supply(self):
        return _sum_cores(self.machines)


def plan_moves(
    machines,
    demands,
    recent_peaks,
    spare,
    resizing,
    moving,
    reserved,
    rules,
    not_orderable=frozenset(),
):
    """Return the `MovePlan` for the current demands of the pools.

    Parameters
    ----------
    machines : dict of str to Machine
        By machine name, as last listed.
    demands : dict of str to PoolDemand
        By pool.
    recent_peaks : dict of str to float
        Highest need of each pool within the hold time, processors.
    spare : str
        Pool whose machines are switched off; empty if there is none.
    resizing : dict of str to bool
        Machines that are being emptied in order to move; True if they are empty.
    moving : dict of str to str
        Machines that are being moved, and their target pools.
    reserved : set of str
        Machines in use for another purpose, such as maintenance; not counted as
        capacity.
    rules : SizingRules
    not_orderable : set of str, optional
        Machines that must not receive an order yet.

    Notes
    -----
    A pool that lacks capacity first gets back its own machines that are being
    emptied, then machines from the spare pool, then machines that other pools have
    emptied.

    Late work gets only what remains once all pools have the capacity for work that
    can still be in time. While any pool lacks such capacity, late work keeps no
    machines, and machines that a pool keeps only for its recent need are emptied as
    far as others lack capacity.

    Emptied machines that no pool needs move to the spare pool.
    """
    sizes = _measure_pools(
        machines, demands, recent_peaks, resizing, moving, reserved, rules
    )
    unavailable = reserved | not_orderable | moving.keys()
    free = sorted(
        machine.name
        for machine in machines.values()
        if machine.pool == spare
        and machine.state is MachineState.UP
        and machine.name not in unavailable
    )
    empty = [
        name
        for name, is_empty in resizing.items()
        if is_empty and name in machines and name not in unavailable
    ]
    allocation = _Allocation(machines, resizing, moving, [*free, *empty])
    ranked = sorted(sizes.values(), key=lambda item: item.supply - item.needed)
    unmet = [allocation.fill(size, size.needed - size.supply) for size in ranked]
    for size in ranked:
        allocation.fill(
            size, size.needed + size.late - size.supply - allocation.sum_for(size)
        )
    moves = list(allocation.moves)
    if spare:
        moves += [(name, spare) for name in empty if name not in allocation.taken]
    unassigned = (resizing.keys() & machines.keys()) - allocation.taken
    expected = _sum_cores(machines[name] for name in unassigned)
    lacking = sum(unmet) - expected if any(unmet) else None
    withdraw = _list_surplus(sizes, demands, spare, lacking) if spare else ()
    return MovePlan(tuple(moves), tuple(withdraw), tuple(allocation.restored))


class _Allocation:
    """Machines assigned to pools within one plan.

    Parameters
    ----------
    machines : dict of str to Machine
    resizing : dict of str to bool
    moving : dict of str to str
    available : list of str
        Machines that any pool may get, in order of preference.
    """

    def __init__(self, machines, resizing, moving, available):
        self.moves = []
        self.restored = []
        self.taken = set()
        self._machines = machines
        self._resizing = resizing
        self._moving = moving
        self._available = available
        self._sums = {}

    def sum_for(self, size):
        """Return the processors assigned to a pool so far."""
        return self._sums.get(size.name, 0.0)

    def fill(self, size, lacking):
        """Assign machines for `lacking` processors; return the unmet rest."""
        own = _list_resizing(self._machines, self._resizing, size.name, self._moving)
        for name in [*own, *self._available]:
            if lacking <= 0:
                break
            if name in self.taken:
                continue
            machine = self._machines[name]
            self.taken.add(name)
            if machine.pool == size.name:
                self.restored.append(name)
            else:
                self.moves.append((name, size.name))
            cores = machine.capacity.cpu / 1000
            self._sums[size.name] = self.sum_for(size) + cores
            lacking -= cores
        return max(0.0, lacking)


def _measure_pools(machines, demands, recent_peaks, resizing, moving, reserved, rules):
    sizes = {}
    for pool, demand in demands.items():
        own = [
            machine
            for machine in machines.values()
            if moving.get(machine.name, machine.pool) == pool
            and machine.state in (MachineState.UP, MachineState.MOVING)
            and machine.name not in resizing
            and machine.name not in reserved
            and machine.executor_id not in demand.unusable
        ]
        largest = max((item.capacity.cpu for item in machines.values()), default=0)
        floor = max(rules.min_machines, demand.spread) * largest / 1000
        needed = max(demand.cores * rules.headroom, floor)
        late = demand.late_cores * rules.headroom
        size = _PoolSize(pool, needed, late, max(needed, recent_peaks.get(pool, 0.0)))
        size.machines = own
        sizes[pool] = size
    return sizes


def _list_resizing(machines, resizing, pool, moving):
    return [
        name
        for name in resizing
        if name in machines and machines[name].pool == pool and name not in moving
    ]


def _list_surplus(sizes, demands, spare, lacking):
    """Yield machines that pools can give up.

    Parameters
    ----------
    sizes : dict of str to _PoolSize
    demands : dict of str to PoolDemand
    spare : str
    lacking : float or None
        Processors that pools lack in total; None if all have enough. Up to this
        amount, machines that a pool keeps only for its recent need are included.
    """
    for size in sizes.values():
        if size.name == spare:
            continue
        is_scarce = lacking is not None
        floor = (
            size.recent_peak
            if is_scarce
            else max(size.recent_peak, size.needed + size.late)
        )
        supply = size.supply
        by_executor = {
            machine.executor_id: machine
            for machine in size.machines
            if machine.state is MachineState.UP and machine.executor_id
        }
        for executor_id in demands[size.name].removable:
            machine = by_executor.get(executor_id)
            if machine is None:
                continue
            supply -= machine.capacity.cpu / 1000
            if supply < floor:
                if not is_scarce or lacking <= 0 or supply < size.needed:
                    break
                lacking -= machine.capacity.cpu / 1000
            yield machine.name


def _sum_cores(machines):
    return sum(machine.capacity.cpu for machine in machines) / 1000
