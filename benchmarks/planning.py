"""Compares the planner's buffer cost and moves with baselines on seeded traces.

Run: ``python -m benchmarks.planning [DAYS] [SEEDS] [POLICY]``. Prints one line for
each deployment, policy and seed. Times are in instance-hours:

``idle_h``
    Held instances beyond the mean demand. Instances that the plan marks as releasable
    don't count as held.
``short_h``
    Mean demand beyond a pool's available instances.
``uncovered_h``
    The part of ``short_h`` that the spare's free instances can't serve either.
``weighed``
    The sum of ``idle_h`` and ``moves``, each times its weight in the deployment.
``violations``
    Cases in which a step's moves make more of a pool's instances unavailable than
    its budget allows.
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
STEP = 60.0  # seconds between two plans
LAG = 60.0  # seconds by which usage reports lag
MOVE_TIME = 120.0  # seconds for which a moving instance is unavailable
MAINTENANCE_TIME = 1800.0  # seconds for which an instance is unavailable
MAINTENANCE_PERIOD = 28 * DAY
POOL_SIZE = 8  # instances
RACK_SIZE = 4  # instances
MAX_UNAVAILABLE = 2  # instances of a pool
HISTORY = 7 * DAY  # for which past moves are given to the planner
UTILISATION = 0.85  # at which the chasing policy sizes pools


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
    """Holds all instances, with a fixed number in each pool."""

    name = "fixed-all"

    def plan(self, simulation, now):
        """Return the moves of a step and the held instances."""
        return (), len(simulation.instances)

    def observe(self, simulation, now):
        """Process the usage reports of the last step."""


class FixedBuffer(Policy):
    """Holds the declared need plus one rack in each pool."""

    name = "fixed-buffer"

    def plan(self, simulation, now):
        """Return the moves of a step and the held instances."""
        declared = simulation.trace.declared.values()
        return (), sum(min(POOL_SIZE, need + RACK_SIZE) for need in declared)


class ChaseDemand(Policy):
    """Moves instances to and from the spare to follow the last step's usage."""

    name = "chase"

    def plan(self, simulation, now):
        """Return the moves of a step and the held instances."""
        needs = {pool: 1 for pool in simulation.trace.deployment.pools}
        slots_per_step = STEP / SURGE_TIME
        used = Counter()
        for sample in simulation.samples:
            used[sample.pool] += sample.used / slots_per_step
        for pool, mean in used.items():
            needs[pool] = max(1, math.ceil(mean / UTILISATION))
        rules = PlanningRules(buffer=1.0, move=0.0, min_residence=0.0)
        plan = plan_moves(simulation.make_views(now, needs), rules, now)
        return plan.moves, len(simulation.instances) - plan.releasable


class Planned(Policy):
    """Estimates needs from usage and plans moves with the deployment's weights."""

    name = "planned"

    def __init__(self, deployment, rules=None, estimation=None):
        self.rules = rules or PlanningRules(deployment.buffer, deployment.move)
        idle_timeout = compute_idle_timeout(deployment.buffer, deployment.move)
        self.estimator = NeedEstimator(
            estimation or EstimationRules(max_window=idle_timeout)
        )
        self.history = []

    def observe(self, simulation, now):
        """Feed each usage sample of the last step to the estimator."""
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
    """Simulates the instances of one deployment under a trace."""

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
        """Return whether an instance can serve at `now`."""
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
        """Return the `_Totals` of a policy over `days` days."""
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
        """Serve the demand of the last step, each pool with its own backlog."""
        self.samples = []
        for pool in self.trace.deployment.pools:
            pool_instances = self.list_pool(pool)
            serving = sum(self.is_available(item, now) for item in pool_instances)
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
            unavailable = sum(
                not self.is_available(i, now) for i in self.list_pool(pool)
            )
            totals.violations += count + unavailable > MAX_UNAVAILABLE

    def _maintain(self, now, totals):
        """Start due maintenance, one instance of a pool at a time."""
        for pool in self.trace.deployment.pools:
            pool_instances = self.list_pool(pool)
            due_instances = [
                i for i in pool_instances if now - i.maintained_at > MAINTENANCE_PERIOD
            ]
            unavailable = sum(
                not self.is_available(item, now) for item in pool_instances
            )
            if due_instances and unavailable == 0:
                due_instances[0].maintained_at = now
                due_instances[0].out_until = now + MAINTENANCE_TIME
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
        unavailable = sum(not self.is_available(item, now) for item in self.instances)
        totals.idle += max(0.0, held - unavailable - demand) * hours
        totals.short += short * hours
        totals.uncovered += max(0.0, short - free) * hours


def compute_bound(trace, days):
    """Return a lower bound of the idle instance-hours of any plan.

    The held instances are spread evenly over all racks. After the loss of the rack
    with the most of them, the rest must cover the sum of the mean demands.
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
    """Run one policy on one trace and return its line of results."""
    racks = [
        f"{pool}-rack-{n}" for pool in deployment.pools for n in range(POOL_SIZE // 4)
    ]
    trace = make_trace(deployment, days, racks, seed)
    totals = Simulation(trace).run(policy, days)
    weighed = deployment.buffer * totals.idle + deployment.move * totals.moves
    contending_pools = [pool for pool in deployment.pools if pool != deployment.spare]
    return (
        f"deployment={deployment.name} policy={policy.name} seed={seed} days={days} "
        f"idle_h={totals.idle:.1f} bound_h={compute_bound(trace, days):.1f} "
        f"moves={totals.moves} weighed={weighed:.0f} short_h={totals.short:.2f} "
        f"uncovered_h={totals.uncovered:.2f} violations={totals.violations} "
        f"maintained={totals.maintained} "
        f"spread={measure_evenness(totals.history, contending_pools)} "
        f"step_ms={1000 * totals.processor / (days * DAY / STEP):.3f}"
    )


def main():
    """Print one line for each deployment, policy and seed."""
    days = int(sys.argv[1]) if len(sys.argv) > 1 else 7
    seeds = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    selected_policy = sys.argv[3] if len(sys.argv) > 3 else "all"
    for deployment in DEPLOYMENTS:
        for seed in range(1, seeds + 1):
            policies = (Policy(), FixedBuffer(), ChaseDemand(), Planned(deployment))
            for policy in policies:
                if selected_policy not in ("all", policy.name):
                    continue
                print(run_policy(policy, deployment, days, seed), flush=True)


if __name__ == "__main__":
    main()
