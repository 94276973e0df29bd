"""Executes the actions of a round by compare-and-swap writes and platform calls."""

from dataclasses import dataclass

from peridotspoke.exceptions import OperationConflictError, PermitRefusedError
from peridotspoke.logs import log_event
from peridotspoke.pools.actions import (
    AddRecord,
    BeginOperation,
    NoteFailures,
    RebootInstance,
    ReplaceRecord,
    ReportLate,
    RetireRecord,
    ReturnPermits,
)
from peridotspoke.pools.ledger import (
    DisruptionLedger,
    Refusal,
    add_failures,
    decide_permit,
    key_ledger,
    remove_disruptions,
)
from peridotspoke.pools.maintenance import LateMaintenance, format_date
from peridotspoke.pools.phases import adopt_instance, begin_operation
from peridotspoke.pools.records import InstanceRecord, key_instance
from peridotspoke.store import ChangeNote, Stored, decode_record, swap_stored

__all__ = ["FleetWriter", "PoolStatus", "key_status"]

MAX_LEDGER_ATTEMPTS = 4
POOLS_PREFIX = "pools/"
STATUS_SUFFIX = "/status"


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """The status of a pool that operators can read.

    Parameters
    ----------
    pool : str
    late : tuple of LateMaintenance
        Empty if all maintenance is in time.
    """

    pool: str
    late: tuple[LateMaintenance, ...] = ()


def key_status(pool):
    """Return the store key of a pool's status record."""
    return POOLS_PREFIX + pool + STATUS_SUFFIX


