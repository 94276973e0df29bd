"""Sessions with executors, which extend the leases of runs and collect reports.

An executor stops a run whose lease is not extended in time. A poll extends the leases
of all its runs and returns its report: the lists of what runs there and what ended.
"""

import asyncio
from dataclasses import dataclass

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.nodes.clockbounds import ClockBounds
from peridotspoke.nodes.messages import (
    ExecutorCallFailed,
    ExecutorLeft,
    Fenced,
    ReportArrived,
    StartAnswered,
    StartLost,
    StopAnswered,
)
from peridotspoke.workloads.executors import LeaseRenewal, Refusal, StartOrder

__all__ = ["ExecutorSession", "SessionRules"]

WITHHELD_POLL_WAIT_S = 0.1  # of a poll that extends no lease: the next one may
RECENT_ANSWER_S = 0.2  # less than an executor's restart and a run on it take


@dataclass(frozen=True, slots=True)
class SessionRules:
    """Durations that a session uses, in seconds.

    Parameters
    ----------
    run_lease : float
        Duration of the leases of runs, from each extension.
    poll_wait : float
        How long the executor may delay its report (long polling) while it runs
        something.
    idle_interval : float
        Interval between polls of an executor that runs nothing.
    retry : float
        Delay between attempts while the executor does not answer.
    min_interval : float
        Minimum interval between polls.
    call : float
        Limit of a call, in addition to the wait that it asks for.
    """

    run_lease: float
    poll_wait: float = 1.0
    idle_interval: float = 3.0
    retry: float = 0.3
    min_interval: float = 0.04
    call: float = 0.7


