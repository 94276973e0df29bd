"""The progress of jobs: its form in memory, its stored form and the conversions."""

import enum
from dataclasses import dataclass, field

import msgspec

from peridotspoke.decoding import decode_with
from peridotspoke.exceptions import MalformedDataError, RecordError
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
    """How a job ended; `OPEN` until it has."""

    OPEN = ""
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskStatus(enum.IntEnum):
    """The state of a task.

    `WAITING` : not assigned to an executor.
    `ASSIGNED` : its latest run is planned, running or not certainly over.
    `DONE` : completed.
    """

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


@dataclass(slots=True)
class TaskProgress:
    """The progress of one task.

    Parameters
    ----------
    key : TaskKey
    status : TaskStatus
    run : int
        Number of the latest run; 0 before the first.
    failures : int
        Number of runs that failed.
    executor : str
        Identity of the executor of the latest run; empty before the first.
    incarnation : int
        Start of that executor's incarnation at the time, Unix milliseconds.
    checkpoint : str
        Checkpoint from which the next run resumes; empty to start from the beginning.
    confirmed : bool
        Whether that incarnation is known to have carried out the latest run, so that no
        later one does. It is stored at once only for a step that lasts.
    late_start : bool
        Whether a start of the latest run or an earlier one got no answer and may still
        be carried out on `executor`, by any of its incarnations.
    """

    key: TaskKey
    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    failures: int = 0
    executor: str = ""
    incarnation: int = 0
    checkpoint: str = ""
    confirmed: bool = False
    late_start: bool = False


@dataclass(slots=True)
class JobProgress:
    """A job and the progress of its open occurrences.

    Parameters
    ----------
    job : Job
    outcome : JobOutcome
    begun : bool
        Whether an executor has certainly started a task.
    ended_at : float
        When the job ended, seconds since the Unix epoch; 0.0 before that.
    occurrences : dict of int to list of list of TaskProgress
        The tasks of each occurrence that has begun and is not complete, by step and
        index.
    next_occurrence : int
        Number of the first occurrence that has not begun.
    """

    job: Job
    outcome: JobOutcome = JobOutcome.OPEN
    begun: bool = False
    ended_at: float = 0.0
    occurrences: dict[int, list[list[TaskProgress]]] = field(default_factory=dict)
    next_occurrence: int = 0

    def open_occurrence(self, occurrence):
        """Create the tasks of an occurrence, which is its number from 0."""
        self.occurrences[occurrence] = [
            [
                TaskProgress(TaskKey(self.job.job_id, occurrence, number, index))
                for index in range(step.count)
            ]
            for number, step in enumerate(self.job.steps)
        ]
        self.next_occurrence = max(self.next_occurrence, occurrence + 1)

    def has_room_for_occurrence(self, most_tasks):
        """Return whether one more occurrence leaves at most `most_tasks` tasks open."""
        tasks = sum(step.count for step in self.job.steps)
        return (len(self.occurrences) + 1) * tasks <= most_tasks

    def find_task(self, key):
        """Return the `TaskProgress` of a `TaskKey`, or None if it is not open."""
        steps = self.occurrences.get(key.occurrence)
        if steps is None or not 0 <= key.step < len(steps):
            return None
        tasks = steps[key.step]
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def list_tasks(self):
        """Yield the `TaskProgress` of each task of all open occurrences."""
        for steps in self.occurrences.values():
            for tasks in steps:
                yield from tasks

    def is_step_done(self, occurrence, step):
        """Return whether all tasks of a step of an open occurrence are done."""
        tasks = self.occurrences[occurrence][step]
        return all(task.status is TaskStatus.DONE for task in tasks)


class ProgressSummary(msgspec.Struct, frozen=True, array_like=True):
    """Stored progress, in which the fields that callers ask for can be read alone.

    Parameters
    ----------
    outcome : str
        Value of a `JobOutcome`.
    begun : bool
        Whether an executor has certainly started a task.
    ended_at : float
        When the job ended, seconds since the Unix epoch; 0.0 before that.
    next_occurrence : int
        Number of the first occurrence that has not begun.
    tasks : bytes
        Encoded progress of the open occurrences, which only the pool's owner decodes;
        empty once the job has ended.
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
    incarnation: int
    checkpoint: str
    confirmed: bool = False
    late_start: bool = False


class _StoredTasks(msgspec.Struct, frozen=True, array_like=True):
    occurrences: list[int]
    tasks: list[_StoredTask]


_ENCODER = msgspec.msgpack.Encoder()
_JOB_DECODER = msgspec.msgpack.Decoder(Job)
_SUMMARY_DECODER = msgspec.msgpack.Decoder(ProgressSummary)
_TASKS_DECODER = msgspec.msgpack.Decoder(_StoredTasks)


def encode_job(job):
    """Return a `Job` as the bytes that are stored."""
    return _ENCODER.encode(job)


def decode_job(record):
    """Return the `Job` of a stored `Record`.

    Raises
    ------
    RecordError
        If the value of the record is not an encoded `Job`.
    """
    return _decode(_JOB_DECODER, record.value, record.key)


def decode_summary(record):
    """Return the `ProgressSummary` of a stored `Record`.

    Raises
    ------
    RecordError
        If the value of the record is not an encoded `ProgressSummary`.
    """
    return _decode(_SUMMARY_DECODER, record.value, record.key)


def encode_progress(progress):
    """Return a `JobProgress` as the bytes that are stored.

    Tasks that have had no run are left out, and all tasks once the job has ended.
    """
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
                task.incarnation,
                task.checkpoint,
                task.confirmed,
                task.late_start,
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
    """Return the `JobProgress` of a job from its stored record.

    Parameters
    ----------
    job : Job
    record : Record or None
        None before the progress is stored for the first time.

    Returns
    -------
    JobProgress

    Raises
    ------
    RecordError
        If the record can't be decoded, or names a task that the job does not have.
    """
    progress = JobProgress(job)
    if record is None:
        return progress
    summary = decode_summary(record)
    progress.outcome = _decode_choice(JobOutcome, summary.outcome, record.key)
    progress.begun = summary.begun
    progress.ended_at = summary.ended_at
    if summary.tasks:
        stored = _decode(_TASKS_DECODER, summary.tasks, record.key)
        for occurrence in stored.occurrences:
            progress.open_occurrence(occurrence)
        for row in stored.tasks:
            _restore_task(progress, row, record.key)
    progress.next_occurrence = summary.next_occurrence
    return progress


def _restore_task(progress, row, record_key):
    key = TaskKey(progress.job.job_id, row.occurrence, row.step, row.index)
    task = progress.find_task(key)
    if task is None:
        raise RecordError(
            "task is not part of the job", step="decode progress", peer=str(key)
        )
    task.status = _decode_choice(TaskStatus, row.status, record_key)
    task.run = row.run
    task.failures = row.failures
    task.executor = row.executor
    task.incarnation = row.incarnation
    task.checkpoint = row.checkpoint
    task.confirmed = row.confirmed
    task.late_start = row.late_start


def _decode_choice(choices, value, key):
    try:
        return choices(value)
    except ValueError as error:
        raise RecordError(str(error), step="decode record", peer=key) from error


def _decode(decoder, value, key):
    try:
        return decode_with(decoder, value)
    except MalformedDataError as error:
        raise RecordError(str(error), step="decode record", peer=key) from error
