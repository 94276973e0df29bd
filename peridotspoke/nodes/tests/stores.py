"""An in-memory store with transactions, leases and injected faults, for tests."""

import random

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import (
    AnswerLostError,
    LeaseExpiredError,
    PlatformUnavailableError,
)
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes.commits import TimedCommits
from peridotspoke.nodes.keys import key_owner
from peridotspoke.nodes.parts import NodeParts
from peridotspoke.nodes.settings import NodeSettings
from peridotspoke.nodes.view import StoreView
from peridotspoke.store import CommitResult, KeyValueService, Lease, Record, Snapshot
from peridotspoke.workloads.configuration import Configuration, Queue, WorkPool

JOB = "5c0e7a21d94b36f8"


class InMemoryStore(KeyValueService):
    """Stores records in memory and applies transactions at once.

    `faults` holds the faults of the next commits, in order: "lost" (applied, but the
    answer is lost), "delayed" (the answer is lost, and `deliver_delayed` applies it),
    "unavailable" (refused) or None.
    """

    def __init__(self):
        self.records = {}
        self.revision = 1
        self.leases = {}
        self.granted = 0
        self.faults = []
        self.delayed = []

    async def read(self, key):
        return self.records.get(key)

    async def read_prefix(self, prefix):
        found = (self.records[key] for key in self.records if key.startswith(prefix))
        return Snapshot(tuple(found), self.revision)

    async def swap(self, key, value, expected_revision, lease_id=0):
        raise NotImplementedError

    async def commit(self, transaction, timeout=None):
        fault = self.faults.pop(0) if self.faults else None
        if fault == "unavailable":
            raise PlatformUnavailableError("unavailable", step="commit")
        if fault == "delayed":
            self.delayed.append(transaction)
            raise AnswerLostError("delayed", step="commit")
        result = self._apply(transaction)
        if fault == "lost":
            raise AnswerLostError("lost", step="commit")
        return result

    def deliver_delayed(self):
        """Apply the delayed commits whose conditions still hold."""
        while self.delayed:
            self._apply(self.delayed.pop(0))

    def _apply(self, transaction):
        for condition in transaction.conditions:
            found = self.records.get(condition.key)
            if (found.revision if found else 0) != condition.revision:
                named = [item.key for item in transaction.conditions]
                current = tuple(self.records[k] for k in named if k in self.records)
                return CommitResult(False, 0, current)
        self.revision += 1
        for put in transaction.puts:
            if put.lease and put.lease not in self.leases:
                raise LeaseExpiredError("ended", step="commit")
            known = self.records.get(put.key)
            create_revision = known.create_revision if known else self.revision
            self.records[put.key] = Record(
                put.key, put.value, self.revision, put.lease, create_revision
            )
        for key in transaction.deletions:
            self.records.pop(key, None)
        return CommitResult(True, self.revision)

    async def grant_lease(self, ttl):
        self.granted += 1
        lease = Lease(self.granted, ttl, 0.0)
        self.leases[lease.lease_id] = lease
        return lease

    async def renew_lease(self, lease):
        return lease if lease.lease_id in self.leases else None

    async def revoke_lease(self, lease):
        self.end_lease(lease.lease_id)

    def end_lease(self, lease_id):
        """End a lease and delete the records that are attached to it."""
        self.leases.pop(lease_id, None)
        for key, record in list(self.records.items()):
            if record.lease == lease_id:
                del self.records[key]
        self.revision += 1

    def watch(self, prefix, from_revision):
        raise NotImplementedError


def own_unit(store, unit, fence):
    """Let an `InMemoryStore` hold the record of a unit's owner."""
    key = key_owner(unit)
    store.records[key] = Record(key, b"", fence, create_revision=fence)
    store.revision = max(store.revision, fence)


def make_settings(name="n1"):
    return NodeSettings(name, "zone", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")


def make_parts(name="n1", store=None):
    parts = NodeParts(
        make_settings(name),
        ManualClock(100.0),
        StoreView(),
        MetricsRegistry(),
        random.Random(1),
    )
    parts.store = store or InMemoryStore()
    parts.commits = TimedCommits(parts.store, parts.clock)
    parts.record_store_call("watch", "200", served=True)
    queue = Queue("queue", "host", "/q/", "pool")
    parts.view.apply_configuration(Configuration(1, (queue,), (WorkPool("pool"),)))
    parts.view.configured_at = parts.clock.read_monotonic()
    return parts
