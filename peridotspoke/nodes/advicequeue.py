"""Makes the calls of a process to the advice service, one at a time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from peridotspoke.exceptions import PlatformError, PlatformUnavailableError
from peridotspoke.logs import log_event
from peridotspoke.workloads.advising import AdviceTurns, WaitingCall
from peridotspoke.workloads.jobs import TaskKey

__all__ = ["AdviceQueue", "AdviceRequest"]


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """What a step asks of the advice service.

    Parameters
    ----------
    key : TaskKey
        Any task of the step.
    lives : dict of str to int
        The incarnation of each executor that is asked about.
    take : callable
        Called with this request, the `TicketGrant`, or None if there is none, and when
        the call was begun, monotonic seconds.
    """

    key: TaskKey
    lives: dict[str, int]
    take: Callable


class AdviceQueue:
    """Makes the calls to the advice service that all pools of a process ask for.

    Parameters
    ----------
    calls : AdviceCalls
    clock : Clock
    """

    def __init__(self, calls, clock):
        self._calls = calls
        self._clock = clock
        self._turns = AdviceTurns()
        self._task = None

    def request(self, owner, since, duration, request):
        """Let a step's call wait for its turn; a later one takes its place.

        Parameters
        ----------
        owner : object
            Names the step among all of this process.
        since : float
            When the step first needed advice, monotonic seconds.
        duration : float
            How long the service takes by the queue's configuration, seconds.
        request : AdviceRequest
        """
        now = self._clock.read_monotonic()
        self._turns.request(WaitingCall(owner, since, now, duration, request))
        self._advance()

    def withdraw(self, owner):
        """Withdraw the call of a step that needs none any more, if it still waits."""
        self._turns.withdraw(owner)

    def _advance(self):
        if self._task is not None:
            return
        call = self._turns.begin_next(self._clock.read_monotonic())
        if call is not None:
            self._task = asyncio.ensure_future(self._make(call.content))

    async def _make(self, request):
        """Make the call whose turn it is, then that of the next."""
        try:
            await self._call(request)
        except Exception as error:
            log_event(
                "advice-failed", "ERROR", job=request.key.job_id, error=repr(error)
            )
        finally:
            self._task = None
            if self._turns.current is not None:
                self._turns.give_up(self._clock.read_monotonic())
        self._advance()

    async def _call(self, request):
        turns, clock = self._turns, self._clock
        begun_at, limit = clock.read_monotonic(), turns.compute_limit()
        job_id = request.key.job_id
        try:
            grant = await self._calls.advise(request.key, tuple(request.lives), limit)
        except PlatformError as error:
            was_received = not isinstance(error, PlatformUnavailableError)
            now = clock.read_monotonic()
            turns.give_up(now, was_received)
            log_event(
                "advice-missing",
                "WARNING",
                job=job_id,
                step=request.key.step,
                asked=len(request.lives),
                limit=limit,
                taken=now - begun_at,
                waiting=turns.count_waiting(),
                error=error,
            )
            request.take(request, None, begun_at)
            return
        now = clock.read_monotonic()
        turns.end(now)
        log_event(
            "advice-given",
            job=job_id,
            step=request.key.step,
            asked=len(request.lives),
            good=len(grant.tickets),
            life=grant.lifetime,
            taken=now - begun_at,
            waiting=turns.count_waiting(),
        )
        request.take(request, grant, begun_at)
