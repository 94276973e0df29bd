"""Sessions with executors: they hold what runs there and gather the reports."""

import asyncio
from dataclasses import dataclass

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.nodes.messages import (
    ExecutorLeft,
    Fenced,
    ReportArrived,
    StartAnswered,
    StartLost,
    StopAnswered,
    Unreachable,
)
from peridotspoke.workloads.executors import HoldOrder, Refusal, StartOrder

__all__ = ["ClockBounds", "ExecutorSession", "SessionRules"]

DRIFT = 0.02  # of an executor's clock, from the platform's protocol
MILLISECONDS = 1000


class ClockBounds:
    """Bounds of the difference between an executor's clock and the own one.

    Examples
    --------
    >>> bounds = ClockBounds()
    >>> bounds.update(50_000, asked_at=9.0, answered_at=10.0)
    >>> bounds.lowest(10.0), bounds.to_executor(10.0, 5.0)
    (40.0, 55000)
    """

    def __init__(self):
        self._lowest = None
        self._updated_at = 0.0

    @property
    def is_known(self):
        """Whether any answer has told the executor's clock."""
        return self._lowest is not None

    def update(self, clock, asked_at, answered_at):
        """Take in a clock in milliseconds, read between two own times in seconds."""
        lowest = clock / MILLISECONDS - answered_at
        if self._lowest is None:
            self._lowest = lowest
        else:
            self._lowest = max(lowest, self.lowest(answered_at))
        self._updated_at = answered_at

    def lowest(self, now):
        """Return the least seconds that the executor's clock is ahead."""
        return self._lowest - DRIFT * (now - self._updated_at)

    def to_executor(self, now, seconds):
        """Return the executor's time, milliseconds, at most `seconds` from `now`."""
        return int((now + seconds + self.lowest(now)) * MILLISECONDS)


@dataclass(frozen=True, slots=True)
class SessionRules:
    """Times of a session in seconds.

    Parameters
    ----------
    hold : float
        Lease on what runs.
    look : float
        How long the executor may wait with its lists while something runs.
    idle : float
        Between two looks at an executor that runs nothing.
    retry : float
        Between two tries while it does not answer.
    pause : float
        Least time between two looks.
    """

    hold: float
    look: float = 1.0
    idle: float = 3.0
    retry: float = 0.3
    pause: float = 0.04


