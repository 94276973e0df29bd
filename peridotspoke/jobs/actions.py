"""Messages to a pool's job board and actions that it returns."""

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
    """A batch was read from the store.

    `revision` is that of the record, `lease` the identifier of the lease to which
    the record is attached, or 0.
    """

    key: str
    revision: int
    stored: Stored[JobBatch]
    lease: int = 0


@dataclass(frozen=True, slots=True)
class BatchGone:
    """The record of a batch was deleted."""

    key: str


@dataclass(frozen=True, slots=True)
class ReportSeen:
    """A worker's answer to an exchange."""

    report: WorkerReport


@dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """An exchange with a worker failed."""

    worker: str


@dataclass(frozen=True, slots=True)
class EndsSeen:
    """A worker answered a call to start or to stop tasks.

    `ends` are the tasks that have ended, `running` the identifiers of those that run.
    """

    worker: str
    ends: tuple[TaskEnd, ...]
    running: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WriteWon:
    """A `WriteBatch` succeeded and created `revision` of the record."""

    key: str
    revision: int
    stored: Stored[JobBatch]


@dataclass(frozen=True, slots=True)
class WriteLost:
    """A `WriteBatch` conflicted with another writer, or its outcome is unknown.

    The batch must be read again.
    """

    key: str


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Replace a batch by compare-and-swap.

    Parameters
    ----------
    key : str
    expected_revision : int
        The swap succeeds only if the record still has this revision.
    previous : Stored of JobBatch
    batch : JobBatch
        The new value. If all of its jobs have ended, the record expires after the
        retention time.
    action, reason : str
        Description of the change for the record's history.
    urgent : bool
        Whether the batch has a start of an urgent job.
    """

    key: str
    expected_revision: int
    previous: Stored[JobBatch]
    batch: JobBatch
    action: str
    reason: str
    urgent: bool = False

    def make_stored(self, operation, author, at):
        """Return the `Stored` to write, with the change added to its history.

        Parameters
        ----------
        operation : str
            Identifier of the write.
        author : str
        at : float
            Wall-clock time in seconds.
        """
        note = ChangeNote(operation, author, self.action, self.reason, at)
        return self.previous.replace(self.batch, note)


@dataclass(frozen=True, slots=True)
class ReadBatch:
    """Read a batch; the answer is a `BatchSeen` or a `BatchGone`."""

    key: str


@dataclass(frozen=True, slots=True)
class CallStart:
    """Start a task on a worker."""

    worker: str
    start: StartTask


@dataclass(frozen=True, slots=True)
class CallEnd:
    """Stop tasks on a worker."""

    worker: str
    end: EndTasks


@dataclass(frozen=True, slots=True)
class CallThrottle:
    """Limit tasks on a worker to a number of cores."""

    worker: str
    throttle: ThrottleTasks


@dataclass(frozen=True, slots=True)
class CallExchange:
    """Renew the leases of tasks on a worker and get its report."""

    worker: str
    exchange: Exchange


@dataclass(frozen=True, slots=True)
class TakeOutWorker:
    """Request the removal from service of a worker that fails every job."""

    worker: str
    reason: str
