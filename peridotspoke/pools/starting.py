"""Decides which planned operation begins in a pool, and reports late maintenance."""

from dataclasses import dataclass

from peridotspoke.pools.actions import BeginOperation, ReportLate
from peridotspoke.pools.drains import is_zone_responsive
from peridotspoke.pools.ledger import (
    Disruption,
    PermitRequest,
    Refusal,
    decide_permit,
)
from peridotspoke.pools.maintenance import forecast_late, is_in_window, list_due
from peridotspoke.pools.records import InstanceRecord, Operation, OperationKind, Phase

__all__ = ["start_planned_work"]

SECONDS_PER_DAY = 86_400.0


@dataclass(frozen=True, slots=True)
class _PlannedWork:
    """An operation that the pool should begin if a permit is granted.

    Parameters
    ----------
    record : InstanceRecord
        In phase serving.
    kind : OperationKind
    target : str
        The pool that the instance belongs to afterwards.
    reason : str
    """

    record: InstanceRecord
    kind: OperationKind
    target: str
    reason: str


def start_planned_work(view, bounds, ledger, condition, make_id):
    """Return the `BeginOperation` of a pool, or else its `ReportLate`, in a list.

    Moves are tried before maintenance, because a move supplies a pool that has too
    few instances.

    Parameters
    ----------
    view : FleetView
    bounds : RoundBounds
    ledger : DisruptionLedger
        That of the pool.
    condition : PoolCondition
        That of the pool.
    make_id : callable
        Takes no arguments and returns a new operation id as a str.

    Returns
    -------
    list
        Empty if the pool is not declared.
    """
    declaration = view.configuration.services.get(condition.pool)
    if declaration is None:
        return []
    records = [view.records[name] for name in sorted(condition.racks)]
    due = list_due(records, declaration.maintenance.period_days, view.wall)
    in_window = is_in_window(declaration.maintenance.windows, view.wall)
    candidates = _propose_moves(view, condition.pool)
    candidates += [_propose_maintenance(item, view.wall) for item in due if in_window]
    refusal = Refusal("")
    for work in candidates:
        begin = _decide_begin(view, bounds, ledger, condition, work, make_id)
        if isinstance(begin, BeginOperation):
            return [begin]
        refusal = refusal if refusal.reason else begin
    reason = refusal.reason or view.refusals.get(condition.pool, "")
    late = forecast_late(
        due, declaration.maintenance, bounds.maintenance, view.wall, reason
    )
    return [ReportLate(condition.pool, late)]


def _propose_moves(view, pool):
    candidates = []
    for move in view.moves:
        record = view.records.get(move.instance)
        serves = record is not None and record.phase is Phase.SERVING
        if serves and record.pool == move.source == pool != move.target:
            work = _PlannedWork(record, OperationKind.MOVE, move.target, move.reason)
            candidates.append(work)
    return candidates


def _propose_maintenance(record, now):
    days = (now - record.maintained_at) / SECONDS_PER_DAY
    reason = f"maintained {days:.1f} days ago"
    return _PlannedWork(record, OperationKind.MAINTENANCE, record.pool, reason)


def _decide_begin(view, bounds, ledger, condition, work, make_id):
    """Return a `BeginOperation`, or a `Refusal` if the work may not begin now."""
    record = work.record
    if not view.warmed_up:
        return Refusal("this controller has not yet watched the members for long")
    if not is_zone_responsive(record.zone, view.entries, view.monotonic, bounds.drain):
        return Refusal(f"not every entry instance of {record.zone} is heard")
    if work.target not in view.configuration.services:
        return Refusal(f"the target pool {work.target} is undeclared")
    operation = Operation(
        operation=make_id(),
        kind=work.kind,
        source=record.pool,
        target=work.target,
        started_by=view.controller,
        started_at=view.wall,
        deadline=view.wall + bounds.operation,
    )
    request = make_permit_request(view, bounds, record, operation, work.reason)
    decision = decide_permit(ledger, condition, request)
    if isinstance(decision, Refusal):
        return decision
    return BeginOperation(record, operation, request, condition)


def make_permit_request(view, bounds, record, operation, reason):
    """Return the `PermitRequest` for an operation on a serving instance.

    Parameters
    ----------
    view : FleetView
    bounds : RoundBounds
    record : InstanceRecord
        In phase serving, in a declared pool.
    operation : Operation
    reason : str
        Why the instance is taken out of service.
    """
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
