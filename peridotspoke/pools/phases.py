"""The phases of an instance as a state machine without I/O."""

from dataclasses import replace

from peridotspoke.exceptions import PhaseError
from peridotspoke.pools.records import InstanceRecord, OperationKind, Phase

__all__ = [
    "adopt_instance",
    "begin_operation",
    "check_succession",
    "fence_record",
    "finish_joining",
    "give_back",
    "mark_empty",
    "mark_rebooting",
    "start_joining",
]

_SUCCESSORS = {
    Phase.SERVING: {Phase.SERVING, Phase.DRAINING},
    Phase.DRAINING: {Phase.SERVING, Phase.EMPTY},
    Phase.EMPTY: {Phase.REBOOTING, Phase.JOINING},
    Phase.REBOOTING: {Phase.JOINING},
    Phase.JOINING: {Phase.SERVING},
}


def adopt_instance(listed, pool, epoch, now):
    """Return the first record of a listed instance.

    Parameters
    ----------
    listed : ListedInstance
    pool : str
    epoch : int
        Above every epoch that an earlier record of the instance can have had. The
        store's revision is: each growth of an epoch takes a revision.
    now : float
        Seconds since the Unix epoch.
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
    """Return the draining record of a serving one."""
    return _follow(record, phase=Phase.DRAINING, operation=operation)


def mark_empty(record):
    """Return the record of a drained instance: nothing is in flight to it."""
    return _follow(record, phase=Phase.EMPTY)


def mark_rebooting(record):
    """Return the record of an empty instance that may be rebooted from now on."""
    return _follow(record, phase=Phase.REBOOTING)


def start_joining(record, incarnation, restarted_at=None):
    """Return the joining record, in the pool that the operation names.

    Parameters
    ----------
    record : InstanceRecord
        An empty or a rebooting one.
    incarnation : int
        The incarnation that the platform lists.
    restarted_at : float, optional
        When the instance came back, in seconds since the Unix epoch, where it was
        restarted.
    """
    return _follow(
        record,
        phase=Phase.JOINING,
        pool=record.operation.target,
        incarnation=incarnation,
        maintained_at=record.maintained_at if restarted_at is None else restarted_at,
    )


def finish_joining(record):
    """Return the serving record of a joining one."""
    return _follow(record, phase=Phase.SERVING, operation=None)


def give_back(record):
    """Return the record of a drain that is given up.

    A draining instance serves again. An empty one joins its own pool again.
    """
    if record.phase is Phase.EMPTY:
        operation = replace(record.operation, target=record.pool)
        return _follow(record, phase=Phase.JOINING, operation=operation)
    return _follow(record, phase=Phase.SERVING, operation=None)


def fence_record(record, **changes):
    """Return the same serving record with the next epoch.

    Any swap that another controller prepared on the older one then fails.
    """
    return _follow(record, phase=Phase.SERVING, **changes)


def _follow(record, **changes):
    after = replace(record, epoch=record.epoch + 1, **changes)
    check_succession(record, after)
    return after


def check_succession(before, after):
    """Raise an error unless `after` may follow `before` in one swap.

    Parameters
    ----------
    before : InstanceRecord or None
        None where the instance had no record.
    after : InstanceRecord or None
        None where the record is deleted.

    Raises
    ------
    PhaseError
        If the phase, the epoch, the pool or the operation may not change so.
    """
    fault = _find_fault(before, after)
    if fault:
        name = (after or before).instance
        raise PhaseError(fault, step="change phase", peer=name)


def _find_fault(before, after):
    if before is None:
        return "" if after.phase is Phase.SERVING else f"began as {after.phase}"
    if after is None:
        return "" if before.phase is Phase.SERVING else f"deleted while {before.phase}"
    if after.instance != before.instance:
        return f"expected instance {before.instance}, found {after.instance}"
    if after.epoch != before.epoch + 1:
        return f"expected epoch {before.epoch + 1}, found {after.epoch}"
    if after.phase not in _SUCCESSORS[before.phase]:
        return f"{before.phase} may not become {after.phase}"
    return _find_operation_fault(before, after) or _find_pool_fault(before, after)


def _find_operation_fault(before, after):
    if (after.operation is None) != (after.phase is Phase.SERVING):
        return f"{after.phase} with operation {after.operation}"
    if before.operation is None or after.operation is None:
        return ""
    if after.operation.operation != before.operation.operation:
        return "the operation changed while it was under way"
    reboots = after.phase is Phase.REBOOTING
    if reboots and before.operation.kind is OperationKind.MOVE:
        return "a move does not reboot"
    return ""


def _find_pool_fault(before, after):
    if after.pool == before.pool:
        return ""
    moves = before.phase is Phase.EMPTY and after.phase is Phase.JOINING
    if not moves or after.pool != before.operation.target:
        return f"pool changed from {before.pool} to {after.pool} while {before.phase}"
    return ""
