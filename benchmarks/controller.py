"""Processor time, memory and store calls of a controller's round, by fleet size.

Usage: python -m benchmarks.controller [--seed=1] [--rounds=30]

Eight controllers share the pools. One of them is measured once the fleet is at rest;
it reads the instance list in each round. Memory is what tracemalloc counts
for the records, the instance list and the view of one more controller that reads them.
"""

import asyncio
import sys
import time
import tracemalloc

import fire
from loguru import logger

from benchmarks.slopes import fit_slope
from peridotspoke.declarations import (
    BudgetDeclaration,
    Configuration,
    DeploymentDeclaration,
    NeedDeclaration,
    PoolDeclaration,
    ServiceDeclaration,
)
from peridotspoke.pools import IncrementalPlanner
from peridotspoke.standins.site import FleetSite, list_machines

SIZES = ((40, 5), (220, 40), (550, 100), (1100, 199))  # (instances, pools)
CONTROLLERS = 8
ZONES = "abcdef"
RACK_SIZE = 4  # instances
WARM_UP = 250  # rounds, after which adoption and the first moves have ended


def measure(seed=1, rounds=30):
    """Print one line for each size, then the slope of each quantity over the sizes."""
    logger.remove()
    logger.add(sys.stderr, level="CRITICAL")
    results = [asyncio.run(_measure_one(*size, seed, rounds)) for size in SIZES]
    sizes = [size for size, _ in SIZES]
    for number, (name, unit) in enumerate(
        (("round", "ms"), ("memory", "KiB"), ("calls", "calls/round"))
    ):
        values = [result[number] for result in results]
        line = fit_slope(name, unit, "instances", sizes, values)
        print(
            f"slope name={name} unit={unit} per_instance={line.slope:.6f}",
            f"intercept={line.intercept:.4f} fit={line.fit:.4f}",
            f"spread={line.spread:.3f}",
        )


async def _measure_one(instances, pools, seed, rounds):
    site = FleetSite(_make_configuration(instances, pools), _make_list(instances), seed)
    names = [f"control-{number}" for number in range(CONTROLLERS)]
    controllers = [site.add_controller(name, IncrementalPlanner()) for name in names]
    for _ in range(WARM_UP):
        await site.run_second()
    tracemalloc.start()
    probe = site.add_controller("probe", IncrementalPlanner())
    probe.take_news()
    memory = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    site.controllers.remove(probe)
    measured = controllers[0]
    processor_time, calls = 0.0, site.store.calls.total()
    for _ in range(rounds):
        await site.run_second(controllers[1:])
        started = time.process_time()
        await measured.run_round()
        processor_time += time.process_time() - started
    calls = (site.store.calls.total() - calls) / rounds / CONTROLLERS
    milliseconds = processor_time / rounds * 1000
    owned = len(measured.controller.list_owned())
    print(
        f"controller instances={instances} pools={pools} owned={owned} seed={seed}",
        f"rounds={rounds} round_ms={milliseconds:.3f} memory_kib={memory:.0f}",
        f"calls_a_round={calls:.3f}",
        flush=True,
    )
    return milliseconds, memory, calls


def _make_list(instances):
    racks = -(-instances // (len(ZONES) * RACK_SIZE))
    return list_machines(ZONES, racks, RACK_SIZE)[:instances]


def _make_configuration(instances, pools):
    size = max(1, instances // pools)
    services = {
        f"pool-{number:03d}": ServiceDeclaration(
            service=f"pool-{number:03d}",
            pool=PoolDeclaration(instances=size, spare=number == 0),
            need=NeedDeclaration(instances=max(1, size // 2)),
            budget=BudgetDeclaration(max_unavailable=1),
        )
        for number in range(pools)
    }
    return Configuration(1, DeploymentDeclaration(deployment="benchmark"), services)


if __name__ == "__main__":
    fire.Fire(measure)
