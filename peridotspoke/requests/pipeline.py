"""Joins the filters: admit, claim, queue, choose, forward, conclude."""

import asyncio
import itertools
from collections import Counter

from peridotspoke.requests.concluding import conclude_answer, conclude_refusal
from peridotspoke.requests.messages import (
    AttemptFailure,
    FailureKind,
    Outcome,
    Refusal,
    Reject,
    Start,
    Ticket,
    UpstreamAnswer,
)
from peridotspoke.requests.queueing import Dispatcher
from peridotspoke.requests.retrying import RetryBudget, decide_retry, limit_attempt

__all__ = ["RequestPipeline"]


class _Exchange:
    """One caller's request on its way; `waiting` is its place in the queue."""

    def __init__(self, request):
        self.request = request
        self.left = False
        self.waiting = None


class RequestPipeline:
    """Serves callers' requests with the configuration and routes in force.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock
    random : random.Random
        Gives the jitter of retries.
    forwarder : Forwarder
    shares : SlotShares
    keyed : KeyedRunner
    """

    def __init__(self, settings, clock, random, forwarder, shares, keyed):
        self.outcomes = Counter()
        self.keyed = keyed
        self._settings = settings
        self._clock = clock
        self._random = random
        self._forwarder = forwarder
        self._configuration = None
        self._dispatcher = Dispatcher(settings.zone, shares)
        self._numbers = itertools.count(1)
        self._turns = {}
        self._budgets = {}
        self._timer = None
        shares.subscribe(self._wake)

    @property
    def configuration(self):
        """The `Configuration` in force, or None."""
        return self._configuration

    @configuration.setter
    def configuration(self, configuration):
        self._configuration = configuration
        self._change_routes(self.routes)

    @property
    def routes(self):
        """The `RoutingTable` in force."""
        return self._dispatcher.routes

    @routes.setter
    def routes(self, routes):
        self._change_routes(routes)

    def count_in_flight(self, instance):
        """Return the requests of this entry that `instance` carries."""
        return self._dispatcher.count_in_use(instance)

    def count_running(self):
        """Return the requests of this entry that upstreams carry."""
        return self._dispatcher.count_running()

    async def serve(self, request):
        """Return the `Conclusion` of an `AdmittedRequest`.

        When the caller leaves, which cancels this coroutine, a request that waits
        leaves the queue and is not run; one that runs is left to end, and is not
        tried again.
        """
        exchange = _Exchange(request)
        task = asyncio.ensure_future(self._run(exchange))
        try:
            found = await asyncio.shield(task)
        except asyncio.CancelledError:
            self._leave(exchange)
            raise
        return self.conclude(request.incoming.request_id, found)

    def conclude(self, request_id, found):
        """Return the `Conclusion` of an `UpstreamAnswer` or a `Refusal`."""
        if isinstance(found, Refusal):
            conclusion = conclude_refusal(request_id, found)
        else:
            conclusion = conclude_answer(request_id, found)
        self.outcomes[conclusion.outcome] += 1
        return conclusion

    async def _run(self, exchange):
        request = exchange.request
        if request.key and not request.idempotent:
            return await self.keyed.run(request, lambda: self._send(exchange))
        return await self._send(exchange)

    async def _send(self, exchange):
        """Return the `UpstreamAnswer` or the `Refusal` after the last attempt."""
        request = exchange.request
        service = request.incoming.service
        budget = self._get_budget(service, request.rules.retry_share)
        budget.note_first_try()
        excluded = frozenset()
        failure = None
        may_have_run = False
        for attempts in itertools.count(1):
            turn = await self._wait_for_start(exchange, excluded)
            if isinstance(turn, Reject):
                return _refuse_rejected(turn, failure, may_have_run)
            result = await self._attempt(request, turn, budget)
            if isinstance(result, UpstreamAnswer):
                return result
            failure = result
            may_have_run = may_have_run or result.may_have_run
            excluded |= {turn.upstream.instance}
            now = self._clock.read_monotonic()
            retry = None
            if not exchange.left:
                chance = self._random.random()
                retry = decide_retry(request, result, attempts, budget, now, chance)
            if retry is None:
                return _refuse_failed(result, may_have_run)
            await asyncio.sleep(retry.delay)

    async def _attempt(self, request, start, budget):
        started_at = self._clock.read_monotonic()
        times = self._dispatcher.get_times(request.incoming.service)
        floor = self._settings.attempt_limit
        limit = limit_attempt(request, times, floor, budget, started_at)
        result = AttemptFailure(FailureKind.BROKEN, "the entry instance stopped")
        try:
            result = await self._forwarder.forward(request, start.upstream, limit)
        finally:
            self._finish(request, start, result, started_at)
        return result

    def _finish(self, request, start, result, started_at):
        """Free the slot, at the deadline if the upstream still runs the request."""
        now = self._clock.read_monotonic()
        busy = getattr(result, "upstream_busy", False) and now < request.deadline
        if not busy:
            self._free(start, result, now - started_at)
            return
        loop = asyncio.get_running_loop()
        delay = request.deadline - now
        loop.call_later(delay, self._free, start, result, now - started_at)

    def _free(self, start, result, taken):
        now = self._clock.read_monotonic()
        self._perform(self._dispatcher.finish(start, result, taken, now))

    async def _wait_for_start(self, exchange, excluded):
        """Return the `Start` or the `Reject` of a new ticket."""
        request = exchange.request
        ticket = Ticket(
            number=next(self._numbers),
            service=request.incoming.service,
            idempotent=request.idempotent,
            deadline=request.deadline,
            queue_limit=request.rules.queue_limit,
            overflow=request.rules.overflow,
            excluded=excluded,
        )
        if exchange.left:
            return Reject(ticket, "the caller left", 0)
        now = self._clock.read_monotonic()
        done = self._dispatcher.offer(ticket, now)
        if done:
            return done[0]
        turn = asyncio.get_running_loop().create_future()
        self._turns[ticket.number] = turn
        exchange.waiting = ticket
        self._set_timer(now)
        try:
            return await turn
        finally:
            exchange.waiting = None
            self._turns.pop(ticket.number, None)
            self._dispatcher.withdraw(ticket.number, self._clock.read_monotonic())

    def _leave(self, exchange):
        exchange.left = True
        if exchange.waiting is not None:
            now = self._clock.read_monotonic()
            self._dispatcher.withdraw(exchange.waiting.number, now)
            self._perform([Reject(exchange.waiting, "the caller left", 0)])

    def _change_routes(self, routes):
        spare = self._configuration.get_spare() if self._configuration else ()
        now = self._clock.read_monotonic()
        self._perform(self._dispatcher.change_routes(routes, spare, now))

    def _wake(self):
        """Start or reject what waits, after the shares or the time have changed."""
        self._perform(self._dispatcher.fill(self._clock.read_monotonic()))

    def _perform(self, done):
        """Tell the waiting requests what was decided."""
        for item in done:
            turn = self._turns.pop(item.ticket.number, None)
            if turn is not None and not turn.done():
                turn.set_result(item)
            elif isinstance(item, Start):
                result = AttemptFailure(FailureKind.EXPIRED, "the caller left")
                self._free(item, result, 0.0)

    def _set_timer(self, now):
        """Wake up when the next waiting request can no longer start in time."""
        expiry = self._dispatcher.get_next_expiry()
        if expiry is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, expiry - now), self._expire)

    def _expire(self):
        self._timer = None
        self._wake()
        self._set_timer(self._clock.read_monotonic())

    def _get_budget(self, service, share):
        budget = self._budgets.get(service)
        if budget is None or budget.share != share:
            budget = self._budgets[service] = RetryBudget(share)
        return budget


def _refuse_rejected(reject, failure, may_have_run):
    if may_have_run:
        return _refuse_failed(failure, may_have_run)
    detail = reject.reason if failure is None else f"{reject.reason}; {failure.reason}"
    return Refusal(503, Outcome.NOT_RUN, "Not run", detail, reject.retry_after)


def _refuse_failed(failure, may_have_run):
    if not may_have_run:
        return Refusal(503, Outcome.NOT_RUN, "Not run", failure.reason, 1)
    status = 504 if failure.kind is FailureKind.SILENT else 502
    return Refusal(status, Outcome.UNKNOWN, "Outcome unknown", failure.reason)
