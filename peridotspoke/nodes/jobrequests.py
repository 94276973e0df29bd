"""Answers callers: accepts jobs, shows their states, cancels them, counts queues."""

from peridotspoke.exceptions import PlatformError, RequestError
from peridotspoke.logs import log_event
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
from peridotspoke.workloads.admission import compute_retry_delay
from peridotspoke.workloads.checking import check_job, is_job_id

__all__ = ["JobRequestHandler"]

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

    def is_ready(self):
        """Return whether this node has a configuration and can reach the store."""
        return self._node.view.configuration is not None and self._node.has_store()

    @property
    def max_body_size(self):
        """Largest body of a submission, in bytes."""
        configuration = self._node.view.configuration
        return (
            DEFAULT_BODY_SIZE if configuration is None else configuration.max_body_size
        )

    async def submit(self, host, path, body):
        """Store a job, and measure how long that took.

        Parameters
        ----------
        host, path : str
            They select the queue; the rest of the path is the identity of the job.
        body : bytes

        Returns
        -------
        Accepted, Refused, Invalid, Unknown or UnknownQueue
        """
        asked_at = self._node.clock.read_monotonic()
        answer = await self._submit(host, path, body)
        self._node.metrics.observe(
            "job_acceptance_seconds",
            self._node.clock.read_monotonic() - asked_at,
            outcome=type(answer).__name__,
        )
        return answer

    async def _submit(self, host, path, body):
        found = self._find_queue(host, path)
        if not isinstance(found, tuple):
            return found
        queue, job_id = found
        if not is_job_id(job_id):
            return Invalid("expected an ID of 16 hexadecimal digits")
        if self._lookup.find(queue.pool, job_id) is not None:
            return self._log("submit", queue, job_id, Accepted(), source="view")
        if len(body) > self._node.view.configuration.max_body_size:
            return Invalid("the body is too large")
        now = self._node.clock.read_wall()
        try:
            job = self._decode_submission(body, job_id, queue, now)
            check_job(job)
        except RequestError as error:
            return self._log("submit", queue, job_id, Invalid(str(error)))
        refusal = self._check_room(job)
        if refusal is not None and await self._has_job(job_id):
            return self._log("submit", queue, job_id, Accepted(), source="store")
        if refusal is not None:
            if refusal.cause is RefusalCause.STORE_AWAY:
                record_refused_job(self._node, job, refusal.retry_after)
            return self._log("submit", queue, job_id, refusal)
        answer = await self._writer.store(job)
        if isinstance(answer, Accepted):
            self._node.refused_jobs.discard(job_id)
        return self._log("submit", queue, job_id, answer)

    async def _has_job(self, job_id):
        """Return whether a job is stored; False if the store can't be read."""
        if not self._node.has_store():
            return False
        try:
            return await self._lookup.has_job(job_id)
        except PlatformError as error:
            log_event("job-not-found", "WARNING", job=job_id, error=error)
            return False

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

    async def show(self, host, path):
        """Return the state of a job, or the number of a queue's waiting jobs.

        Parameters
        ----------
        host, path : str
            As in `submit`; a path without an identity asks for the number.

        Returns
        -------
        Shown, Counted, Refused, UnknownQueue or UnknownJob
        """
        found = self._find_queue(host, path)
        if not isinstance(found, tuple):
            return found
        queue, job_id = found
        if not job_id:
            return await self._count(queue)
        job_view = await self._look_up(queue.pool, job_id)
        if not isinstance(job_view, JobView):
            return self._log("show", queue, job_id, job_view)
        return Shown(job_view.state)

    async def cancel(self, host, path):
        """Cancel a job; cancelling an ended job has no effect and is accepted.

        Parameters
        ----------
        host, path : str
            As in `submit`.

        Returns
        -------
        Accepted, Refused, UnknownQueue or UnknownJob
        """
        found = self._find_queue(host, path)
        if not isinstance(found, tuple):
            return found
        queue, job_id = found
        job_view = await self._look_up(queue.pool, job_id)
        if not isinstance(job_view, JobView):
            return self._log("cancel", queue, job_id, job_view)
        if not job_view.is_open:
            return self._log("cancel", queue, job_id, Accepted(), state=job_view.state)
        return self._log("cancel", queue, job_id, await self._writer.cancel(job_view))

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

    async def _look_up(self, pool, job_id):
        """Return the `JobView` of a job, or the answer if there is none."""
        if not is_job_id(job_id):
            return UnknownJob()
        try:
            return await self._lookup.read(pool, job_id) or UnknownJob()
        except PlatformError as error:
            return self._refusals.refuse(RefusalCause.STORE_FAILED, str(error))

    def _log(self, step, queue, job_id, answer, **fields):
        """Log and count an answer to a request about a job, and return it."""
        if isinstance(answer, Refused):
            fields |= {"delay": answer.retry_after, "outage": answer.outage}
        log_event(
            f"job-{step}",
            job=job_id,
            queue=queue.name,
            outcome=type(answer).__name__,
            revision=self._node.view.revision,
            reason=getattr(answer, "reason", None),
            **fields,
        )
        self._node.metrics.count(
            "job_requests", step=step, outcome=type(answer).__name__
        )
        return answer
