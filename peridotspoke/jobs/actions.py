"""Messages between a pool's job board and the tasks that act for it."""

from dataclasses import dataclass

from peridotspoke.jobs.messages import JobBatch
from peridotspoke.store.records import ChangeNote, Stored
from peridotspoke.store.workers import (
    EndTasks,
    Exchange,
    StartTask,
    TaskEnd,
    ThrottleTasks,
    WorkerReport,
)

__all__ = [
    "BatchGone",
    "BatchSeen",
    "CallEnd",
    "CallExchange",
    "CallStart",
    "CallThrottle",
    "EndsSeen",
    "ExchangeFailed",
    "ReadBatch",
    "ReportSeen",
    "TakeOutWorker",
    "WriteBatch",
    "WriteLost",
    "WriteWon",
]


@dataclass(frozen=True, slots=True)
class BatchSeen:
    """A batch as it stands in the service; `lease` is the record's lease."""

    key: str
    revision: int
    stored: Stored[JobBatch]
    lease: int = 0


@dataclass(frozen=True, slots=True)
class BatchGone:
    """A batch's record was deleted."""

    key: str


@dataclass(frozen=True, slots=True)
class ReportSeen:
    """A worker's answer to an exchange."""

    report: WorkerReport


@dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """An exchange that brought no report."""

    worker: str


@dataclass(frozen=True, slots=True)
class EndsSeen:
    """What a worker answered when it was told to start or to end tasks."""

    worker: str
    ends: tuple[TaskEnd, ...]
    running: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WriteWon:
    """A `WriteBatch` took effect as `revision`."""

    key: str
    revision: int
    stored: Stored[JobBatch]


@dataclass(frozen=True, slots=True)
class WriteLost:
    """A `WriteBatch` lost against another writer, or its outcome is not known.

    The batch has to be read again.
    """

    key: str


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Swap in `batch` if the record still has `expected_revision`.

    `urgent` writes go before others; a batch that is done is kept for a while only.
    """

    key: str
    expected_revision: int
    previous: Stored[JobBatch]
    batch: JobBatch
    action: str
    reason: str
    urgent: bool = False

    def make_stored(self, operation, author, at):
        """Return the `Stored` to write, with the change noted."""
        note = ChangeNote(operation, author, self.action, self.reason, at)
        return self.previous.replace(self.batch, note)


@dataclass(frozen=True, slots=True)
class ReadBatch:
    """Read a batch again; it is answered by `BatchSeen` or `BatchGone`."""

    key: str


@dataclass(frozen=True, slots=True)
class CallStart:
    """Start a task on a worker."""

    worker: str
    start: StartTask


@dataclass(frozen=True, slots=True)
class CallEnd:
    """End tasks on a worker."""

    worker: str
    end: EndTasks


@dataclass(frozen=True, slots=True)
class CallThrottle:
    """Hold tasks on a worker to a number of cores."""

    worker: str
    throttle: ThrottleTasks


@dataclass(frozen=True, slots=True)
class CallExchange:
    """Renew leases on a worker and get its report."""

    worker: str
    exchange: Exchange


@dataclass(frozen=True, slots=True)
class TakeOutWorker:
    """A worker fails all it starts and should be taken out of service."""

    worker: str
    reason: str
