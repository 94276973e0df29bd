"""Caches the tickets of steps whose queue requires advice on its executors."""

from dataclasses import dataclass, field

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event

__all__ = ["TicketCache"]

MAX_EXECUTORS_PER_CALL = 100  # limit of the platform's protocol
MAX_PENDING_CALLS = 4  # of this node
CALL_MARGIN = 1.0  # seconds added to the duration of a call that the queue states
RETRY_DELAY = 0.5  # seconds after a failed call
EXPIRY_MARGIN = 0.2  # seconds before its expiry from which a ticket is not used


@dataclass(slots=True)
class _StepTickets:
    requested: set = field(default_factory=set)
    tickets: dict = field(default_factory=dict)
    expires_at: float = float("inf")
    retry_at: float = 0.0
    call_pending: bool = False


class TicketCache:
    """Requests a ticket once for each step and executor, and keeps it until it expires.

    Parameters
    ----------
    advice : AdviceCalls or None
        None if there is no advice service; no tickets are requested then.
    clock : Clock
    spawn : callable
        Runs a coroutine as a task.
    find_advice : callable
        Takes a queue's name and returns its `Advice`, or None if it has none.
    """

    def __init__(self, advice, clock, spawn, find_advice):
        self._advice = advice
        self._clock = clock
        self._spawn = spawn
        self._find_advice = find_advice
        self._steps = {}
        self._pending_calls = 0

    def find(self, work, executor_ids):
        """Return the tickets of a step, and request those that are missing.

        At most one call for each step is pending at a time.

        Parameters
        ----------
        work : StepWork
        executor_ids : sequence of str
            The executors that may need a ticket.

        Returns
        -------
        dict of str to str, or None
            The tickets by executor; None if there is none yet, or none any more.
        """
        step_key = work.tasks[0].key[:3]
        now = self._clock.read_monotonic()
        step_tickets = self._steps.setdefault(step_key, _StepTickets())
        if now > step_tickets.expires_at - EXPIRY_MARGIN:
            step_tickets = self._steps[step_key] = _StepTickets()
        missing = [name for name in executor_ids if name not in step_tickets.requested]
        if missing and not step_tickets.call_pending and now >= step_tickets.retry_at:
            self._request(work, step_tickets, missing[:MAX_EXECUTORS_PER_CALL])
        return step_tickets.tickets or None

    def list_granted(self, step_key):
        """Return the set of executors with a ticket of a step that is still valid.

        Parameters
        ----------
        step_key : tuple of (str, int, int)
            Job ID, occurrence and number of the step.

        Returns
        -------
        set of str
        """
        found = self._steps.get(step_key)
        now = self._clock.read_monotonic()
        if found is None or now > found.expires_at - EXPIRY_MARGIN:
            return set()
        return set(found.tickets)

    def remove_job(self, job_id):
        """Remove the tickets of a job that has ended."""
        self._steps = {
            step_key: step_tickets
            for step_key, step_tickets in self._steps.items()
            if step_key[0] != job_id
        }

    def _request(self, work, step_tickets, executor_ids):
        if self._advice is None or self._pending_calls >= MAX_PENDING_CALLS:
            return
        step_tickets.call_pending = True
        self._pending_calls += 1
        self._spawn(self._call(work, step_tickets, executor_ids))

    async def _call(self, work, step_tickets, executor_ids):
        key = work.tasks[0].key
        advice = self._find_advice(work.progress.job.queue)
        timeout = CALL_MARGIN
        if advice is not None:
            timeout += advice.call_time + advice.time_per_executor * len(executor_ids)
        asked_at = self._clock.read_monotonic()
        try:
            grant = await self._advice.advise(key, executor_ids, timeout)
        except PlatformError as error:
            step_tickets.retry_at = self._clock.read_monotonic() + RETRY_DELAY
            log_event("advice-missing", "WARNING", job=key.job_id, error=error)
            return
        finally:
            step_tickets.call_pending = False
            self._pending_calls -= 1
        step_tickets.requested.update(executor_ids)
        step_tickets.tickets.update(grant.tickets)
        step_tickets.expires_at = min(
            step_tickets.expires_at, asked_at + grant.lifetime
        )
        log_event(
            "advice-given",
            job=key.job_id,
            step=key.step,
            asked=len(executor_ids),
            good=len(grant.tickets),
            life=grant.lifetime,
        )
