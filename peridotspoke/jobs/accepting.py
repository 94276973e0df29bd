"""Stores accepted jobs and cancellations in the platform's service."""

import asyncio
from dataclasses import dataclass, replace

from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PlatformError,
    PlatformUnavailableError,
    RequestError,
)
from peridotspoke.identities import make_operation_id
from peridotspoke.jobs.acceptance import (
    Acceptance,
    BatchCollector,
    CollectorSettings,
    compare_repeat,
)
from peridotspoke.jobs.lifecycle import CancelAsked, apply_event
from peridotspoke.jobs.messages import Job, JobBatch
from peridotspoke.jobs.records import JobId, key_batch
from peridotspoke.store import ChangeNote, Stored, decode_record, swap_stored

__all__ = ["JobAcceptor", "JobFound"]

CANCEL_TRIES = 8  # swaps of one batch, each after a conflict
CANCEL_WRITERS = 1  # concurrent tasks
MAX_CANCELS_WAITING = 20_000  # batches


@dataclass(frozen=True, slots=True)
class JobFound:
    """A job as read from the service."""

    job_id: str
    job: Job


class JobAcceptor:
    """Accepts, reads and cancels jobs for one entry instance.

    Parameters
    ----------
    service : KeyValueService
    name : str
        Name of the entry instance, which is stored as the author of its changes.
    clock : Clock
    random : random.Random
    settings : CollectorSettings, optional
    cancel_interval : float, optional
        Minimum time between two swaps for cancellations, in seconds. It rate-limits
        bursts of cancellations, which would otherwise delay other writes.
    """

    def __init__(
        self, service, name, clock, random, settings=None, cancel_interval=0.1
    ):
        self._service = service
        self._name = name
        self._clock = clock
        self._random = random
        self._collector = BatchCollector(
            settings or CollectorSettings(), lambda: make_operation_id(random)
        )
        self._pending_answers = {}
        self._pending_cancels = {}
        self._cancel_interval = cancel_interval
        self._cancel_queue = asyncio.Queue(MAX_CANCELS_WAITING)
        self._flush_timer = None
        self._tasks = set()

    async def start(self):
        """Start the tasks that write cancellations."""
        for _ in range(CANCEL_WRITERS):
            self._spawn(self._write_cancels())

    async def stop(self):
        """Write the submissions collected so far, then cancel all tasks."""
        while self._pending_answers:
            self._flush(float("inf"))
            await asyncio.wait(list(self._pending_answers.values()))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def accept(self, submission):
        """Store a `JobSubmission` and return its `Acceptance`.

        Raises
        ------
        PlatformUnavailableError
            If the jobs were not accepted.
        AnswerLostError
            If it is unknown whether the jobs were accepted.
        RequestError
            If the idempotency key was used for a different submission.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending_answers[submission.submission_id] = future
        future.add_done_callback(
            lambda _: self._pending_answers.pop(submission.submission_id, None)
        )
        now = self._clock.read_monotonic()
        for pending in self._collector.add(submission, now):
            self._spawn(self._write_batch(pending))
        self._schedule_flush()
        return await asyncio.shield(future)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _schedule_flush(self):
        due = self._collector.get_next_due()
        if due is not None and self._flush_timer is None:
            delay = max(0.0, due - self._clock.read_monotonic())
            self._flush_timer = asyncio.get_running_loop().call_later(
                delay, self._flush
            )

    def _flush(self, now=None):
        self._flush_timer = None
        now = self._clock.read_monotonic() if now is None else now
        for pending in self._collector.take_due(now):
            self._spawn(self._write_batch(pending))
        self._schedule_flush()

    async def _write_batch(self, pending):
        try:
            repeated = await self._create_batch(pending)
        except (PlatformError, RequestError) as error:
            for submission in pending.submissions:
                self._resolve(submission, error=error)
            return
        index = 0
        for submission in pending.submissions:
            end = index + len(submission.specs)
            ids = tuple(str(JobId(pending.batch_id, n)) for n in range(index, end))
            self._resolve(submission, Acceptance(ids, repeated))
            index = end

    async def _create_batch(self, pending):
        """Create the batch; return whether it existed before as a repeat."""
        batch = pending.make_batch(self._clock.read_wall())
        stored = Stored(
            batch, (self._make_change_note("accept", f"{len(batch.jobs)} jobs"),)
        )
        key = key_batch(pending.pool, pending.batch_id)
        try:
            await swap_stored(self._service, key, stored, 0)
            return False
        except OperationConflictError:
            if not pending.keyed:
                raise
        return await self._check_repeat(pending, key)

    async def _check_repeat(self, pending, key):
        record = await self._service.read(key)
        if record is None:
            raise AnswerLostError("the earlier submission is gone", peer=key)
        if not compare_repeat(pending, decode_record(record, JobBatch).body):
            raise RequestError(
                "Idempotency-Key: found a key that names another submission, "
                "expected a fresh key or the same body",
                step="accept jobs",
            )
        return True

    def _resolve(self, submission, acceptance=None, error=None):
        future = self._pending_answers.get(submission.submission_id)
        if future is None or future.done():
            return
        if error is None:
            future.set_result(acceptance)
        else:
            future.set_exception(error)

    def _make_change_note(self, action, reason):
        operation = make_operation_id(self._random)
        return ChangeNote(
            operation, self._name, action, reason, self._clock.read_wall()
        )

    async def find(self, pool, job_id):
        """Return the `JobFound` of a `JobId`, or None if there is no such job."""
        record = await self._service.read(key_batch(pool, job_id.batch))
        return _find_job(record, job_id)

    async def cancel(self, pool, job_id):
        """Request the cancellation of a job, whether it is queued or running.

        Parameters
        ----------
        pool : str
        job_id : JobId

        Returns
        -------
        JobFound or None
            The job after the swap. Its phase tells whether the cancellation took
            effect before a start. None if there is no such job.

        Raises
        ------
        PlatformUnavailableError
            If the queue of cancellations is full, or if each swap conflicted with
            another change of the batch.
        PlatformError
            If the service can't be reached or its answer is lost.
        """
        key = key_batch(pool, job_id.batch)
        future = asyncio.get_running_loop().create_future()
        requests = self._pending_cancels.get(key)
        if requests is None:
            if self._cancel_queue.full():
                raise PlatformUnavailableError(
                    "too many cancellations wait", step="cancel", peer=key
                )
            requests = self._pending_cancels[key] = []
            self._cancel_queue.put_nowait(key)
        requests.append((job_id, future))
        return await future

    async def _write_cancels(self):
        while True:
            key = await self._cancel_queue.get()
            requests = self._pending_cancels.pop(key)
            try:
                record = await self._cancel_jobs(key, [item for item, _ in requests])
            except PlatformError as error:
                for _, future in requests:
                    if not future.done():
                        future.set_exception(error)
            else:
                for job_id, future in requests:
                    if not future.done():
                        future.set_result(_find_job(record, job_id))
            await asyncio.sleep(self._cancel_interval)

    async def _cancel_jobs(self, key, job_ids):
        """Cancel jobs of a batch; return its record, or None if there is none."""
        indexes = {job_id.index for job_id in job_ids}
        note = self._make_change_note("cancel", f"jobs {sorted(indexes)[:20]}")
        for _ in range(CANCEL_TRIES):
            record = await self._service.read(key)
            if record is None:
                return None
            stored = decode_record(record, JobBatch)
            jobs = tuple(
                apply_event(job, CancelAsked()) if index in indexes else job
                for index, job in enumerate(stored.body.jobs)
            )
            if all(new is old for new, old in zip(jobs, stored.body.jobs, strict=True)):
                return record
            changed = stored.replace(replace(stored.body, jobs=jobs), note)
            try:
                return await swap_stored(
                    self._service, key, changed, record.revision, record.lease
                )
            except OperationConflictError:
                continue
        raise PlatformUnavailableError(
            f"the jobs changed {CANCEL_TRIES} times meanwhile", step="cancel", peer=key
        )


def _find_job(record, job_id):
    if record is None:
        return None
    jobs = decode_record(record, JobBatch).body.jobs
    if job_id.index >= len(jobs):
        return None
    return JobFound(str(job_id), jobs[job_id.index])
