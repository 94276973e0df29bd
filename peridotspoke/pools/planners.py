"""The stage of a controller's round that asks planning for moves."""

from abc import ABC, abstractmethod

from peridotspoke.logs import log_event
from peridotspoke.planning import (
    EstimationRules,
    InstanceView,
    NeedEstimator,
    PastMove,
    PlanningRules,
    PoolView,
    UsageSample,
    compute_hold,
    plan_moves,
)
from peridotspoke.pools.maintenance import list_due, next_opening
from peridotspoke.pools.records import Phase

__all__ = ["FixedPlanner", "IncrementalPlanner", "MovePlanner", "summarise_usage"]

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
        self._estimator = NeedEstimator(EstimationRules())
        self._weights = None
        self._usage = ()
        self._faults = set()

    def plan(self, view):
        """Return the moves of the last plan, or of a new one where that is old."""
        self._note_moves(view)
        self._take_weights(view.configuration.deployment.weights)
        self._observe_usage(view)
        if view.monotonic - self._planned_at < self._interval:
            return self._moves
        self._planned_at = view.monotonic
        self._moves = () if self._is_unsure(view) else self._make_plan(view)
        return self._moves

    def _take_weights(self, weights):
        """Hold needs for as long as the declared weights make worth a move."""
        if weights == self._weights:
            return
        self._weights = weights
        hold = compute_hold(weights.buffer, weights.move)
        self._estimator = NeedEstimator(EstimationRules(hold=hold))

    def get_rejected(self):
        """Return how many samples of usage were left out, by reason."""
        return dict(self._estimator.rejected)

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
        need = self._estimator.estimate(
            name, declaration.need.instances, declaration.need.quantile, view.wall
        ).need
        return PoolView(
            pool=name,
            need=need + _count_room(declaration, records, view),
            max_unavailable=declaration.budget.max_unavailable,
            instances=instances,
            spare=declaration.pool.spare,
        )

    def _observe_usage(self, view):
        """Take each set of reports once, summed by pool.

        A pool of which some instance's report is missing, faulty or old gives the
        estimator that fault; it is left out, counted, and the last need stays.
        """
        if view.usage is self._usage:
            return
        self._usage = view.usage
        for sample in summarise_usage(view):
            reason = self._estimator.observe(sample, view.wall)
            if reason is not None and (sample.pool, reason) not in self._faults:
                self._faults.add((sample.pool, reason))
                log_event("usage-rejected", "WARNING", pool=sample.pool, reason=reason)

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


def summarise_usage(view):
    """Return a `UsageSample` for each pool that has serving instances.

    The worst of a pool's reports decides: where one is negative, missing or not of
    this fleet's form, so is the sample; its time is that of the oldest report.
    """
    reports = {item.instance: item for item in view.usage}
    serving = {}
    for record in view.records.values():
        if record.phase is Phase.SERVING and record.instance in view.listed:
            serving.setdefault(record.pool, []).append(record.instance)
    if not reports:
        return ()
    return tuple(
        _summarise_pool(pool, names, reports, view)
        for pool, names in sorted(serving.items())
    )


def _summarise_pool(pool, names, reports, view):
    found = [reports.get(name) for name in names]
    if any(item is None or item.busy is None for item in found):
        return UsageSample(pool, view.wall, None, len(names))
    shares = [
        item.busy / view.listed[item.instance].slots if item.busy >= 0 else item.busy
        for item in found
    ]
    worst = min(shares)
    used = worst if worst < 0 else sum(shares)
    return UsageSample(pool, min(item.measured_at for item in found), used, len(names))
