"""Background tasks with which an entry instance lends and borrows executor slots."""

import asyncio
from dataclasses import replace

from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PeerError,
    PlatformError,
)
from peridotspoke.identities import make_operation_id
from peridotspoke.logs import log_event
from peridotspoke.peers.borrowedslots import SlotBorrower
from peridotspoke.peers.records import MemberRecord, key_member
from peridotspoke.peers.rights import (
    KEEPERS_PREFIX,
    KeeperRecord,
    LendingRight,
    key_keeper,
)
from peridotspoke.peers.slots import LendingRules, SlotKeeper
from peridotspoke.requests import SlotShares
from peridotspoke.store import (
    ChangeNote,
    Stored,
    decode_record,
    follow_prefix,
    swap_stored,
)

__all__ = ["LentShares", "SlotLending"]

RENEWAL_INTERVAL_S = 0.8  # between requests to a keeper while its loans suffice
SHORTAGE_INTERVAL_S = 0.05  # between requests while too few slots are lent
CONTENDED_INTERVAL_S = 0.25  # between requests while slots are contended
RIGHT_CHECK_INTERVAL_S = 1.0  # between checks of the right to lend
FAILED_INTERVAL_S = 0.5  # between a failed request and the next


class LentShares(SlotShares):
    """Slot shares that come from the loans of keepers.

    Parameters
    ----------
    lending : SlotLending
    """

    def __init__(self, lending):
        super().__init__()
        self._lending = lending
        lending.on_change = self.notify_listeners

    def get_share(self, upstream, now):
        """Return the number of slots of `upstream` that are lent at time `now`."""
        return self._lending.borrower.get_share(upstream.instance, now)

    def record_use(self, upstream, in_use, wanted, now):
        """Record the slots in use and wanted, and request more at once if needed."""
        self._lending.borrower.record_use(
            upstream.instance, upstream.zone, in_use, wanted, now
        )
        self._lending.wake()


