"""Runs the rounds of a controller: observe, plan, decide and execute."""

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
    make_ownership_note,
    write_ownership,
)
from peridotspoke.pools.records import INSTANCES_PREFIX
from peridotspoke.pools.rounds import decide_round
from peridotspoke.store import decode_record

__all__ = ["FleetController"]

# Interval between polls of the entry instances while nothing drains, as a multiple
# of `DrainBounds.answer_timeout`.
IDLE_POLL_FACTOR = 3
MAX_CONCURRENT_POOLS = 8


class FleetController:
    """Runs the rounds that keep this process's pools at size and maintained.

    It opens no connections itself. Its collaborators are passed to the constructor,
    and its inputs are passed to the ``take`` methods.

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
        Takes no arguments and returns a new operation id as a str.

    Attributes
    ----------
    actions : reactivex.Subject
        Emits the list of actions of each round, for tests and metrics.
    outcomes : collections.Counter
        Number of actions, abandoned rounds and unanswered polls, by outcome.
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
        self._last_round_at = None
        self._last_poll_at = float("-inf")
        self._pending = []
        self._views = Subject()
        self._views.pipe(
            operators.map(self._plan),
            operators.map(self._decide),
            operators.do_action(self.actions.on_next),
        ).subscribe(self._pending.append)

    def take_followed(self, followed):
        """Update the records that changed under a followed prefix."""
        for key in followed.changed:
            self.take_record(key, followed.records.get(key))

    def take_record(self, key, record):
        """Update one record.

        Parameters
        ----------
        key : str
        record : Record or None
            None if the record was deleted.
        """
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
        """Update the set of live processes.

        Parameters
        ----------
        members : collection of MemberRecord
        """
        now = self._clock.read_monotonic()
        self._controllers = frozenset(
            item.name
            for item in members
            if item.role == "control" and not item.stopping
        )
        entries = [item for item in members if item.role == "entry"]
        self._observer.entries.take_members(entries, now)

    def change_drain_bounds(self, drain):
        """Use other `DrainBounds` from now on.

        Parameters
        ----------
        drain : DrainBounds

        Returns
        -------
        RoundBounds
            The bounds now in use.
        """
        self._bounds = replace(self._bounds, drain=drain)
        self._observer.change_bounds(self._bounds)
        return self._bounds

    async def run_round(self):
        """Run one round, unless there is no configuration or the lease is not held.

        A round whose platform calls fail is abandoned, logged and counted.
        """
        if self._observer.configuration is None or not self._process.is_held():
            return
        try:
            await self._run_round()
        except PlatformError as error:
            self.outcomes["round-abandoned"] += 1
            log_event("round-abandoned", "WARNING", error=error)

    async def _run_round(self):
        if self._was_paused():
            await self._reread_records()
        self._last_round_at = self._clock.read_monotonic()
        await self._update_ownership()
        await self._poll_entries()
        owned = self.list_owned()
        if not owned:
            return
        now, wall = self._clock.read_monotonic(), self._clock.read_wall()
        self._views.on_next(self._observer.make_view(owned, now, wall, self._refusals))
        await self._execute_actions(self._pending.pop())

    def list_owned(self):
        """Return the names of the pools that this controller owns, as a frozenset."""
        return list_owned(self._owners, self._make_owner(""))

    def _was_paused(self):
        """Return whether too much time has passed since the round began."""
        if self._last_round_at is None:
            return False
        return (
            self._clock.read_monotonic() - self._last_round_at
            > self._bounds.pause_threshold
        )

    async def _reread_records(self):
        """Read all records again after a pause, since watches may lag behind."""
        log_event("pause-found", "WARNING", reason="no round within the pause bound")
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

    async def _update_ownership(self):
        pools = self._observer.configuration.services.keys()
        own_record = self._make_owner("")
        for change in decide_ownership(
            pools, self._controllers, self._owners, own_record
        ):
            owner = replace(own_record, pool=change.pool)
            note = make_ownership_note(
                self._make_id,
                own_record.holder,
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
        """Ask each entry instance for its requests in flight, less often while idle."""
        now = self._clock.read_monotonic()
        draining = self._observer.list_draining()
        idle_interval = IDLE_POLL_FACTOR * self._bounds.drain.answer_timeout
        if not draining and now - self._last_poll_at < idle_interval:
            return
        self._last_poll_at = now
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
        in_flight = {
            name: InFlight(draining[name] if item.seen else 0, item.in_flight)
            for name, item in reports.items()
            if name in draining
        }
        self._observer.entries.record_report(member.name, asked_at, in_flight)

    def _plan(self, view):
        return replace(view, moves=self._planner.plan(view))

    def _decide(self, view):
        return decide_round(view, self._bounds, self._make_id)

    async def _execute_actions(self, actions):
        """Execute the actions: in order within a pool, several pools concurrently."""
        by_pool = {}
        for action in actions:
            by_pool.setdefault(_get_action_pool(action), []).append(action)
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_POOLS)

        async def act_on_pool(pool, found):
            async with semaphore:
                for action in found:
                    await self._execute_action(pool, action)

        await asyncio.gather(*(act_on_pool(*item) for item in by_pool.items()))

    async def _execute_action(self, pool, action):
        if not self._process.is_held() or self._was_paused():
            self.outcomes["abandoned"] += 1
            return
        if isinstance(action, RebootInstance):
            self._observer.record_reboot_request(
                action.instance, self._clock.read_monotonic()
            )
        try:
            await self._writer.execute(action)
        except PermitRefusedError as error:
            self._refusals[pool] = error.message
            self._record_outcome("refused", "INFO", action, error)
        except OperationConflictError as error:
            self._record_outcome("conflict", "INFO", action, error)
        except PeridotspokeError as error:
            self._record_outcome("failed", "WARNING", action, error)
        else:
            self.outcomes["done"] += not isinstance(action, ReportLate)
            if isinstance(action, BeginOperation):
                self._refusals.pop(pool, None)

    def _record_outcome(self, outcome, level, action, error):
        self.outcomes[outcome] += 1
        name = type(action).__name__
        log_event(f"action-{outcome}", level, action=name, error=error)


def _get_action_pool(action):
    """Return the pool by which an action is ordered.

    For a `RebootInstance`, which names no pool, it is the name of the instance.
    """
    for name in ("pool", "record", "before"):
        found = getattr(action, name, None)
        if found is not None:
            return found if isinstance(found, str) else found.pool
    return action.instance
