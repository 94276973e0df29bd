"""An in-memory key-value store for the stand-ins, without I/O."""

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
    """An in-memory key-value store with revisions, leases and a history.

    Methods that depend on the time take it in seconds, so that the store needs no
    clock.

    Attributes
    ----------
    revision : int
        Revision of the latest change.
    records : dict of str to Record
        The current records by key.
    history : list of Change
        All changes, oldest first.
    compacted : int
        Revision up to which changes are no longer available to new watches.
    calls : collections.Counter
        Number of calls by method, such as ``kv/txn``, counted by the services
        that use the store.
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
        keys = sorted(key for key in self.records if key.startswith(prefix))
        return Snapshot(tuple(self.records[key] for key in keys), self.revision)

    def check_prefix(self, prefix, revision, now):
        """Return a `PrefixCheck` of the keys under `prefix` since `revision`."""
        records = self.read_prefix(prefix, now).records
        return PrefixCheck(
            len(records), any(record.revision > revision for record in records)
        )

    def compact(self):
        """Make the changes so far unavailable to watches that start later."""
        self.compacted = self.revision

    def swap(self, key, value, expected_revision, lease_id, now):
        """Write a record, or delete it, if the key is at `expected_revision`.

        Parameters
        ----------
        key : str
            Key to write or to delete.
        value : bytes or None
            New value; None deletes the record.
        expected_revision : int
            Revision of the current record; 0 if there must be none.
        lease_id : int
            Lease to which the record is attached; 0 for none.
        now : float
            Current time in seconds.

        Returns
        -------
        SwapResult
            The outcome, with the current record if the revision differs.

        Raises
        ------
        ValueError
            If the value is larger than `MAX_VALUE` bytes.
        KeyError
            If the lease does not exist or has expired.
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
        """Grant a lease of `ttl` seconds and return its ID."""
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = _GrantedLease(ttl, now + ttl)
        return lease_id

    def renew_lease(self, lease_id, now):
        """Renew a lease; return its time to live in seconds, or 0 if it has expired."""
        self.expire_leases(now)
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        self._leases[lease_id] = replace(lease, expires_at=now + lease.ttl)
        return lease.ttl

    def revoke_lease(self, lease_id):
        """End a lease and delete the records attached to it."""
        if self._leases.pop(lease_id, None) is None:
            return
        attached = [
            key for key, record in self.records.items() if record.lease == lease_id
        ]
        for key in attached:
            self._write(key, None, 0)

    def expire_leases(self, now):
        """Revoke the leases that have expired by `now`."""
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at <= now
        ]
        for lease_id in expired:
            self.revoke_lease(lease_id)

    def list_changes(self, prefix, after_revision):
        """Return the changes under `prefix` after `after_revision`, oldest first."""
        changes = []
        for change in reversed(self.history):
            if change.revision <= after_revision:
                break
            if change.key.startswith(prefix):
                changes.append(change)
        return changes[::-1]

    def _write(self, key, value, lease_id):
        self.revision += 1
        if value is None:
            self.records.pop(key, None)
            record = None
        else:
            record = Record(key, value, self.revision, lease_id)
            self.records[key] = record
        self.history.append(Change(key, record, self.revision))
