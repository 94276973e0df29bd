"""A node's lease, and the units that it owns under it."""

import asyncio
import uuid
from dataclasses import dataclass

from peridotspoke.exceptions import (
    AnswerLostError,
    LeaseExpiredError,
    PlatformError,
    PlatformUnavailableError,
    RecordError,
)
from peridotspoke.logs import log_event
from peridotspoke.nodes.capacity import rank_claimants
from peridotspoke.nodes.keys import OWNER_PREFIX, key_node, key_owner, split_key
from peridotspoke.nodes.view import (
    NodeRecord,
    OwnerRecord,
    decode_value,
    encode_value,
)
from peridotspoke.store import Condition, Lease, Put, Transaction

__all__ = ["Holding", "Ownership"]

TICK = 0.1  # seconds
RETRY = 0.1  # seconds after a renewal that failed
RENEWALS = 4  # tries of a renewal within a lease
RENEWAL_LIMITS = (0.4, 0.6, 0.8)  # seconds, by the renewals that failed before
SETTLING = 0.4  # seconds after a lease's grant that leave units to former owners
RANK_WAIT = 0.25  # seconds that each rank leaves to the one before
ORDER_MARGIN = 0.1  # seconds before the lease's end at which orders cease


@dataclass(frozen=True, slots=True)
class Holding:
    """A unit owned by this node; its key was created at the revision `fence`.

    `since` is the monotonic time of its gain in seconds, `previous` the name of the
    node that was last known to own it.
    """

    unit: str
    fence: int
    since: float
    previous: str = ""


