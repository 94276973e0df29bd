"""Keeps a process within its share of the key-value service's rate."""

import asyncio
import enum

from peridotspoke.exceptions import PlatformUnavailableError
from peridotspoke.store.gateway import GatewayKeyValueService
from peridotspoke.store.keyvalue import KeyValueService
from peridotspoke.tokenbucket import TokenBucket

__all__ = ["BudgetedKeyValueService", "CallPriority", "open_service"]

BURST = 2.0  # seconds of the rate that may be used at once
LEAST_WAIT = 0.001  # seconds


class CallPriority(enum.Enum):
    """The share of a full bucket that calls of a kind leave to more urgent ones."""

    LEASE = 0.0
    SWAP = 0.1
    READ = 0.2
    WATCH = 0.3


class BudgetedKeyValueService(KeyValueService):
    """Passes calls on as the tokens allow; lease calls go first, watches last.

    A call that would wait beyond the limit fails as unavailable, without effect.
    A watch takes one token when it opens.

    Parameters
    ----------
    service : KeyValueService
    writes, reads : TokenBucket
        The process's share of the service's writes and reads. Lease calls count as
        writes.
    clock : Clock
    limit : float
        Longest wait for a token, seconds.
    sleep : callable, optional
        Coroutine function that waits for seconds.
    """

    def __init__(self, service, writes, reads, clock, limit, sleep=asyncio.sleep):
        self._service = service
        self._writes = writes
        self._reads = reads
        self._clock = clock
        self._limit = limit
        self._sleep = sleep

    async def read(self, key):
        """Return the `Record` of `key`, or None."""
        await self._take(self._reads, CallPriority.READ)
        return await self._service.read(key)

    async def read_prefix(self, prefix):
        """Return a `Snapshot` of all records whose keys begin with `prefix`."""
        await self._take(self._reads, CallPriority.READ)
        return await self._service.read_prefix(prefix)

    async def check_prefix(self, prefix, revision):
        """Return the `PrefixCheck` of the records newer than `revision`."""
        await self._take(self._reads, CallPriority.READ)
        return await self._service.check_prefix(prefix, revision)

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write `value` if the key's revision is `expected_revision`."""
        await self._take(self._writes, CallPriority.SWAP)
        return await self._service.swap(key, value, expected_revision, lease_id)

    async def commit(self, transaction, timeout=None):
        """Apply a `Transaction` as a whole and return its `CommitResult`."""
        await self._take(self._writes, CallPriority.SWAP)
        return await self._service.commit(transaction, timeout)

    async def grant_lease(self, ttl):
        """Return a fresh `Lease` of `ttl` seconds."""
        await self._take(self._writes, CallPriority.LEASE)
        return await self._service.grant_lease(ttl)

    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None where it has expired."""
        await self._take(self._writes, CallPriority.LEASE)
        return await self._service.renew_lease(lease)

    async def revoke_lease(self, lease):
        """End the lease and delete the records attached to it."""
        await self._take(self._writes, CallPriority.LEASE)
        await self._service.revoke_lease(lease)

    async def watch(self, prefix, from_revision):
        """Yield a `WatchBatch` for each set of changes after `from_revision`."""
        await self._take(self._reads, CallPriority.WATCH)
        async for batch in self._service.watch(prefix, from_revision):
            yield batch

    async def _take(self, bucket, priority):
        reserve = priority.value * bucket.capacity
        started_at = self._clock.read_monotonic()
        while True:
            now = self._clock.read_monotonic()
            if bucket.take(now, reserve=reserve):
                return
            wait = bucket.compute_wait(now, reserve=reserve)
            if now + wait - started_at > self._limit:
                raise PlatformUnavailableError(
                    f"expected a token within {self._limit} s, found {wait:.3g} s",
                    step=f"take {priority.name.lower()} token",
                )
            await self._sleep(max(wait, LEAST_WAIT))


def open_service(settings, clock, session):
    """Return the platform's key-value service within the process's share.

    Parameters
    ----------
    settings : ProgramSettings
    clock : Clock
    session : aiohttp.ClientSession
        Owned by the caller.
    """
    gateway = GatewayKeyValueService(
        settings.platform, settings.platform_timeout, clock, session
    )
    now = clock.read_monotonic()
    writes, reads = (
        TokenBucket(rate, max(1.0, rate * BURST), now)
        for rate in (settings.platform_write_rate, settings.platform_read_rate)
    )
    return BudgetedKeyValueService(
        gateway, writes, reads, clock, settings.platform_wait_limit
    )
