"""Maintenance of both example deployments over four weeks on a manual clock.

Usage: python -m benchmarks.maintenance [--seed=1] [--days=28] [--lag=30]

Instances fail and racks are lost at random moments. The instance list lags by `lag`
seconds and, in a second run, by eight times as much. Counted are the maintained
instances, the planned disruptions that exceed a pool's budget or need as known at
that moment, and the pools that report late maintenance.
"""

import asyncio
import random
import sys
from dataclasses import replace
from pathlib import Path

import fire
from loguru import logger

from peridotspoke.declarations import (
    Configuration,
    ServiceDeclaration,
    parse_declaration,
)
from peridotspoke.pools import IncrementalPlanner, Phase
from peridotspoke.standins.site import BOUNDS, FleetSite, list_machines

DAY = 86_400.0  # seconds
BUSY_STEP = 5.0  # seconds between two rounds while work is under way
IDLE_STEP = 300.0  # seconds between two rounds at rest
FAILURES_PER_DAY = 0.3  # of single instances, the mean
RACK_LOSS_INTERVAL = 9.0  # days, the mean
REPAIR_TIME = 900.0  # seconds
REBOOT_TIME = 300.0  # seconds
EXAMPLES = Path(__file__).parent.parent / "examples"
ZONES = {"lima": "abcd", "vorarlberg": "abcd"}


def measure(seed=1, days=28, lag=30.0):
    """Print one line for each deployment and lag."""
    logger.remove()
    logger.add(sys.stderr, level="CRITICAL")
    for example in ("lima", "vorarlberg"):
        for factor in (1, 8):
            _measure_one(example, seed, days, lag * factor)


def read_example(name):
    """Return the `Configuration` of an example."""
    services, deployment = {}, None
    for path in sorted((EXAMPLES / name).glob("*.toml")):
        declaration = parse_declaration(str(path), path.read_text(encoding="utf-8"))
        if isinstance(declaration, ServiceDeclaration):
            services[declaration.service] = declaration
        else:
            deployment = declaration
    return Configuration(1, deployment, services)


class _Run:
    def __init__(self, example, seed, lag):
        self.configuration = read_example(example)
        machines = list_machines(ZONES[example], 3, 4)[:40]
        self.site = FleetSite(
            self.configuration,
            machines,
            seed,
            replace(BOUNDS, pause_threshold=2 * IDLE_STEP),
            reboot_time=REBOOT_TIME,
            lease_ttl=2 * IDLE_STEP,
        )
        self.site.list_lag = lag
        self.site.add_controller("control-a", IncrementalPlanner())
        self.site.add_controller("control-b", IncrementalPlanner())
        self.rng = random.Random(seed)
        self.repairs = []
        self.violations = 0
        self.moves = 0
        self.failures = 0
        self.racks_lost = 0
        self.last_records = {}

    async def run_step(self, step):
        site = self.site
        site.clock.advance(step)
        now = site.clock.read_monotonic()
        site.entries.pass_time(now)
        self.inject_faults(now, step)
        for controller in site.controllers:
            await controller.run_round()
        self.check_drains()

    def inject_faults(self, now, step):
        names = sorted(self.site.fleet.instances)
        if self.rng.random() < FAILURES_PER_DAY * step / DAY:
            self.fail_instances([self.rng.choice(names)], now)
        if self.rng.random() < step / DAY / RACK_LOSS_INTERVAL:
            self.racks_lost += 1
            item = self.site.fleet.instances[self.rng.choice(names)]
            self.fail_instances(
                self.site.fleet.fail_rack(item.zone, item.rack, now), now
            )
        for at, name in [item for item in self.repairs if item[0] <= now]:
            self.repairs.remove((at, name))
            self.site.fleet.bring_back(name, now)

    def fail_instances(self, names, now):
        self.failures += len(names)
        for name in names:
            self.site.fleet.fail(name, now)
            self.repairs.append((now + REPAIR_TIME, name))

    def check_drains(self):
        """Count each new drain that breaks the budget or need by the lagging list."""
        records = self.site.read_records()
        now = self.site.clock.read_monotonic()
        listed = self.site.fleet.read_list(now - self.site.list_lag)
        live = {item.instance for item in listed if item.state == "live"}
        for name, record in records.items():
            previous = self.last_records.get(name)
            self.last_records[name] = record
            if previous is None or previous.phase == record.phase:
                continue
            self.moves += previous.pool != record.pool
            if record.phase is Phase.DRAINING:
                self.violations += self.count_violation(records, record, live)

    def count_violation(self, records, record, live):
        pool = [item for item in records.values() if item.pool == record.pool]
        unavailable = [
            item
            for item in pool
            if item.phase is not Phase.SERVING or item.instance not in live
        ]
        declared = self.configuration.services[record.pool]
        available = len(pool) - len(unavailable)
        over_budget = len(unavailable) > declared.budget.max_unavailable
        return int(over_budget or available < declared.need.instances)


def _measure_one(example, seed, days, lag):
    run = _Run(example, seed, lag)
    asyncio.run(_run_days(run, days))
    records = run.site.read_records().values()
    late = sum(
        b'"late":[{' in record.value
        for key, record in run.site.store.records.items()
        if key.endswith("/status")
    )
    maintained = sum(item.maintained_at > 1.5 * DAY for item in records)
    print(
        f"maintenance example={example} seed={seed} days={days} lag_s={lag:g}",
        f"instances={len(records)} maintained={maintained} violations={run.violations}",
        f"pools_told_late={late} failures={run.failures}",
        f"racks_lost={run.racks_lost} moves={run.moves}",
        f"reboots={sum(run.site.fleet.reboots.values())}",
        f"service_calls={run.site.store.calls.total()}",
        flush=True,
    )


async def _run_days(run, days):
    while run.site.clock.read_monotonic() < days * DAY:
        records = run.site.read_records().values()
        has_work = any(item.phase is not Phase.SERVING for item in records)
        await run.run_step(BUSY_STEP if has_work else IDLE_STEP)


if __name__ == "__main__":
    fire.Fire(measure)