class SlotLending:
    """Lends and borrows executor slots on behalf of one entry instance.

    While this process is its zone's keeper, it maintains the keeper record and
    lends. It borrows from the keepers of all zones in which it needs slots.

    Parameters
    ----------
    node : PeerNode
        Must be started, so that its address is known.
    service : KeyValueService
    get_slots : callable
        Returns a dict with the number of slots of each executor of the zone, by
        instance.
    clock : Clock
    random : random.Random
    rules : LendingRules, optional
    right_rules : LendingRightRules, optional
    """

    def __init__(
        self, node, service, get_slots, clock, random, rules=None, right_rules=None
    ):
        own = node.own
        rules = rules or LendingRules()
        self.identity = _make_identity(own)
        self.borrower = SlotBorrower(own.name, own.incarnation, rules)
        self.keeper = SlotKeeper(self.identity, own.zone, rules)
        self.right = LendingRight(self.identity, own.zone, right_rules)
        self.calls = 0
        self.on_change = None
        self._node = node
        self._service = service
        self._get_slots = get_slots
        self._clock = clock
        self._random = random
        self._records = {}
        self._requested_at = {}
        self._wake_event = asyncio.Event()
        self._request_limit_known = False
        self._request_tasks = {}

    def set_longest_request(self, seconds):
        """Set how long a request may still use a slot after its loan has expired.

        A lower value than the current one is ignored, since requests that were sent
        under the longer limit may still be running. The process doesn't try to become
        keeper before the first call, since it doesn't know how long requests
        sent under a previous keeper's loans may still run.

        Parameters
        ----------
        seconds : float
            Longest time for which a request can occupy its slot.
        """
        longest = max(seconds, self.keeper.rules.longest_request)
        rules = replace(self.keeper.rules, longest_request=longest)
        self.keeper.rules = rules
        self.borrower.rules = rules
        self._request_limit_known = True

    def wake(self):
        """Check immediately whether slots must be requested."""
        self._wake_event.set()

    async def run(self):
        """Maintain the right to lend and borrow slots until cancelled."""
        try:
            await asyncio.gather(
                self._follow_keepers(), self._maintain_right(), self._borrow()
            )
        finally:
            for task in self._request_tasks.values():
                task.cancel()

    def answer_request(self, request):
        """Return the `SlotsAnswer` to a `SlotsRequest`.

        Raises
        ------
        PeerError
            If the borrower is not a known member, if this process may not lend now,
            or if the keeper refuses the request.
        """
        now = self._clock.read_monotonic()
        known = {record.name for record in self._node.membership.list_known()}
        if request.borrower not in known:
            raise PeerError(
                f"borrower: expected a known member, found {request.borrower}",
                step="lend slots",
            )
        if request.promises:
            elector = f"{request.borrower}@{request.incarnation}"
            self.right.take_promise(elector, request.epoch, request.keeper_time)
        self._note_lease()
        if not self.right.may_lend(now):
            raise PeerError(
                f"{self.identity} is not the keeper of {request.zone}",
                step="lend slots",
            )
        return self.keeper.lend(request, self._get_slots(), now)

    def _note_lease(self):
        lease = self._node.lease.lease
        if lease is not None:
            ends_at = lease.requested_at + lease.ttl
            self.right.note_lease(self._node.lease.grant_count, ends_at)

    async def _follow_keepers(self):
        async for followed in follow_prefix(self._service, KEEPERS_PREFIX):
            for key in followed.changed:
                self._apply_record(key, followed.records.get(key))

    def _apply_record(self, key, record):
        if record is None:
            return
        known = self._records.get(key)
        if known is not None and known[1] >= record.revision:
            return
        try:
            body = decode_record(record, KeeperRecord).body
        except PlatformError as error:
            log_event("record-rejected", "ERROR", error=error)
            return
        self._records[key] = (body, record.revision)
        if body.zone == self._node.own.zone:
            self.right.take_record(body)

    async def _maintain_right(self):
        while True:
            if self._request_limit_known and self._node.lease.is_held():
                try:
                    await self._propose()
                except PlatformError as error:
                    log_event("right-unsettled", "WARNING", error=error)
            await asyncio.sleep(RIGHT_CHECK_INTERVAL_S)

    async def _propose(self):
        grant = self._node.lease.grant_count
        self._note_lease()
        now = self._clock.read_monotonic()
        listed = await self._is_keeper_listed()
        electors = self._list_electors()
        key = key_keeper(self._node.own.zone)
        revision = self._records[key][1] if key in self._records else 0
        record = self.right.propose(electors, grant, listed, now)
        if record is not None:
            await self._write_record(key, record, revision, grant)

    async def _is_keeper_listed(self):
        record = self.right.record
        if record is None or self.right.is_keeper() or not record.keeper:
            return False
        name = record.keeper.rpartition("@")[0]
        found = await self._service.read(key_member(name))
        if found is None:
            return False
        return _make_identity(decode_record(found, MemberRecord).body) == record.keeper

    def _list_electors(self):
        now = self._clock.read_monotonic()
        zone = self._node.own.zone
        return [
            _make_identity(view.record)
            for view in self._node.membership.list_members(now)
            if view.listed and view.record.role == "entry" and view.record.zone == zone
        ]

    async def _write_record(self, key, record, revision, grant):
        lease = self._node.lease.lease
        ends_at = lease.requested_at + lease.ttl if lease else float("-inf")
        note = ChangeNote(
            operation=make_operation_id(self._random),
            author=self._node.own.name,
            action=f"keep the slots of {record.zone}",
            reason=f"epoch {record.epoch}, electors {', '.join(record.electors)}",
            at=self._clock.read_wall(),
        )
        won = None
        try:
            stored = Stored(record, (note,))
            written = await swap_stored(self._service, key, stored, revision)
            self._records[key] = (record, written.revision)
            won = True
        except AnswerLostError:
            log_event("right-unknown", "WARNING", zone=record.zone)
        except (OperationConflictError, PlatformError):
            won = False
        taken = self.right.apply_write_outcome(won, grant, ends_at)
        if won:
            self._apply_written_record(record, taken)

    def _apply_written_record(self, record, taken):
        electors = len(record.electors)
        log_event(
            "right-written", zone=record.zone, epoch=record.epoch, electors=electors
        )
        if taken or self.keeper.epoch == 0:
            now = self._clock.read_monotonic()
            self.keeper.start_lending(record.epoch, now, taken)
            log_event("keeper-began", zone=record.zone, epoch=record.epoch, quiet=taken)
        self.keeper.update_epoch(record.epoch)

    async def _borrow(self):
        while True:
            now = self._clock.read_monotonic()
            for zone in self._list_zones():
                if (
                    zone not in self._request_tasks
                    and now >= self._compute_next_request_time(zone, now)
                ):
                    self._request_tasks[zone] = asyncio.create_task(
                        self._request_slots(zone)
                    )
            self._wake_event.clear()
            try:
                async with asyncio.timeout(SHORTAGE_INTERVAL_S):
                    await self._wake_event.wait()
            except TimeoutError:
                continue

    def _list_zones(self):
        """Return the zones whose keepers must be asked.

        The own zone is included even if no slots are needed, because the keeper
        needs the promise that the request carries.
        """
        zones = set(self.borrower.list_zones())
        if not self.right.is_keeper() and self.right.record is not None:
            zones.add(self._node.own.zone)
        return sorted(zones)

    def _compute_next_request_time(self, zone, now):
        asked_at = self._requested_at.get(zone, float("-inf"))
        if self.borrower.is_contended(zone):
            return asked_at + CONTENDED_INTERVAL_S
        if self.borrower.is_short(zone, now):
            return asked_at + SHORTAGE_INTERVAL_S
        return asked_at + RENEWAL_INTERVAL_S

    async def _request_slots(self, zone):
        now = self._clock.read_monotonic()
        try:
            await self._request_from_keeper(zone, now)
        except PeerError as error:
            log_event("slots-not-lent", "WARNING", zone=zone, error=error)
            now += FAILED_INTERVAL_S - SHORTAGE_INTERVAL_S
        finally:
            self._requested_at[zone] = now
            self._request_tasks.pop(zone, None)

    async def _request_from_keeper(self, zone, now):
        record, _ = self._records.get(key_keeper(zone), (None, 0))
        if record is None:
            raise PeerError("no keeper record known", step="borrow slots", peer=zone)
        epoch = self.borrower.get_epoch(zone)
        own_zone = zone == self._node.own.zone
        promises = own_zone and self.right.make_promise(epoch, now)
        request = self.borrower.make_request(zone, now, promises)
        answer = await self._call_keeper(record.keeper, request)
        answered_at = self._clock.read_monotonic()
        self.borrower.take_answer(request, answer, answered_at)
        if self.on_change is not None:
            self.on_change()

    async def _call_keeper(self, keeper, request):
        if keeper == self.identity:
            return self.answer_request(request)
        self.calls += 1
        name = keeper.rpartition("@")[0]
        for record in self._node.membership.list_known():
            if record.name == name:
                return await self._node.client.lend_slots(record.address, request)
        raise PeerError(
            "the keeper is not among the known members",
            step="borrow slots",
            peer=keeper,
        )


def _make_identity(member):
    """Return the identity of a process, made of its name and incarnation."""
    return f"{member.name}@{member.incarnation}"
