"""Plans moves of instances between pools with a greedy incremental algorithm."""

from collections import Counter
from dataclasses import dataclass

from peridotspoke.planning.exposure import Assignment
from peridotspoke.planning.views import Plan, PlannedMove

__all__ = ["PlanningRules", "measure_evenness", "plan_moves"]


@dataclass(frozen=True, slots=True)
class PlanningRules:
    """Costs and limits of planned moves.

    Parameters
    ----------
    buffer : float
        Cost of an idle instance for one hour.
    move : float
        Cost of a move, in the same unit as `buffer`.
    min_residence : float
        Minimum time between two moves of an instance, in seconds; ignored while a
        pool is below its need.
    max_moves : int
        Maximum number of moves in one plan.
    """

    buffer: float = 1.0
    move: float = 0.25
    min_residence: float = 3600.0
    max_moves: int = 16


def plan_moves(pools, rules, now=0.0, history=()):
    """Return the `Plan` for the next round.

    The plan is made in three steps. First, pools below their need receive
    instances, from the spare pools before others. Second, moves reduce the
    exposure to the loss of any one rack. Third, instances beyond the need of their
    pool move to a spare pool. The third step is worth its moves if the need stays
    as it is until the idle time has cost as much as a move away and back; see
    `compute_idle_timeout`. No move takes a pool below its need or beyond its
    availability budget, against which unavailable instances count. Within one plan,
    no pool is both source and target.

    Parameters
    ----------
    pools : iterable of PoolView
    rules : PlanningRules
    now : float, optional
        Current time in seconds, on the clock of `history`.
    history : iterable of PastMove, optional
        Earlier moves. They determine which instances moved recently and how ties
        between pools are broken.

    Returns
    -------
    Plan

    Notes
    -----
    Ties are broken in favour of the pool that was source (or target) of the fewest
    earlier moves, so that competing services take turns.

    Examples
    --------
    >>> from peridotspoke.planning import InstanceView, PoolView
    >>> def make_pool(name, need, count, spare=False):
    ...     views = [InstanceView(f"{name}-{n}", "a", f"r{n}") for n in range(count)]
    ...     return PoolView(name, need, 1, tuple(views), spare)
    >>> pools = [make_pool("lustenau", 4, 3), make_pool("common", 2, 6, spare=True)]
    >>> plan = plan_moves(pools, PlanningRules())
    >>> [(move.source, move.target) for move in plan.moves]
    [('common', 'lustenau')]
    """
    planner = _Planner(pools, rules, now, tuple(history))
    planner.fill_shortages()
    planner.reduce_exposure()
    if rules.buffer > 0:
        planner.collect_idle()
    return planner.make_plan()


def measure_evenness(moves, pools):
    """Return the difference between the most and the fewest moves of a pool.

    Parameters
    ----------
    moves : iterable of PastMove or PlannedMove
        Moves into a pool and out of it both count.
    pools : iterable of str
        Names of the pools to compare.
    """
    counts = Counter({name: 0 for name in pools})
    for move in moves:
        for name in (move.source, move.target):
            if name in counts:
                counts[name] += 1
    return max(counts.values(), default=0) - min(counts.values(), default=0)


