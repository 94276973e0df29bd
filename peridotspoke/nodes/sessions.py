"""Sessions with executors, which extend the leases of runs and collect reports.

An executor stops a run whose lease is not extended in time. A poll extends the leases
of all its runs and returns its report: the lists of what runs there and what ended.
"""

import asyncio
from dataclasses import dataclass, replace

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
from peridotspoke.workloads.runs import RunPhase

__all__ = ["ExecutorSession", "SessionRules"]

WITHHELD_POLL_WAIT_S = 0.1  # of a poll that extends no lease: the next one may


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
        changes it, but for its fencing token, which is chosen as a call is sent.
    calls : ExecutorCalls
        Closed when `run` ends.
    find_fence : callable
        Returns the highest fencing token that this owner may send.
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
        find_fence,
        rules,
        clock,
        may_order,
        find_lease_limit,
        post,
        record_lease_end,
    ):
        self._state = state
        self._calls = calls
        self._find_fence = find_fence
        self._rules = rules
        self._clock = clock
        self._may_order = may_order
        self._find_lease_limit = find_lease_limit
        self._post = post
        self._record_lease_end = record_lease_end
        self._clock_bounds = ClockBounds()
        self._incarnation = 0
        self._failures = 0
        self._forgotten = (0, 0)  # incarnation, and number of its last forgotten end
        self._cursor_call = None
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
        without a call, where `_may_start` says so. A call that lets the executor forget
        ends is waited for: the end of this run could be one of them.
        """
        while self._cursor_call is not None:
            await asyncio.wait([self._cursor_call])
        now = self._clock.read_monotonic()
        fence = self._choose_fence()
        if not self._may_start(run, now):
            self._post(StartAnswered(run, Refusal.LATE))
            self.wake()
            return
        bounds = self._clock_bounds
        order = StartOrder(
            run.key,
            run.number,
            run.progress.job.spec,
            self._extend_leases(now),
            fence,
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
        self._note_fenced(answer.refusal, fence)
        by_known_incarnation = (
            answer.clock is not None
            and self._incarnation == self._state.incarnation
            and bounds.contain(answer.clock, now, self._clock.read_monotonic())
        )
        self._post(StartAnswered(run, answer.refusal, by_known_incarnation))
        self.wake()

    def _may_start(self, run, now):
        """Return whether a start may be sent to the incarnation that it is meant for.

        It may not while the clock of that incarnation is unknown, or a higher fencing
        token is due, or orders may not be sent, or no lease of full length granted; nor
        once the run is to be stopped, or its executor drains or has another session.
        """
        state = self._state
        if self._is_closed or state.is_draining or run.phase is RunPhase.STOPPING:
            return False
        has_full_lease = self._find_lease_limit() >= now + self._rules.run_lease
        is_meant = run.task.incarnation == state.incarnation and state.is_announced
        is_known = self._knows_clock() and state.has_own_fence
        return self._may_order() and has_full_lease and is_meant and is_known

    def _choose_fence(self):
        return self._state.choose_fence(self._find_fence())

    def _note_fenced(self, refusal, fence):
        """Post that another owner has the pool, if a call's refusal shows that.

        An executor also refuses calls that it receives after one that was sent later
        with a higher fencing token of this owner.
        """
        if refusal is Refusal.FENCED and fence >= self._state.fence:
            self._post(Fenced(self.executor_id))

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
            fence, incarnation = self._choose_fence(), self._state.incarnation
            try:
                refusal = await self._calls.stop(replace(order, fence=fence))
            except (AnswerLostError, PlatformUnavailableError):
                await asyncio.sleep(self._rules.retry)
                continue
            self._note_fenced(refusal, fence)
            has_changed = incarnation != self._state.incarnation
            if has_changed or refusal in (Refusal.UNHEALTHY, Refusal.FENCED):
                await asyncio.sleep(self._rules.retry)
                continue
            self._post(StopAnswered(self.executor_id, order, refusal, incarnation))
            self.wake()
            return

    async def throttle(self, order):
        """Send a `ThrottleOrder` once; the supervisor repeats one that was lost."""
        if not self._may_order():
            return
        try:
            await self._calls.throttle(replace(order, fence=self._choose_fence()))
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

        This call extends no leases and lets no ends be forgotten.
        """
        asked_at = self._clock.read_monotonic()
        order = LeaseRenewal(self._choose_fence(), 0)
        try:
            report = await self._calls.renew_leases(order)
        except (AnswerLostError, PlatformUnavailableError) as error:
            self._post(ExecutorCallFailed(self.executor_id, error.message))
            return
        if report.refusal is None:
            self._post(ReportArrived(self.executor_id, report, asked_at, order.fence))

    def _choose_cursor(self):
        """Return the number of the last ended run that the executor may forget.

        The numbers of ended runs start anew in each incarnation. So 0, which lets
        nothing be forgotten, is returned while a run may be carried out by a later
        incarnation than the one that this call is meant for: the call may be carried
        out there as well, after that run's end. It is also returned once the executor
        has forgotten all of these ends, as each call may be carried out late.
        """
        state = self._state
        if (state.incarnation, state.acknowledged) == self._forgotten:
            return 0
        if self._failures or self._incarnation != state.incarnation:
            return 0
        if state.has_unconfirmed_run or not state.has_own_fence:
            return 0
        return state.acknowledged

    async def _renew_leases(self, order):
        """Send a `LeaseRenewal`; starts wait for one that lets ends be forgotten.

        One without an answer may be carried out after the start of a later run, unless
        that start has a higher fencing token.
        """
        if not order.cursor:
            return await self._calls.renew_leases(order)
        incarnation = self._state.incarnation
        self._cursor_call = asyncio.ensure_future(self._calls.renew_leases(order))
        try:
            report = await self._cursor_call
        except PlatformUnavailableError:
            raise
        except (AnswerLostError, asyncio.CancelledError):
            self._state.renew_fence()
            raise
        finally:
            self._cursor_call = None
        if report.refusal is None and report.incarnation == incarnation:
            self._forgotten = (incarnation, order.cursor)
        return report

    async def _poll(self):
        asked_at = self._clock.read_monotonic()
        order = self._make_renewal(asked_at)
        incarnation = self._state.incarnation
        try:
            report = await self._renew_leases(order)
        except (AnswerLostError, PlatformUnavailableError) as error:
            return self._handle_failure(error)
        if report.refusal is not None:
            return self._handle_refusal(report.refusal, incarnation, order.fence)
        self._failures = 0
        self._update_clock_bounds(report, asked_at)
        self._post(ReportArrived(self.executor_id, report, asked_at, order.fence))
        return True

    def _make_renewal(self, now):
        """Return the `LeaseRenewal` of the next poll, and record what it extends."""
        state, fence, lease_end_ms = self._state, self._choose_fence(), None
        has_answered = state.has_own_fence or state.answered_at is not None
        may_extend = has_answered and self._find_lease_limit() > now
        if self._failures == 0 and self._knows_clock() and may_extend:
            lease_end_ms = self._extend_leases(now)
        busy = bool(state.runs) and self._clock_bounds.is_known
        wait = self._rules.poll_wait if busy and self._failures == 0 else 0.0
        if lease_end_ms is None:
            wait = min(wait, WITHHELD_POLL_WAIT_S)
        cursor = self._choose_cursor()
        return LeaseRenewal(fence, cursor, lease_end_ms, 0.0 if cursor else wait)

    def _update_clock_bounds(self, report, asked_at):
        now = self._clock.read_monotonic()
        if report.incarnation != self._incarnation:
            self._incarnation = report.incarnation
            self._clock_bounds = ClockBounds()
        self._clock_bounds.update(report.clock, asked_at, now)

    def _handle_failure(self, error):
        self._failures += 1
        self._post(ExecutorCallFailed(self.executor_id, error.message))
        return False

    def _handle_refusal(self, refusal, incarnation, fence):
        self._failures += 1
        self._note_fenced(refusal, fence)
        if refusal is not Refusal.FENCED:
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
