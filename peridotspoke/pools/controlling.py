"""Runs the rounds of a controller: observe, plan, decide, act."""

import asyncio
from collections import Counter
from dataclasses import replace

from reactivex import operators
from reactivex.subject import Subject

from peridotspoke.exceptions import (
    OperationConflictError,
    PeerError,
    PeridotspokeError,
    PermitRefusedError,
    PlatformError,
)
from peridotspoke.logs import log_event
from peridotspoke.pools.actions import BeginOperation, RebootInstance, ReportLate
from peridotspoke.pools.drains import InFlight
from peridotspoke.pools.ledger import POOLS_PREFIX
from peridotspoke.pools.ownership import (
    OWNERS_PREFIX,
    OwnerRecord,
    decide_ownership,
    list_owned,
    make_claim_note,
    write_ownership,
)
from peridotspoke.pools.records import INSTANCES_PREFIX
from peridotspoke.pools.rounds import decide_round
from peridotspoke.store import decode_record

__all__ = ["FleetController"]

IDLE_POLLS = 3  # silences between two polls of the entries while nothing drains
MOST_POOLS_AT_ONCE = 8


class FleetController:
    """Keeps the pools that this process owns supplied and maintained.

    It owns no sockets: what it needs is passed in, and its inputs arrive by the
    ``take`` methods.

    Parameters
    ----------
    observer : FleetObserver
    writer : FleetWriter
    service : KeyValueService
    process : ProcessIdentity
        Name, incarnation and lease of this process.
    in_flight_source : InFlightSource
    planner : MovePlanner
    clock : Clock
    bounds : RoundBounds
    make_id : callable
        Returns a fresh operation id.

    Attributes
    ----------
    actions : reactivex.Subject
        The actions of each round, for tests and metrics.
    """

    def __init__(
        self,
        observer,
        writer,
        service,
        process,
        in_flight_source,
        planner,
        clock,
        bounds,
        make_id,
    ):
        self.actions = Subject()
        self.outcomes = Counter()
        self._observer = observer
        self._writer = writer
        self._service = service
        self._process = process
        self._in_flight_source = in_flight_source
        self._planner = planner
        self._clock = clock
        self._bounds = bounds
        self._make_id = make_id
        self._owners = {}
        self._controllers = frozenset()
        self._refusals = {}
        self._rounds_at = None
        self._polled_at = float("-inf")
        self._pending = []
        self._views = Subject()
        self._views.pipe(
            operators.map(self._plan),
            operators.map(self._decide),
            operators.do_action(self.actions.on_next),
        ).subscribe(self._pending.append)

    def take_followed(self, followed):
        """Take records under any prefix that the controller follows."""
        for key in followed.changed:
            self.take_record(key, followed.records.get(key))

    def take_record(self, key, record):
        """Take one record, or None where it was deleted."""
        if not key.startswith(OWNERS_PREFIX):
            now = self._clock.read_monotonic()
            self._observer.take_record(key, record, now)
            return
        pool = key.removeprefix(OWNERS_PREFIX)
        if record is None:
            self._owners.pop(pool, None)
            return
        try:
            self._owners[pool] = decode_record(record, OwnerRecord).body
        except PlatformError as error:
            log_event("record-rejected", "ERROR", error=error)

    def take_members(self, members):
        """Take the `MemberRecord` of every live process."""
        now = self._clock.read_monotonic()
        self._controllers = frozenset(
            item.name
            for item in members
            if item.role == "control" and not item.stopping
        )
        entries = [item for item in members if item.role == "entry"]
        self._observer.entries.take_members(entries, now)

    def change_drain_bounds(self, drain):
        """Take other `DrainBounds` into force and return the `RoundBounds`."""
        self._bounds = replace(self._bounds, drain=drain)
        self._observer.change_bounds(self._bounds)
        return self._bounds

    async def run_round(self):
        """Run one round; nothing is done without a configuration and a held lease."""
        if self._observer.configuration is None or not self._process.is_held():
            return
        try:
            await self._run_round()
        except PlatformError as error:
            self.outcomes["round-abandoned"] += 1
            log_event("round-abandoned", "WARNING", error=error)

    async def _run_round(self):
        if self._was_paused():
            await self._read_again()
        self._rounds_at = self._clock.read_monotonic()
        await self._share_pools()
        await self._poll_entries()
        owned = self.list_owned()
        if not owned:
            return
        now, wall = self._clock.read_monotonic(), self._clock.read_wall()
        self._views.on_next(self._observer.make_view(owned, now, wall, self._refusals))
        await self._act(self._pending.pop())

    def list_owned(self):
        """Return the frozenset of pools that this controller holds."""
        return list_owned(self._owners, self._make_owner(""))

    def _was_paused(self):
        """Return whether so long has passed that the view may be of another time."""
        if self._rounds_at is None:
            return False
        return self._clock.read_monotonic() - self._rounds_at > self._bounds.pause

    async def _read_again(self):
        """Read all that the round rests on, since watches may be behind."""
        log_event("pause-found", "WARNING", reason="time passed without a round")
        for prefix in (INSTANCES_PREFIX, POOLS_PREFIX, OWNERS_PREFIX):
            snapshot = await self._service.read_prefix(prefix)
            found = {record.key: record for record in snapshot.records}
            for key in self._list_known(prefix) | found.keys():
                self.take_record(key, found.get(key))
        self._observer.reset_announcements(self._clock.read_monotonic())

    def _list_known(self, prefix):
        if prefix == OWNERS_PREFIX:
            return {OWNERS_PREFIX + pool for pool in self._owners}
        return self._observer.list_keys(prefix)

    def _make_owner(self, pool):
        process = self._process
        return OwnerRecord(pool, process.name, process.incarnation, process.lease_id)

    async def _share_pools(self):
        pools = self._observer.configuration.services.keys()
        me = self._make_owner("")
        for change in decide_ownership(pools, self._controllers, self._owners, me):
            owner = replace(me, pool=change.pool)
            note = make_claim_note(
                self._make_id,
                me.holder,
                change,
                len(self._controllers),
                self._clock.read_wall(),
            )
            try:
                await write_ownership(self._service, change, owner, note)
            except PlatformError as error:
                log_event("pool-not-shared", pool=change.pool, error=error)
                continue
            if change.claims:
                self._owners[change.pool] = owner
            else:
                self._owners.pop(change.pool, None)

    async def _poll_entries(self):
        """Ask each entry instance what is in flight; seldom where nothing drains."""
        now = self._clock.read_monotonic()
        draining = self._observer.list_draining()
        idle_interval = IDLE_POLLS * self._bounds.drain.silence
        if not draining and now - self._polled_at < idle_interval:
            return
        self._polled_at = now
        members = self._observer.entries.members.values()
        await asyncio.gather(*(self._poll_entry(item, draining) for item in members))

    async def _poll_entry(self, member, draining):
        asked_at = self._clock.read_monotonic()
        try:
            reports = await self._in_flight_source.report_in_flight(
                member.address, draining
            )
        except PeerError as error:
            self.outcomes["entry-silent"] += 1
            log_event("entry-silent", "DEBUG", error=error)
            return
        said = {
            name: InFlight(draining[name] if item.seen else 0, item.in_flight)
            for name, item in reports.items()
            if name in draining
        }
        self._observer.entries.take_report(member.name, asked_at, said)

    def _plan(self, view):
        return replace(view, moves=self._planner.plan(view))

    def _decide(self, view):
        return decide_round(view, self._bounds, self._make_id)

    async def _act(self, actions):
        """Carry out the actions, those of a pool in order, some pools at once."""
        by_pool = {}
        for action in actions:
            by_pool.setdefault(_name_pool(action), []).append(action)
        gate = asyncio.Semaphore(MOST_POOLS_AT_ONCE)

        async def act_on_pool(pool, found):
            async with gate:
                for action in found:
                    await self._carry_out(pool, action)

        await asyncio.gather(*(act_on_pool(*item) for item in by_pool.items()))

    async def _carry_out(self, pool, action):
        if not self._process.is_held() or self._was_paused():
            self.outcomes["abandoned"] += 1
            return
        if isinstance(action, RebootInstance):
            self._observer.note_told(action.instance, self._clock.read_monotonic())
        try:
            await self._writer.carry_out(action)
        except PermitRefusedError as error:
            self._refusals[pool] = error.message
            self._note_outcome("refused", "INFO", action, error)
        except OperationConflictError as error:
            self._note_outcome("conflict", "INFO", action, error)
        except PeridotspokeError as error:
            self._note_outcome("failed", "WARNING", action, error)
        else:
            self.outcomes["done"] += not isinstance(action, ReportLate)
            if isinstance(action, BeginOperation):
                self._refusals.pop(pool, None)

    def _note_outcome(self, outcome, level, action, error):
        self.outcomes[outcome] += 1
        name = type(action).__name__
        log_event(f"action-{outcome}", level, action=name, error=error)


def _name_pool(action):
    """Return the pool whose records an action changes, for ordering."""
    for name in ("pool", "record", "before"):
        found = getattr(action, name, None)
        if found is not None:
            return found if isinstance(found, str) else found.pool
    return action.instance
