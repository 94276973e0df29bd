"""Answers callers: accepts jobs, shows their states, cancels them, counts queues."""

from dataclasses import replace
from functools import partial

from peridotspoke.exceptions import PlatformError, RequestError
from peridotspoke.logs import log_event
from peridotspoke.nodes.access import AccessChecks
from peridotspoke.nodes.jobanswers import (
    Accepted,
    Counted,
    Invalid,
    RefusalCause,
    Refused,
    Shown,
    UnknownJob,
    UnknownQueue,
)
from peridotspoke.nodes.jobviews import JobView
from peridotspoke.nodes.jobwrites import JobWriter
from peridotspoke.nodes.lookups import JobLookup
from peridotspoke.nodes.refusals import Refusals
from peridotspoke.nodes.refusedwork import record_refused_job
from peridotspoke.nodes.repeats import Repeats
from peridotspoke.workloads.access import CallerKey, can_access
from peridotspoke.workloads.admission import compute_retry_delay
from peridotspoke.workloads.checking import check_job, is_job_id

__all__ = ["JobRequestHandler"]

NO_KEY = CallerKey()
DEFAULT_BODY_SIZE = 262_144  # bytes, while there is no configuration
MAX_DEMAND_AGE = 5.0  # seconds; a change of the pool's owner takes less


