"""What a node knows of the store, kept up to date by watches."""

import asyncio

import msgspec
from reactivex.subject import Subject

from peridotspoke.exceptions import RecordError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import split_key
from peridotspoke.nodes.settings import LINK, PROCESSORS
from peridotspoke.workloads.configuration import Configuration
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.executors import Condition

__all__ = [
    "NodeRecord",
    "OwnerRecord",
    "QueueCounts",
    "StoreView",
    "Withdrawal",
    "decode_value",
    "encode_value",
    "wait_until",
]


class NodeRecord(msgspec.Struct, frozen=True):
    """A live node; `incarnation` differs for each start of its process.

    `address` is where it serves callers: no two live processes have the same.
    `processors` and `link`, Mbit/s, are those of its instance.
    """

    name: str
    incarnation: str
    zone: str = ""
    address: str = ""
    processors: float = PROCESSORS
    link: float = LINK


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of a unit."""

    name: str
    incarnation: str


class Withdrawal(msgspec.Struct, frozen=True):
    """An executor that is to be emptied, and whether it is empty."""

    executor_id: str
    pool: str
    reason: str
    fence: int
    empty: bool = False


class QueueCounts(msgspec.Struct, frozen=True):
    """The jobs without a start by queue, as the owner with the `fence` tells them.

    `age` is the seconds since the owner knew that its records were complete.
    """

    fence: int
    waiting: dict[str, int]
    age: float = 0.0


class StoreView:
    """The records of the store by kind, as far as this node has read them.

    `jobs` holds the `PoolJobs` of the pools whose jobs this node follows, `counts` the
    `QueueCounts` of all pools with the monotonic time at which each was seen.
    `configured_at` is the monotonic time, seconds, as of which the configuration was
    the newest. `changes` is an observable of the set of changed names by kind.
    `revision` is the revision up to which the records of the work prefix are complete.
    """

    def __init__(self):
        self.configuration: Configuration | None = None
        self.configured_at = float("-inf")
        self.waves = {}
        self.jobs = {}
        self.owners = {}
        self.last_owners = {}
        self.nodes = {}
        self.pools = {}
        self.counts = {}
        self.withdrawals = {}
        self.entries = {}
        self._lapsed = {}
        self.revision = 0
        self.has_work = False
        self.has_entries = False
        self.changes = Subject()

    def note_configuration(self, configuration):
        """Take in a version of the configuration; an older one is ignored."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        log_event(
            "configuration-in-force",
            version=configuration.version,
            before=known and known.version,
            queues=len(configuration.queues),
        )
        self.changes.on_next({"configuration": {str(configuration.version)}})

    def note_work(self, followed):
        """Take in changed records of the work prefix."""
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
        self.has_work = True
        self.changes.on_next(changed)

    def note_entries(self, followed, decode, kept_until=None):
        """Take in changed entries of executors.

        Parameters
        ----------
        followed : FollowedRecords
        decode : callable
            Raises `RecordError`.
        kept_until : float, optional
            Monotonic time until which entries that vanish now are kept: they may
            have lapsed while the store was away, and come back if their executors
            live. Those of executors that were leaving are never kept.
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
            if record is None and self._may_have_lapsed(name, kept_until):
                self._lapsed[name] = kept_until
                continue
            self._lapsed.pop(name, None)
            _set(self.entries, name, entry)
            changed.add(name)
        self.has_entries = True
        self.changes.on_next({"entry": changed})

    def drop_lapsed(self, now):
        """Drop entries that have not come back until their time; `now` is monotonic."""
        gone = {name for name, until in self._lapsed.items() if now >= until}
        for name in gone:
            del self._lapsed[name]
            self.entries.pop(name, None)
            log_event("entry-lapsed", executor=name)
        if gone:
            self.changes.on_next({"entry": gone})

    def _may_have_lapsed(self, name, kept_until):
        known = self.entries.get(name)
        if kept_until is None or known is None:
            return False
        return known.condition is not Condition.DRAINING

    def _apply(self, kind, name, record, confirmed_at):
        if kind == "owner":
            decoded = record and (decode_value(record, OwnerRecord), record.created)
            _set(self.owners, name, decoded)
            if decoded:
                self.last_owners[name] = decoded[0].name
        elif kind == "node":
            _set(self.nodes, name, record and decode_value(record, NodeRecord))
        elif kind == "pool":
            _set(self.pools, name, record and decode_value(record, PoolDemand))
        elif kind == "waiting":
            decoded = record and (decode_value(record, QueueCounts), confirmed_at)
            _set(self.counts, name, decoded)
        elif kind == "withdrawal":
            decoded = record and (decode_value(record, Withdrawal), record.revision)
            _set(self.withdrawals, name, decoded)

    def find_waiting(self, pool, now):
        """Return the counts that a pool's present owner told, or None, and their age.

        Parameters
        ----------
        pool : str
        now : float
            Monotonic seconds.

        Returns
        -------
        waiting : dict of str to int, or None
            By queue. None where nothing was told by who owns the pool now.
        age : float
            Seconds since they were seen, and the owner's own age of them.
        """
        counts, seen_at = self.counts.get(pool, (None, 0.0))
        _, fence = self.owners.get(pool, (None, 0))
        if counts is None or counts.fence != fence:
            return None, 0.0
        return counts.waiting, now - seen_at + counts.age


async def wait_until(changes, is_reached):
    """Return once `is_reached`, a callable without arguments, returns true.

    It is asked after each item of the observable `changes`.
    """
    changed = asyncio.Event()
    subscription = changes.subscribe(lambda _: changed.set())
    try:
        while not is_reached():
            changed.clear()
            await changed.wait()
    finally:
        subscription.dispose()


def _set(records, name, value):
    if value is None:
        records.pop(name, None)
    else:
        records[name] = value


def encode_value(value):
    """Return the bytes of one of this module's records."""
    return msgspec.json.encode(value)


def decode_value(record, value_class):
    """Return one of this module's records; raises `RecordError`."""
    try:
        return msgspec.json.decode(record.value, type=value_class)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise RecordError(str(error), step="decode record", peer=record.key) from error