class FleetWriter:
    """Writes instance records, ledgers and status records, each by one swap.

    Parameters
    ----------
    service : KeyValueService
    instance_actions : InstanceActions
    clock : Clock
    author : str
        Name of the controller, for the audit trail.
    make_id : callable
        Takes no arguments and returns a new operation id as a str.

    Notes
    -----
    The record to replace is read before each write, and the write is abandoned if
    an instance's record is not the one that the decision was based on. The swap is
    conditional on the revision read, so that an outdated write of a controller that
    was paused has no effect.
    """

    def __init__(self, service, instance_actions, clock, author, make_id):
        self._service = service
        self._instance_actions = instance_actions
        self._clock = clock
        self._author = author
        self._make_id = make_id
        self._reported = {}
        self._handlers = {
            AddRecord: self._add_record,
            BeginOperation: self._begin_operation,
            NoteFailures: self._note_failures,
            RebootInstance: self._reboot_instance,
            ReplaceRecord: self._replace_record,
            ReportLate: self._report_late,
            RetireRecord: self._retire_record,
            ReturnPermits: self._return_permits,
        }

    async def execute(self, action):
        """Execute one action.

        Parameters
        ----------
        action
            An instance of one of the action classes in `peridotspoke.pools.actions`.

        Raises
        ------
        OperationConflictError
            If the record is not the one that the decision was based on, or another
            process swapped it first.
        PermitRefusedError
            If a permit is refused.
        PlatformError
            If a call failed. It may have taken effect, which the next round sees.
        """
        await self._handlers[type(action)](action)

    async def _add_record(self, action):
        name = action.listed.instance
        key = key_instance(name)
        snapshot = await self._service.read_prefix(key)
        epoch = snapshot.revision + 1
        now = self._clock.read_wall()
        record = adopt_instance(action.listed, action.pool, epoch, now)
        note = self._make_note(f"adopt into pool {action.pool}", action.reason)
        await swap_stored(self._service, key, Stored(record, (note,)), 0)
        log_event("instance-adopted", instance=name, pool=action.pool)

    async def _replace_record(self, action):
        if action.arrival is not None:
            await self._take_permit(action.after.pool, action.arrival, None, "expect")
        await self._swap_record(action.before, action.after, action.reason)

    async def _retire_record(self, action):
        key = key_instance(action.record.instance)
        _, revision = await self._read_record(action.record)
        result = await self._service.swap(key, None, revision)
        if not result.succeeded:
            raise OperationConflictError(
                "the record changed after it was read", step="retire", peer=key
            )
        log_event("instance-retired", instance=action.record.instance)

    async def _begin_operation(self, action):
        request = action.request
        pool = action.record.pool
        await self._take_permit(pool, request, action.condition, "permit")
        after = begin_operation(action.record, action.operation)
        await self._swap_record(action.record, after, request.disruption.reason)

    async def _take_permit(self, pool, request, condition, verb):
        """Add a disruption to a pool's ledger, or raise `PermitRefusedError`."""

        def grant(ledger):
            decision = decide_permit(ledger, condition, request)
            if isinstance(decision, Refusal):
                raise PermitRefusedError(
                    decision.reason, step="take permit", peer=ledger.pool
                )
            return decision

        disruption = request.disruption
        await self._change_ledger(
            pool,
            grant,
            f"{verb} {disruption.kind} of {disruption.instance}",
            disruption.reason,
        )

    async def _note_failures(self, action):
        await self._change_ledger(
            action.pool,
            lambda ledger: add_failures(ledger, action.failures),
            "note failures",
            action.reason,
        )

    async def _return_permits(self, action):
        await self._change_ledger(
            action.pool,
            lambda ledger: remove_disruptions(ledger, action.operations),
            "return permits",
            action.reason,
        )

    async def _reboot_instance(self, action):
        await self._instance_actions.drain(action.instance, action.incarnation)
        await self._instance_actions.reboot(action.instance, action.incarnation)
        log_event(
            "reboot-asked", instance=action.instance, incarnation=action.incarnation
        )

    async def _report_late(self, action):
        late = tuple(sorted(item.instance for item in action.late))
        if self._reported.get(action.pool, ()) == late:
            return
        key = key_status(action.pool)
        record = await self._service.read(key)
        stored = decode_record(record, PoolStatus) if record else Stored(None)
        status = PoolStatus(action.pool, action.late)
        text = "; ".join(_describe_late(item) for item in action.late) or "in time"
        note = self._make_note(f"report {len(late)} late", text)
        revision = record.revision if record else 0
        await swap_stored(self._service, key, stored.replace(status, note), revision)
        self._reported[action.pool] = late
        level = "WARNING" if late else "INFO"
        log_event("maintenance-late", level, pool=action.pool, late=text)

    async def _swap_record(self, before, after, reason):
        stored, revision = await self._read_record(before)
        operation = after.operation or before.operation
        change = f"{before.phase} to {after.phase}"
        if after.pool != before.pool:
            change += f", pool {before.pool} to {after.pool}"
        if operation is not None:
            change += f", {operation.kind} {operation.operation}"
        note = self._make_note(change, reason)
        key = key_instance(after.instance)
        await swap_stored(self._service, key, stored.replace(after, note), revision)
        log_event(
            "instance-changed",
            instance=after.instance,
            pool=after.pool,
            phase=after.phase,
            epoch=after.epoch,
            operation=operation.operation if operation else None,
            reason=reason,
        )

    async def _read_record(self, expected):
        key = key_instance(expected.instance)
        record = await self._service.read(key)
        stored = decode_record(record, InstanceRecord) if record else Stored(None)
        if stored.body != expected:
            found = stored.body.epoch if stored.body else "no record"
            raise OperationConflictError(
                f"expected epoch {expected.epoch}, found {found}",
                step="read before swap",
                peer=key,
            )
        return stored, record.revision

    async def _change_ledger(self, pool, change, action, reason):
        key = key_ledger(pool)
        for _ in range(MAX_LEDGER_ATTEMPTS):
            record = await self._service.read(key)
            if record is None:
                stored, revision = Stored(DisruptionLedger(pool)), 0
            else:
                stored = decode_record(record, DisruptionLedger)
                revision = record.revision
            ledger = change(stored.body)
            if ledger == stored.body:
                return
            note = self._make_note(action, reason)
            try:
                changed = stored.replace(ledger, note)
                await swap_stored(self._service, key, changed, revision)
            except OperationConflictError:
                continue
            return
        raise OperationConflictError(
            f"the ledger changed during each of {MAX_LEDGER_ATTEMPTS} swap attempts",
            step=action,
            peer=key,
        )

    def _make_note(self, action, reason):
        return ChangeNote(
            operation=self._make_id(),
            author=self._author,
            action=action,
            reason=reason,
            at=self._clock.read_wall(),
        )


def _describe_late(item):
    return (
        f"{item.instance} due {format_date(item.due_at)}, earliest "
        f"{format_date(item.earliest_at)}: {item.reason}"
    )
