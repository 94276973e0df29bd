"""State machine for the phases of an instance record, without I/O."""

from dataclasses import replace

from peridotspoke.exceptions import PhaseError
from peridotspoke.pools.records import InstanceRecord, OperationKind, Phase

__all__ = [
    "adopt_instance",
    "begin_operation",
    "cancel_drain",
    "check_transition",
    "fence_record",
    "finish_joining",
    "mark_empty",
    "mark_rebooting",
    "start_joining",
]

_NEXT_PHASES = {
    Phase.SERVING: {Phase.SERVING, Phase.DRAINING},
    Phase.DRAINING: {Phase.SERVING, Phase.EMPTY},
    Phase.EMPTY: {Phase.REBOOTING, Phase.JOINING},
    Phase.REBOOTING: {Phase.JOINING},
    Phase.JOINING: {Phase.SERVING},
}


def adopt_instance(listed, pool, epoch, now):
    """Return the first record of a listed instance, in phase serving.

    Parameters
    ----------
    listed : ListedInstance
        The platform's entry for the instance.
    pool : str
    epoch : int
        Must be greater than any epoch that an earlier, deleted record of the
        instance can have had. The store's revision satisfies this, since every
        increment of an epoch is a write that increments the revision.
    now : float
        Seconds since the Unix epoch.

    Returns
    -------
    InstanceRecord
    """
    return InstanceRecord(
        instance=listed.instance,
        pool=pool,
        phase=Phase.SERVING,
        epoch=epoch,
        zone=listed.zone,
        rack=listed.rack,
        incarnation=listed.incarnation,
        maintained_at=now,
    )


def begin_operation(record, operation):
    """Return the draining record that follows a serving one.

    Parameters
    ----------
    record : InstanceRecord
    operation : Operation

    Raises
    ------
    PhaseError
        If the record is not in phase serving.
    """
    return _make_successor(record, phase=Phase.DRAINING, operation=operation)


def mark_empty(record):
    """Return the empty record that follows a draining one.

    An instance is empty when no request to it is in flight.
    """
    return _make_successor(record, phase=Phase.EMPTY)


def mark_rebooting(record):
    """Return the rebooting record that follows an empty one.

    Once it is written, the instance may be rebooted.
    """
    return _make_successor(record, phase=Phase.REBOOTING)


def start_joining(record, incarnation, restarted_at=None):
    """Return the joining record, in the operation's target pool.

    Parameters
    ----------
    record : InstanceRecord
        In phase empty or rebooting.
    incarnation : int
        The incarnation that the platform lists.
    restarted_at : float, optional
        When the restarted instance was listed as live, in seconds since the Unix
        epoch. None if the instance was not restarted.

    Raises
    ------
    PhaseError
        If the record is in another phase.
    """
    return _make_successor(
        record,
        phase=Phase.JOINING,
        pool=record.operation.target,
        incarnation=incarnation,
        maintained_at=record.maintained_at if restarted_at is None else restarted_at,
    )


def finish_joining(record):
    """Return the serving record that follows a joining one."""
    return _make_successor(record, phase=Phase.SERVING, operation=None)


def cancel_drain(record):
    """Return the record that follows when a drain is cancelled.

    A draining instance goes back to serving. An empty instance goes to joining, in
    the pool that it already belongs to.
    """
    if record.phase is Phase.EMPTY:
        operation = replace(record.operation, target=record.pool)
        return _make_successor(record, phase=Phase.JOINING, operation=operation)
    return _make_successor(record, phase=Phase.SERVING, operation=None)


def fence_record(record, **changes):
    """Return a serving record with its epoch incremented and `changes` applied.

    A swap that another controller prepared from the older record then fails.
    """
    return _make_successor(record, phase=Phase.SERVING, **changes)


def _make_successor(record, **changes):
    after = replace(record, epoch=record.epoch + 1, **changes)
    check_transition(record, after)
    return after


def check_transition(before, after):
    """Check that one swap may replace the record `before` by `after`.

    Parameters
    ----------
    before : InstanceRecord or None
        None if the instance had no record.
    after : InstanceRecord or None
        None if the record is deleted.

    Raises
    ------
    PhaseError
        If the change of phase, epoch, pool or operation is not allowed.
    """
    error = _find_transition_error(before, after)
    if error:
        name = (after or before).instance
        raise PhaseError(error, step="change phase", peer=name)


def _find_transition_error(before, after):
    if before is None:
        return "" if after.phase is Phase.SERVING else f"first record is {after.phase}"
    if after is None:
        return (
            ""
            if before.phase is Phase.SERVING
            else f"record deleted while {before.phase}"
        )
    if after.instance != before.instance:
        return f"expected instance {before.instance}, found {after.instance}"
    if after.epoch != before.epoch + 1:
        return f"expected epoch {before.epoch + 1}, found {after.epoch}"
    if after.phase not in _NEXT_PHASES[before.phase]:
        return f"phase {before.phase} may not be followed by {after.phase}"
    return _find_operation_error(before, after) or _find_pool_error(before, after)


def _find_operation_error(before, after):
    if (after.operation is None) != (after.phase is Phase.SERVING):
        return f"phase {after.phase} with operation {after.operation}"
    if before.operation is None or after.operation is None:
        return ""
    if after.operation.operation != before.operation.operation:
        return "another operation replaced the one in progress"
    reboots = after.phase is Phase.REBOOTING
    if reboots and before.operation.kind is OperationKind.MOVE:
        return "a move must not reboot the instance"
    return ""


def _find_pool_error(before, after):
    if after.pool == before.pool:
        return ""
    moves = before.phase is Phase.EMPTY and after.phase is Phase.JOINING
    if not moves or after.pool != before.operation.target:
        return f"pool changed from {before.pool} to {after.pool} while {before.phase}"
    return ""
