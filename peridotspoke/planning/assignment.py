"""Plans which instances change pools: an incremental rule with local repair."""

from collections import Counter
from dataclasses import dataclass

from peridotspoke.planning.exposure import Assignment
from peridotspoke.planning.views import Plan, PlannedMove

__all__ = ["PlanningRules", "measure_evenness", "plan_moves"]


@dataclass(frozen=True, slots=True)
class PlanningRules:
    """How moves are weighed and when they are left undone.

    Parameters
    ----------
    buffer, move : float
        What an idle instance-hour and a move cost, relative to each other.
    settle : float
        Seconds for which an instance that moved stays, unless a pool is short.
    most_moves : int
        Most moves in one plan.
    """

    buffer: float = 1.0
    move: float = 0.25
    settle: float = 3600.0
    most_moves: int = 16


def plan_moves(pools, rules, now=0.0, history=()):
    """Return the `Plan` for the next round.

    First pools that are short now are filled, from the spare before the pools with
    the largest excess. Then the exposure to the loss of any one rack is repaired.
    Last, instances beyond the need are collected in the spare; a need that holds
    for as long as a move away and back costs makes that worth its moves. No move
    takes a pool below its need or beyond its availability budget, in which
    instances that are out already count, and no pool both gives and receives in
    one plan.

    Parameters
    ----------
    pools : iterable of PoolView
    rules : PlanningRules
    now : float, optional
        Seconds, on the clock of `history`.
    history : iterable of PastMove, optional
        Moves made before; they settle instances and share ties evenly.

    Notes
    -----
    Equal choices go to the pool that gave (or received) fewest before, so that
    rival services take turns.

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
    """Return the spread of moves out of and into `pools`: most less fewest.

    Parameters
    ----------
    moves : iterable of PastMove or PlannedMove
    pools : iterable of str
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
        self._free = {pool.pool: _group_by_rack(pool) for pool in pools}
        self._budget = {
            pool.pool: pool.max_unavailable
            - sum(not item.available for item in pool.instances)
            for pool in pools
        }
        self._settled = {
            item.instance for item in history if now - item.at < rules.settle
        }
        self._gave = Counter(item.source for item in history)
        self._received = Counter(item.target for item in history)
        self._givers = set()
        self._receivers = set()
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
        while not self._is_full():
            short = [
                name
                for name in self._pools
                if self._assignment.get_excess(name) < 0
                and name not in blocked
                and name not in self._givers
            ]
            if not short:
                return
            target = min(short, key=self._rank_short)
            lacking = -self._assignment.get_excess(target)
            reason = f"{lacking} below the need of {self._pools[target].need}"
            candidates = [
                (source, rack, target) for source, rack in self._list_givers()
            ]
            best = min(candidates, key=self._rank_filling, default=None)
            if best is None:
                blocked.add(target)
            else:
                self._move(*best, reason)

    def reduce_exposure(self):
        while not self._is_full():
            worst, total = self._assignment.measure_exposure()
            if worst == 0:
                return
            exposed = self._assignment.list_exposed_pools()
            targets = {*self._spares, *exposed} - self._givers
            candidates = [
                (source, rack, target)
                for source, rack in self._list_givers(settled=self._settled)
                for target in targets
                if target != source
            ]
            ranked = [(self._measure_after(*item), item) for item in candidates]
            best = min(
                ranked,
                key=lambda pair: (pair[0], self._rank_turn(*pair[1])),
                default=None,
            )
            if best is None or best[0] >= (worst, total):
                return
            reason = f"the loss of one rack left {worst} missing, now {best[0][0]}"
            self._move(*best[1], reason)

    def collect_idle(self):
        targets = [name for name in self._spares if name not in self._givers]
        while not self._is_full() and targets:
            target = targets[0]
            before = self._assignment.measure_exposure()
            candidates = [
                (source, rack, target)
                for source, rack in self._list_givers(settled=self._settled)
                if source not in self._spares
            ]
            candidates.sort(key=self._rank_collection)
            best = next(
                (item for item in candidates if self._measure_after(*item) <= before),
                None,
            )
            if best is None:
                return
            excess = self._assignment.get_excess(best[0])
            need = self._pools[best[0]].need
            self._move(*best, f"{excess} above the need of {need} stay idle")

    def _is_full(self):
        return len(self._moves) >= self._rules.most_moves

    def _list_givers(self, settled=frozenset()):
        """Yield each pool and rack that may give an instance now."""
        for name, racks in self._free.items():
            if name in self._receivers:
                continue
            if self._budget[name] <= 0 or self._assignment.get_excess(name) <= 0:
                continue
            for rack, instances in racks.items():
                if any(item not in settled for item in instances):
                    yield name, rack

    def _measure_after(self, source, rack, target):
        self._assignment.move(rack, source, target)
        measured = self._assignment.measure_exposure()
        self._assignment.move(rack, target, source)
        return measured

    def _rank_short(self, name):
        excess = self._assignment.get_excess(name)
        return (excess / self._pools[name].need, self._received[name], name)

    def _rank_filling(self, candidate):
        source = candidate[0]
        return (
            source not in self._spares,
            self._measure_after(*candidate),
            self._rank_turn(*candidate),
        )

    def _rank_turn(self, source, rack, target):
        excess = self._assignment.get_excess(source)
        return (-excess, self._gave[source], self._received[target], source, rack)

    def _rank_collection(self, candidate):
        source, rack, target = candidate
        held = self._assignment.racks[target][rack]
        return (self._rank_turn(source, rack, target)[:2], held, source, rack)

    def _move(self, source, rack, target, reason):
        instances = self._free[source][rack]
        instances.sort(key=lambda name: (name in self._settled, name))
        instance = instances.pop(0)
        self._assignment.move(rack, source, target)
        self._budget[source] -= 1
        self._givers.add(source)
        self._receivers.add(target)
        self._gave[source] += 1
        self._received[target] += 1
        self._moves.append(PlannedMove(instance, source, target, reason))


def _group_by_rack(pool):
    groups = {}
    for item in pool.instances:
        if item.available:
            groups.setdefault(item.rack, []).append(item.instance)
    return groups
