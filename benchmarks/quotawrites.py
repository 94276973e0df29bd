"""Counts the writes of quotas for each start, in the model of their tests.

Run: ``python -m benchmarks.quotawrites``. Pools of one workspace peak in turn, or all
have a backlog that is larger than the limit. One line is printed for each case.
"""

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.tests.quotamodel import QuotaWorld

__all__ = ["count_writes"]

SECONDS = 60.0
TURN = 3.0  # seconds between two peaks
LIMIT = Need(10)


def count_writes(pools, is_contended):
    """Return the writes and the starts of `SECONDS` of the model's time.

    Parameters
    ----------
    pools : int
    is_contended : bool
        Whether all pools have work all the time, instead of one after another.
    """
    world = QuotaWorld(1, pools=pools, limit=LIMIT, room=LIMIT)
    world.run(0.2)
    names = sorted(world.pools)
    turn = 0
    while world.now < SECONDS:
        if is_contended:
            for pool in world.pools.values():
                pool.tasks += [(Need(1), 1.0)] * (20 - len(pool.tasks))
            world.step()
            continue
        pool = world.pools[names[turn % pools]]
        pool.tasks = [(Need(1), 0.5)] * 20
        world.run(TURN)
        turn += 1
    return world.writes, world.starts


def main():
    """Print a line for each case."""
    for pools in (2, 4, 19):
        for is_contended in (False, True):
            writes, starts = count_writes(pools, is_contended)
            case = "all at once" if is_contended else "in turn"
            print(
                f"{pools} pools, {case}: {writes} writes, {starts} starts, "
                f"{writes / SECONDS:.2f} writes a second"
            )


if __name__ == "__main__":
    main()
