"""Traces of demand, rack losses and maintenance for the planning benchmark."""

import math
import random
from dataclasses import dataclass

__all__ = ["DEPLOYMENTS", "Deployment", "Trace", "make_trace"]

HOUR = 3600.0
DAY = 24 * HOUR
SLOT = 10.0  # seconds of a surge
SURGE = 5.0
BETWEEN = 1 / 20
RACK_LOSS_INTERVAL = 2 * DAY
RACK_LOSS_TIME = 2 * HOUR
MOST_ERROR = 3.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment of the benchmark; `buffer` and `move` are its weights."""

    name: str
    pools: tuple[str, ...]
    spare: str
    buffer: float
    move: float


DEPLOYMENTS = (
    Deployment(
        "lima", ("spanish", "quechua", "english", "aymara", "mostrador"),
        "mostrador", 4.0, 1.0,
    ),
    Deployment(
        "vorarlberg", ("hohenems", "dornbirn", "lustenau", "feldkirch", "common"),
        "common", 1.0, 4.0,
    ),
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Trace:
    """What happens to one deployment.

    Demand is in instances' worth of work; `losses` are (begin, end, rack).
    """

    deployment: Deployment
    declared: dict[str, int]
    bases: dict[str, float]
    events: dict[str, tuple[float, float]]
    losses: tuple[tuple[float, float, str], ...]

    def get_mean(self, pool, at):
        """Return the mean demand of a pool at a time of the day and the week."""
        daily = 0.7 + 0.3 * math.sin(2 * math.pi * (at / DAY - 0.25))
        begin, end = self.events[pool]
        return self.bases[pool] * daily * (1.6 if begin <= at < end else 1.0)

    def get_demand(self, pool, at):
        """Return the demand within the surges that the pools have in turn."""
        pools = self.deployment.pools
        turn = int(at // SLOT) % len(pools)
        share = SURGE if pools[turn] == pool else BETWEEN
        return self.get_mean(pool, at) * share

    def is_lost(self, rack, at):
        """Return whether a rack is lost at a time."""
        return any(
            name == rack and begin <= at < end for begin, end, name in self.losses
        )


def make_trace(deployment, days, racks, seed):
    """Return a `Trace` of some days whose declarations are wrong by up to 3 times."""
    chance = random.Random(f"{deployment.name}-{seed}")
    bases = {pool: chance.uniform(1.6, 4.2) for pool in deployment.pools}
    declared = {}
    for pool, base in bases.items():
        error = MOST_ERROR ** chance.uniform(-1, 1)
        declared[pool] = min(8, max(1, round(base * error)))
    events = {}
    for number, pool in enumerate(deployment.pools):
        begin = (number * days / len(deployment.pools) + chance.uniform(0, 0.5)) * DAY
        events[pool] = (begin, begin + 10 * HOUR)
    losses, at = [], 0.0
    while (at := at + chance.expovariate(1 / RACK_LOSS_INTERVAL)) < days * DAY:
        losses.append((at, at + RACK_LOSS_TIME, chance.choice(racks)))
    return Trace(deployment, declared, bases, events, tuple(losses))