class _Planner:
    def __init__(self, pools, rules, now, history):
        pools = tuple(pools)
        self._rules = rules
        self._assignment = Assignment(pools)
        self._pools = self._assignment.pools
        self._spares = [pool.pool for pool in pools if pool.spare]
        self._movable = {pool.pool: _group_by_rack(pool) for pool in pools}
        self._budget = {
            pool.pool: pool.max_unavailable
            - sum(not item.available for item in pool.instances)
            for pool in pools
        }
        self._recently_moved = {
            item.instance for item in history if now - item.at < rules.min_residence
        }
        self._moves_out = Counter(item.source for item in history)
        self._moves_in = Counter(item.target for item in history)
        self._sources = set()
        self._targets = set()
        self._moves = []

    def make_plan(self):
        worst, _ = self._assignment.measure_exposure()
        return Plan(
            tuple(self._moves),
            self._assignment.measure_shortage(),
            worst,
            self._assignment.count_releasable(),
        )

    def fill_shortages(self):
        blocked = set()
        while not self._has_reached_limit():
            short = [
                name
                for name in self._pools
                if self._assignment.get_excess(name) < 0
                and name not in blocked
                and name not in self._sources
            ]
            if not short:
                return
            target = min(short, key=self._rank_shortage)
            deficit = -self._assignment.get_excess(target)
            reason = f"{deficit} below the need of {self._pools[target].need}"
            candidates = [
                (source, rack, target) for source, rack in self._iterate_sources()
            ]
            best = min(candidates, key=self._rank_refill, default=None)
            if best is None:
                blocked.add(target)
            else:
                self._move(*best, reason)

    def reduce_exposure(self):
        while not self._has_reached_limit():
            worst, total = self._assignment.measure_exposure()
            if worst == 0:
                return
            exposed = self._assignment.list_exposed_pools()
            targets = {*self._spares, *exposed} - self._sources
            candidates = [
                (source, rack, target)
                for source, rack in self._iterate_sources(excluded=self._recently_moved)
                for target in targets
                if target != source
            ]
            ranked = [
                (self._measure_exposure_after(*item), item) for item in candidates
            ]
            best = min(
                ranked,
                key=lambda pair: (pair[0], self._rank_by_turn(*pair[1])),
                default=None,
            )
            if best is None or best[0] >= (worst, total):
                return
            reason = f"the loss of one rack left {worst} missing, now {best[0][0]}"
            self._move(*best[1], reason)

    def collect_idle(self):
        targets = [name for name in self._spares if name not in self._sources]
        while not self._has_reached_limit() and targets:
            target = targets[0]
            before = self._assignment.measure_exposure()
            candidates = [
                (source, rack, target)
                for source, rack in self._iterate_sources(excluded=self._recently_moved)
                if source not in self._spares
            ]
            candidates.sort(key=self._rank_idle)
            best = next(
                (
                    item
                    for item in candidates
                    if self._measure_exposure_after(*item) <= before
                ),
                None,
            )
            if best is None:
                return
            excess = self._assignment.get_excess(best[0])
            need = self._pools[best[0]].need
            self._move(*best, f"{excess} above the need of {need} stay idle")

    def _has_reached_limit(self):
        return len(self._moves) >= self._rules.max_moves

    def _iterate_sources(self, excluded=frozenset()):
        """Yield each pool and rack from which an instance may be moved.

        Instances in `excluded`, a set of names, don't qualify.
        """
        for name, racks in self._movable.items():
            if name in self._targets:
                continue
            if self._budget[name] <= 0 or self._assignment.get_excess(name) <= 0:
                continue
            for rack, instances in racks.items():
                if any(item not in excluded for item in instances):
                    yield name, rack

    def _measure_exposure_after(self, source, rack, target):
        self._assignment.move(rack, source, target)
        exposure = self._assignment.measure_exposure()
        self._assignment.move(rack, target, source)
        return exposure

    def _rank_shortage(self, name):
        excess = self._assignment.get_excess(name)
        return (excess / self._pools[name].need, self._moves_in[name], name)

    def _rank_refill(self, candidate):
        source = candidate[0]
        return (
            source not in self._spares,
            self._measure_exposure_after(*candidate),
            self._rank_by_turn(*candidate),
        )

    def _rank_by_turn(self, source, rack, target):
        excess = self._assignment.get_excess(source)
        return (-excess, self._moves_out[source], self._moves_in[target], source, rack)

    def _rank_idle(self, candidate):
        source, rack, target = candidate
        target_count = self._assignment.racks[target][rack]
        return (
            self._rank_by_turn(source, rack, target)[:2],
            target_count,
            source,
            rack,
        )

    def _move(self, source, rack, target, reason):
        instances = self._movable[source][rack]
        instances.sort(key=lambda name: (name in self._recently_moved, name))
        instance = instances.pop(0)
        self._assignment.move(rack, source, target)
        self._budget[source] -= 1
        self._sources.add(source)
        self._targets.add(target)
        self._moves_out[source] += 1
        self._moves_in[target] += 1
        self._moves.append(PlannedMove(instance, source, target, reason))


def _group_by_rack(pool):
    groups = {}
    for item in pool.instances:
        if item.available:
            groups.setdefault(item.rack, []).append(item.instance)
    return groups
