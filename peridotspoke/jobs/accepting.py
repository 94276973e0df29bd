"""Writes accepted jobs and cancellations to the platform's service."""

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

CANCEL_TRIES = 8
CANCEL_WRITERS = 1
MAX_CANCELS_WAITING = 20_000


@dataclass(frozen=True, slots=True)
class JobFound:
    """A job as it stands in the service."""

    job_id: str
    job: Job


class JobAcceptor:
    """Accepts, reads and cancels jobs for one entry instance.

    Parameters
    ----------
    service : KeyValueService
    name : str
        The entry instance's name, the author of its changes.
    clock : Clock
    random : random.Random
    settings : CollectorSettings, optional
    cancel_interval : float, optional
        Least time in seconds between two swaps for cancellations, so that a wave
        of them leaves the service free for other writes.
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
        self._waiting = {}
        self._cancels = {}
        self._cancel_interval = cancel_interval
        self._cancel_order = asyncio.Queue(MAX_CANCELS_WAITING)
        self._flusher = None
        self._tasks = set()

    async def start(self):
        """Begin to write cancellations."""
        for _ in range(CANCEL_WRITERS):
            self._spawn(self._write_cancels())

    async def stop(self):
        """Write what was gathered, then end all tasks."""
        while self._waiting:
            self._flush(float("inf"))
            await asyncio.wait(list(self._waiting.values()))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def accept(self, submission):
        """Return the `Acceptance` of a `JobSubmission` once it stands in the service.

        Raises
        ------
        PlatformUnavailableError
            If the jobs were certainly not accepted.
        AnswerLostError
            If it is not known whether they were.
        RequestError
            If the key was used for another submission.
        """
        answer = asyncio.get_running_loop().create_future()
        self._waiting[submission.submission_id] = answer
        answer.add_done_callback(
            lambda _: self._waiting.pop(submission.submission_id, None)
        )
        now = self._clock.read_monotonic()
        for pending in self._collector.add(submission, now):
            self._spawn(self._write_batch(pending))
        self._plan_flush()
        return await asyncio.shield(answer)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _plan_flush(self):
        due = self._collector.get_next_due()
        if due is not None and self._flusher is None:
            delay = max(0.0, due - self._clock.read_monotonic())
            self._flusher = asyncio.get_running_loop().call_later(delay, self._flush)

    def _flush(self, now=None):
        self._flusher = None
        now = self._clock.read_monotonic() if now is None else now
        for pending in self._collector.take_due(now):
            self._spawn(self._write_batch(pending))
        self._plan_flush()

    async def _write_batch(self, pending):
        try:
            repeated = await self._create_batch(pending)
        except (PlatformError, RequestError) as error:
            for submission in pending.submissions:
                self._conclude(submission, error=error)
            return
        index = 0
        for submission in pending.submissions:
            end = index + len(submission.specs)
            ids = tuple(str(JobId(pending.batch_id, n)) for n in range(index, end))
            self._conclude(submission, Acceptance(ids, repeated))
            index = end

    async def _create_batch(self, pending):
        """Write the batch and return whether it stood there before."""
        batch = pending.make_batch(self._clock.read_wall())
        stored = Stored(batch, (self._note("accept", f"{len(batch.jobs)} jobs"),))
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

    def _conclude(self, submission, acceptance=None, error=None):
        answer = self._waiting.get(submission.submission_id)
        if answer is None or answer.done():
            return
        if error is None:
            answer.set_result(acceptance)
        else:
            answer.set_exception(error)

    def _note(self, action, reason):
        operation = make_operation_id(self._random)
        return ChangeNote(
            operation, self._name, action, reason, self._clock.read_wall()
        )

    async def find(self, pool, job_id):
        """Return the `JobFound` of a `JobId`, or None."""
        record = await self._service.read(key_batch(pool, job_id.batch))
        return _find_job(record, job_id)

    async def cancel(self, pool, job_id):
        """Ask for a job not to run, or to be stopped.

        Returns
        -------
        JobFound or None
            The job after the swap; its phase tells whether the cancellation won
            against a start. None where there is no such job.
        """
        key = key_batch(pool, job_id.batch)
        answer = asyncio.get_running_loop().create_future()
        waiting = self._cancels.get(key)
        if waiting is None:
            if self._cancel_order.full():
                raise PlatformUnavailableError(
                    "too many cancellations wait", step="cancel", peer=key
                )
            waiting = self._cancels[key] = []
            self._cancel_order.put_nowait(key)
        waiting.append((job_id, answer))
        return await answer

    async def _write_cancels(self):
        while True:
            key = await self._cancel_order.get()
            waiting = self._cancels.pop(key)
            try:
                record = await self._cancel_jobs(key, [item for item, _ in waiting])
            except PlatformError as error:
                for _, answer in waiting:
                    if not answer.done():
                        answer.set_exception(error)
            else:
                for job_id, answer in waiting:
                    if not answer.done():
                        answer.set_result(_find_job(record, job_id))
            await asyncio.sleep(self._cancel_interval)

    async def _cancel_jobs(self, key, job_ids):
        """Return the record of the batch after the cancellation of its jobs."""
        indexes = {job_id.index for job_id in job_ids}
        note = self._note("cancel", f"jobs {sorted(indexes)[:20]}")
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
