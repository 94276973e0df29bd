"""The key-value service over the stand-in's store, in the same process."""

import asyncio

from peridotspoke.exceptions import PlatformUnavailableError, RecordError
from peridotspoke.store.keyvalue import KeyValueService, Lease, WatchBatch

__all__ = ["MemoryKeyValueService"]


class MemoryKeyValueService(KeyValueService):
    """A service without a network, for decisions under test and for benchmarks.

    Calls are counted in the store as the platform's stand-in counts them.

    Parameters
    ----------
    store : StoreStandIn
    clock : Clock
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
        """Return the `PrefixCheck` of the records newer than `revision`."""
        self._store.calls["kv/range"] += 1
        return self._store.check_prefix(prefix, revision, self._clock.read_monotonic())

    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write `value` if the key's revision is `expected_revision`."""
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
        self._announce()
        return result

    async def grant_lease(self, ttl):
        """Return a fresh `Lease` of `ttl` seconds."""
        self._store.calls["lease/grant"] += 1
        now = self._clock.read_monotonic()
        return Lease(self._store.grant_lease(ttl, now), ttl, now)

    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None where it has expired."""
        self._store.calls["lease/keepalive"] += 1
        now = self._clock.read_monotonic()
        ttl = self._store.renew_lease(lease.lease_id, now)
        return Lease(lease.lease_id, ttl, now) if ttl else None

    async def revoke_lease(self, lease):
        """End the lease and delete the records attached to it."""
        self._store.calls["lease/revoke"] += 1
        self._store.revoke_lease(lease.lease_id)
        self._announce()

    async def watch(self, prefix, from_revision):
        """Yield a `WatchBatch` for each set of changes after `from_revision`."""
        self._store.calls["watch"] += 1
        while True:
            changed = self._changed
            changes = tuple(self._store.list_changes(prefix, from_revision))
            if changes:
                from_revision = changes[-1].revision
                yield WatchBatch(changes, from_revision)
            else:
                await changed.wait()

    def _announce(self):
        self._changed.set()
        self._changed = asyncio.Event()
