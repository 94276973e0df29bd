"""A key-value service in the same process, backed by a `StoreStandIn`."""

import asyncio

from peridotspoke.exceptions import PlatformUnavailableError, RecordError
from peridotspoke.store.keyvalue import KeyValueService, Lease, WatchBatch

__all__ = ["MemoryKeyValueService"]


class MemoryKeyValueService(KeyValueService):
    """A key-value service without a network, for tests and benchmarks.

    Calls are counted in `StoreStandIn.calls` under the same names as those of
    `PlatformStandIn`.

    Parameters
    ----------
    store : StoreStandIn
        Store that holds the records and the leases.
    clock : Clock
        Source of the current time.
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._changed = asyncio.Event()

    async def read(self, key):
        """Return the `Record` of `key`, or None."""
        self._store.calls["kv/range"] += 1
        return self._store.read(key, self._clock.read_monotonic())

    async def read_prefix(self, prefix):
        """Return a `Snapshot` of all records whose keys begin with `prefix`."""
        self._store.calls["kv/range"] += 1
        return self._store.read_prefix(prefix, self._clock.read_monotonic())

    async def check_prefix(self, prefix, revision):
        """Return a `PrefixCheck` of the keys under `prefix` since `revision`."""
        self._store.calls["kv/range"] += 1
        return self._store.check_prefix(prefix, revision, self._clock.read_monotonic())

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write `value` if the key is at `expected_revision`."""
        self._store.calls["kv/txn"] += 1
        now = self._clock.read_monotonic()
        try:
            result = self._store.swap(key, value, expected_revision, lease_id, now)
        except ValueError as error:
            raise RecordError(str(error), step="swap", peer=key) from error
        except KeyError as error:
            raise PlatformUnavailableError(
                "lease not found", step="swap", peer=key
            ) from error
        self._notify_watchers()
        return result

    async def grant_lease(self, ttl):
        """Return a new `Lease` with a time to live of `ttl` seconds."""
        self._store.calls["lease/grant"] += 1
        now = self._clock.read_monotonic()
        return Lease(self._store.grant_lease(ttl, now), ttl, now)

    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None if it has expired."""
        self._store.calls["lease/keepalive"] += 1
        now = self._clock.read_monotonic()
        ttl = self._store.renew_lease(lease.lease_id, now)
        return Lease(lease.lease_id, ttl, now) if ttl else None

    async def revoke_lease(self, lease):
        """End the lease and delete the records attached to it."""
        self._store.calls["lease/revoke"] += 1
        self._store.revoke_lease(lease.lease_id)
        self._notify_watchers()

    async def watch(self, prefix, from_revision):
        """Yield the changes after `from_revision` in `WatchBatch` objects."""
        self._store.calls["watch"] += 1
        while True:
            changed = self._changed
            changes = tuple(self._store.list_changes(prefix, from_revision))
            if changes:
                from_revision = changes[-1].revision
                yield WatchBatch(changes, from_revision)
            else:
                await changed.wait()

    def _notify_watchers(self):
        self._changed.set()
        self._changed = asyncio.Event()
