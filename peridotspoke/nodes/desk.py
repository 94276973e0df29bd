"""Answers callers: takes jobs, tells their states, cancels them, counts queues."""

from dataclasses import dataclass

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
    RequestError,
)
from peridotspoke.logs import log_event
from peridotspoke.nodes.jobviews import JobView
from peridotspoke.nodes.keys import key_cancel, key_identity, key_job
from peridotspoke.nodes.lookups import TOMBSTONE, JobLookup
from peridotspoke.store import Condition, Put, Transaction
from peridotspoke.workloads.admission import find_room_wait
from peridotspoke.workloads.checking import check_job, is_job_id
from peridotspoke.workloads.progress import encode_job

__all__ = [
    "Accepted",
    "Counted",
    "Invalid",
    "JobDesk",
    "Refused",
    "Shown",
    "Unknown",
    "UnknownJob",
    "UnknownQueue",
]

STORE_RETRY = 1.0  # seconds after which a caller may come back when the store is away
SPREAD = 1.5  # factor over which the return of refused callers is spread
WRITE_TRIES = 3
MOST_DEMAND_AGE = 5.0  # seconds; a change of the owner takes less


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored and runs once, or its cancelling is stored."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request had no effect; it may come back after `retry_after` seconds."""

    reason: str
    retry_after: float
    overloaded: bool = False


@dataclass(frozen=True, slots=True)
class Invalid:
    """The request can't be read or is not allowed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have had an effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class UnknownQueue:
    """No queue has that host and prefix."""


@dataclass(frozen=True, slots=True)
class UnknownJob:
    """No such job exists."""


@dataclass(frozen=True, slots=True)
class Shown:
    """A job's state."""

    state: str


@dataclass(frozen=True, slots=True)
class Counted:
    """How many jobs of a queue wait for their first start."""

    waiting: int


