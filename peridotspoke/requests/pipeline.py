"""Joins the filters: admit, queue, choose, forward, conclude."""

import asyncio
from collections import Counter, deque

from peridotspoke.requests.admission import admit_request
from peridotspoke.requests.choosing import choose_upstream
from peridotspoke.requests.concluding import conclude_answer, conclude_refusal
from peridotspoke.requests.forwarding import AttemptFailure
from peridotspoke.requests.messages import Outcome, Refusal
from peridotspoke.requests.routing import RoutingTable

__all__ = ["RequestPipeline"]


class RequestPipeline:
    """Serves callers' requests with the configuration and routes in force.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock
    forwarder : Forwarder
    shares : SlotShares
    """

    def __init__(self, settings, clock, forwarder, shares):
        self.configuration = None
        self.routes = RoutingTable()
        self.outcomes = Counter()
        self._settings = settings
        self._clock = clock
        self._forwarder = forwarder
        self._shares = shares
        shares.subscribe(self._wake_all)
        self._in_use = Counter()
        self._waiting = {}

    async def serve(self, incoming):
        """Return the `Conclusion` of an `IncomingRequest`."""
        found = admit_request(incoming, self.configuration)
        if not isinstance(found, Refusal):
            found = await self._serve_admitted(found)
        if isinstance(found, Refusal):
            conclusion = conclude_refusal(incoming.request_id, found)
        else:
            conclusion = conclude_answer(incoming.request_id, found)
        self.outcomes[conclusion.outcome] += 1
        return conclusion

    async def _serve_admitted(self, request):
        upstream = await self._take_slot(request)
        if upstream is None:
            return Refusal(
                503, Outcome.NOT_RUN, "No free slot", "the time limit passed", 1
            )
        try:
            result = await self._forwarder.forward(request, upstream)
        finally:
            self._in_use[upstream.instance] -= 1
            self._wake_next(request.incoming.service)
        if not isinstance(result, AttemptFailure):
            return result
        if not result.ran:
            return Refusal(503, Outcome.NOT_RUN, "Not run", result.reason, 1)
        return Refusal(504, Outcome.UNKNOWN, "Outcome unknown", result.reason)

    async def _take_slot(self, request):
        """Return an upstream whose slot is taken, or None after the deadline."""
        service = request.incoming.service
        queue = self._waiting.setdefault(service, deque())
        while True:
            upstreams = self.routes.get_upstreams(service)
            shares = {
                item.instance: self._shares.get_share(
                    item, self._clock.read_monotonic()
                )
                for item in upstreams
            }
            chosen = choose_upstream(
                upstreams, self._in_use, shares, self._settings.zone
            )
            if chosen is not None:
                self._in_use[chosen.instance] += 1
                return chosen
            left = request.deadline - self._clock.read_monotonic()
            if left <= 0:
                return None
            turn = asyncio.get_running_loop().create_future()
            queue.append(turn)
            try:
                async with asyncio.timeout(left):
                    await turn
            except TimeoutError:
                return None

    def count_in_flight(self, instance):
        """Return the requests of this entry that `instance` carries."""
        return self._in_use[instance]

    def _wake_all(self):
        for service in self._waiting:
            self._wake_next(service)

    def _wake_next(self, service):
        queue = self._waiting.get(service)
        while queue:
            turn = queue.popleft()
            if not turn.done():
                turn.set_result(None)
                return
