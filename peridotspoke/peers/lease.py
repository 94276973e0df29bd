"""Lease of a process and the member record kept under it."""

import asyncio

from peridotspoke.exceptions import OperationConflictError, PlatformError
from peridotspoke.identities import make_operation_id
from peridotspoke.logs import log_event
from peridotspoke.peers.records import MemberRecord, key_member
from peridotspoke.store import ChangeNote, Stored, decode_record, swap_stored

__all__ = ["ProcessLease"]

RENEWALS_PER_TTL = 3


class ProcessLease:
    """Acquires and renews the lease of one process, and keeps its member record.

    The time to live is counted on the monotonic clock from before the call was sent,
    so that the holder stops acting before the service expires the lease [1]_.
    `grant_count` counts the leases that the service has granted. It grows when a new
    lease replaces one that expired at the service.

    Parameters
    ----------
    service : KeyValueService
    clock : Clock
    random : random.Random
        Source of operation identifiers.
    ttl : float
        Time to live of the lease in seconds.

    References
    ----------
    .. [1] C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
       distributed file cache consistency", SOSP 1989.
    """

    def __init__(self, service, clock, random, ttl):
        self.lease = None
        self.grant_count = 0
        self.last_error = None
        self._service = service
        self._clock = clock
        self._random = random
        self._ttl = ttl
        self._written_member = None
        self._member = None
        self._lock = asyncio.Lock()

    def is_held(self):
        """Return whether the lease is held now, by the holder's own clock."""
        now = self._clock.read_monotonic()
        return self.lease is not None and self.lease.is_held(now)

    def set_member(self, member):
        """Set the `MemberRecord` that the next renewal writes under the lease."""
        self._member = member

    async def run(self, sleep=asyncio.sleep):
        """Renew at regular intervals until cancelled."""
        while True:
            await self.renew()
            await sleep(self._ttl / RENEWALS_PER_TTL)

    async def renew(self):
        """Renew the lease once, then write the member record if it has changed.

        An error of the platform is logged and kept in `last_error`.
        """
        async with self._lock:
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
            self._written_member = None
            self.lease = await self._service.grant_lease(self._ttl)
            self.grant_count += 1
            log_event("lease-granted", lease=self.lease.lease_id)

    async def _write_member(self):
        member = self._member
        if member is None or member == self._written_member:
            return
        key = key_member(member.name)
        found = await self._service.read(key)
        revision = found.revision if found else 0
        if found and _has_newer_incarnation(found, member):
            raise OperationConflictError(
                "a later incarnation of this process is registered",
                step="register",
                peer=key,
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
        self._written_member = member

    async def release(self):
        """Revoke the lease, so that the member record is deleted immediately."""
        async with self._lock:
            lease, self.lease = self.lease, None
            if lease is None:
                return
            try:
                await self._service.revoke_lease(lease)
            except PlatformError as error:
                log_event("lease-not-released", "WARNING", error=error)


def _has_newer_incarnation(record, member):
    try:
        found = decode_record(record, MemberRecord).body
    except PlatformError:
        return False
    return found.incarnation > member.incarnation
