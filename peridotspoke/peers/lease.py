"""Holds the one lease of a process and the record of its being alive."""

import asyncio

from peridotspoke.exceptions import OperationConflictError, PlatformError
from peridotspoke.identities import make_operation_id
from peridotspoke.logs import log_event
from peridotspoke.peers.records import MemberRecord, key_member
from peridotspoke.store import ChangeNote, Stored, decode_record, swap_stored

__all__ = ["ProcessLease"]

RENEWALS = 3  # in each time to live


class ProcessLease:
    """Grants, renews and re-registers the lease of one process.

    The lease is counted from before the call was sent, on the monotonic clock, so
    that the holder stops before the service frees the lease [1]_. `grants` counts
    the leases that the service granted; it grows after each expiry there.

    Parameters
    ----------
    service : KeyValueService
    clock : Clock
    random : random.Random
    ttl : float
        Time to live in seconds.

    References
    ----------
    .. [1] C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
       distributed file cache consistency", SOSP 1989.
    """

    def __init__(self, service, clock, random, ttl):
        self.lease = None
        self.grants = 0
        self.last_error = None
        self._service = service
        self._clock = clock
        self._random = random
        self._ttl = ttl
        self._written = None
        self._wish = None
        self._turn = asyncio.Lock()

    def is_held(self):
        """Return whether the process may act under its lease now."""
        now = self._clock.read_monotonic()
        return self.lease is not None and self.lease.is_held(now)

    def describe(self, member):
        """Name the `MemberRecord` to keep under the lease from the next renewal on."""
        self._wish = member

    async def run(self, sleep=asyncio.sleep):
        """Renew until cancelled."""
        while True:
            await self.renew()
            await sleep(self._ttl / RENEWALS)

    async def renew(self):
        """Renew once: the lease first, then the record where it differs."""
        async with self._turn:
            try:
                await self._renew_lease()
                await self._write_member()
                self.last_error = None
            except PlatformError as error:
                self.last_error = error
                log_event("lease-not-renewed", "WARNING", error=error)

    async def _renew_lease(self):
        if self.lease is not None:
            self.lease = await self._service.renew_lease(self.lease)
        if self.lease is None:
            self._written = None
            self.lease = await self._service.grant_lease(self._ttl)
            self.grants += 1
            log_event("lease-granted", lease=self.lease.lease_id)

    async def _write_member(self):
        member = self._wish
        if member is None or member == self._written:
            return
        key = key_member(member.name)
        found = await self._service.read(key)
        revision = found.revision if found else 0
        if found and _is_newer(found, member):
            raise OperationConflictError(
                "expected no later process of this name", step="register", peer=key
            )
        note = ChangeNote(
            operation=make_operation_id(self._random),
            author=member.name,
            action="stop" if member.stopping else "register",
            reason=f"incarnation {member.incarnation}",
            at=self._clock.read_wall(),
        )
        await swap_stored(
            self._service, key, Stored(member, (note,)), revision, self.lease.lease_id
        )
        self._written = member

    async def release(self):
        """Give the lease back, so that the record disappears at once."""
        async with self._turn:
            lease, self.lease = self.lease, None
            if lease is None:
                return
            try:
                await self._service.revoke_lease(lease)
            except PlatformError as error:
                log_event("lease-not-released", "WARNING", error=error)


def _is_newer(record, member):
    try:
        found = decode_record(record, MemberRecord).body
    except PlatformError:
        return False
    return found.incarnation > member.incarnation
