"""A node's local copy of the store's records, kept up to date by watches."""

import asyncio

from reactivex.subject import Subject

from peridotspoke.exceptions import RecordError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import split_key
from peridotspoke.nodes.records import (
    LeaseStatement,
    NodeRecord,
    OwnerRecord,
    QueueCounts,
    RefusedRecord,
    Withdrawal,
    decode_value,
)
from peridotspoke.workloads.configuration import Configuration
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.executors import ExecutorCondition

__all__ = ["StoreView", "wait_until"]


class StoreView:
    """The records of the store by kind, as far as this node has read them.

    Attributes
    ----------
    configuration : Configuration or None
    configured_at : float
        The monotonic time, in seconds, as of which the configuration was the newest.
    proved_at : float
        The monotonic time, in seconds, at which the request was sent whose answer last
        proved the configuration newest.
    waves : dict of int to tuple
        The maintenance waves by number, each with the monotonic time, in seconds, at
        which its announcement was read.
    jobs : dict of str to PoolJobs
        By pool, for the pools whose jobs this node follows.
    owners : dict of str to tuple
        The `OwnerRecord` by unit, each with the revision at which its key was created,
        which is the owner's fencing token.
    last_owners : dict of str to str
        The name of the node that was last known to own a unit, by unit.
    last_fences : dict of str to int
        The fencing token of the owner that was last seen to own a unit, by unit.
    nodes : dict of str to NodeRecord
        The live nodes by name.
    pools : dict of str to PoolDemand
    counts : dict of str to tuple
        The `QueueCounts` by pool, each with the monotonic time, in seconds, at which it
        was seen.
    refused : dict of str to tuple
        The `RefusedRecord` by node, each with the monotonic time, in seconds, at which
        it was seen.
    withdrawals : dict of str to tuple
        The `Withdrawal` by machine, each with the revision of its record.
    statements : dict of str to tuple
        The `LeaseStatement` by unit, each with the revision of its record.
    entries : dict of str to ExecutorEntry
    revision : int
        The revision up to which the records of the work prefix are complete.
    work_loaded, entries_loaded : bool
        Whether the records of the work prefix and the entries of the executors have
        been read.
    changes : reactivex.Subject
        Emits a dict from kinds to the sets of changed names.
    """

    def __init__(self):
        self.configuration: Configuration | None = None
        self.configured_at = float("-inf")
        self.proved_at = float("-inf")
        self.waves = {}
        self.jobs = {}
        self.owners = {}
        self.last_owners = {}
        self.last_fences = {}
        self.nodes = {}
        self.pools = {}
        self.counts = {}
        self.refused = {}
        self.withdrawals = {}
        self.statements = {}
        self.entries = {}
        self._kept_until = {}
        self.revision = 0
        self.work_loaded = False
        self.entries_loaded = False
        self.changes = Subject()

    def apply_configuration(self, configuration):
        """Apply a version of the configuration; one that is not newer is ignored."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        log_event(
            "configuration-in-force",
            version=configuration.version,
            before=current and current.version,
            queues=len(configuration.queues),
        )
        self.changes.on_next({"configuration": {str(configuration.version)}})

    def confirm_configuration(self, proved_at):
        """Note that a request which was sent at `proved_at` found no newer one."""
        self.proved_at = max(self.proved_at, proved_at)

    def apply_work(self, followed):
        """Apply the changed records of the work prefix; unreadable ones are logged.

        Parameters
        ----------
        followed : FollowedRecords
        """
        changed = {}
        for key in followed.changed:
            kind, name = split_key(key)
            try:
                record = followed.records.get(key)
                if kind == "owner" and record is None:
                    self._note_owner_gone(name, followed.revision)
                self._apply(kind, name, record, followed.confirmed_at)
            except RecordError as error:
                log_event("record-unreadable", "ERROR", key=key, error=error)
                continue
            changed.setdefault(kind, set()).add(name)
        self.revision = max(self.revision, followed.revision)
        self.work_loaded = True
        self.changes.on_next(changed)

    def _note_owner_gone(self, unit, revision):
        """Note that a unit had an owner up to a revision of which nothing was seen."""
        if unit not in self.owners:
            self.last_fences[unit] = max(self.last_fences.get(unit, 0), revision)

    def apply_entries(self, followed, decode, kept_until=None):
        """Apply the changed entries of executors.

        Parameters
        ----------
        followed : FollowedRecords
        decode : callable
            Returns the `ExecutorEntry` of a record; raises `RecordError`.
        kept_until : float, optional
            Monotonic time, in seconds, until which entries that are missing now are
            kept. They may have expired while the store was unavailable, and live
            executors register again. Entries of draining executors are never kept.
        """
        changed = set()
        for key in followed.changed:
            name = key.partition("/")[2]
            record = followed.records.get(key)
            entry = None
            if record is not None:
                try:
                    entry = decode(record)
                except RecordError as error:
                    log_event("entry-unreadable", "WARNING", key=key, error=error)
            if record is None and self._may_have_expired(name, kept_until):
                self._kept_until[name] = kept_until
                continue
            self._kept_until.pop(name, None)
            _set_or_remove(self.entries, name, entry)
            changed.add(name)
        self.entries_loaded = True
        self.changes.on_next({"entry": changed})

    def remove_expired(self, now):
        """Remove the expired entries that were not renewed in time.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        expired = {name for name, until in self._kept_until.items() if now >= until}
        for name in expired:
            del self._kept_until[name]
            self.entries.pop(name, None)
            log_event("entry-lapsed", executor=name)
        if expired:
            self.changes.on_next({"entry": expired})

    def _may_have_expired(self, name, kept_until):
        entry = self.entries.get(name)
        if kept_until is None or entry is None:
            return False
        return entry.condition is not ExecutorCondition.DRAINING

    def _apply(self, kind, name, record, confirmed_at):
        if kind == "owner":
            decoded = record and (
                decode_value(record, OwnerRecord),
                record.create_revision,
            )
            _set_or_remove(self.owners, name, decoded)
            if decoded:
                self.last_owners[name] = decoded[0].name
                self.last_fences[name] = decoded[1]
        elif kind == "node":
            _set_or_remove(
                self.nodes, name, record and decode_value(record, NodeRecord)
            )
        elif kind == "pool":
            _set_or_remove(
                self.pools, name, record and decode_value(record, PoolDemand)
            )
        elif kind == "waiting":
            decoded = record and (decode_value(record, QueueCounts), confirmed_at)
            _set_or_remove(self.counts, name, decoded)
        elif kind == "refused":
            decoded = record and (decode_value(record, RefusedRecord), confirmed_at)
            _set_or_remove(self.refused, name, decoded)
        elif kind == "withdrawal":
            decoded = record and (decode_value(record, Withdrawal), record.revision)
            _set_or_remove(self.withdrawals, name, decoded)
        elif kind == "leases":
            decoded = record and (_decode_statement(record), record.revision)
            _set_or_remove(self.statements, name, decoded)

    def find_advice(self, queue_name):
        """Return the `Advice` of a configured queue, or None if it has none."""
        queues = self.configuration.queues
        return next(
            (queue.advice for queue in queues if queue.name == queue_name), None
        )

    def find_waiting(self, pool, now):
        """Return the counts published by a pool's current owner, and their age.

        Parameters
        ----------
        pool : str
        now : float
            Monotonic seconds.

        Returns
        -------
        waiting : dict of str to int, or None
            By queue name. None if the current owner has not published any.
        age : float
            Age of the counts in seconds: the time since they were seen plus their age
            when the owner published them.
        """
        counts, seen_at = self.counts.get(pool, (None, 0.0))
        _, fence = self.owners.get(pool, (None, 0))
        if counts is None or counts.fence != fence:
            return None, 0.0
        return counts.waiting, now - seen_at + counts.age


async def wait_until(changes, is_reached):
    """Wait until a condition holds.

    Parameters
    ----------
    changes : reactivex.Observable
        The condition is checked again after each item.
    is_reached : callable
        Takes no arguments and returns whether the condition holds.
    """
    changed = asyncio.Event()
    subscription = changes.subscribe(lambda _: changed.set())
    try:
        while not is_reached():
            changed.clear()
            await changed.wait()
    finally:
        subscription.dispose()


def _set_or_remove(records, name, value):
    if value is None:
        records.pop(name, None)
    else:
        records[name] = value


def _decode_statement(record):
    """Return a record's `LeaseStatement`, one that says nothing if it is unreadable.

    A claim has to name the record's revision, whatever the record says.
    """
    try:
        return decode_value(record, LeaseStatement)
    except RecordError as error:
        log_event("record-unreadable", "ERROR", key=record.key, error=error)
        return LeaseStatement(0, {})
