"""Traces of demand, rack losses and maintenance for the planning benchmark."""

import math
import random
from dataclasses import dataclass

__all__ = ["DEPLOYMENTS", "Deployment", "Trace", "make_trace"]

HOUR = 3600.0  # seconds
DAY = 24 * HOUR
SURGE_TIME = 10.0  # seconds
SURGE_FACTOR = 5.0  # times the mean demand
LULL_FACTOR = 1 / 20  # times the mean demand, outside the pool's own surge
RACK_LOSS_INTERVAL = 2 * DAY  # mean time between two losses
RACK_LOSS_TIME = 2 * HOUR
MAX_DECLARATION_ERROR = 3.0  # largest factor, either way, of a declared need


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment of the benchmark.

    `buffer` and `move` are the planner's weights of held instances and of moves.
    """

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
    """The demand and the rack losses of one deployment.

    Times are in seconds from the start of the trace, demand is in instances.
    `declared` holds the declared need of each pool, `bases` its mean demand at the
    daily maximum, and `events` the begin and end of a period with 1.6 times the
    demand. `losses` are (begin, end, rack).
    """

    deployment: Deployment
    declared: dict[str, int]
    bases: dict[str, float]
    events: dict[str, tuple[float, float]]
    losses: tuple[tuple[float, float, str], ...]

    def get_mean(self, pool, at):
        """Return the mean demand of a pool at the time `at`, without surges."""
        daily = 0.7 + 0.3 * math.sin(2 * math.pi * (at / DAY - 0.25))
        begin, end = self.events[pool]
        return self.bases[pool] * daily * (1.6 if begin <= at < end else 1.0)

    def get_demand(self, pool, at):
        """Return the demand of a pool at `at`; the pools surge in turn."""
        pools = self.deployment.pools
        turn = int(at // SURGE_TIME) % len(pools)
        share = SURGE_FACTOR if pools[turn] == pool else LULL_FACTOR
        return self.get_mean(pool, at) * share

    def is_lost(self, rack, at):
        """Return whether a rack is lost at the time `at`."""
        return any(
            name == rack and begin <= at < end for begin, end, name in self.losses
        )


def make_trace(deployment, days, racks, seed):
    """Return a `Trace` of `days` days.

    The declared needs are wrong by a factor of up to `MAX_DECLARATION_ERROR`.
    """
    rng = random.Random(f"{deployment.name}-{seed}")
    bases = {pool: rng.uniform(1.6, 4.2) for pool in deployment.pools}
    declared = {}
    for pool, base in bases.items():
        error = MAX_DECLARATION_ERROR ** rng.uniform(-1, 1)
        declared[pool] = min(8, max(1, round(base * error)))
    events = {}
    for number, pool in enumerate(deployment.pools):
        begin = (number * days / len(deployment.pools) + rng.uniform(0, 0.5)) * DAY
        events[pool] = (begin, begin + 10 * HOUR)
    losses, at = [], 0.0
    while (at := at + rng.expovariate(1 / RACK_LOSS_INTERVAL)) < days * DAY:
        losses.append((at, at + RACK_LOSS_TIME, rng.choice(racks)))
    return Trace(deployment, declared, bases, events, tuple(losses))
