"""Plans the moves of machines between pools that bring each to its need.

It answers peaks that come to the pools in turn: machines come from the spare pool as
soon as a pool lacks room, and go back once its need has stayed below for a while.
"""

from dataclasses import dataclass, field

from peridotspoke.workloads.machines import MachineState

__all__ = ["MovePlan", "SizingRules", "plan_moves"]


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
    """A pool's need, with `late` processors more for late work, and its machines.

    `held` is the highest need of the last seconds. All in processors.
    """

    name: str
    needed: float
    late: float
    held: float
    machines: list = field(default_factory=list)

    @property
    def supply(self):
        return _sum_cores(self.machines)


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
    are off, then machines that others have given away. Late work gets what is left
    once all that is in time has room; while that lacks room, late work keeps no
    machines. Then what a pool only holds, as it needed it of late, is emptied too, as
    far as others lack room. What nobody needs goes to the spare pool.
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
    gains = _PoolGains(machines, resizing, moving, [*free, *empty])
    ranked = sorted(sizes.values(), key=lambda item: item.supply - item.needed)
    unmet = [gains.fill(size, size.needed - size.supply) for size in ranked]
    for size in ranked:
        gains.fill(size, size.needed + size.late - size.supply - gains.sum_for(size))
    moves = list(gains.moves)
    if spare:
        moves += [(name, spare) for name in empty if name not in gains.taken]
    coming = (resizing.keys() & machines.keys()) - gains.taken
    emptied = _sum_cores(machines[name] for name in coming)
    lacking = sum(unmet) - emptied if any(unmet) else None
    withdraw = _list_surplus(sizes, demands, spare, lacking) if spare else ()
    return MovePlan(tuple(moves), tuple(withdraw), tuple(gains.restored))


class _PoolGains:
    """The machines that pools get in one plan.

    Parameters
    ----------
    machines : dict of str to Machine
    resizing, moving : dict
    available : list of str
        Machines that any pool may get, the best first.
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
        """Return the processors that a pool has got."""
        return self._sums.get(size.name, 0.0)

    def fill(self, size, lacking):
        """Give a pool what it lacks, in processors; return what is still lacking."""
        own = _list_own(self._machines, self._resizing, size.name, self._moving)
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
        late = demand.late_cores * rules.headroom
        size = _PoolSize(pool, needed, late, max(needed, held.get(pool, 0.0)))
        size.machines = own
        sizes[pool] = size
    return sizes


def _list_own(machines, resizing, pool, moving):
    return [
        name
        for name in resizing
        if name in machines and machines[name].pool == pool and name not in moving
    ]


def _list_surplus(sizes, demands, spare, lacking):
    """Yield the machines that pools don't need; `lacking` is None where all have room.

    For what others lack, in processors, machines go that a pool holds but doesn't need.
    """
    for size in sizes.values():
        if size.name == spare:
            continue
        is_scarce = lacking is not None
        kept = size.held if is_scarce else max(size.held, size.needed + size.late)
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
            if supply < kept:
                if not is_scarce or lacking <= 0 or supply < size.needed:
                    break
                lacking -= machine.capacity.cpu / 1000
            yield machine.name


def _sum_cores(machines):
    return sum(machine.capacity.cpu for machine in machines) / 1000
