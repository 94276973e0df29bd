"""Rate limit for the calls of one process to the key-value service."""

import asyncio
import enum

from peridotspoke.exceptions import PlatformUnavailableError
from peridotspoke.store.gateway import GatewayKeyValueService
from peridotspoke.store.keyvalue import KeyValueService
from peridotspoke.tokenbucket import TokenBucket

__all__ = ["CallPriority", "RateLimitedKeyValueService", "open_service"]

BURST = 2.0  # seconds; capacity of a bucket divided by its rate
MIN_WAIT = 0.001  # seconds


class CallPriority(enum.Enum):
    """Priority of a kind of call.

    The value is the fraction of a full bucket that such calls leave in reserve for
    more urgent ones.
    """

    LEASE = 0.0
    SWAP = 0.1
    READ = 0.2
    WATCH = 0.3


class RateLimitedKeyValueService(KeyValueService):
    """Limits the rate of calls to a service by token buckets.

    Lease calls have the highest priority and watches the lowest. A call that would
    wait longer than `limit` raises `PlatformUnavailableError` and has no effect. A
    watch takes one token when it is opened.

    Parameters
    ----------
    service : KeyValueService
    writes, reads : TokenBucket
        The share of the service's write and read rates that this process may use.
        Lease calls count as writes.
    clock : Clock
    limit : float
        Longest wait for a token in seconds.
    sleep : callable, optional
        Coroutine function that waits for a number of seconds.
    """

    def __init__(self, service, writes, reads, clock, limit, sleep=asyncio.sleep):
        self._service = service
        self._writes = writes
        self._reads = reads
        self._clock = clock
        self._limit = limit
        self._sleep = sleep

    async def read(self, key):
        """Return the `Record` of `key`, or None if the key is absent."""
        await self._take(self._reads, CallPriority.READ)
        return await self._service.read(key)

    async def read_prefix(self, prefix):
        """Return a `Snapshot` of all records whose keys begin with `prefix`."""
        await self._take(self._reads, CallPriority.READ)
        return await self._service.read_prefix(prefix)

    async def check_prefix(self, prefix, revision):
        """Count the records under `prefix` and look for any newer than `revision`."""
        await self._take(self._reads, CallPriority.READ)
        return await self._service.check_prefix(prefix, revision)

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write or delete a record if it still has the expected revision."""
        await self._take(self._writes, CallPriority.SWAP)
        return await self._service.swap(key, value, expected_revision, lease_id)

    async def commit(self, transaction, timeout=None):
        """Apply a transaction atomically and return its `CommitResult`."""
        await self._take(self._writes, CallPriority.SWAP)
        return await self._service.commit(transaction, timeout)

    async def grant_lease(self, ttl):
        """Return a new `Lease` with a time to live of `ttl` seconds."""
        await self._take(self._writes, CallPriority.LEASE)
        return await self._service.grant_lease(ttl)

    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None if it has expired."""
        await self._take(self._writes, CallPriority.LEASE)
        return await self._service.renew_lease(lease)

    async def revoke_lease(self, lease):
        """Revoke the lease and delete the records attached to it."""
        await self._take(self._writes, CallPriority.LEASE)
        await self._service.revoke_lease(lease)

    async def watch(self, prefix, from_revision):
        """Yield a `WatchBatch` for each set of changes after `from_revision`."""
        await self._take(self._reads, CallPriority.WATCH)
        async for batch in self._service.watch(prefix, from_revision):
            yield batch

    async def _take(self, bucket, priority):
        """Take one token, waiting for it at most as long as the limit."""
        reserve = priority.value * bucket.capacity
        started_at = self._clock.read_monotonic()
        while True:
            now = self._clock.read_monotonic()
            if bucket.take(now, reserve=reserve):
                return
            wait = bucket.compute_wait(now, reserve=reserve)
            if now + wait - started_at > self._limit:
                raise PlatformUnavailableError(
                    f"no token within {self._limit} s; next one in {wait:.3g} s",
                    step=f"take {priority.name.lower()} token",
                )
            await self._sleep(max(wait, MIN_WAIT))


def open_service(settings, clock, session):
    """Return a client of the platform's key-value service with a rate limit.

    Parameters
    ----------
    settings : ProgramSettings
        Gives the address of the service, the timeout and the rates.
    clock : Clock
    session : aiohttp.ClientSession
        Closed by the caller.

    Returns
    -------
    RateLimitedKeyValueService
    """
    gateway = GatewayKeyValueService(
        settings.platform, settings.platform_timeout, clock, session
    )
    now = clock.read_monotonic()
    writes, reads = (
        TokenBucket(rate, max(1.0, rate * BURST), now)
        for rate in (settings.platform_write_rate, settings.platform_read_rate)
    )
    return RateLimitedKeyValueService(
        gateway, writes, reads, clock, settings.platform_wait_limit
    )