class JobRequestHandler:
    """Answers callers from the node's view of the store, or from the store itself.

    Parameters
    ----------
    node : NodeParts
    decode_submission : callable
        Takes a body, an identity, a queue and the wall-clock time in seconds, and
        returns a `Job`. Raises `RequestError` if the body is invalid.
    """

    def __init__(self, node, decode_submission):
        self._node = node
        self._decode_submission = decode_submission
        self._lookup = JobLookup(node)
        self._refusals = Refusals(node)
        self._writer = JobWriter(node, self._refusals)
        self._access = AccessChecks(node, self._refusals)
        self._repeats = Repeats(node, self._lookup, self._refusals)

    def is_ready(self):
        """Return whether this node has a configuration and can reach the store."""
        return self._node.view.configuration is not None and self._node.has_store()

    @property
    def checks_keys(self):
        """Whether calls may be refused for their API keys."""
        return self._access.is_needed

    async def check_head(self, host, path, key, step="submit"):
        """Return the answer to a call that needs no more than its head, or None.

        Parameters
        ----------
        host, path : str
            As in `submit`.
        key : CallerKey
        step : str, optional
            What the call asks for: submit, show or cancel.

        Returns
        -------
        KeyRefused, Refused, UnknownQueue or None
        """
        found, _ = await self._admit(step, host, path, key)
        return None if isinstance(found, tuple) else found

    @property
    def max_body_size(self):
        """Largest body of a submission, in bytes."""
        configuration = self._node.view.configuration
        return (
            DEFAULT_BODY_SIZE if configuration is None else configuration.max_body_size
        )

    async def submit(self, host, path, body, key=NO_KEY):
        """Store a job, and measure how long that took.

        Parameters
        ----------
        host, path : str
            They select the queue; the rest of the path is the identity of the job.
        body : bytes
        key : CallerKey, optional

        Returns
        -------
        Accepted, Conflict, Invalid, KeyRefused, Refused, Unknown or UnknownQueue
        """
        asked_at = self._node.clock.read_monotonic()
        answer = await self._submit(host, path, body, key, asked_at)
        self._node.metrics.observe(
            "job_acceptance_seconds",
            self._node.clock.read_monotonic() - asked_at,
            outcome=type(answer).__name__,
        )
        return answer

    async def _submit(self, host, path, body, key, asked_at):
        found, workspace = await self._admit("submit", host, path, key)
        if not isinstance(found, tuple):
            return found
        queue, job_id = found
        if not is_job_id(job_id):
            return Invalid("expected an ID of 16 hexadecimal digits")
        known = self._lookup.find(queue.pool, job_id)
        if known is not None:
            answer = self._repeats.answer_known(known, workspace)
            return self._log("submit", queue, job_id, answer, workspace, source="view")
        if len(body) > self._node.view.configuration.max_body_size:
            return Invalid("the body is too large")
        now = self._node.clock.read_wall()
        try:
            job = self._decode_submission(body, job_id, queue, now)
            check_job(job)
        except RequestError as error:
            answer = Invalid(str(error))
            return self._log("submit", queue, job_id, answer, workspace)
        if workspace and not queue.anonymous:
            job = replace(job, workspace=workspace)
        excess = self._access.describe_excess(job)
        if excess and not self._access.is_proved(asked_at):
            refusal = await self._access.prove(asked_at)
            if refusal is None:
                return await self._submit(host, path, body, key, asked_at)
            return self._log("submit", queue, job_id, refusal, workspace)
        refusal = Invalid(excess) if excess else self._check_room(job)
        if refusal is not None:
            return await self._refuse(queue, job, workspace, refusal)
        answer = await self._writer.store(job)
        answer = await self._repeats.check_accepted(job, workspace, answer)
        if isinstance(answer, Accepted):
            self._node.refused_jobs.discard(job_id)
        return self._log("submit", queue, job_id, answer, workspace)

    async def _refuse(self, queue, job, workspace, refusal):
        """Return a refusal of a job, or the answer to the repeat of a stored one."""
        answer = await self._repeats.replace_refusal(job, workspace, refusal)
        if answer is not refusal:
            return self._log(
                "submit", queue, job.job_id, answer, workspace, source="store"
            )
        if getattr(answer, "cause", None) is RefusalCause.STORE_AWAY:
            record_refused_job(self._node, job, answer.retry_after)
        return self._log("submit", queue, job.job_id, answer, workspace)

    def _check_room(self, job):
        """Return a refusal if a job can't be stored now or served in time, or None."""
        if not self._node.has_store():
            return self._refusals.refuse_away(job)
        wait = compute_retry_delay(job, self._find_demand(job.pool))
        if wait is None:
            return None
        return self._refusals.refuse_for_room(wait)

    def _find_demand(self, pool):
        """Return the demand that a pool's current owner published, or None.

        None is returned if the owner's last counts are older than `MAX_DEMAND_AGE`: the
        demand of an owner that is stuck or gone must not cause refusals.
        """
        view = self._node.view
        waiting, age = view.find_waiting(pool, self._node.clock.read_monotonic())
        if waiting is None or age > MAX_DEMAND_AGE:
            return None
        return view.pools.get(pool)

    async def show(self, host, path, key=NO_KEY):
        """Return the state of a job, or the number of a queue's waiting jobs.

        Parameters
        ----------
        host, path : str
            As in `submit`; a path without an identity asks for the number.
        key : CallerKey, optional

        Returns
        -------
        Shown, Counted, KeyRefused, Refused, UnknownQueue or UnknownJob
        """
        found, workspace = await self._admit("show", host, path, key)
        if not isinstance(found, tuple):
            return found
        queue, job_id = found
        if not job_id:
            return await self._count(queue)
        job_view = await self._look_up(queue.pool, job_id, workspace)
        if not isinstance(job_view, JobView):
            return self._log("show", queue, job_id, job_view, workspace)
        return Shown(job_view.state)

    async def cancel(self, host, path, key=NO_KEY):
        """Cancel a job; cancelling an ended job has no effect and is accepted.

        Parameters
        ----------
        host, path : str
            As in `submit`.
        key : CallerKey, optional

        Returns
        -------
        Accepted, KeyRefused, Refused, UnknownQueue or UnknownJob
        """
        found, workspace = await self._admit("cancel", host, path, key)
        if not isinstance(found, tuple):
            return found
        queue, job_id = found
        job_view = await self._look_up(queue.pool, job_id, workspace)
        if not isinstance(job_view, JobView):
            return self._log("cancel", queue, job_id, job_view, workspace)
        if not job_view.is_open:
            state = job_view.state
            return self._log(
                "cancel", queue, job_id, Accepted(), workspace, state=state
            )
        answer = await self._writer.cancel(job_view)
        return self._log("cancel", queue, job_id, answer, workspace)

    async def _admit(self, step, host, path, key):
        """Return the call's queue and the rest of its path, and its workspace.

        If the call is not served, its answer takes the place of the queue.
        """
        if not self._access.is_needed:
            return self._find_queue(host, path), None
        find_queue = partial(self._find_queue, host, path)
        found, workspace = await self._access.check(find_queue, key)
        if workspace and isinstance(found, Refused):
            queue, job_id = find_queue()
            self._log(step, queue, job_id, found, workspace)
        return found, workspace

    def _find_queue(self, host, path):
        """Return the queue and the rest of the path, or the answer without a queue."""
        configuration = self._node.view.configuration
        if configuration is None:
            return self._refusals.refuse(
                RefusalCause.CONFIGURATION, "no configuration yet"
            )
        queue = configuration.find_queue(host, path)
        if queue is None:
            return self._check_configuration_age() or UnknownQueue()
        return queue, path[len(queue.prefix) :]

    def _check_configuration_age(self):
        """Return a refusal if a newer configuration may be in effect, or None.

        An unknown queue may have been added by it, or a known one removed.
        """
        now = self._node.clock.read_monotonic()
        age = now - self._node.view.configured_at
        if age <= self._node.settings.bounds.rollout:
            return None
        log_event(
            "configuration-old",
            "WARNING",
            version=self._node.view.configuration.version,
            age=age,
        )
        return self._refusals.refuse(
            RefusalCause.CONFIGURATION, "the configuration may be out of date"
        )

    async def _count(self, queue):
        """Return the number of a queue's waiting jobs, or a refusal."""
        refusal = self._check_configuration_age()
        if refusal is not None:
            return refusal
        try:
            count = await self._lookup.count(queue)
        except PlatformError as error:
            log_event("jobs-not-counted", "WARNING", queue=queue.name, error=error)
            return self._refusals.refuse(
                RefusalCause.STORE_FAILED, "the jobs can't be counted"
            )
        self._node.metrics.observe("count_age_seconds", count.age, source=count.source)
        log_event(
            "jobs-counted",
            queue=queue.name,
            waiting=count.waiting,
            source=count.source,
            age=count.age,
        )
        return Counted(count.waiting)

    async def _look_up(self, pool, job_id, workspace):
        """Return the `JobView` of a job of the caller, or the answer if it has none."""
        if not is_job_id(job_id):
            return UnknownJob()
        try:
            job_view = await self._lookup.read(pool, job_id)
        except PlatformError as error:
            return self._refusals.refuse(RefusalCause.STORE_FAILED, str(error))
        if job_view is None or not can_access(job_view.job, workspace):
            return UnknownJob()
        return job_view

    def _log(self, step, queue, job_id, answer, workspace, **fields):
        """Log and count an answer to a request about a job, and return it."""
        if workspace and isinstance(answer, Refused):
            label = self._node.workspace_labels.bound(workspace)
            self._node.metrics.count(
                "workspace_refusals", workspace=label, reason=answer.cause
            )
        if isinstance(answer, Refused):
            fields |= {"delay": answer.retry_after, "outage": answer.outage}
        log_event(
            f"job-{step}",
            job=job_id,
            queue=queue.name,
            outcome=type(answer).__name__,
            revision=self._node.view.revision,
            reason=getattr(answer, "reason", None),
            workspace=workspace or None,
            **fields,
        )
        self._node.metrics.count(
            "job_requests", step=step, outcome=type(answer).__name__
        )
        return answer
