"""Compares the incremental planner with the exact solver at several fleet sizes.

Run: ``python -m benchmarks.assignment [TIME_LIMIT]``. TIME_LIMIT is the
solver's limit in seconds. Needs are drawn with fixed seeds. The incremental planner
(``planner=rule``) plans round after round until it finds no further move. ``held``
counts the instances in pools and in the spare's required buffer. The solver is
skipped at the largest size, where it can't solve a joint model within the time limit;
no ``planner=exact`` line is printed then.
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

# (pools, instances, whether the exact solver runs)
SIZES = ((5, 40, True), (40, 220, True), (199, 1100, False))
MAX_ROUNDS = 200
RACK_SIZE = 4  # instances
BUFFER_WEIGHT = 4.0
MOVE_WEIGHT = 1.0


def make_fleet(pools, instances, seed):
    """Return a `PoolView` for each pool, the last of which is the spare.

    Racks hold four instances each and may span pools. With an odd seed, each need is
    drawn between 1 and the pool's size; with an even seed, it is at most two below
    the pool's size. The spare needs 2.
    """
    rng = random.Random(seed)
    sizes = [instances // pools + (n < instances % pools) for n in range(pools)]
    views, number = [], 0
    for index, size in enumerate(sizes):
        pool_instances = []
        for _ in range(size):
            rack = f"rack-{number // RACK_SIZE}"
            pool_instances.append(InstanceView(f"instance-{number}", "zone", rack))
            number += 1
        spare = index == pools - 1
        lowest_need = 1 if seed % 2 else max(1, size - 2)
        need = 2 if spare else rng.randint(lowest_need, size)
        views.append(PoolView(f"pool-{index}", need, 2, tuple(pool_instances), spare))
    return views


def run_rounds(views, rules):
    """Plan and apply moves until none is left or `MAX_ROUNDS` is reached.

    Returns
    -------
    tuple
        The final views, the number of moves, the number of rounds with moves, and
        the processor time of the longest round in seconds.
    """
    moves = rounds = 0
    longest = 0.0
    while rounds < MAX_ROUNDS:
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
    views, moves, rounds, longest = run_rounds(
        views, PlanningRules(BUFFER_WEIGHT, MOVE_WEIGHT)
    )
    final = Assignment(views)
    held = instances - final.count_releasable() - sum(v.need for v in views if v.spare)
    cost = BUFFER_WEIGHT * held + MOVE_WEIGHT * moves
    return (
        f"planner=rule pools={pools} instances={instances} seed={seed} moves={moves} "
        f"held={held} shortage={final.measure_shortage()} "
        f"exposure={final.measure_exposure()[0]} cost={cost:.0f} "
        f"rounds={rounds} longest_round_ms={1000 * longest:.1f}"
    )


def _format_exact(pools, instances, seed, time_limit):
    views = make_fleet(pools, instances, seed)
    started = time.process_time()
    plan = solve_assignment(views, BUFFER_WEIGHT, MOVE_WEIGHT, time_limit)
    seconds = time.process_time() - started
    memory = psutil.Process().memory_info().rss / (1 << 20)
    cost = BUFFER_WEIGHT * plan.held_instances + MOVE_WEIGHT * plan.moves
    return (
        f"planner=exact pools={pools} instances={instances} seed={seed} "
        f"moves={plan.moves} held={plan.held_instances} shortage={plan.shortage} "
        f"exposure={plan.exposure} cost={cost:.0f} "
        f"optimal={plan.is_optimal} processor_s={seconds:.2f} memory_mib={memory:.0f}"
    )


def main():
    """Print one line for each size, seed and planner."""
    time_limit = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    for pools, instances, run_solver in SIZES:
        for seed in (1, 2):
            print(_format_rule(pools, instances, seed), flush=True)
            if run_solver:
                print(_format_exact(pools, instances, seed, time_limit), flush=True)


if __name__ == "__main__":
    main()
