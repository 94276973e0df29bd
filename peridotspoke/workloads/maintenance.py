"""Decides which machines of a wave are emptied next and which begin maintenance."""

import math
from dataclasses import dataclass

from peridotspoke.workloads.machines import MachineState

__all__ = ["WavePlan", "plan_wave"]

LATE_SHARE = 0.6  # of the wave's time, after which more machines are emptied at once
POOL_SHARE = 4  # one of so many machines of a pool is emptied at once
LATE_POOL_SHARE = 3


@dataclass(frozen=True, slots=True)
class WavePlan:
    """What to do next for a wave.

    Parameters
    ----------
    withdraw : tuple of str
        Machines to empty.
    begin : tuple of str
        Empty machines whose maintenance begins.
    left : int
        Machines that have not begun.
    """

    withdraw: tuple[str, ...]
    begin: tuple[str, ...]
    left: int


def plan_wave(wave, machines, begun, withdrawn, down, elapsed, spare_pools=frozenset()):
    """Return the `WavePlan` of a maintenance wave.

    Parameters
    ----------
    wave : MaintenanceWave
    machines : dict of str to Machine
        As last listed.
    begun : set of str
        Machines whose maintenance has begun.
    withdrawn : dict of str to bool
        Machines that are being emptied, for whatever reason, and whether they are
        empty.
    down : set of str
        Machines of the wave that are, or may be, down for it.
    elapsed : float
        Seconds since the wave was announced.
    spare_pools : set of str, optional
        Pools whose machines are off.

    Notes
    -----
    Machines that are off or empty begin first. In each pool only a share is emptied
    at once, a larger one when the wave is late, so that the others carry its load.
    """
    due = [
        machines[name]
        for name in wave.machines
        if name in machines and name not in begun
    ]
    room = max(0, wave.most_down - len(down))
    empty = [item for item in due if _is_empty(item, withdrawn, spare_pools)]
    begin = tuple(item.name for item in empty[:room])
    withdraw = []
    emptying = _count_emptying(machines, withdrawn, down)
    late = elapsed > LATE_SHARE * wave.duration
    for machine in due:
        if machine.name in withdrawn or machine.pool in spare_pools:
            continue
        if machine.state is not MachineState.UP or not machine.executor_id:
            continue
        if len(withdraw) + _count_waiting(due, withdrawn) >= wave.most_down + 1:
            break
        if emptying.get(machine.pool, 0) >= _limit_pool(machines, machine.pool, late):
            continue
        emptying[machine.pool] = emptying.get(machine.pool, 0) + 1
        withdraw.append(machine.name)
    return WavePlan(tuple(withdraw), begin, len(due))


def _is_empty(machine, withdrawn, spare_pools):
    if machine.state is not MachineState.UP:
        return False
    return withdrawn.get(machine.name, False) or (
        machine.pool in spare_pools and not machine.executor_id
    )


def _count_waiting(due, withdrawn):
    return sum(machine.name in withdrawn for machine in due)


def _count_emptying(machines, withdrawn, down):
    counts = {}
    for name in withdrawn.keys() | down:
        if name in machines:
            pool = machines[name].pool
            counts[pool] = counts.get(pool, 0) + 1
    return counts


def _limit_pool(machines, pool, late):
    size = sum(machine.pool == pool for machine in machines.values())
    share = LATE_POOL_SHARE if late else POOL_SHARE
    return max(1, math.floor(size / share))
