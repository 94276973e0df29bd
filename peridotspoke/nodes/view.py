"""What a node knows of the store, kept up to date by watches."""

import asyncio
from dataclasses import dataclass, replace

import msgspec
from reactivex.subject import Subject

from peridotspoke.exceptions import RecordError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import split_key
from peridotspoke.workloads.configuration import Configuration
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.executors import Condition
from peridotspoke.workloads.jobs import Job
from peridotspoke.workloads.progress import (
    JobOutcome,
    ProgressSummary,
    decode_job,
    decode_summary,
)

__all__ = [
    "JobView",
    "NodeRecord",
    "OwnerRecord",
    "StoreView",
    "Withdrawal",
    "decode_value",
    "encode_value",
]

TOMBSTONE = b""


class NodeRecord(msgspec.Struct, frozen=True):
    """A live node; `incarnation` differs for each start of its process.

    `address` is where it serves callers: no two live processes have the same.
    """

    name: str
    incarnation: str
    zone: str = ""
    address: str = ""


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


@dataclass(frozen=True, slots=True)
class JobView:
    """A job as the store has it; `job` is None for a tombstone."""

    job: Job | None
    revision: int = 0
    summary: ProgressSummary | None = None
    progress: object = None
    cancelled: bool = False

    @property
    def state(self):
        """The state that callers are told."""
        if self.summary is not None and self.summary.outcome:
            return self.summary.outcome
        if self.cancelled:
            return str(JobOutcome.CANCELLED)
        begun = self.summary is not None and self.summary.begun
        return "running" if begun else "queued"

    @property
    def is_open(self):
        """Whether the job has not ended."""
        return self.state in ("running", "queued")


ABSENT = JobView(None)


class StoreView:
    """The records of the store by kind, as far as this node has read them.

    `changes` is an observable of the set of changed names by kind. `revision` is
    the revision up to which the records of the work prefix are complete, and
    `confirmed_at` the monotonic time, seconds, as of which they were, or None.
    """

    def __init__(self):
        self.configuration: Configuration | None = None
        self.waves = {}
        self.jobs = {}
        self.owners = {}
        self.last_owners = {}
        self.nodes = {}
        self.pools = {}
        self.withdrawals = {}
        self.entries = {}
        self._lapsed = {}
        self.revision = 0
        self.confirmed_at = None
        self.has_work = False
        self.has_entries = False
        self.changes = Subject()

    async def wait_until(self, is_reached):
        """Return once `is_reached`, a callable without arguments, returns true."""
        changed = asyncio.Event()
        subscription = self.changes.subscribe(lambda _: changed.set())
        try:
            while not is_reached():
                changed.clear()
                await changed.wait()
        finally:
            subscription.dispose()

    def find_age(self, now):
        """Return the seconds since the work records were complete, or None."""
        return None if self.confirmed_at is None else now - self.confirmed_at

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
                self._apply(kind, name, followed.records.get(key))
            except RecordError as error:
                log_event("record-unreadable", "ERROR", key=key, error=error)
                continue
            changed.setdefault(kind, set()).add(name)
        self.revision = max(self.revision, followed.revision)
        self.confirmed_at = followed.confirmed_at
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

    def note_job(self, job, revision):
        """Take in a job that this node has just stored."""
        if job.job_id not in self.jobs or self.jobs[job.job_id].job is None:
            self.jobs[job.job_id] = JobView(job, revision)
            self.changes.on_next({"job": {job.job_id}})

    def note_cancel(self, job_id):
        """Take in that a job's cancelling is stored."""
        self._update_job(job_id, cancelled=True)
        self.changes.on_next({"cancel": {job_id}})

    def _apply(self, kind, name, record):
        if kind == "job":
            self._apply_job(name, record)
        elif kind == "progress":
            self._apply_progress(name, record)
        elif kind == "cancel":
            self._update_job(name, cancelled=record is not None)
        elif kind == "owner":
            decoded = record and (decode_value(record, OwnerRecord), record.created)
            _set(self.owners, name, decoded)
            if decoded:
                self.last_owners[name] = decoded[0].name
        elif kind == "node":
            _set(self.nodes, name, record and decode_value(record, NodeRecord))
        elif kind == "pool":
            _set(self.pools, name, record and decode_value(record, PoolDemand))
        elif kind == "withdrawal":
            decoded = record and (decode_value(record, Withdrawal), record.revision)
            _set(self.withdrawals, name, decoded)

    def _apply_job(self, job_id, record):
        if record is None:
            self.jobs.pop(job_id, None)
            return
        job = None if record.value == TOMBSTONE else decode_job(record)
        self._update_job(job_id, job=job, revision=record.revision)

    def _apply_progress(self, job_id, record):
        if record is None:
            return
        self._update_job(job_id, summary=decode_summary(record), progress=record)

    def _update_job(self, job_id, **fields):
        known = self.jobs.get(job_id, ABSENT)
        if known is ABSENT and fields.get("cancelled") is False:
            return
        self.jobs[job_id] = replace(known, **fields)


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