class ExecutorSession:
    """Makes the calls to one executor and posts the results to the supervisor.

    Parameters
    ----------
    state : ExecutorState
        Gives the runs on the executor and the acknowledged ends. Only the supervisor
        changes it.
    calls : ExecutorCalls
        Closed when `run` ends.
    fence : int
        Sent with each order.
    rules : SessionRules
    clock : Clock
    may_order : callable
        Returns whether this node may still send orders. Called just before each order
        is sent, since the process may have been paused after the order was planned.
    find_lease_limit : callable
        Returns until when the leases of runs may last, monotonic seconds; minus
        infinity if none may be granted.
    post : callable
        Called with each message to the supervisor.
    record_lease_end : callable
        Called with the executor's identity and the monotonic time until which a lease
        may last, before the call that grants it is sent.
    """

    def __init__(
        self,
        state,
        calls,
        fence,
        rules,
        clock,
        may_order,
        find_lease_limit,
        post,
        record_lease_end,
    ):
        self._state = state
        self._calls = calls
        self._fence = fence
        self._rules = rules
        self._clock = clock
        self._may_order = may_order
        self._find_lease_limit = find_lease_limit
        self._post = post
        self._record_lease_end = record_lease_end
        self._clock_bounds = ClockBounds()
        self._incarnation = 0
        self._failures = 0
        self._answered_at = float("-inf")
        self._forgotten = (0, 0)  # incarnation, and number of its last forgotten end
        self._forgetful_calls = {}  # task to the incarnation that it is meant for
        self._lost_calls = {}  # incarnation to when its lost calls count as over
        self._is_closed = False
        self._wake = asyncio.Event()

    @property
    def executor_id(self):
        """The executor's identity."""
        return self._state.executor_id

    def follows(self, state):
        """Return whether this is the session of an `ExecutorState`."""
        return self._state is state

    def wake(self):
        """Poll an idle executor without waiting for the interval to end."""
        self._wake.set()

    async def run(self):
        """Poll the executor until cancelled."""
        self._is_closed = False
        try:
            while True:
                answered = await self._poll()
                await self._wait_for_next_poll(answered)
        finally:
            self._is_closed = True
            await self._calls.close()

    async def start(self, run):
        """Send the order to start a run, once, and post its outcome.

        Posts `StartLost` where the outcome is unknown. The order is refused as late,
        without a call, while the clock of the executor's incarnation is unknown, or
        orders may not be sent, or no lease of full length may be granted. Likewise
        while a call under way could make a new incarnation forget the end of this run.
        """
        now = self._clock.read_monotonic()
        has_full_lease = self._find_lease_limit() >= now + self._rules.run_lease
        may_send = self._may_order() and has_full_lease
        if not self._knows_clock() or not may_send or self._may_forget(now):
            self._post(StartAnswered(run, Refusal.LATE))
            self.wake()
            return
        bounds = self._clock_bounds
        order = StartOrder(
            run.key,
            run.number,
            run.progress.job.spec,
            self._extend_leases(now),
            self._fence,
            run.task.checkpoint,
            run.ticket,
        )
        try:
            answer = await self._calls.start(order)
        except AnswerLostError:
            self._post(StartLost(run))
            return
        except PlatformUnavailableError as error:
            self._post(ExecutorCallFailed(self.executor_id, error.message))
            self._post(StartAnswered(run, Refusal.UNHEALTHY))
            return
        if answer.refusal is Refusal.FENCED:
            self._post(Fenced(self.executor_id))
        by_known_incarnation = (
            answer.clock is not None
            and self._incarnation == self._state.incarnation
            and bounds.contain(answer.clock, now, self._clock.read_monotonic())
        )
        if answer.refusal is None and not by_known_incarnation:
            for call in self._forgetful_calls:
                call.cancel()
        self._post(StartAnswered(run, answer.refusal, by_known_incarnation))
        self.wake()

    async def stop(self, order, is_due):
        """Send the order to stop a run until it is answered or no longer due.

        Nothing is sent while this node may not order. It ends with the session, as the
        executor may have another address by then.

        Parameters
        ----------
        order : StopOrder
        is_due : callable
            Called with the executor's identity and the order.
        """
        while not self._is_closed and is_due(self.executor_id, order):
            if not self._may_order():
                await asyncio.sleep(self._rules.retry)
                continue
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
                self._post(StopAnswered(self.executor_id, order, refusal))
            self.wake()
            return

    async def throttle(self, order):
        """Send a `ThrottleOrder` once; the supervisor repeats one that was lost."""
        if not self._may_order():
            return
        try:
            await self._calls.throttle(order)
        except (AnswerLostError, PlatformUnavailableError) as error:
            self._post(ExecutorCallFailed(self.executor_id, error.message))

    def _knows_clock(self):
        """Return whether the clock of the executor's present incarnation is known.

        An executor's reports may leave its incarnation out, which is 0 then.
        """
        is_present = self._incarnation in (0, self._state.incarnation)
        return self._clock_bounds.is_known and is_present

    def _extend_leases(self, now):
        """Return the end of the leases that may be granted, on the executor's clock."""
        duration = min(self._rules.run_lease, self._find_lease_limit() - now)
        self._record_lease_end(self.executor_id, now + duration)
        return self._clock_bounds.to_executor_time(now, duration)

    async def request_report(self):
        """Request a report at once, even while a poll is waiting for one.

        This call does not extend leases.
        """
        asked_at = self._clock.read_monotonic()
        order = LeaseRenewal(self._fence, self._choose_cursor(asked_at))
        try:
            report = await self._renew_leases(order)
        except (AnswerLostError, PlatformUnavailableError) as error:
            self._post(ExecutorCallFailed(self.executor_id, error.message))
            return
        if report.refusal is None:
            self._post(ReportArrived(self.executor_id, report, asked_at))

    def _choose_cursor(self, now):
        """Return the number of the last ended run that the executor may forget.

        The numbers of ended runs start anew in each incarnation. So 0, which lets
        nothing be forgotten, is returned while the executor may have restarted and
        run something since its last answer: the cursor would make the new incarnation
        forget ends that were never reported. It is also returned once the executor has
        forgotten all of these ends, as each call may be carried out late.
        """
        acknowledged = (self._state.incarnation, self._state.acknowledged)
        if acknowledged == self._forgotten:
            return 0
        has_recent_answer = now - self._answered_at < RECENT_ANSWER_S
        if self._failures or self._incarnation != self._state.incarnation:
            return 0
        if self._state.has_unconfirmed_run and not has_recent_answer:
            return 0
        return self._state.acknowledged

    def _may_forget(self, now):
        """Return whether a call that is meant for another life may still arrive.

        One that has got no answer counts until its limit has passed.
        """
        present = self._state.incarnation
        self._lost_calls = {
            incarnation: until
            for incarnation, until in self._lost_calls.items()
            if now < until
        }
        others = {*self._forgetful_calls.values(), *self._lost_calls} - {present}
        return bool(others)

    async def _renew_leases(self, order):
        """Send a `LeaseRenewal`, and record what its call can let be forgotten."""
        if not order.cursor:
            return await self._calls.renew_leases(order)
        incarnation = self._state.incarnation
        limit = self._clock.read_monotonic() + self._rules.call + order.wait
        call = asyncio.ensure_future(self._calls.renew_leases(order))
        self._forgetful_calls[call] = incarnation
        try:
            report = await call
        except AnswerLostError:
            self._lost_calls[incarnation] = limit
            raise
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            self._lost_calls[incarnation] = limit
            raise AnswerLostError(
                "cancelled as another incarnation may have answered",
                step="renew leases",
                peer=self.executor_id,
            ) from None
        finally:
            del self._forgetful_calls[call]
        if report.refusal is None and report.incarnation == incarnation:
            self._forgotten = (incarnation, order.cursor)
        return report

    async def _poll(self):
        asked_at = self._clock.read_monotonic()
        lease_end_ms = None
        may_extend = self._find_lease_limit() > asked_at
        if self._failures == 0 and self._knows_clock() and may_extend:
            lease_end_ms = self._extend_leases(asked_at)
        busy = bool(self._state.runs) and self._clock_bounds.is_known
        wait = self._rules.poll_wait if busy and self._failures == 0 else 0.0
        if lease_end_ms is None:
            wait = min(wait, WITHHELD_POLL_WAIT_S)
        cursor = self._choose_cursor(asked_at)
        order = LeaseRenewal(self._fence, cursor, lease_end_ms, wait)
        incarnation = self._state.incarnation
        try:
            report = await self._renew_leases(order)
        except (AnswerLostError, PlatformUnavailableError) as error:
            return self._handle_failure(error)
        if report.refusal is not None:
            return self._handle_refusal(report.refusal, incarnation)
        self._failures = 0
        self._update_clock_bounds(report, asked_at)
        self._post(ReportArrived(self.executor_id, report, asked_at))
        return True

    def _update_clock_bounds(self, report, asked_at):
        now = self._answered_at = self._clock.read_monotonic()
        if report.incarnation != self._incarnation:
            self._incarnation = report.incarnation
            self._clock_bounds = ClockBounds()
        self._clock_bounds.update(report.clock, asked_at, now)

    def _handle_failure(self, error):
        self._failures += 1
        self._post(ExecutorCallFailed(self.executor_id, error.message))
        return False

    def _handle_refusal(self, refusal, incarnation):
        self._failures += 1
        if refusal is Refusal.FENCED:
            self._post(Fenced(self.executor_id))
        else:
            if refusal is Refusal.OTHER_INCARNATION:
                address = self._calls.address
                self._post(ExecutorLeft(self.executor_id, address, incarnation))
            self._post(ExecutorCallFailed(self.executor_id, str(refusal)))
        return False

    async def _wait_for_next_poll(self, answered):
        if not answered:
            is_first_failure = self._failures == 1
            await asyncio.sleep(
                self._rules.min_interval if is_first_failure else self._rules.retry
            )
            return
        if self._state.runs:
            await asyncio.sleep(self._rules.min_interval)
            return
        self._wake.clear()
        try:
            async with asyncio.timeout(self._rules.idle_interval):
                await self._wake.wait()
        except TimeoutError:
            return
