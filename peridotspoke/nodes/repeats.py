"""Answers submissions whose ID is that of a job that is stored already."""

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event
from peridotspoke.nodes.jobanswers import (
    Accepted,
    Conflict,
    RefusalCause,
    Refused,
    Unknown,
)
from peridotspoke.workloads.access import can_access

__all__ = ["Repeats"]


class Repeats:
    """Tells a repeated submission from one under the ID of another workspace's job.

    In each method, `workspace` is the caller's workspace as for `can_access`.

    Parameters
    ----------
    node : NodeParts
    lookup : JobLookup
    refusals : Refusals
    """

    def __init__(self, node, lookup, refusals):
        self._node = node
        self._lookup = lookup
        self._refusals = refusals

    def answer_known(self, job_view, workspace):
        """Return the answer to a submission under the ID of a known job."""
        return Accepted() if can_access(job_view.job, workspace) else Conflict()

    async def replace_refusal(self, job, workspace, refusal):
        """Return the answer to a submission that is not stored.

        Parameters
        ----------
        job : Job
        workspace : str or None
        refusal : Refused or Invalid
            The answer if no job has its ID.
        """
        if not self._node.has_store():
            return refusal
        try:
            if not await self._lookup.has_job(job.job_id):
                return refusal
            if workspace is None:
                return Accepted()
            stored = await self._lookup.read(job.pool, job.job_id)
        except PlatformError as error:
            log_event("job-not-found", "WARNING", job=job.job_id, error=error)
            if isinstance(refusal, Refused):
                return refusal
            return self._refusals.refuse(RefusalCause.STORE_FAILED, str(error))
        return refusal if stored is None else self.answer_known(stored, workspace)

    async def check_accepted(self, job, workspace, answer):
        """Return the answer to a submission for which a stored job may have been found.

        Parameters
        ----------
        job : Job
        workspace : str or None
        answer : object
            The answer of `JobWriter`.
        """
        found = isinstance(answer, Accepted) and answer.was_stored
        if not found or workspace is None:
            return answer
        try:
            stored = await self._lookup.read(job.pool, job.job_id)
        except PlatformError as error:
            return Unknown(str(error))
        if stored is None:
            return Unknown("the job was removed while it was submitted again")
        return self.answer_known(stored, workspace)
