"""Decides the actions of one controller round from a view, without I/O."""

from peridotspoke.pools.actions import (
    AddRecord,
    NoteFailures,
    RetireRecord,
    ReturnPermits,
)
from peridotspoke.pools.adoption import choose_adoptions
from peridotspoke.pools.conditions import PoolCondition, observe_pools
from peridotspoke.pools.ledger import Disruption, DisruptionLedger
from peridotspoke.pools.records import OperationKind, Phase
from peridotspoke.pools.starting import start_planned_work
from peridotspoke.pools.steering import advance_operation, update_serving_record

__all__ = ["decide_round"]


def decide_round(view, bounds, make_id):
    """Return the actions of one controller round.

    Parameters
    ----------
    view : FleetView
        The state that the decisions are based on.
    bounds : RoundBounds
        Time limits, in seconds.
    make_id : callable
        Takes no arguments and returns a new operation id as a str.

    Returns
    -------
    list
        Instances of the action classes in `peridotspoke.pools.actions`. An action
        on an instance affects only that instance, so the actions can be executed in
        any order.

    Notes
    -----
    For each owned pool, the round first advances or cancels the operations in
    progress, then updates the disruption ledger, and then begins at most one new
    operation.
    """
    conditions = observe_pools(view.records.values(), view.listed, view.list_age)
    actions = _plan_adoptions(view)
    for pool in sorted(view.owned):
        condition = conditions.get(pool) or PoolCondition(
            pool, {}, frozenset(), frozenset(), view.list_age
        )
        ledger = view.ledgers.get(pool) or DisruptionLedger(pool)
        records = [view.records[name] for name in sorted(condition.racks)]
        actions += _advance_records(view, bounds, ledger, condition, records)
        actions += _return_ended_permits(view, ledger, condition)
        actions += _note_failures(view, ledger, condition, make_id)
        actions += start_planned_work(view, bounds, ledger, condition, make_id)
    return actions


def _plan_adoptions(view):
    listed = [
        item for item in view.listed.values() if item.instance not in view.unreadable
    ]
    adoptions = choose_adoptions(
        listed, view.records.values(), view.configuration.services
    )
    return [
        AddRecord(view.listed[item.instance], item.pool, item.reason)
        for item in adoptions
        if item.pool in view.owned
    ]


def _advance_records(view, bounds, ledger, condition, records):
    actions = []
    for record in records:
        if record.phase is not Phase.SERVING:
            found = advance_operation(record, view, bounds, ledger, condition)
        elif _is_retirable(record, view, bounds, ledger):
            missing = view.monotonic - view.missing_since[record.instance]
            found = RetireRecord(record, f"not listed for {missing:.0f} s")
        else:
            found = update_serving_record(record, view, bounds, ledger)
        if found is not None:
            actions.append(found)
    return actions


def _is_retirable(record, view, bounds, ledger):
    if record.instance in view.listed:
        return False
    since = view.missing_since.get(record.instance, view.monotonic)
    return view.monotonic - since > bounds.missing_before_retire


def _return_ended_permits(view, ledger, condition):
    """Return a `ReturnPermits` for the disruptions that have ended, in a list.

    A disruption has ended when its instance serves again or has not failed any
    more, has moved to another pool, or has no record any more.
    """
    ended = frozenset(
        item.operation
        for item in ledger.disruptions
        if _has_ended(item, view.records.get(item.instance), ledger.pool, condition)
    )
    if not ended:
        return []
    return [ReturnPermits(ledger.pool, ended, f"{len(ended)} back or gone")]


def _has_ended(item, record, pool, condition):
    if record is None:
        return True
    if record.operation is not None and record.operation.operation == item.operation:
        moved_away = record.pool != pool and not item.arriving
        given_back = item.arriving and record.operation.target != pool
        return moved_away or given_back
    if record.pool != pool:
        return record.epoch > item.record_epoch
    if item.kind is OperationKind.FAILURE:
        return item.instance not in condition.failed
    return record.epoch > item.record_epoch


def _note_failures(view, ledger, condition, make_id):
    named = {item.instance for item in ledger.disruptions}
    new_failures = sorted(condition.failed - named)
    if not new_failures:
        return []
    failures = tuple(
        Disruption(
            instance=name,
            operation=make_id(),
            kind=OperationKind.FAILURE,
            reason=_describe_failure(view.listed.get(name)),
            since=view.wall,
            record_epoch=view.records[name].epoch,
        )
        for name in new_failures
    )
    reason = (
        f"{len(new_failures)} of {condition.size} failed: {', '.join(new_failures)}"
    )
    return [NoteFailures(ledger.pool, failures, reason)]


def _describe_failure(item):
    if item is None:
        return "not listed"
    return f"listed as {item.state}, incarnation {item.incarnation}"
