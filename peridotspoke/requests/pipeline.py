"""Request pipeline: claims, queues, sends and retries requests."""

import asyncio
import itertools
from collections import Counter

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
from peridotspoke.requests.responses import (
    build_answer_response,
    build_refusal_response,
)
from peridotspoke.requests.retrying import (
    RetryBudget,
    compute_attempt_timeout,
    decide_retry,
)

__all__ = ["RequestPipeline"]


class _PendingRequest:
    """State of a request until its answer is known."""

    def __init__(self, request):
        self.request = request
        self.is_abandoned = False  # whether the caller has left
        self.queued_ticket = None  # set while the request waits in a queue


class RequestPipeline:
    """Serves requests according to the current configuration and routing table.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock
    random : random.Random
        Source of the jitter of retries.
    forwarder : Forwarder
    shares : SlotShares
    keyed : IdempotentRunner
        Runs requests with an Idempotency-Key.
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
        self._ticket_numbers = itertools.count(1)
        self._decision_futures = {}
        self._retry_budgets = {}
        self._timer = None
        shares.subscribe(self._update_queues)

    @property
    def configuration(self):
        """Current `Configuration`, or None before the first one."""
        return self._configuration

    @configuration.setter
    def configuration(self, configuration):
        self._configuration = configuration
        self._change_routes(self.routes)

    @property
    def routes(self):
        """Current `RoutingTable`."""
        return self._dispatcher.routes

    @routes.setter
    def routes(self, routes):
        self._change_routes(routes)

    def count_in_flight(self, instance):
        """Return the number of slots of `instance` that hold a request."""
        return self._dispatcher.count_in_use(instance)

    def count_running(self):
        """Return the number of requests that hold a slot."""
        return self._dispatcher.count_running()

    async def serve(self, request):
        """Run a request and return the response to its caller.

        This coroutine is cancelled when the caller disconnects. A waiting request
        is then removed from its queue and not run. A running request is not
        interrupted, but it isn't retried either.

        Parameters
        ----------
        request : AdmittedRequest

        Returns
        -------
        Response
        """
        pending = _PendingRequest(request)
        task = asyncio.ensure_future(self._run(pending))
        try:
            result = await asyncio.shield(task)
        except asyncio.CancelledError:
            self._abandon(pending)
            raise
        return self.build_response(request.incoming.request_id, result)

    def build_response(self, request_id, found):
        """Build the response to a caller, and count its outcome.

        Parameters
        ----------
        request_id : str
        found : UpstreamAnswer or Refusal
            Result of the request.

        Returns
        -------
        Response
        """
        if isinstance(found, Refusal):
            response = build_refusal_response(request_id, found)
        else:
            response = build_answer_response(request_id, found)
        self.outcomes[response.outcome] += 1
        return response

    async def _run(self, pending):
        request = pending.request
        if request.key and not request.idempotent:
            return await self.keyed.run(request, lambda: self._send(pending))
        return await self._send(pending)

    async def _send(self, pending):
        """Make attempts until one is answered or no retry is allowed.

        Returns
        -------
        UpstreamAnswer or Refusal
        """
        request = pending.request
        service = request.incoming.service
        budget = self._get_retry_budget(service, request.rules.retry_share)
        budget.record_first_attempt()
        excluded = frozenset()
        failure = None
        may_have_run = False
        for attempts in itertools.count(1):
            decision = await self._wait_for_start(pending, excluded)
            if isinstance(decision, Reject):
                return _refuse_rejected(decision, failure, may_have_run)
            result = await self._attempt(request, decision, budget)
            if isinstance(result, UpstreamAnswer):
                return result
            failure = result
            may_have_run = may_have_run or result.may_have_run
            excluded |= {decision.upstream.instance}
            now = self._clock.read_monotonic()
            retry = None
            if not pending.is_abandoned:
                chance = self._random.random()
                retry = decide_retry(request, result, attempts, budget, now, chance)
            if retry is None:
                return _refuse_failed(result, may_have_run)
            await asyncio.sleep(retry.delay)

    async def _attempt(self, request, start, budget):
        started_at = self._clock.read_monotonic()
        times = self._dispatcher.get_run_times(request.incoming.service)
        floor = self._settings.attempt_limit
        limit = compute_attempt_timeout(request, times, floor, budget, started_at)
        result = AttemptFailure(FailureKind.BROKEN, "the entry instance stopped")
        try:
            result = await self._forwarder.forward(request, start.upstream, limit)
        finally:
            self._end_attempt(request, start, result, started_at)
        return result

    def _end_attempt(self, request, start, result, started_at):
        """Release the slot: at the request's deadline if the upstream is still busy."""
        now = self._clock.read_monotonic()
        busy = getattr(result, "upstream_busy", False) and now < request.deadline
        if not busy:
            self._release_slot(start, result, now - started_at)
            return
        loop = asyncio.get_running_loop()
        delay = request.deadline - now
        loop.call_later(delay, self._release_slot, start, result, now - started_at)

    def _release_slot(self, start, result, taken):
        now = self._clock.read_monotonic()
        self._deliver(self._dispatcher.finish(start, result, taken, now))

    async def _wait_for_start(self, pending, excluded):
        """Queue a new ticket and return the `Start` or `Reject` that it gets."""
        request = pending.request
        ticket = Ticket(
            number=next(self._ticket_numbers),
            service=request.incoming.service,
            idempotent=request.idempotent,
            deadline=request.deadline,
            queue_limit=request.rules.queue_limit,
            overflow=request.rules.overflow,
            excluded=excluded,
        )
        if pending.is_abandoned:
            return Reject(ticket, "the caller left", 0)
        now = self._clock.read_monotonic()
        decisions = self._dispatcher.offer(ticket, now)
        if decisions:
            return decisions[0]
        future = asyncio.get_running_loop().create_future()
        self._decision_futures[ticket.number] = future
        pending.queued_ticket = ticket
        self._schedule_expiry(now)
        try:
            return await future
        finally:
            pending.queued_ticket = None
            self._decision_futures.pop(ticket.number, None)
            self._dispatcher.withdraw(ticket.number, self._clock.read_monotonic())

    def _abandon(self, pending):
        pending.is_abandoned = True
        if pending.queued_ticket is not None:
            now = self._clock.read_monotonic()
            self._dispatcher.withdraw(pending.queued_ticket.number, now)
            self._deliver([Reject(pending.queued_ticket, "the caller left", 0)])

    def _change_routes(self, routes):
        spare = self._configuration.list_spare_services() if self._configuration else ()
        now = self._clock.read_monotonic()
        self._deliver(self._dispatcher.change_routes(routes, spare, now))

    def _update_queues(self):
        """Start or reject waiting requests after a change of shares or of the time."""
        self._deliver(self._dispatcher.fill(self._clock.read_monotonic()))

    def _deliver(self, decisions):
        """Deliver decisions to the requests that wait for them.

        If the caller has left in the meantime, a start only releases its slot.
        """
        for decision in decisions:
            future = self._decision_futures.pop(decision.ticket.number, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, Start):
                result = AttemptFailure(FailureKind.EXPIRED, "the caller left")
                self._release_slot(decision, result, 0.0)

    def _schedule_expiry(self, now):
        """Set the timer for the time when the next waiting request expires."""
        expiry = self._dispatcher.get_next_expiry()
        if expiry is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, expiry - now), self._expire)

    def _expire(self):
        self._timer = None
        self._update_queues()
        self._schedule_expiry(self._clock.read_monotonic())

    def _get_retry_budget(self, service, share):
        budget = self._retry_budgets.get(service)
        if budget is None or budget.share != share:
            budget = self._retry_budgets[service] = RetryBudget(share)
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
