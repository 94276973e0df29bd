"""The stage of a controller's round that asks planning for moves."""

from abc import ABC, abstractmethod

from peridotspoke.planning import (
    InstanceView,
    PastMove,
    PlanningRules,
    PoolView,
    plan_moves,
)
from peridotspoke.pools.maintenance import list_due, next_opening

__all__ = ["FixedPlanner", "IncrementalPlanner", "MovePlanner"]

NOTICE = 3600.0  # seconds before a window opens


class MovePlanner(ABC):
    """Chooses which instances should change pools."""

    @abstractmethod
    def plan(self, view):
        """Return a tuple of `PlannedMove` for a `FleetView`."""


class FixedPlanner(MovePlanner):
    """Always returns the same moves.

    Parameters
    ----------
    moves : tuple of PlannedMove, optional
    """

    def __init__(self, moves=()):
        self.moves = moves

    def plan(self, view):
        """Return the fixed moves."""
        return self.moves


class IncrementalPlanner(MovePlanner):
    """Plans by `plan_moves`, now and then.

    An instance that is out for maintenance, or that has been missing for less than
    `patience`, counts as available: it will be back before a move would pay. A pool
    with instances that are due needs one more while its window is open or near, or
    a pool that was brought down to its need could never be maintained.

    Parameters
    ----------
    interval : float, optional
        Seconds between two plans.
    patience : float, optional
        Seconds.
    """

    def __init__(self, interval=10.0, patience=120.0):
        self._interval = interval
        self._patience = patience
        self._planned_at = float("-inf")
        self._moves = ()
        self._pools = {}
        self._history = []

    def plan(self, view):
        """Return the moves of the last plan, or of a new one where that is old."""
        self._note_moves(view)
        if view.monotonic - self._planned_at < self._interval:
            return self._moves
        self._planned_at = view.monotonic
        self._moves = () if self._is_unsure(view) else self._make_plan(view)
        return self._moves

    def _is_unsure(self, view):
        """Return whether the list is late, or some instance has no record yet."""
        if view.list_age > self._patience:
            return True
        return any(
            item.state == "live" and name not in view.records
            for name, item in view.listed.items()
        )

    def _make_plan(self, view):
        weights = view.configuration.deployment.weights
        rules = PlanningRules(buffer=weights.buffer, move=weights.move)
        pools = [
            self._make_pool(view, declaration)
            for declaration in view.configuration.services.values()
        ]
        return plan_moves(pools, rules, view.monotonic, self._history).moves

    def _make_pool(self, view, declaration):
        name = declaration.service
        records = [item for item in view.records.values() if item.pool == name]
        instances = tuple(
            InstanceView(
                record.instance,
                record.zone,
                record.rack,
                self._is_available(view, record.instance),
            )
            for record in records
        )
        return PoolView(
            pool=name,
            need=declaration.need.instances + _count_room(declaration, records, view),
            max_unavailable=declaration.budget.max_unavailable,
            instances=instances,
            spare=declaration.pool.spare,
        )

    def _is_available(self, view, instance):
        missing_since = view.missing_since.get(instance, view.monotonic)
        return view.monotonic - missing_since < self._patience

    def _note_moves(self, view):
        pools = {name: record.pool for name, record in view.records.items()}
        for name, pool in pools.items():
            source = self._pools.get(name, pool)
            if source != pool:
                self._history.append(PastMove(name, source, pool, view.monotonic))
        self._pools = pools


def _count_room(declaration, records, view):
    """Return how many instances a pool needs beyond its need to be maintained."""
    maintenance = declaration.maintenance
    wait = next_opening(maintenance.windows, view.wall) - view.wall
    due = list_due(records, maintenance.period_days, view.wall)
    under_way = any(
        item.operation is not None and item.operation.kind == "maintenance"
        for item in records
    )
    return int((bool(due) or under_way) and wait <= NOTICE)
