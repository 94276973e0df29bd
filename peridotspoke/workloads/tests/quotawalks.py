"""Random walks of the model of quotas."""

import random
from dataclasses import dataclass

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.tests.quotamodel import QuotaWorld


@dataclass(frozen=True, slots=True)
class FaultRates:
    """How often things happen in a walk, for each step.

    Parameters
    ----------
    late : float
        Share of the writes that arrive late.
    takeover, cut, limit, pause : float
        Probability of each such fault.
    load : float
        Probability that a pool gets work.
    """

    late: float
    takeover: float
    load: float
    cut: float = 0.006
    limit: float = 0.004
    pause: float = 0.004


RATES = (
    FaultRates(late=0.15, takeover=0.006, load=0.1),
    FaultRates(late=0.5, takeover=0.01, load=0.03),
)


def walk(seed, weaken=None, seconds=12.0, quiet=12.0):
    """Run a random walk with faults and then a quiet time; return its world.

    Parameters
    ----------
    seed : int
    weaken : dict, optional
        Arguments of `QuotaWorld.weaken`.
    seconds, quiet : float, optional
        How long each of the two parts lasts.

    Raises
    ------
    QuotaBrokenError
        If more runs than the limit in force allows, or a task waits for quota that
        nobody uses.
    """
    world = QuotaWorld(seed, pools=3, limit=Need(10, 0, 4))
    world.weaken(**(weaken or {}))
    rates = RATES[seed % len(RATES)]
    chance = random.Random(seed + 1)
    world.is_faulty, world.late_share = True, rates.late
    end = world.now + seconds
    while world.now < end:
        world.step()
        _disturb(world, chance, rates)
    world.is_faulty = False
    world.change_limit(Need(10, 0, 4))
    world.run(4.0)
    world.is_quiet = True
    end = world.now + quiet
    while world.now < end:
        world.step()
        _submit(world, chance, 0.1)
    return world


def _disturb(world, chance, rates):
    _submit(world, chance, rates.load)
    pool = world.pools[chance.choice(sorted(world.pools))]
    if chance.random() < rates.takeover:
        pool.take_over()
    if chance.random() < rates.cut:
        world.cut_off(pool)
    if chance.random() < rates.limit:
        world.change_limit(Need(chance.choice((4, 6, 10, 14)), 0, 4))
    if chance.random() < rates.pause:
        pool.pause_until = world.now + chance.uniform(0.1, 0.6)


def _submit(world, chance, load):
    pool = world.pools[chance.choice(sorted(world.pools))]
    if chance.random() < load and len(pool.tasks) < 20:
        need = Need(chance.choice((1, 1, 2, 3, 7)), 0, chance.choice((0, 0, 0, 1)))
        duration = chance.choice((0.1, 0.3, 1.0))
        pool.tasks += [(need, duration)] * chance.choice((1, 1, 3))


def walk_returns(seed, weaken=None, turns=4):
    """Run a walk in which a pool returns its grant late, and much work comes meanwhile.

    At random times the pool has been taken over before. Its late write would leave it
    less than its owner goes by, if that were possible.

    Parameters
    ----------
    seed : int
    weaken : dict, optional
        Arguments of `QuotaWorld.weaken`.
    turns : int, optional

    Raises
    ------
    QuotaBrokenError
        As in `walk`.
    """
    world = QuotaWorld(seed)
    world.weaken(**(weaken or {}))
    chance = random.Random(seed + 1)
    for _ in range(turns):
        world.is_faulty = False
        pool = world.pools[chance.choice(sorted(world.pools))]
        pool.tasks += [(Need(2), 0.2)] * 5
        world.run(0.5)
        world.is_faulty, world.late_share = True, 1.0
        for _ in range(100):
            world.step()
            if world.late_pools:
                break
        if chance.random() < 0.5:
            pool.take_over()
        world.run(chance.uniform(0.0, 0.4))
        for other in world.pools.values():
            other.tasks += [(Need(2), 1.0)] * 5
        world.run(chance.uniform(0.02, 0.1))
        world.is_faulty = False
        world.run(5.0)
    return world
