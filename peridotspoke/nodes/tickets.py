"""Keeps the tickets of steps whose queue needs advice on its executors."""

from dataclasses import dataclass, field

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event

__all__ = ["TicketBook"]

MOST_NAMED = 100  # executors in one call, from the platform's protocol
MOST_CALLS = 4  # calls of this node that may wait at once
ANSWER_TIME = 1.0  # seconds beyond what the queue says a call takes
RETRY = 0.5  # seconds after a call that failed
LIFE_MARGIN = 0.2  # seconds before its end at which a ticket is not used any more


@dataclass(slots=True)
class _StepTickets:
    asked: set = field(default_factory=set)
    tickets: dict = field(default_factory=dict)
    expires_at: float = float("inf")
    retry_at: float = 0.0
    calling: bool = False


class TicketBook:
    """Asks for tickets once a step and executor, and keeps them while they hold.

    Parameters
    ----------
    advice : AdviceCalls or None
    clock : Clock
    spawn : callable
        Runs a coroutine as a task.
    find_advice : callable
        From a queue's name to its `Advice`, or None.
    """

    def __init__(self, advice, clock, spawn, find_advice):
        self._advice = advice
        self._clock = clock
        self._spawn = spawn
        self._find_advice = find_advice
        self._steps = {}
        self._calls = 0

    def find(self, work, executor_ids):
        """Return the tickets of a `StepWork` by executor, or None if not known yet."""
        group = work.tasks[0].key[:3]
        now = self._clock.read_monotonic()
        known = self._steps.setdefault(group, _StepTickets())
        if now > known.expires_at - LIFE_MARGIN:
            known = self._steps[group] = _StepTickets()
        missing = [name for name in executor_ids if name not in known.asked]
        if missing and not known.calling and now >= known.retry_at:
            self._ask(work, known, missing[:MOST_NAMED])
        return known.tickets or None

    def forget(self, job_id):
        """Forget the tickets of a job that has ended."""
        self._steps = {
            group: known for group, known in self._steps.items() if group[0] != job_id
        }

    def _ask(self, work, known, executor_ids):
        if self._advice is None or self._calls >= MOST_CALLS:
            return
        known.calling = True
        self._calls += 1
        self._spawn(self._call(work, known, executor_ids))

    async def _call(self, work, known, executor_ids):
        key = work.tasks[0].key
        advice = self._find_advice(work.progress.job.queue)
        timeout = ANSWER_TIME
        if advice is not None:
            timeout += advice.decide + advice.each * len(executor_ids)
        asked_at = self._clock.read_monotonic()
        try:
            grant = await self._advice.advise(key, executor_ids, timeout)
        except PlatformError as error:
            known.retry_at = self._clock.read_monotonic() + RETRY
            log_event("advice-missing", "WARNING", job=key.job_id, error=error)
            return
        finally:
            known.calling = False
            self._calls -= 1
        known.asked.update(executor_ids)
        known.tickets.update(grant.tickets)
        known.expires_at = min(known.expires_at, asked_at + grant.life)
        log_event(
            "advice-given",
            job=key.job_id,
            step=key.step,
            asked=len(executor_ids),
            good=len(grant.tickets),
            life=grant.life,
        )
