"""The key-value store of the platform's stand-in, without I/O."""

import itertools
from collections import Counter
from dataclasses import dataclass, replace

from peridotspoke.store.keyvalue import (
    MAX_VALUE,
    Change,
    PrefixCheck,
    Record,
    Snapshot,
    SwapResult,
)

__all__ = ["StoreStandIn"]


@dataclass(frozen=True, slots=True)
class _GrantedLease:
    ttl: float
    expires_at: float


class StoreStandIn:
    """Records with revisions, leases and a history of all changes.

    Every method takes the time in seconds, so that the store needs no clock. Calls
    are counted by method in `calls`.
    """

    def __init__(self):
        self.revision = 1
        self.records = {}
        self.history = []
        self.compacted = 0
        self.calls = Counter()
        self._leases = {}
        self._lease_ids = itertools.count(1)

    def read(self, key, now):
        """Return the `Record` of `key`, or None."""
        self.expire_leases(now)
        return self.records.get(key)

    def read_prefix(self, prefix, now):
        """Return a `Snapshot` of the records whose keys begin with `prefix`."""
        self.expire_leases(now)
        found = sorted(key for key in self.records if key.startswith(prefix))
        return Snapshot(tuple(self.records[key] for key in found), self.revision)

    def check_prefix(self, prefix, revision, now):
        """Return the `PrefixCheck` of the records newer than `revision`."""
        found = self.read_prefix(prefix, now).records
        return PrefixCheck(len(found), any(item.revision > revision for item in found))

    def compact(self):
        """Forget the changes so far, for watches that begin later."""
        self.compacted = self.revision

    def swap(self, key, value, expected_revision, lease_id, now):
        """Write or delete `key` if its revision is the expected one.

        Raises
        ------
        ValueError
            If the value is larger than the service holds.
        KeyError
            If the lease has expired.
        """
        if value is not None and len(value) > MAX_VALUE:
            raise ValueError(f"expected at most {MAX_VALUE} bytes, found {len(value)}")
        self.expire_leases(now)
        current = self.records.get(key)
        if (current.revision if current else 0) != expected_revision:
            return SwapResult(False, self.revision, current)
        if lease_id and lease_id not in self._leases:
            raise KeyError(lease_id)
        self._write(key, value, lease_id)
        return SwapResult(True, self.revision)

    def grant_lease(self, ttl, now):
        """Return the identity of a fresh lease."""
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = _GrantedLease(ttl, now + ttl)
        return lease_id

    def renew_lease(self, lease_id, now):
        """Return the lease's time to live, or 0 where it has expired."""
        self.expire_leases(now)
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        self._leases[lease_id] = replace(lease, expires_at=now + lease.ttl)
        return lease.ttl

    def revoke_lease(self, lease_id):
        """End a lease and delete its records."""
        if self._leases.pop(lease_id, None) is None:
            return
        attached = [key for key, item in self.records.items() if item.lease == lease_id]
        for key in attached:
            self._write(key, None, 0)

    def expire_leases(self, now):
        """Revoke all leases that have expired by `now`."""
        expired = [key for key, item in self._leases.items() if item.expires_at <= now]
        for lease_id in expired:
            self.revoke_lease(lease_id)

    def list_changes(self, prefix, after_revision):
        """Return the changes of keys under `prefix` after a revision."""
        found = []
        for change in reversed(self.history):
            if change.revision <= after_revision:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]

    def _write(self, key, value, lease_id):
        self.revision += 1
        if value is None:
            self.records.pop(key, None)
            record = None
        else:
            record = Record(key, value, self.revision, lease_id)
            self.records[key] = record
        self.history.append(Change(key, record, self.revision))
