"""Capacity planning: estimates what pools need and plans moves between them."""

from peridotspoke.planning.assignment import (
    PlanningRules,
    measure_evenness,
    plan_moves,
)
from peridotspoke.planning.estimation import (
    EstimationRules,
    NeedEstimate,
    NeedEstimator,
    UsageSample,
    compute_idle_timeout,
)
from peridotspoke.planning.exposure import Assignment
from peridotspoke.planning.views import (
    InstanceView,
    PastMove,
    Plan,
    PlannedMove,
    PoolView,
)

__all__ = [
    "Assignment",
    "EstimationRules",
    "InstanceView",
    "NeedEstimate",
    "NeedEstimator",
    "PastMove",
    "Plan",
    "PlannedMove",
    "PlanningRules",
    "PoolView",
    "UsageSample",
    "compute_idle_timeout",
    "measure_evenness",
    "plan_moves",
]
