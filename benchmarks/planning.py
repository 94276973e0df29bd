"""Buffer cost and moves of planning against baselines, on traces with fixed seeds.

Run: ``python -m benchmarks.planning [DAYS] [SEEDS] [POLICY]``. One line for each
deployment, policy and seed, in hours of one instance:

``idle_h``
    Held instances beyond the mean demand. What the plan says can be released isn't
    held.
``short_h``
    Mean demand beyond a pool's available instances.
``uncovered_h``
    The part of it that the spare's free instances don't take either.
``weighed``
    The deployment's weights times ``idle_h`` and ``moves``.
``violations``
    Steps in which planned work has more instances of a pool out than its budget.
"""

import math
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.traces import DEPLOYMENTS, HOUR, SURGE_TIME, make_trace
from peridotspoke.planning import (
    EstimationRules,
    InstanceView,
    NeedEstimator,
    PastMove,
    PlanningRules,
    PoolView,
    UsageSample,
    compute_idle_timeout,
    measure_evenness,
    plan_moves,
)

__all__ = ["Simulation", "run_policy"]

DAY = 24 * HOUR
STEP = 60.0  # seconds
LAG = 60.0  # seconds, of reported usage
MOVE_TIME = 120.0  # seconds for which a moving instance is out
MAINTENANCE_TIME = 1800.0  # seconds
MAINTENANCE_PERIOD = 28 * DAY
POOL_SIZE = 8
RACK_SIZE = 4
MAX_UNAVAILABLE = 2
HISTORY = 7 * DAY
UTILISATION = 0.85


@dataclass(slots=True)
class _Instance:
    name: str
    rack: str
    pool: str
    out_until: float = 0.0
    maintained_at: float = 0.0


@dataclass(slots=True)
class _Totals:
    idle: float = 0.0
    short: float = 0.0
    uncovered: float = 0.0
    moves: int = 0
    violations: int = 0
    maintained: int = 0
    processor: float = 0.0
    history: list = field(default_factory=list)


class Policy:
    """Holds all that there is, with a fixed number in each pool."""

    name = "fixed-all"

    def plan(self, simulation, now):
        """Return the moves of a step and the held instances."""
        return (), len(simulation.instances)

    def observe(self, simulation, now):
        """Take what was reported in the last step."""


class FixedBuffer(Policy):
    """Holds the declared need and one rack more in each pool."""

    name = "fixed-buffer"

    def plan(self, simulation, now):
        """Return the moves of a step and the held instances."""
        declared = simulation.trace.declared.values()
        return (), sum(min(POOL_SIZE, need + RACK_SIZE) for need in declared)


class ChaseDemand(Policy):
    """Moves instances to and from the spare as the reported use goes."""

    name = "chase"

    def plan(self, simulation, now):
        """Return the moves of a step and the held instances."""
        needs = {pool: 1 for pool in simulation.trace.deployment.pools}
        slots = STEP / SURGE_TIME
        used = Counter()
        for sample in simulation.samples:
            used[sample.pool] += sample.used / slots
        for pool, mean in used.items():
            needs[pool] = max(1, math.ceil(mean / UTILISATION))
        rules = PlanningRules(buffer=1.0, move=0.0, min_residence=0.0)
        plan = plan_moves(simulation.make_views(now, needs), rules, now)
        return plan.moves, len(simulation.instances) - plan.releasable


class Planned(Policy):
    """Estimates needs from usage and plans with the deployment's weights."""

    name = "planned"

    def __init__(self, deployment, rules=None, estimation=None):
        self.rules = rules or PlanningRules(deployment.buffer, deployment.move)
        idle_timeout = compute_idle_timeout(deployment.buffer, deployment.move)
        self.estimator = NeedEstimator(
            estimation or EstimationRules(max_window=idle_timeout)
        )
        self.history = []

    def observe(self, simulation, now):
        """Take the usage of the last step, slot by slot."""
        for sample in simulation.samples:
            self.estimator.observe(sample, now)

    def plan(self, simulation, now):
        """Return the moves of a step and the held instances."""
        needs = {
            pool: self.estimator.estimate(pool, declared, 0.95, now).need
            for pool, declared in simulation.trace.declared.items()
        }
        self.history = [item for item in self.history if now - item.at < HISTORY]
        views = simulation.make_views(now, needs)
        plan = plan_moves(views, self.rules, now, self.history)
        self.history += [
            PastMove(move.instance, move.source, move.target, now)
            for move in plan.moves
        ]
        return plan.moves, len(simulation.instances) - plan.releasable