class ExecutorSession:
    """Owns the calls to one executor; reports to the supervisor by messages.

    Parameters
    ----------
    state : ExecutorState
        Read for what runs there and which ends are noted; changed by the supervisor
        alone.
    calls : ExecutorCalls
    fence : int
    rules : SessionRules
    clock : Clock
    may_extend : callable
        Returns whether leases may still be extended.
    post : callable
        Takes a message.
    note_extension : callable
        Called with the executor and the time until which a lease may last, before
        the call that grants it is sent.
    """

    def __init__(
        self, state, calls, fence, rules, clock, may_extend, post, note_extension
    ):
        self._state = state
        self._calls = calls
        self._fence = fence
        self._rules = rules
        self._clock = clock
        self._may_extend = may_extend
        self._post = post
        self._note_extension = note_extension
        self._bounds = ClockBounds()
        self._born = 0
        self._failures = 0
        self._kick = asyncio.Event()

    @property
    def executor_id(self):
        """The executor's identity."""
        return self._state.executor_id

    def kick(self):
        """Look at the executor soon, since something changes there."""
        self._kick.set()

    async def run(self):
        """Look at the executor again and again until cancelled."""
        try:
            while True:
                answered = await self._look()
                await self._wait(answered)
        finally:
            await self._calls.close()

    async def start(self, run):
        """Send a run's start and post its outcome."""
        now = self._clock.read_monotonic()
        if not self._bounds.is_known or not self._may_extend():
            self._post(StartAnswered(run, Refusal.LATE))
            return
        order = StartOrder(
            run.key,
            run.number,
            run.progress.job.spec,
            self._extend(now),
            self._fence,
            run.task.checkpoint,
            run.ticket,
        )
        try:
            refusal = await self._calls.start(order)
        except AnswerLostError:
            self._post(StartLost(run))
            return
        except PlatformUnavailableError as error:
            self._post(Unreachable(self.executor_id, error.message))
            self._post(StartAnswered(run, Refusal.UNHEALTHY))
            return
        if refusal is Refusal.FENCED:
            self._post(Fenced(self.executor_id))
        self._post(StartAnswered(run, refusal))
        self.kick()

    async def stop(self, order, is_due):
        """Send a stop until it is answered, or not due any more."""
        while is_due(self.executor_id, order):
            try:
                refusal = await self._calls.stop(order)
            except (AnswerLostError, PlatformUnavailableError):
                await asyncio.sleep(self._rules.retry)
                continue
            if refusal is Refusal.FENCED:
                self._post(Fenced(self.executor_id))
            elif refusal is Refusal.UNHEALTHY:
                await asyncio.sleep(self._rules.retry)
                continue
            else:
                self._post(StopAnswered(self.executor_id, order))
            self.kick()
            return

    async def pace(self, order):
        """Send a pace order; it is repeated by the supervisor where it is lost."""
        try:
            await self._calls.pace(order)
        except (AnswerLostError, PlatformUnavailableError) as error:
            self._post(Unreachable(self.executor_id, error.message))

    def _extend(self, now):
        self._note_extension(self.executor_id, now + self._rules.hold)
        return self._bounds.to_executor(now, self._rules.hold)

    async def look_now(self):
        """Ask for the lists without a wait, beside the look that may be waiting."""
        asked_at = self._clock.read_monotonic()
        order = HoldOrder(self._fence, self._state.noted)
        try:
            report = await self._calls.hold(order)
        except (AnswerLostError, PlatformUnavailableError) as error:
            self._post(Unreachable(self.executor_id, error.message))
            return
        if report.refusal is None:
            self._post(ReportArrived(self.executor_id, report, asked_at))

    async def _look(self):
        asked_at = self._clock.read_monotonic()
        until = None
        if self._failures == 0 and self._bounds.is_known and self._may_extend():
            until = self._extend(asked_at)
        busy = bool(self._state.runs) and self._bounds.is_known
        wait = self._rules.look if busy and self._failures == 0 else 0.0
        order = HoldOrder(self._fence, self._state.noted, until, wait)
        try:
            report = await self._calls.hold(order)
        except (AnswerLostError, PlatformUnavailableError) as error:
            return self._note_failure(error)
        if report.refusal is not None:
            return self._note_refusal(report.refusal)
        self._failures = 0
        self._note_clock(report, asked_at)
        self._post(ReportArrived(self.executor_id, report, asked_at))
        return True

    def _note_clock(self, report, asked_at):
        now = self._clock.read_monotonic()
        if report.born != self._born:
            self._born = report.born
            self._bounds = ClockBounds()
        self._bounds.update(report.clock, asked_at, now)

    def _note_failure(self, error):
        self._failures += 1
        refused = isinstance(error, PlatformUnavailableError)
        if refused and self._has_announced_leave():
            self._post(ExecutorLeft(self.executor_id))
        self._post(Unreachable(self.executor_id, error.message))
        return False

    def _has_announced_leave(self):
        state = self._state
        last = state.last_entry
        return state.entry is None and last is not None and last.remaining is not None

    def _note_refusal(self, refusal):
        self._failures += 1
        if refusal is Refusal.FENCED:
            self._post(Fenced(self.executor_id))
        else:
            if refusal is Refusal.OTHER_INCARNATION:
                self._post(ExecutorLeft(self.executor_id))
            self._post(Unreachable(self.executor_id, str(refusal)))
        return False

    async def _wait(self, answered):
        if not answered:
            first = self._failures == 1
            await asyncio.sleep(self._rules.pause if first else self._rules.retry)
            return
        if self._state.runs:
            await asyncio.sleep(self._rules.pause)
            return
        self._kick.clear()
        try:
            async with asyncio.timeout(self._rules.idle):
                await self._kick.wait()
        except TimeoutError:
            return
