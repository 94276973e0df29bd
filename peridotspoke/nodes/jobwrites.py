"""Stores jobs and cancellations so that an answer that is lost does no harm."""

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
)
from peridotspoke.nodes.jobanswers import (
    Accepted,
    RefusalCause,
    Unknown,
    UnknownJob,
)
from peridotspoke.nodes.keys import key_cancellation, key_identity, key_job
from peridotspoke.nodes.lookups import TOMBSTONE
from peridotspoke.store import Condition, Put, Transaction
from peridotspoke.workloads.progress import encode_job

__all__ = ["JobWriter"]

MAX_WRITE_ATTEMPTS = 3


class JobWriter:
    """Writes what callers ask for to the store, and to the node's view after it.

    Parameters
    ----------
    node : NodeParts
    refusals : Refusals
    """

    def __init__(self, node, refusals):
        self._node = node
        self._refusals = refusals

    async def store(self, job, revision=0):
        """Store a job at most once; refuse it only if it certainly will never run.

        Parameters
        ----------
        job : Job
        revision : int, optional
            Expected revision of the job's identity, 0 if it does not exist.

        Returns
        -------
        Accepted, Refused or Unknown
        """
        identity = key_identity(job.job_id)
        puts = (
            Put(identity, job.pool.encode()),
            Put(key_job(job.pool, job.job_id), encode_job(job)),
        )
        transaction = Transaction((Condition(identity, revision),), puts)
        lost_error = None
        for failures in range(MAX_WRITE_ATTEMPTS):
            try:
                result = await self._node.commits.commit(transaction, failures)
            except AnswerLostError as error:
                lost_error = error
                continue
            except PlatformUnavailableError as error:
                if lost_error is None:
                    return self._refuse_failed(error, job)
                continue
            if result.succeeded:
                self._add_to_view(job, result.revision)
                return Accepted()
            current = result.find_current(identity)
            if current is not None and current.value != TOMBSTONE:
                return Accepted(was_stored=True)
            return await self._retry(job, current, revision)
        return await self._write_tombstone(job, revision, lost_error)

    async def cancel(self, job_view):
        """Store the cancellation of a job, unless its records have been removed.

        Parameters
        ----------
        job_view : JobView

        Returns
        -------
        Accepted, Refused or UnknownJob
        """
        pool, job_id = job_view.job.pool, job_view.job.job_id
        key = key_cancellation(pool, job_id)
        job_exists = Condition(key_job(pool, job_id), job_view.revision)
        conditions = (job_exists, Condition(key, 0))
        transaction = Transaction(conditions, (Put(key, b"1"),))
        if not self._node.has_store():
            return self._refusals.refuse_away()
        reason = ""
        for failures in range(MAX_WRITE_ATTEMPTS):
            try:
                result = await self._node.commits.commit(transaction, failures)
            except PlatformError as error:
                reason = str(error)
                continue
            if result.succeeded or result.find_current(key) is not None:
                self._cancel_in_view(pool, job_id)
                return Accepted()
            return UnknownJob()
        return self._refusals.refuse(RefusalCause.STORE_FAILED, reason)

    def _add_to_view(self, job, revision):
        jobs = self._node.view.jobs.get(job.pool)
        if jobs is not None:
            jobs.add_job(job, revision)

    async def _retry(self, job, current, revision):
        """Store a job with the revision of its identity that a failed write has found.

        `current` is the record of the identity, or None, and `revision` the revision
        that the failed write expected. A tombstone is replaced.
        """
        current_revision = current.revision if current is not None else 0
        if current_revision == revision:
            return Unknown("the store contradicts itself")
        return await self.store(job, current_revision)

    async def _write_tombstone(self, job, revision, lost_error):
        """Invalidate the writes of a job whose answers were lost.

        Both the tombstone and the lost writes expect the same revision of the job's
        identity, so at most one of them takes effect, even if one is applied late.
        """
        key = key_identity(job.job_id)
        transaction = Transaction((Condition(key, revision),), (Put(key, TOMBSTONE),))
        try:
            result = await self._node.commits.commit(transaction, failures=1)
        except PlatformError as error:
            return Unknown(f"{lost_error}; {error}")
        if result.succeeded:
            return self._refuse_failed(lost_error, job)
        current = result.find_current(key)
        if current is not None and current.value != TOMBSTONE:
            return Accepted(was_stored=True)
        return self._refuse_failed(lost_error, job)

    def _refuse_failed(self, error, job):
        return self._refusals.refuse(RefusalCause.STORE_FAILED, str(error), job)

    def _cancel_in_view(self, pool, job_id):
        jobs = self._node.view.jobs.get(pool)
        if jobs is not None:
            jobs.mark_cancelled(job_id)
