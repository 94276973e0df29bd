"""Decides which planned work starts in a pool, and what is told of the rest."""

from dataclasses import dataclass

from peridotspoke.pools.actions import BeginOperation, ReportLate
from peridotspoke.pools.drains import is_zone_heard
from peridotspoke.pools.ledger import (
    Disruption,
    PermitRequest,
    Refusal,
    decide_permit,
)
from peridotspoke.pools.maintenance import forecast_late, is_in_window, list_due
from peridotspoke.pools.records import InstanceRecord, Operation, OperationKind, Phase

__all__ = ["start_planned_work"]

DAY = 86_400.0  # seconds


@dataclass(frozen=True, slots=True)
class _Wish:
    record: InstanceRecord
    kind: OperationKind
    target: str
    reason: str


def start_planned_work(view, bounds, ledger, condition, make_id):
    """Return at most one `BeginOperation`, and a `ReportLate` where one is due.

    Moves go before maintenance: they supply a pool that is short.

    Parameters
    ----------
    view : FleetView
    bounds : RoundBounds
    ledger : DisruptionLedger
    condition : PoolCondition
    make_id : callable
        Returns a fresh operation id.
    """
    declaration = view.configuration.services.get(condition.pool)
    if declaration is None:
        return []
    records = [view.records[name] for name in sorted(condition.racks)]
    due = list_due(records, declaration.maintenance.period_days, view.wall)
    in_window = is_in_window(declaration.maintenance.windows, view.wall)
    wishes = _list_moves(view, condition.pool)
    wishes += [_wish_maintenance(item, view.wall) for item in due if in_window]
    refusal = Refusal("")
    for wish in wishes:
        begin = _try_begin(view, bounds, ledger, condition, wish, make_id)
        if isinstance(begin, BeginOperation):
            return [begin]
        refusal = refusal if refusal.reason else begin
    reason = refusal.reason or view.refusals.get(condition.pool, "")
    late = forecast_late(
        due, declaration.maintenance, bounds.maintenance, view.wall, reason
    )
    return [ReportLate(condition.pool, late)]


def _list_moves(view, pool):
    wishes = []
    for move in view.moves:
        record = view.records.get(move.instance)
        serves = record is not None and record.phase is Phase.SERVING
        if serves and record.pool == move.source == pool != move.target:
            wish = _Wish(record, OperationKind.MOVE, move.target, move.reason)
            wishes.append(wish)
    return wishes


def _wish_maintenance(record, now):
    days = (now - record.maintained_at) / DAY
    reason = f"maintained {days:.1f} days ago"
    return _Wish(record, OperationKind.MAINTENANCE, record.pool, reason)


def _try_begin(view, bounds, ledger, condition, wish, make_id):
    """Return a `BeginOperation`, or the `Refusal` that holds it back."""
    record = wish.record
    if not view.settled:
        return Refusal("this controller has not yet watched the members for long")
    if not is_zone_heard(record.zone, view.entries, view.monotonic, bounds.drain):
        return Refusal(f"not every entry instance of {record.zone} is heard")
    if wish.target not in view.configuration.services:
        return Refusal(f"the target pool {wish.target} is undeclared")
    operation = Operation(
        operation=make_id(),
        kind=wish.kind,
        source=record.pool,
        target=wish.target,
        started_by=view.controller,
        started_at=view.wall,
        deadline=view.wall + bounds.operation,
    )
    request = make_permit_request(view, bounds, record, operation, wish.reason)
    decision = decide_permit(ledger, condition, request)
    if isinstance(decision, Refusal):
        return decision
    return BeginOperation(record, operation, request, condition)


def make_permit_request(view, bounds, record, operation, reason):
    """Return the `PermitRequest` for an operation on a serving record."""
    declaration = view.configuration.services[record.pool]
    disruption = Disruption(
        instance=record.instance,
        operation=operation.operation,
        kind=operation.kind,
        reason=reason,
        since=view.wall,
        record_epoch=record.epoch,
    )
    return PermitRequest(
        disruption=disruption,
        max_unavailable=declaration.budget.max_unavailable,
        need=declaration.need.instances,
        view_bound=bounds.list_age,
    )
