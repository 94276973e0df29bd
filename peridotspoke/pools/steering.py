"""Decides whether one instance's operation advances, waits or is cancelled."""

from peridotspoke.pools.actions import RebootInstance, ReplaceRecord
from peridotspoke.pools.drains import DrainVerdict, decide_drain
from peridotspoke.pools.ledger import (
    Disruption,
    PermitRequest,
    check_budget,
)
from peridotspoke.pools.phases import (
    cancel_drain,
    fence_record,
    finish_joining,
    mark_empty,
    mark_rebooting,
    start_joining,
)
from peridotspoke.pools.records import OperationKind, Phase

__all__ = ["advance_operation", "update_serving_record"]


def update_serving_record(record, view, bounds, ledger):
    """Return the action that a serving instance's record needs, or None.

    If the platform lists a newer incarnation, the record is updated to it, so that
    a restarted instance counts as serving again.

    If a permit for the instance has not led to an operation within
    `bounds.unused_permit_age` seconds, the record is fenced: its epoch is
    incremented, so that a delayed swap by the controller that took the permit
    fails. Only after that may the permit be returned.

    Parameters
    ----------
    record : InstanceRecord
        In phase serving.
    view : FleetView
    bounds : RoundBounds
    ledger : DisruptionLedger
        That of the record's pool.

    Returns
    -------
    ReplaceRecord or None
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
        if unused and age > bounds.unused_permit_age:
            reason = f"permit unused for {age:.0f} s"
            return ReplaceRecord(record, fence_record(record), reason)
    return None


def advance_operation(record, view, bounds, ledger, condition):
    """Return the next action for an instance with an operation, or None.

    Parameters
    ----------
    record : InstanceRecord
        In any phase except serving.
    view : FleetView
    bounds : RoundBounds
    ledger : DisruptionLedger
        That of the record's pool.
    condition : PoolCondition
        That of the record's pool.

    Returns
    -------
    ReplaceRecord or RebootInstance or None
        None while the operation has to wait.
    """
    step = _STEPS[record.phase]
    return step(record, view, bounds, ledger, condition)


def _advance_drain(record, view, bounds, ledger, condition):
    cancel_reason = _find_cancel_reason(record, view, ledger, condition)
    if cancel_reason:
        return ReplaceRecord(record, cancel_drain(record), cancel_reason)
    announced_at = view.announced_at.get(record.instance, view.monotonic)
    verdict = decide_drain(
        record, announced_at, view.entries, view.monotonic, bounds.drain
    )
    if verdict is DrainVerdict.CANCEL_DRAIN:
        reason = "an entry instance of its zone is silent"
        return ReplaceRecord(record, cancel_drain(record), reason)
    if verdict is DrainVerdict.EMPTY:
        reason = f"nothing in flight at {len(view.entries)} entry instances"
        return ReplaceRecord(record, mark_empty(record), reason)
    return None


def _advance_empty(record, view, bounds, ledger, condition):
    cancel_reason = _find_cancel_reason(record, view, ledger, condition)
    if cancel_reason:
        return ReplaceRecord(record, cancel_drain(record), cancel_reason)
    if record.operation.kind is not OperationKind.MOVE:
        return ReplaceRecord(record, mark_rebooting(record), "empty, may be rebooted")
    if record.operation.target not in view.configuration.services:
        return ReplaceRecord(
            record, cancel_drain(record), "the target pool is undeclared"
        )
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
    reboot_requested_at = view.reboot_requested_at.get(record.instance, float("-inf"))
    if view.monotonic - reboot_requested_at <= bounds.reboot_retry_interval:
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


def _find_cancel_reason(record, view, ledger, condition):
    """Return why an operation is cancelled before its reboot or move, or ""."""
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
