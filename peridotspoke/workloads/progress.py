"""Progress of jobs: in memory as it is worked on, and as it is stored."""

import enum
from dataclasses import dataclass, field

import msgspec

from peridotspoke.exceptions import RecordError
from peridotspoke.workloads.jobs import Job, TaskKey

__all__ = [
    "JobOutcome",
    "JobProgress",
    "ProgressSummary",
    "TaskProgress",
    "TaskStatus",
    "decode_job",
    "decode_progress",
    "decode_summary",
    "encode_job",
    "encode_progress",
]


class JobOutcome(enum.StrEnum):
    """How a job has ended, or `OPEN` while it has not."""

    OPEN = ""
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskStatus(enum.IntEnum):
    """Where a task stands."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


@dataclass(slots=True)
class TaskProgress:
    """One task's runs.

    Parameters
    ----------
    key : TaskKey
    status : TaskStatus
    run : int
        Number of the latest run; 0 before the first.
    failures : int
        Runs that ended as failed.
    executor, born
        The executor of the latest run and its start, Unix milliseconds.
    checkpoint : str
        Where the next run resumes; empty for the beginning.
    """

    key: TaskKey
    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    failures: int = 0
    executor: str = ""
    born: int = 0
    checkpoint: str = ""


@dataclass(slots=True)
class JobProgress:
    """A job with the progress of its occurrences that have begun."""

    job: Job
    outcome: JobOutcome = JobOutcome.OPEN
    begun: bool = False
    ended_at: float = 0.0
    occurrences: dict[int, list[list[TaskProgress]]] = field(default_factory=dict)
    next_occurrence: int = 0

    def open_occurrence(self, occurrence):
        """Add the tasks of an occurrence that is due."""
        self.occurrences[occurrence] = [
            [
                TaskProgress(TaskKey(self.job.job_id, occurrence, number, index))
                for index in range(step.count)
            ]
            for number, step in enumerate(self.job.steps)
        ]
        self.next_occurrence = max(self.next_occurrence, occurrence + 1)

    def find_task(self, key):
        """Return the `TaskProgress` of a `TaskKey`, or None."""
        steps = self.occurrences.get(key.occurrence)
        if steps is None or not 0 <= key.step < len(steps):
            return None
        tasks = steps[key.step]
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def list_tasks(self):
        """Yield the tasks of all occurrences that are open."""
        for steps in self.occurrences.values():
            for tasks in steps:
                yield from tasks

    def is_step_done(self, occurrence, step):
        """Return whether all tasks of a step have ended as done."""
        tasks = self.occurrences[occurrence][step]
        return all(task.status is TaskStatus.DONE for task in tasks)


class ProgressSummary(msgspec.Struct, frozen=True, array_like=True):
    """The part of stored progress that answers callers.

    Parameters
    ----------
    outcome : str
    begun : bool
        Whether any task has started.
    ended_at : float
        When the job ended, seconds since the Unix epoch.
    next_occurrence : int
        The first occurrence that has not begun.
    tasks : bytes
        The open tasks, encoded, for the pool's owner alone.
    """

    outcome: str
    begun: bool
    ended_at: float
    next_occurrence: int
    tasks: bytes = b""


class _StoredTask(msgspec.Struct, frozen=True, array_like=True):
    occurrence: int
    step: int
    index: int
    status: int
    run: int
    failures: int
    executor: str
    born: int
    checkpoint: str


class _StoredTasks(msgspec.Struct, frozen=True, array_like=True):
    occurrences: list[int]
    tasks: list[_StoredTask]


_ENCODER = msgspec.msgpack.Encoder()
_JOBS = msgspec.msgpack.Decoder(Job)
_SUMMARIES = msgspec.msgpack.Decoder(ProgressSummary)
_TASKS = msgspec.msgpack.Decoder(_StoredTasks)


def encode_job(job):
    """Return the bytes of a `Job`."""
    return _ENCODER.encode(job)


def decode_job(record):
    """Return the `Job` of a store's `Record`; raises `RecordError`."""
    return _decode(_JOBS, record.value, record.key)


def decode_summary(record):
    """Return the `ProgressSummary` of a `Record`; raises `RecordError`."""
    return _decode(_SUMMARIES, record.value, record.key)


def encode_progress(progress):
    """Return the bytes of a `JobProgress`; tasks without a run are left out."""
    tasks = b""
    if progress.outcome is JobOutcome.OPEN:
        rows = [
            _StoredTask(
                task.key.occurrence,
                task.key.step,
                task.key.index,
                task.status,
                task.run,
                task.failures,
                task.executor,
                task.born,
                task.checkpoint,
            )
            for task in progress.list_tasks()
            if task.run
        ]
        tasks = _ENCODER.encode(_StoredTasks(list(progress.occurrences), rows))
    summary = ProgressSummary(
        str(progress.outcome),
        progress.begun,
        progress.ended_at,
        progress.next_occurrence,
        tasks,
    )
    return _ENCODER.encode(summary)


def decode_progress(job, record):
    """Return the `JobProgress` of a job; `record` is None before its first write.

    Raises
    ------
    RecordError
        If the record does not have the stored form.
    """
    progress = JobProgress(job)
    if record is None:
        return progress
    summary = decode_summary(record)
    progress.outcome = JobOutcome(summary.outcome)
    progress.begun = summary.begun
    progress.ended_at = summary.ended_at
    if summary.tasks:
        stored = _decode(_TASKS, summary.tasks, record.key)
        for occurrence in stored.occurrences:
            progress.open_occurrence(occurrence)
        for row in stored.tasks:
            _restore_task(progress, row)
    progress.next_occurrence = summary.next_occurrence
    return progress


def _restore_task(progress, row):
    key = TaskKey(progress.job.job_id, row.occurrence, row.step, row.index)
    task = progress.find_task(key)
    if task is None:
        raise RecordError("unknown task", step="decode progress", peer=str(key))
    task.status = TaskStatus(row.status)
    task.run = row.run
    task.failures = row.failures
    task.executor = row.executor
    task.born = row.born
    task.checkpoint = row.checkpoint


def _decode(decoder, value, key):
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise RecordError(str(error), step="decode record", peer=key) from error