class JobDesk:
    """Answers callers from the node's view of the store.

    Parameters
    ----------
    node : NodeParts
    decode_submission : callable
        From a body, an identity, a queue and a time to a `Job`; raises
        `RequestError`.
    """

    def __init__(self, node, decode_submission):
        self._node = node
        self._decode_submission = decode_submission
        self._lookup = JobLookup(node)

    def is_ready(self):
        """Return whether this node serves: it has a configuration and the store."""
        return self._node.view.configuration is not None and self._node.has_store()

    async def submit(self, host, path, body):
        """Take in a job; return one of this module's answers."""
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
            return self._log("submit", job_id, Accepted(), source="view")
        if len(body) > self._node.view.configuration.most_body:
            return Invalid("the body is too large")
        wall = self._node.clock.read_wall()
        try:
            job = self._decode_submission(body, job_id, queue, wall)
            check_job(job)
        except RequestError as error:
            return self._log("submit", job_id, Invalid(str(error)))
        refused = self._refuse(job)
        if refused is not None and await self._has_job(job_id):
            return self._log("submit", job_id, Accepted(), source="store")
        if refused is not None:
            return self._log("submit", job_id, refused, reason=refused.reason)
        answer = await self._store_job(job, 0)
        return self._log("submit", job_id, answer, reason=_find_reason(answer))

    async def _has_job(self, job_id):
        """Return whether a job is stored already, as far as the store can tell."""
        if not self._node.has_store():
            return False
        try:
            return await self._lookup.has_job(job_id)
        except PlatformError as error:
            log_event("job-not-found", "WARNING", job=job_id, error=error)
            return False

    def _refuse(self, job):
        if not self._node.has_store():
            return Refused("the store is away", self._spread(STORE_RETRY))
        wait = find_room_wait(job, self._find_demand(job.pool))
        if wait is None:
            return None
        return Refused("no room in time", self._spread(wait), overloaded=True)

    def _find_demand(self, pool):
        """Return what a pool's present owner told lately, or None."""
        view = self._node.view
        waiting, age = view.find_waiting(pool, self._node.clock.read_monotonic())
        if waiting is None or age > MOST_DEMAND_AGE:
            return None
        return view.pools.get(pool)

    def _spread(self, seconds):
        """Return a time at which not all callers come back together."""
        return seconds * self._node.chance.uniform(1.0, SPREAD)

    async def show(self, host, path):
        """Return the state of a job, or the count of a queue."""
        found = self._find_queue(host, path)
        if not isinstance(found, tuple):
            return found
        queue, job_id = found
        if not job_id:
            return await self._count(queue)
        known = await self._look_up(queue.pool, job_id)
        if not isinstance(known, JobView):
            return self._log("show", job_id, known)
        return Shown(known.state)

    async def cancel(self, host, path):
        """Cancel a job."""
        found = self._find_queue(host, path)
        if not isinstance(found, tuple):
            return found
        queue, job_id = found
        known = await self._look_up(queue.pool, job_id)
        if not isinstance(known, JobView):
            return self._log("cancel", job_id, known)
        if not known.is_open:
            return self._log("cancel", job_id, Accepted(), state=known.state)
        return self._log("cancel", job_id, await self._store_cancel(known))

    def _find_queue(self, host, path):
        configuration = self._node.view.configuration
        if configuration is None:
            return Refused("no configuration yet", STORE_RETRY)
        queue = configuration.find_queue(host, path)
        if queue is None:
            return self._refuse_old_configuration() or UnknownQueue()
        return queue, path[len(queue.prefix) :]

    def _refuse_old_configuration(self):
        """Return a refusal if a newer configuration may be in force by now.

        A queue that is not known may have been added since, a known one removed.
        """
        now = self._node.clock.read_monotonic()
        age = now - self._node.view.configured_at
        if age <= self._node.settings.bounds.roll_out:
            return None
        log_event(
            "configuration-old",
            "WARNING",
            version=self._node.view.configuration.version,
            age=age,
        )
        return Refused("the configuration may be out of date", STORE_RETRY)

    async def _count(self, queue):
        """Return the count of a queue, or refuse where it can't be told."""
        refused = self._refuse_old_configuration()
        if refused is not None:
            return refused
        try:
            found = await self._lookup.count(queue)
        except PlatformError as error:
            log_event("jobs-not-counted", "WARNING", queue=queue.name, error=error)
            return Refused("the jobs can't be counted", STORE_RETRY)
        self._node.metrics.observe("count_age_seconds", found.age, source=found.source)
        log_event(
            "jobs-counted",
            queue=queue.name,
            waiting=found.waiting,
            source=found.source,
            age=found.age,
        )
        return Counted(found.waiting)

    async def _look_up(self, pool, job_id):
        """Return the `JobView` of a job, or the answer without one."""
        if not is_job_id(job_id):
            return UnknownJob()
        try:
            return await self._lookup.read(pool, job_id) or UnknownJob()
        except PlatformError as error:
            return Refused(str(error), STORE_RETRY)

    async def _store_job(self, job, revision):
        """Store a job once; refuse only where it certainly will never run."""
        identity = key_identity(job.job_id)
        puts = (
            Put(identity, job.pool.encode()),
            Put(key_job(job.pool, job.job_id), encode_job(job)),
        )
        transaction = Transaction((Condition(identity, revision),), puts)
        lost = None
        for failures in range(WRITE_TRIES):
            try:
                result = await self._node.commits.commit(transaction, failures)
            except AnswerLostError as error:
                lost = error
                continue
            except PlatformUnavailableError as error:
                if lost is None:
                    return Refused(str(error), STORE_RETRY)
                continue
            if result.won:
                self._note_job(job, result.revision)
                return Accepted()
            current = result.find_current(identity)
            if current is not None and current.value != TOMBSTONE:
                return Accepted()
            return await self._store_job_again(job, current, revision)
        return await self._bury(job.job_id, revision, lost)

    def _note_job(self, job, revision):
        jobs = self._node.view.jobs.get(job.pool)
        if jobs is not None:
            jobs.note_job(job, revision)

    async def _store_job_again(self, job, current, revision):
        found = current.revision if current is not None else 0
        if found == revision:
            return Unknown("the store contradicts itself")
        return await self._store_job(job, found)

    async def _bury(self, job_id, revision, lost):
        """Make sure by a tombstone that a write without an answer has no effect."""
        key = key_identity(job_id)
        burial = Transaction((Condition(key, revision),), (Put(key, TOMBSTONE),))
        try:
            result = await self._node.commits.commit(burial, failures=1)
        except PlatformError as error:
            return Unknown(f"{lost}; {error}")
        if result.won:
            return Refused(str(lost), STORE_RETRY)
        current = result.find_current(key)
        if current is not None and current.value != TOMBSTONE:
            return Accepted()
        return Refused(str(lost), STORE_RETRY)

    async def _store_cancel(self, known):
        pool, job_id = known.job.pool, known.job.job_id
        key = key_cancel(pool, job_id)
        job = Condition(key_job(pool, job_id), known.revision)
        conditions = (job, Condition(key, 0))
        transaction = Transaction(conditions, (Put(key, b"1"),))
        if not self._node.has_store():
            return Refused("the store is away", STORE_RETRY)
        reason = ""
        for failures in range(WRITE_TRIES):
            try:
                result = await self._node.commits.commit(transaction, failures)
            except PlatformError as error:
                reason = str(error)
                continue
            if result.won or result.find_current(key) is not None:
                self._note_cancel(pool, job_id)
                return Accepted()
            return UnknownJob()
        return Refused(reason, STORE_RETRY)

    def _note_cancel(self, pool, job_id):
        jobs = self._node.view.jobs.get(pool)
        if jobs is not None:
            jobs.note_cancel(job_id)

    def _log(self, step, job_id, answer, **fields):
        log_event(
            f"job-{step}",
            job=job_id,
            outcome=type(answer).__name__,
            revision=self._node.view.revision,
            **fields,
        )
        self._node.metrics.count(
            "job_requests", step=step, outcome=type(answer).__name__
        )
        return answer


def _find_reason(answer):
    return getattr(answer, "reason", None)
