"""Decides the next step of one instance: go on, wait, or give back."""

from peridotspoke.pools.actions import RebootInstance, ReplaceRecord
from peridotspoke.pools.drains import DrainVerdict, decide_drain
from peridotspoke.pools.ledger import (
    Disruption,
    PermitRequest,
    check_budget,
)
from peridotspoke.pools.phases import (
    fence_record,
    finish_joining,
    give_back,
    mark_empty,
    mark_rebooting,
    start_joining,
)
from peridotspoke.pools.records import OperationKind, Phase

__all__ = ["advance_operation", "settle_serving"]


def settle_serving(record, view, bounds, ledger):
    """Return what a serving record needs, or None.

    It takes up a new incarnation, so that an instance that came back counts as
    serving again. A permit on it that has led to no operation for long is fenced
    off: the epoch grows, the late swap of whoever took the permit fails, and only
    then may the permit be returned.
    """
    item = view.listed.get(record.instance)
    if item is not None and item.state == "live":
        if item.incarnation > record.incarnation:
            reason = f"came back as incarnation {item.incarnation}"
            after = fence_record(record, incarnation=item.incarnation)
            return ReplaceRecord(record, after, reason)
    for entry in ledger.disruptions:
        age = view.wall - entry.since
        planned = entry.kind is not OperationKind.FAILURE
        same = entry.instance == record.instance
        unused = planned and same and entry.record_epoch == record.epoch
        if unused and age > bounds.orphan:
            reason = f"permit unused for {age:.0f} s"
            return ReplaceRecord(record, fence_record(record), reason)
    return None


def advance_operation(record, view, bounds, ledger, condition):
    """Return the next action for an instance under an operation, or None.

    Parameters
    ----------
    record : InstanceRecord
        In any phase but serving.
    view : FleetView
    bounds : RoundBounds
    ledger : DisruptionLedger
    condition : PoolCondition
    """
    step = _STEPS[record.phase]
    return step(record, view, bounds, ledger, condition)


def _advance_drain(record, view, bounds, ledger, condition):
    fault = _find_stop_reason(record, view, ledger, condition)
    if fault:
        return ReplaceRecord(record, give_back(record), fault)
    announced_at = view.announced_at.get(record.instance, view.monotonic)
    verdict = decide_drain(
        record, announced_at, view.entries, view.monotonic, bounds.drain
    )
    if verdict is DrainVerdict.GIVE_BACK:
        reason = "an entry instance of its zone is silent"
        return ReplaceRecord(record, give_back(record), reason)
    if verdict is DrainVerdict.EMPTY:
        reason = f"nothing in flight at {len(view.entries)} entry instances"
        return ReplaceRecord(record, mark_empty(record), reason)
    return None


def _advance_empty(record, view, bounds, ledger, condition):
    fault = _find_stop_reason(record, view, ledger, condition)
    if fault:
        return ReplaceRecord(record, give_back(record), fault)
    if record.operation.kind is not OperationKind.MOVE:
        return ReplaceRecord(record, mark_rebooting(record), "empty, may be rebooted")
    if record.operation.target not in view.configuration.services:
        return ReplaceRecord(record, give_back(record), "the target pool is undeclared")
    after = start_joining(record, record.incarnation)
    reason = f"empty, moves from {record.pool} to {after.pool}"
    return ReplaceRecord(record, after, reason, _make_arrival(record, view))


def _make_arrival(record, view):
    operation = record.operation
    disruption = Disruption(
        instance=record.instance,
        operation=operation.operation,
        kind=operation.kind,
        reason=f"arrives from {operation.source}",
        since=view.wall,
        record_epoch=record.epoch,
        arriving=True,
    )
    target = view.configuration.services[operation.target]
    return PermitRequest(
        disruption, target.budget.max_unavailable, need=0, view_bound=0.0
    )


def _advance_reboot(record, view, bounds, ledger, condition):
    item = view.listed.get(record.instance)
    if item is not None and item.incarnation > record.incarnation:
        if item.state != "live":
            return None
        after = start_joining(record, item.incarnation, view.wall)
        return ReplaceRecord(record, after, f"back as incarnation {item.incarnation}")
    told_at = view.told_at.get(record.instance, float("-inf"))
    if view.monotonic - told_at <= bounds.retell:
        return None
    return RebootInstance(record.instance, record.incarnation)


def _advance_joining(record, view, bounds, ledger, condition):
    item = view.listed.get(record.instance)
    if item is None or item.state != "live" or view.list_age > bounds.list_age:
        return None
    if item.incarnation < record.incarnation:
        return None
    reason = f"listed live as incarnation {item.incarnation}"
    return ReplaceRecord(record, finish_joining(record), reason)


def _find_stop_reason(record, view, ledger, condition):
    """Return why an operation that has not rebooted is given back, or an empty str."""
    declaration = view.configuration.services.get(record.pool)
    if declaration is None:
        return "the pool is undeclared"
    if view.wall > record.operation.deadline:
        return f"not done by its deadline, {record.operation.deadline:.0f}"
    if not condition.failed - {record.instance}:
        return ""
    refusal = check_budget(
        ledger,
        condition,
        frozenset(),
        declaration.budget.max_unavailable,
        declaration.need.instances,
    )
    return refusal.reason if refusal else ""


_STEPS = {
    Phase.DRAINING: _advance_drain,
    Phase.EMPTY: _advance_empty,
    Phase.REBOOTING: _advance_reboot,
    Phase.JOINING: _advance_joining,
}
