"""The incremental rule against the exact solver, by the fleet's size.

Run: ``python -m benchmarks.assignment [TIME_LIMIT]``. Needs are drawn by a fixed
seed. The rule plans round after round until it has no further move; ``held`` counts
instances in pools and in the spare's required buffer. The solver is left out where
a joint model isn't to be solved in the time limit; its line then says so.
"""

import random
import sys
import time

import psutil

from peridotspoke.planning import (
    Assignment,
    InstanceView,
    PlanningRules,
    PoolView,
    plan_moves,
)
from peridotspoke.planning.exact import solve_assignment

__all__ = ["make_fleet", "run_rounds"]

SIZES = ((5, 40, True), (40, 220, True), (199, 1100, False))
MOST_ROUNDS = 200
RACK_SIZE = 4
BUFFER = 4.0
MOVE = 1.0


def make_fleet(pools, instances, seed):
    """Return `PoolView` objects over racks of four, the last one the spare.

    Odd seeds draw needs up to the pools' sizes, even ones just below their sizes.
    """
    chance = random.Random(seed)
    sizes = [instances // pools + (n < instances % pools) for n in range(pools)]
    views, number = [], 0
    for index, size in enumerate(sizes):
        items = []
        for _ in range(size):
            rack = f"rack-{number // RACK_SIZE}"
            items.append(InstanceView(f"instance-{number}", "zone", rack))
            number += 1
        spare = index == pools - 1
        least = 1 if seed % 2 else max(1, size - 2)
        need = 2 if spare else chance.randint(least, size)
        views.append(PoolView(f"pool-{index}", need, 2, tuple(items), spare))
    return views


def run_rounds(views, rules):
    """Return the views after the last round, the moves, rounds and longest round."""
    moves = rounds = 0
    longest = 0.0
    while rounds < MOST_ROUNDS:
        started = time.process_time()
        plan = plan_moves(views, rules)
        longest = max(longest, time.process_time() - started)
        if not plan.moves:
            break
        moves += len(plan.moves)
        rounds += 1
        views = _apply(views, plan.moves)
    return views, moves, rounds, longest


def _apply(views, moves):
    targets = {move.instance: move.target for move in moves}
    members = {view.pool: [] for view in views}
    for view in views:
        for item in view.instances:
            members[targets.get(item.instance, view.pool)].append(item)
    return [
        PoolView(v.pool, v.need, v.max_unavailable, tuple(members[v.pool]), v.spare)
        for v in views
    ]


def _format_rule(pools, instances, seed):
    views = make_fleet(pools, instances, seed)
    views, moves, rounds, longest = run_rounds(views, PlanningRules(BUFFER, MOVE))
    left = Assignment(views)
    held = instances - left.count_releasable() - sum(v.need for v in views if v.spare)
    cost = BUFFER * held + MOVE * moves
    return (
        f"planner=rule pools={pools} instances={instances} seed={seed} moves={moves} "
        f"held={held} shortage={left.measure_shortage()} "
        f"exposure={left.measure_exposure()[0]} cost={cost:.0f} "
        f"rounds={rounds} longest_round_ms={1000 * longest:.1f}"
    )


def _format_exact(pools, instances, seed, time_limit):
    views = make_fleet(pools, instances, seed)
    started = time.process_time()
    plan = solve_assignment(views, BUFFER, MOVE, time_limit)
    taken = time.process_time() - started
    memory = psutil.Process().memory_info().rss / (1 << 20)
    cost = BUFFER * plan.held_instances + MOVE * plan.moves
    return (
        f"planner=exact pools={pools} instances={instances} seed={seed} "
        f"moves={plan.moves} held={plan.held_instances} shortage={plan.shortage} "
        f"exposure={plan.exposure} cost={cost:.0f} "
        f"optimal={plan.is_optimal} processor_s={taken:.2f} memory_mib={memory:.0f}"
    )


def main():
    """Print a line for each size and planner."""
    time_limit = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    for pools, instances, solved in SIZES:
        for seed in (1, 2):
            print(_format_rule(pools, instances, seed), flush=True)
            if solved:
                print(_format_exact(pools, instances, seed, time_limit), flush=True)


if __name__ == "__main__":
    main()
