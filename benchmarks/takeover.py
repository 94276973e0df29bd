"""Time until another controller takes over a pool, in multiples of the lease's TTL.

Usage: python -m benchmarks.takeover [--seed=1] [--trials=20]

On a manual clock, the owner of a pool is killed, frozen or cut off from the platform
at a random moment of its renewal interval. The time until another controller may act
on the pool is divided by the lease's time to live.
"""

import asyncio
import random
import sys

import fire
from hdrh.histogram import HdrHistogram
from loguru import logger

from peridotspoke.pools import FixedPlanner
from peridotspoke.pools.tests.sites import make_site
from peridotspoke.standins.site import LEASE_TTL

STEP = 0.1  # seconds between two rounds
SCALE = 1000  # counts for one time to live; the histogram holds integers


def measure(seed=1, trials=20):
    """Print one line for each kind of failure."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR")
    for fault in ("kill", "freeze", "cut"):
        rng = random.Random(seed)
        histogram = HdrHistogram(1, 100 * SCALE, 3)
        for _ in range(trials):
            takeover_time = asyncio.run(_measure_one(fault, rng)) / LEASE_TTL
            histogram.record_value(max(1, round(takeover_time * SCALE)))
        print(
            f"takeover fault={fault} trials={trials} seed={seed} lease_s={LEASE_TTL:g}",
            f"median_units={histogram.get_value_at_percentile(50) / SCALE:.2f}",
            f"max_units={histogram.get_max_value() / SCALE:.2f}",
        )


async def _measure_one(fault, rng):
    site = make_site()
    controllers = [site.add_controller(name, FixedPlanner()) for name in ("a", "b")]
    renewed_at = dict.fromkeys(controllers, 0.0)
    for _ in range(round(rng.uniform(10, 20) / STEP)):
        await _run_step(site, controllers, renewed_at)
    owner = next(item for item in controllers if item.controller.list_owned())
    others = [item for item in controllers if item is not owner]
    pools = owner.controller.list_owned()
    failed_at = site.clock.read_monotonic()
    if fault == "cut":
        owner.service.down = True
    running = controllers if fault == "cut" else others
    while not pools <= others[0].controller.list_owned():
        await _run_step(site, running, renewed_at)
        held = owner.process.is_held() and pools <= owner.controller.list_owned()
        taken = pools <= others[0].controller.list_owned()
        assert not (held and taken), "two controllers may act on one pool"
    return site.clock.read_monotonic() - failed_at


async def _run_step(site, controllers, renewed_at):
    site.clock.advance(STEP)
    now = site.clock.read_monotonic()
    site.entries.pass_time(now)
    for item in controllers:
        renewal_due = now - renewed_at[item] >= LEASE_TTL / 3
        if renewal_due:
            renewed_at[item] = now
        await item.run_round(renewal_due)


if __name__ == "__main__":
    fire.Fire(measure)
