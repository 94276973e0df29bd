"""Keeps a node's lease and claims ownership of units under it.

A unit is a pool, or the fleet of machines. Its owner record in the store is attached
to the owner's lease, so the record disappears when the lease ends.
"""

import asyncio
import uuid

from peridotspoke.exceptions import (
    AnswerLostError,
    LeaseExpiredError,
    OperationConflictError,
    PlatformError,
    PlatformUnavailableError,
    RecordError,
)
from peridotspoke.logs import log_event
from peridotspoke.nodes.capacity import rank_claimants
from peridotspoke.nodes.holdings import Holding
from peridotspoke.nodes.keys import (
    OWNER_PREFIX,
    key_lease_statement,
    key_node,
    key_owner,
    split_key,
)
from peridotspoke.nodes.records import (
    LeaseStatement,
    NodeRecord,
    OwnerRecord,
    ProcessRecord,
    decode_value,
    encode_value,
)
from peridotspoke.nodes.statements import (
    KnownStatement,
    StatementReader,
    store_statements,
)
from peridotspoke.store import Condition, Lease, Put, Transaction

__all__ = ["Holding", "Ownership"]

CHECK_INTERVAL = 0.1  # seconds between two checks of the units
RENEWAL_RETRY_DELAY = 0.1  # seconds
RENEWALS_PER_LEASE = 4
RENEWAL_TIMEOUTS = (0.4, 0.6, 0.8)  # seconds, by the number of failures before
FORMER_OWNER_DELAY = 0.4  # seconds after a grant in which former owners claim first
CLAIM_RANK_DELAY = 0.25  # seconds that a claimant waits for each better-ranked one
ORDER_MARGIN = 0.1  # seconds before the lease's end from which no orders are sent


