"""A node's local copy of the store's records, kept up to date by watches."""

import asyncio

import msgspec
from reactivex.subject import Subject

from peridotspoke.exceptions import RecordError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import split_key
from peridotspoke.nodes.settings import DEFAULT_LINK, DEFAULT_PROCESSORS
from peridotspoke.workloads.configuration import Configuration
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.executors import ExecutorCondition

__all__ = [
    "LeaseStatement",
    "NodeRecord",
    "OwnerRecord",
    "ProcessRecord",
    "QueueCounts",
    "RefusedRecord",
    "StoreView",
    "Withdrawal",
    "decode_value",
    "encode_value",
    "wait_until",
]


class NodeRecord(msgspec.Struct, frozen=True):
    """A live node.

    Parameters
    ----------
    name : str
    incarnation : str
        Differs for each start of the node's process.
    zone : str
    address : str
        Where the node serves callers; no two live processes share an address.
    processors : float
        Processors of its instance.
    link : float
        Bandwidth of its instance's network link, in Mbit/s.
    """

    name: str
    incarnation: str
    zone: str = ""
    address: str = ""
    processors: float = DEFAULT_PROCESSORS
    link: float = DEFAULT_LINK


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of a unit."""

    name: str
    incarnation: str


class ProcessRecord(msgspec.Struct, frozen=True):
    """A process of a node; no two live ones share an address."""

    name: str
    incarnation: str
    address: str


class LeaseStatement(msgspec.Struct, frozen=True):
    """What a unit's last owner said of the leases that it grants.

    Parameters
    ----------
    fence : int
        Its fencing token; 0 in the statement of an owner that has not stopped, whose
        record has the owner's fencing token for its revision.
    waits : dict of str to float
        Seconds, from the writing, after which the leases of an executor have ended, by
        executor; empty unless the owner has stopped and extends no lease any more.
    owner : ProcessRecord, optional
        Set while the owner has not stopped.
    """

    fence: int
    waits: dict[str, float]
    owner: ProcessRecord | None = None


class Withdrawal(msgspec.Struct, frozen=True):
    """An executor whose work is to be removed; `empty` says whether it is."""

    executor_id: str
    pool: str
    reason: str
    fence: int
    empty: bool = False


class QueueCounts(msgspec.Struct, frozen=True):
    """The numbers of jobs that wait for their first start, published by a pool's owner.

    Parameters
    ----------
    fence : int
        The fencing token of the owner.
    waiting : dict of str to int
        By queue name.
    age : float
        Seconds since the owner's records were known to be complete.
    earlier_leases : float or None
        Seconds from the writing after which all leases that earlier owners granted
        have ended; None if the owner does not say.
    """

    fence: int
    waiting: dict[str, int]
    age: float = 0.0
    earlier_leases: float | None = None


class RefusedRecord(msgspec.Struct, frozen=True):
    """The jobs that a node refused while the store was away.

    Parameters
    ----------
    pools : dict of str to dict
        By pool and identity of the job: the processors to be expected of it, and for
        how many seconds from the writing its caller may come back.
    """

    pools: dict[str, dict[str, tuple[float, float]]] = msgspec.field(
        default_factory=dict
    )


class StoreView:
    """The records of the store by kind, as far as this node has read them.

    Attributes
    ----------
    configuration : Configuration or None
    configured_at : float
        The monotonic time, in seconds, as of which the configuration was the newest.
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
                self._apply(
                    kind, name, followed.records.get(key), followed.confirmed_at
                )
            except RecordError as error:
                log_event("record-unreadable", "ERROR", key=key, error=error)
                continue
            changed.setdefault(kind, set()).add(name)
        self.revision = max(self.revision, followed.revision)
        self.work_loaded = True
        self.changes.on_next(changed)

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


def encode_value(value):
    """Return the JSON encoding of one of this module's records."""
    return msgspec.json.encode(value)


def decode_value(record, value_class):
    """Return the value of a `Record` as one of this module's records.

    Parameters
    ----------
    record : Record
    value_class : type

    Raises
    ------
    RecordError
        If the value does not have the form of `value_class`.
    """
    try:
        return msgspec.json.decode(record.value, type=value_class)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise RecordError(str(error), step="decode record", peer=record.key) from error