class Ownership:
    """Keeps the node's lease, claims units and gives them back.

    Parameters
    ----------
    settings : NodeSettings
    store : KeyValueService
    view : StoreView
    clock : Clock
        Counts the time during which the machine is suspended.
    list_units : callable
        Returns the names of the units that somebody has to own.
    on_gained, on_lost : callable
        Called with a `Holding`.
    """

    def __init__(self, settings, store, view, clock, list_units, on_gained, on_lost):
        self.incarnation = uuid.uuid4().hex
        self.holdings = {}
        self._settings = settings
        self._store = store
        self._view = view
        self._clock = clock
        self._list_units = list_units
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._lease = None
        self._contact_at = clock.read_monotonic()
        self._granted_at = float("-inf")
        self._absent_since = {}
        self._claiming = set()
        self._given_up = set()
        self._leaving = False
        self._has_succeeded = False

    def may_order(self):
        """Return whether the lease certainly has not ended yet."""
        now = self._clock.read_monotonic() + ORDER_MARGIN
        return self._lease is not None and self._lease.is_held(now)

    def may_extend(self):
        """Return whether leases on executors may still be extended."""
        now = self._clock.read_monotonic()
        return now < self._contact_at + self._settings.timing.hold_alone

    def is_held(self, holding):
        """Return whether a unit is still owned as far as this node knows."""
        return self.holdings.get(holding.unit) is holding

    def give_up(self, holding, reason):
        """Stop owning a unit that somebody else has, or that is to be handed over."""
        if self.holdings.get(holding.unit) is not holding:
            return
        del self.holdings[holding.unit]
        self._given_up.add(holding.fence)
        log_event("ownership-lost", unit=holding.unit, fence=holding.fence, why=reason)
        self._on_lost(holding)

    async def run(self):
        """Keep the lease and the units until cancelled."""
        renewing = asyncio.ensure_future(self._keep_lease())
        try:
            while True:
                self._check_units()
                await asyncio.sleep(TICK)
        finally:
            renewing.cancel()

    async def leave(self):
        """Give all units back at once, before the process stops."""
        self._leaving = True
        lease, self._lease = self._lease, None
        for holding in list(self.holdings.values()):
            self.give_up(holding, "leaving")
        if lease is not None:
            try:
                await self._store.revoke_lease(lease)
            except PlatformError as error:
                log_event("lease-not-revoked", "WARNING", error=error)

    async def _keep_lease(self):
        interval = self._settings.lease / RENEWALS
        failures = 0
        while not self._leaving:
            try:
                if not self._has_succeeded:
                    await self._succeed()
                if self._lease is not None:
                    await self._renew(failures)
                if self._lease is None:
                    await self._grant()
            except PlatformError as error:
                log_event("lease-not-renewed", "WARNING", error=error)
                failures += 1
                await asyncio.sleep(RETRY)
                continue
            failures = 0
            await asyncio.sleep(interval)

    async def _succeed(self):
        """End the lease of this instance's former process, which is dead.

        Its units are free at once, and this process claims them like a former owner.
        """
        settings = self._settings
        found = await self._store.read(key_node(settings.name))
        if found is not None and self._is_former(found):
            owners = await self._store.read_prefix(OWNER_PREFIX)
            units = {
                split_key(record.key)[1]: settings.name
                for record in owners.records
                if record.lease == found.lease
            }
            lease = Lease(found.lease, settings.lease, self._clock.read_monotonic())
            await self._store.revoke_lease(lease)
            self._view.last_owners.update(units)
            log_event("former-process-succeeded", lease=found.lease, units=len(units))
        self._has_succeeded = True

    def _is_former(self, found):
        try:
            former = decode_value(found, NodeRecord)
        except RecordError as error:
            log_event("record-unreadable", "ERROR", key=found.key, error=error)
            return False
        return bool(found.lease) and former.address == self._settings.front

    async def _grant(self):
        lease = await self._store.grant_lease(self._settings.lease)
        settings = self._settings
        record = NodeRecord(
            settings.name,
            self.incarnation,
            settings.zone,
            settings.front,
            settings.processors,
            settings.link,
        )
        put = Put(key_node(record.name), encode_value(record), lease.lease_id)
        await self._store.commit(Transaction((), (put,)))
        self._lease = lease
        self._granted_at = self._contact_at = lease.asked_at
        log_event("lease-granted", lease=lease.lease_id, ttl=lease.ttl)

    async def _renew(self, failures):
        lease = self._lease
        try:
            async with asyncio.timeout(RENEWAL_LIMITS[min(failures, 2)]):
                renewed = await self._store.renew_lease(lease)
        except TimeoutError as error:
            raise AnswerLostError("no answer in time", step="renew lease") from error
        if self._lease is not lease:
            return
        self._lease = renewed
        if renewed is not None:
            self._contact_at = renewed.asked_at
            return
        log_event("lease-ended", "WARNING", lease=lease.lease_id)
        self._lose_all("lease ended")

    def _lose_all(self, reason):
        for holding in list(self.holdings.values()):
            self.give_up(holding, reason)

    def _check_units(self):
        if not self._view.has_work or self._leaving:
            return
        now = self._clock.read_monotonic()
        for unit in self._list_units():
            owner, created = self._view.owners.get(unit, (None, 0))
            holding = self.holdings.get(unit)
            if holding is not None:
                self._check_holding(holding, owner, created)
            elif owner is None:
                self._consider_claim(unit, now)
            else:
                self._absent_since.pop(unit, None)
                if owner.incarnation == self.incarnation:
                    self._take_own(unit, created)

    def _check_holding(self, holding, owner, created):
        if self._view.revision < holding.fence:
            return
        if owner is None or created != holding.fence:
            self.give_up(holding, "the owner's record has gone")

    def _take_own(self, unit, created):
        """Use a claim whose answer was lost; free a unit that was given up.

        A fence serves one period of ownership only: orders of an earlier period may
        still be on their way under it.
        """
        if created not in self._given_up:
            self._gain(unit, created)
        elif unit not in self._claiming:
            self._start_claim(unit, self._free(unit, created))

    def _consider_claim(self, unit, now):
        since = self._absent_since.setdefault(unit, now)
        if unit in self._claiming or not self.may_order():
            return
        if self._view.last_owners.get(unit) != self._settings.name:
            since = max(since, self._granted_at + SETTLING)
            if now - since < self._rank(unit) * RANK_WAIT:
                return
        self._start_claim(unit, self._claim(unit))

    def _rank(self, unit):
        owners = self._view.owners
        free = [name for name in self._list_units() if name not in owners]
        holders = [owner.name for owner, _ in owners.values()]
        ranks = rank_claimants(unit, free, self._view.nodes, holders)
        name = self._settings.name
        return ranks.index(name) if name in ranks else len(ranks)

    def _start_claim(self, unit, coroutine):
        self._claiming.add(unit)
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(lambda _: self._claiming.discard(unit))

    async def _free(self, unit, created):
        key = key_owner(unit)
        try:
            await self._store.commit(
                Transaction((Condition(key, created),), removals=(key,))
            )
        except PlatformError as error:
            log_event("unit-not-freed", "WARNING", unit=unit, error=error)

    async def _claim(self, unit):
        lease = self._lease
        previous = self._view.last_owners.get(unit, "")
        key = key_owner(unit)
        record = OwnerRecord(self._settings.name, self.incarnation)
        put = Put(key, encode_value(record), lease.lease_id)
        try:
            result = await self._store.commit(Transaction((Condition(key, 0),), (put,)))
        except LeaseExpiredError as error:
            log_event("claim-refused", "WARNING", unit=unit, error=error)
            return
        except (AnswerLostError, PlatformUnavailableError) as error:
            log_event("claim-unknown", "WARNING", unit=unit, error=error)
            return
        if result.won and self._lease is not None and not self._leaving:
            self._gain(unit, result.revision, previous)

    def _gain(self, unit, fence, previous=""):
        if unit in self.holdings:
            return
        now = self._clock.read_monotonic()
        holding = self.holdings[unit] = Holding(unit, fence, now, previous)
        self._absent_since.pop(unit, None)
        log_event("ownership-gained", unit=unit, fence=fence)
        self._on_gained(holding)
