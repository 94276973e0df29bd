"""Planners, which choose the moves of instances for a controller's round."""

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
    compute_idle_timeout,
    plan_moves,
)
from peridotspoke.pools.maintenance import list_due, next_opening
from peridotspoke.pools.records import Phase

__all__ = ["FixedPlanner", "IncrementalPlanner", "MovePlanner", "summarise_usage"]

WINDOW_NOTICE = 3600.0  # seconds before a window opens


class MovePlanner(ABC):
    """Chooses which instances should move to another pool."""

    @abstractmethod
    def plan(self, view):
        """Return the moves to make.

        Parameters
        ----------
        view : FleetView

        Returns
        -------
        tuple of PlannedMove
        """


class FixedPlanner(MovePlanner):
    """Returns the same moves in every round.

    Parameters
    ----------
    moves : tuple of PlannedMove, optional
    """

    def __init__(self, moves=()):
        self.moves = moves

    def plan(self, view):
        """Return `moves`."""
        return self.moves


class IncrementalPlanner(MovePlanner):
    """Computes moves periodically with `plan_moves`.

    An instance that is out for maintenance, or missing for less than
    `grace_period`, counts as available, because it is expected back before a move
    would pay off. A pool with instances due for maintenance needs one more
    instance while a window is open or about to open. Otherwise a pool that has
    only the instances it needs could never be maintained.

    Parameters
    ----------
    interval : float, optional
        Minimum time between two plans, in seconds.
    grace_period : float, optional
        Time for which a missing instance counts as available, in seconds. No moves
        are planned if the instance list is older than this.
    """

    def __init__(self, interval=10.0, grace_period=120.0):
        self._interval = interval
        self._grace_period = grace_period
        self._planned_at = float("-inf")
        self._moves = ()
        self._pools = {}
        self._history = []
        self._estimator = NeedEstimator(EstimationRules())
        self._weights = None
        self._usage = ()
        self._logged_rejections = set()

    def plan(self, view):
        """Return the moves of the last plan, or of a new one if that is outdated."""
        self._record_moves(view)
        self._apply_weights(view.configuration.deployment.weights)
        self._observe_usage(view)
        if view.monotonic - self._planned_at < self._interval:
            return self._moves
        self._planned_at = view.monotonic
        self._moves = () if self._is_view_incomplete(view) else self._make_plan(view)
        return self._moves

    def _apply_weights(self, weights):
        """Set how long the estimator holds a need, from the declared weights."""
        if weights == self._weights:
            return
        self._weights = weights
        idle_timeout = compute_idle_timeout(weights.buffer, weights.move)
        self._estimator = NeedEstimator(EstimationRules(max_window=idle_timeout))

    def get_rejected(self):
        """Return the number of rejected usage samples by reason, as a dict."""
        return dict(self._estimator.rejected)

    def _is_view_incomplete(self, view):
        """Return whether the list is too old or a live instance has no record yet."""
        if view.list_age > self._grace_period:
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
            need=need + _count_maintenance_reserve(declaration, records, view),
            max_unavailable=declaration.budget.max_unavailable,
            instances=instances,
            spare=declaration.pool.spare,
        )

    def _observe_usage(self, view):
        """Pass the usage of each pool to the estimator, once per set of reports.

        If any instance's report is missing, invalid or too old, the estimator
        rejects and counts the pool's sample and keeps the last estimate. Each
        reason is logged once per pool.
        """
        if view.usage is self._usage:
            return
        self._usage = view.usage
        for sample in summarise_usage(view):
            reason = self._estimator.observe(sample, view.wall)
            if (
                reason is not None
                and (sample.pool, reason) not in self._logged_rejections
            ):
                self._logged_rejections.add((sample.pool, reason))
                log_event("usage-rejected", "WARNING", pool=sample.pool, reason=reason)

    def _is_available(self, view, instance):
        missing_since = view.missing_since.get(instance, view.monotonic)
        return view.monotonic - missing_since < self._grace_period

    def _record_moves(self, view):
        pools = {name: record.pool for name, record in view.records.items()}
        for name, pool in pools.items():
            source = self._pools.get(name, pool)
            if source != pool:
                self._history.append(PastMove(name, source, pool, view.monotonic))
        self._pools = pools


def _count_maintenance_reserve(declaration, records, view):
    """Return how many more instances a pool needs during maintenance, 0 or 1."""
    maintenance = declaration.maintenance
    wait = next_opening(maintenance.windows, view.wall) - view.wall
    due = list_due(records, maintenance.period_days, view.wall)
    under_way = any(
        item.operation is not None and item.operation.kind == "maintenance"
        for item in records
    )
    return int((bool(due) or under_way) and wait <= WINDOW_NOTICE)


def summarise_usage(view):
    """Return a `UsageSample` for each pool that has serving instances.

    A pool's sample has no usage if any report is missing or has none, and a
    negative usage if any report is negative. Its time is that of the oldest report.

    Parameters
    ----------
    view : FleetView

    Returns
    -------
    tuple of UsageSample
        In the order of the pools' names. Empty if there are no reports at all.
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