class Ownership:
    """Renews the node's lease, and claims and releases units under it.

    Parameters
    ----------
    settings : NodeSettings
    store : KeyValueService
    view : StoreView
    clock : Clock
        Its monotonic time includes the time for which the machine is suspended.
    list_units : callable
        Returns the names of all units that need an owner.
    on_gained, on_lost : callable
        Called with a `Holding`.
    list_lease_waits : callable, optional
        Called with a `Holding` just before it is lost. Returns the seconds, by
        executor, after which the leases that were granted have ended.

    Attributes
    ----------
    incarnation : str
        Identifies this process; a restarted process has another one.
    holdings : dict of str to Holding
        The units that this node owns, by name.
    """

    def __init__(
        self,
        settings,
        store,
        view,
        clock,
        list_units,
        on_gained,
        on_lost,
        list_lease_waits=lambda holding: {},
    ):
        self.incarnation = uuid.uuid4().hex
        self.holdings = {}
        self._settings = settings
        self._store = store
        self._view = view
        self._clock = clock
        self._list_units = list_units
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._list_lease_waits = list_lease_waits
        self._statements = StatementReader(self.incarnation)
        self._lease, self._registered_revision = None, 0
        self._granted_at = float("-inf")
        self._unowned_since = {}
        self._last_claims = {}
        self._pending_units, self._released_fences = set(), set()
        self._stopping = False
        self._has_revoked_former_lease = False

    @property
    def lease_id(self):
        """The identity of the node's lease in the store; 0 while it has none."""
        return self._lease.lease_id if self._lease is not None else 0

    def may_order(self):
        """Return whether the lease is certain to be valid, so that orders may be sent.

        False from `ORDER_MARGIN` seconds before the lease can end.
        """
        now = self._clock.read_monotonic() + ORDER_MARGIN
        return self._lease is not None and self._lease.is_held(now)

    def may_extend_leases(self):
        """Return whether this node may still extend the leases of executors' runs.

        False while the process is stopping, so that the statement of its leases holds.
        How long leases may last depends on what a pool's owner has published.
        """
        return not self._stopping

    def is_held(self, holding):
        """Return whether this node still owns the unit under this holding."""
        return self.holdings.get(holding.unit) is holding

    def give_up(self, holding, reason):
        """Stop acting as the unit's owner, if it is still owned under this holding.

        The owner record stays in the store; `_handle_own_record` deletes it later if
        it is still this process's own.

        Parameters
        ----------
        holding : Holding
        reason : str
            Logged.
        """
        if self.holdings.get(holding.unit) is not holding:
            return
        waits = self._list_lease_waits(holding)
        self._statements.keep_own(holding.fence, waits, self._clock.read_monotonic())
        del self.holdings[holding.unit]
        self._released_fences.add(holding.fence)
        log_event("ownership-lost", unit=holding.unit, fence=holding.fence, why=reason)
        self._on_lost(holding)

    async def run(self):
        """Renew the lease and check the units until cancelled.

        Raises
        ------
        Exception
            If either fails unexpectedly. It may be called again.
        """
        renewal_task = asyncio.ensure_future(self._maintain_lease())
        try:
            while not renewal_task.done():
                self._check_owners()
                await asyncio.sleep(CHECK_INTERVAL)
            renewal_task.result()
            # The process is stopping: nothing is left to renew or to claim.
            await asyncio.Event().wait()
        finally:
            renewal_task.cancel()

    async def release_all(self):
        """Release all units before the process stops, by revoking the lease.

        The leases that are left are stated before, for the next owners.
        """
        self._stopping = True
        lease, self._lease = self._lease, None
        waits = {}
        for holding in list(self.holdings.values()):
            waits[holding.unit, holding.fence] = self._list_lease_waits(holding)
            self.give_up(holding, "the process is stopping")
        if lease is not None:
            await store_statements(self._store, waits)
            try:
                await self._store.revoke_lease(lease)
            except PlatformError as error:
                log_event("lease-not-revoked", "WARNING", error=error)

    async def _maintain_lease(self):
        interval = self._settings.lease / RENEWALS_PER_LEASE
        failures = 0
        while not self._stopping:
            try:
                if not self._has_revoked_former_lease:
                    await self._revoke_former_lease()
                if self._lease is not None:
                    await self._renew_lease(failures)
                if self._lease is None:
                    await self._acquire_lease()
            except PlatformError as error:
                log_event("lease-not-renewed", "WARNING", error=error)
                failures += 1
                await asyncio.sleep(RENEWAL_RETRY_DELAY)
                continue
            failures = 0
            await asyncio.sleep(interval)

    async def _revoke_former_lease(self):
        """Revoke the lease of this node's former process, if one is recorded.

        Only a record with this node's own address counts: the process that had the
        address is dead, whereas one at another address may still be working. The
        units become free at once, and this process claims them without the delay
        that other nodes observe.
        """
        settings = self._settings
        found = await self._store.read(key_node(settings.name))
        if found is not None and self._is_former_process(found):
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
        self._has_revoked_former_lease = True

    def _is_former_process(self, found):
        try:
            former = decode_value(found, NodeRecord)
        except RecordError as error:
            log_event("record-unreadable", "ERROR", key=found.key, error=error)
            return False
        return bool(found.lease) and former.address == self._settings.front

    async def _acquire_lease(self):
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
        key = key_node(record.name)
        found = await self._store.read(key)
        known = Condition(key, found.revision if found is not None else 0)
        put = Put(key, encode_value(record), lease.lease_id)
        result = await self._store.commit(Transaction((known,), (put,)))
        if not result.succeeded:
            raise OperationConflictError(
                "another write has replaced the node's record", step="register"
            )
        if self._stopping:
            await self._store.revoke_lease(lease)
            return
        self._lease, self._registered_revision = lease, result.revision
        self._granted_at = lease.requested_at
        log_event("lease-granted", lease=lease.lease_id, ttl=lease.ttl)

    async def _renew_lease(self, failures):
        lease = self._lease
        try:
            async with asyncio.timeout(RENEWAL_TIMEOUTS[min(failures, 2)]):
                renewed = await self._store.renew_lease(lease)
        except TimeoutError as error:
            raise AnswerLostError(
                "no answer within the time limit", step="renew lease"
            ) from error
        if self._lease is not lease:
            return
        self._lease = renewed
        if renewed is not None:
            return
        log_event("lease-ended", "WARNING", lease=lease.lease_id)
        self._give_up_all("the lease has ended")

    def _give_up_all(self, reason):
        for holding in list(self.holdings.values()):
            self.give_up(holding, reason)

    def _check_owners(self):
        if not self._view.work_loaded or self._stopping:
            return
        now = self._clock.read_monotonic()
        self._statements.note(self._view.statements, now)
        for unit in self._list_units():
            owner, create_revision = self._view.owners.get(unit, (None, 0))
            holding = self.holdings.get(unit)
            if holding is not None:
                self._check_holding(holding, owner, create_revision)
            elif owner is None:
                self._claim_if_due(unit, now)
            else:
                self._unowned_since.pop(unit, None)
                if owner.incarnation == self.incarnation:
                    self._handle_own_record(unit, create_revision)

    def _check_holding(self, holding, owner, create_revision):
        if self._view.revision < holding.fence:
            return
        if owner is None or create_revision != holding.fence:
            self.give_up(holding, "the owner record was deleted or replaced")

    def _handle_own_record(self, unit, create_revision):
        """Handle an owner record of this process for a unit that it does not hold.

        A claim whose answer was lost is adopted, unless it was made under an earlier
        lease, with which it has ended. It took effect only on the statement that it
        named. The record of a unit that was given up is deleted: orders sent under its
        fence may still arrive.
        """
        is_current = self._lease and create_revision > self._registered_revision
        if is_current and create_revision not in self._released_fences:
            previous, found = self._last_claims.get(unit, ("", KnownStatement()))
            self._add_holding(unit, create_revision, previous, found)
        elif unit not in self._pending_units:
            self._start_transaction(
                unit, self._delete_owner_record(unit, create_revision)
            )

    def _claim_if_due(self, unit, now):
        since = self._unowned_since.setdefault(unit, now)
        if unit in self._pending_units or not self.may_order():
            return
        if self._view.last_owners.get(unit) != self._settings.name:
            since = max(since, self._granted_at + FORMER_OWNER_DELAY)
            if now - since < self._compute_rank(unit) * CLAIM_RANK_DELAY:
                return
        self._start_transaction(unit, self._claim(unit))

    def _compute_rank(self, unit):
        owners = self._view.owners
        free = [name for name in self._list_units() if name not in owners]
        holders = [owner.name for owner, _ in owners.values()]
        ranks = rank_claimants(unit, free, self._view.nodes, holders)
        name = self._settings.name
        return ranks.index(name) if name in ranks else len(ranks)

    def _start_transaction(self, unit, coroutine):
        self._pending_units.add(unit)
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(lambda _: self._pending_units.discard(unit))

    async def _delete_owner_record(self, unit, create_revision):
        key = key_owner(unit)
        try:
            await self._store.commit(
                Transaction((Condition(key, create_revision),), deletions=(key,))
            )
        except PlatformError as error:
            log_event("unit-not-freed", "WARNING", unit=unit, error=error)

    async def _claim(self, unit):
        """Claim a unit if the last owner's statement is the known one; replace that."""
        lease, settings = self._lease, self._settings
        found = self._statements.find(unit, self._view.last_fences.get(unit, 0))
        statement_key = key_lease_statement(unit)
        previous = self._view.last_owners.get(unit, "")
        self._last_claims[unit] = (previous, found)
        key, owner = key_owner(unit), OwnerRecord(settings.name, self.incarnation)
        process = ProcessRecord(settings.name, self.incarnation, settings.front)
        statement = encode_value(LeaseStatement(0, {}, process, publishes_first=True))
        puts = (
            Put(key, encode_value(owner), lease.lease_id),
            Put(statement_key, statement),
        )
        conditions = (Condition(key, 0), Condition(statement_key, found.revision))
        try:
            result = await self._store.commit(Transaction(conditions, puts))
        except LeaseExpiredError as error:
            log_event("claim-refused", "WARNING", unit=unit, error=error)
            return
        except (AnswerLostError, PlatformUnavailableError) as error:
            log_event("claim-unknown", "WARNING", unit=unit, error=error)
            return
        if result.succeeded and self._lease is not None and not self._stopping:
            self._add_holding(unit, result.revision, previous, found)

    def _add_holding(self, unit, fence, previous="", found=KnownStatement()):
        if unit in self.holdings:
            return
        now = self._clock.read_monotonic()
        holding = self.holdings[unit] = Holding(
            unit, fence, now, previous, found.lease_ends, found.predecessor
        )
        self._unowned_since.pop(unit, None)
        log_event("ownership-gained", unit=unit, fence=fence)
        self._on_gained(holding)