class Simulation:
    """One deployment's instances under a trace."""

    def __init__(self, trace):
        self.trace = trace
        self.samples = []
        self.instances = [
            _Instance(f"{pool}-{n}", f"{pool}-rack-{n // RACK_SIZE}", pool)
            for pool in trace.deployment.pools
            for n in range(POOL_SIZE)
        ]
        for number, item in enumerate(self.instances):
            item.maintained_at = -MAINTENANCE_PERIOD * number / len(self.instances)
        self._backlog = Counter()

    def list_pool(self, pool):
        """Return the instances of a pool."""
        return [item for item in self.instances if item.pool == pool]

    def is_available(self, item, now):
        """Return whether an instance serves."""
        return item.out_until <= now and not self.trace.is_lost(item.rack, now)

    def make_views(self, now, needs):
        """Return the `PoolView` of each pool."""
        spare = self.trace.deployment.spare
        return [
            PoolView(
                pool,
                need,
                MAX_UNAVAILABLE,
                tuple(
                    InstanceView(
                        item.name,
                        "zone",
                        item.rack,
                        self.is_available(item, now),
                        not self.trace.is_lost(item.rack, now),
                    )
                    for item in self.list_pool(pool)
                ),
                pool == spare,
            )
            for pool, need in needs.items()
        ]

    def run(self, policy, days):
        """Return the `_Totals` of a policy."""
        totals = _Totals()
        now = 0.0
        while now < days * DAY:
            self._serve(now)
            started = time.process_time()
            policy.observe(self, now)
            moves, held = policy.plan(self, now)
            totals.processor += time.process_time() - started
            self._move(moves, now, totals)
            self._maintain(now, totals)
            self._count(now, held, totals)
            now += STEP
        return totals

    def _serve(self, now):
        """Serve the last step's slots, each pool with its own queue."""
        self.samples = []
        for pool in self.trace.deployment.pools:
            items = self.list_pool(pool)
            serving = sum(self.is_available(item, now) for item in items)
            at = now - STEP
            while at < now:
                work = self._backlog[pool] + self.trace.get_demand(pool, at)
                used = min(work, serving)
                self._backlog[pool] = min(work - used, 6.0 * POOL_SIZE)
                self.samples.append(UsageSample(pool, at - LAG, used, serving))
                at += SURGE_TIME

    def _move(self, moves, now, totals):
        by_name = {item.name: item for item in self.instances}
        for move in moves:
            by_name[move.instance].pool = move.target
            by_name[move.instance].out_until = now + MOVE_TIME
            totals.moves += 1
            totals.history.append(move)
        sources = Counter(move.source for move in moves)
        for pool, count in sources.items():
            out = sum(not self.is_available(i, now) for i in self.list_pool(pool))
            totals.violations += count + out > MAX_UNAVAILABLE

    def _maintain(self, now, totals):
        """Begin the maintenance that is due, one instance of a pool at a time."""
        for pool in self.trace.deployment.pools:
            items = self.list_pool(pool)
            due = [i for i in items if now - i.maintained_at > MAINTENANCE_PERIOD]
            out = sum(not self.is_available(item, now) for item in items)
            if due and out == 0:
                due[0].maintained_at = now
                due[0].out_until = now + MAINTENANCE_TIME
                totals.maintained += 1

    def _count(self, now, held, totals):
        hours = STEP / HOUR
        demand = short = 0.0
        spare = self.trace.deployment.spare
        free = 0.0
        for pool in self.trace.deployment.pools:
            mean = self.trace.get_mean(pool, now)
            serving = sum(self.is_available(i, now) for i in self.list_pool(pool))
            demand += mean
            short += max(0.0, mean - serving)
            free += max(0.0, serving - mean) if pool == spare else 0.0
        out = sum(not self.is_available(item, now) for item in self.instances)
        totals.idle += max(0.0, held - out - demand) * hours
        totals.short += short * hours
        totals.uncovered += max(0.0, short - free) * hours


def compute_bound(trace, days):
    """Return the idle hours that no plan can be below.

    Instances held are spread over all racks; what is left after the loss of the
    fullest one holds the sum of the mean demands.
    """
    racks = len(trace.deployment.pools) * POOL_SIZE // RACK_SIZE
    idle, now = 0.0, 0.0
    while now < days * DAY:
        demand = sum(trace.get_mean(pool, now) for pool in trace.deployment.pools)
        held = math.ceil(demand)
        while held - math.ceil(held / racks) < demand:
            held += 1
        idle += (held - demand) * STEP / HOUR
        now += STEP
    return idle


def run_policy(policy, deployment, days, seed):
    """Return the line of one policy on one trace."""
    racks = [
        f"{pool}-rack-{n}" for pool in deployment.pools for n in range(POOL_SIZE // 4)
    ]
    trace = make_trace(deployment, days, racks, seed)
    totals = Simulation(trace).run(policy, days)
    weighed = deployment.buffer * totals.idle + deployment.move * totals.moves
    rivals = [pool for pool in deployment.pools if pool != deployment.spare]
    return (
        f"deployment={deployment.name} policy={policy.name} seed={seed} days={days} "
        f"idle_h={totals.idle:.1f} bound_h={compute_bound(trace, days):.1f} "
        f"moves={totals.moves} weighed={weighed:.0f} short_h={totals.short:.2f} "
        f"uncovered_h={totals.uncovered:.2f} violations={totals.violations} "
        f"maintained={totals.maintained} "
        f"spread={measure_evenness(totals.history, rivals)} "
        f"step_ms={1000 * totals.processor / (days * DAY / STEP):.3f}"
    )


def main():
    """Print one line for each deployment, policy and seed."""
    days = int(sys.argv[1]) if len(sys.argv) > 1 else 7
    seeds = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    wanted = sys.argv[3] if len(sys.argv) > 3 else "all"
    for deployment in DEPLOYMENTS:
        for seed in range(1, seeds + 1):
            policies = (Policy(), FixedBuffer(), ChaseDemand(), Planned(deployment))
            for policy in policies:
                if wanted not in ("all", policy.name):
                    continue
                print(run_policy(policy, deployment, days, seed), flush=True)


if __name__ == "__main__":
    main()
