"""Plans a maintenance wave: which machines to empty and which to maintain next."""

import math
from dataclasses import dataclass

from peridotspoke.workloads.machines import MachineState

__all__ = ["WavePlan", "plan_wave"]

LATE_SHARE = 0.6  # of the wave's duration; then more machines are emptied at once
POOL_DIVISOR = 4  # a quarter of a pool's machines may be emptied at once
LATE_POOL_DIVISOR = 3  # a third once the wave is late


@dataclass(frozen=True, slots=True)
class WavePlan:
    """The next steps of a maintenance wave.

    Parameters
    ----------
    withdraw : tuple of str
        Machines to start emptying.
    begin : tuple of str
        Empty machines whose maintenance can begin.
    remaining : int
        Number of machines whose maintenance has not begun.
    """

    withdraw: tuple[str, ...]
    begin: tuple[str, ...]
    remaining: int


def plan_wave(
    wave, machines, begun, withdrawn, in_maintenance, elapsed, spare_pools=frozenset()
):
    """Return the `WavePlan` of a maintenance wave.

    Parameters
    ----------
    wave : MaintenanceWave
    machines : dict of str to Machine
        By machine name, as last listed.
    begun : set of str
        Machines whose maintenance has begun.
    withdrawn : dict of str to bool
        Machines that are being emptied, for any reason; True if they are empty.
    in_maintenance : set of str
        Machines of the wave that are, or may be, down for maintenance.
    elapsed : float
        Time since the wave was announced, seconds.
    spare_pools : set of str, optional
        Pools whose machines are switched off.

    Notes
    -----
    Maintenance begins on machines that are switched off or empty. In each pool only a
    share of the machines is emptied at once, so that the others can carry the load.
    The share is larger if the wave is late.
    """
    due = [
        machines[name]
        for name in wave.machines
        if name in machines and name not in begun
    ]
    allowed = max(0, wave.max_down - len(in_maintenance))
    ready = [item for item in due if _is_ready(item, withdrawn, spare_pools)]
    begin = tuple(item.name for item in ready[:allowed])
    withdraw = []
    unavailable = _count_unavailable(machines, withdrawn, in_maintenance)
    is_late = elapsed > LATE_SHARE * wave.duration
    for machine in due:
        if machine.name in withdrawn or machine.pool in spare_pools:
            continue
        if machine.state is not MachineState.UP or not machine.executor_id:
            continue
        if len(withdraw) + _count_withdrawn(due, withdrawn) >= wave.max_down + 1:
            break
        if unavailable.get(machine.pool, 0) >= _limit_unavailable(
            machines, machine.pool, is_late
        ):
            continue
        unavailable[machine.pool] = unavailable.get(machine.pool, 0) + 1
        withdraw.append(machine.name)
    return WavePlan(tuple(withdraw), begin, len(due))


def _is_ready(machine, withdrawn, spare_pools):
    if machine.state is not MachineState.UP:
        return False
    return withdrawn.get(machine.name, False) or (
        machine.pool in spare_pools and not machine.executor_id
    )


def _count_withdrawn(due, withdrawn):
    return sum(machine.name in withdrawn for machine in due)


def _count_unavailable(machines, withdrawn, in_maintenance):
    counts = {}
    for name in withdrawn.keys() | in_maintenance:
        if name in machines:
            pool = machines[name].pool
            counts[pool] = counts.get(pool, 0) + 1
    return counts


def _limit_unavailable(machines, pool, is_late):
    size = sum(machine.pool == pool for machine in machines.values())
    divisor = LATE_POOL_DIVISOR if is_late else POOL_DIVISOR
    return max(1, math.floor(size / divisor))
