"""Queues requests by service and dispatches them to free slots of upstreams."""

import heapq
import math
from collections import Counter, deque

from peridotspoke.requests.choosing import choose_upstream
from peridotspoke.requests.fairness import FairQueue
from peridotspoke.requests.health import UpstreamHealth
from peridotspoke.requests.messages import FailureKind, Reject, Start
from peridotspoke.requests.routing import RoutingTable
from peridotspoke.requests.runtimes import RunTimes

__all__ = ["Dispatcher"]

MIN_START_MARGIN = 0.02  # seconds between a request's start and its deadline
MIN_RETRY_AFTER = 1  # seconds
HTTP_SERVER_ERROR = 500


class Dispatcher:
    """Keeps the request queues of all services and the slots in use, without I/O.

    A request starts, waits in the queue of its service, or is rejected. Methods
    that may decide on requests return a list of decisions, each a `Start` or a
    `Reject`. A started request holds a slot until `finish` is called. The parameter
    `now` is always the monotonic time in seconds.

    Parameters
    ----------
    zone : str
        The entry instance's availability zone.
    shares : SlotShares
        Number of slots that this entry instance may use.
    """

    def __init__(self, zone, shares):
        self.health = UpstreamHealth()
        self.fair_queue = FairQueue()
        self.routes = RoutingTable()
        self._zone = zone
        self._shares = shares
        self._spare_pools = ()
        self._slots_in_use = Counter()
        self._queues = {}  # deques of tickets by service
        self._waiting_tickets = {}  # by number
        self._latest_starts = []  # heap of (monotonic seconds, ticket number)
        self._run_times = {}  # by service
        self._running_requests = Counter()  # by service
        self._expected_slot_times = {}  # seconds by number, of spare slots in use

    def count_in_use(self, instance):
        """Return the number of slots of `instance` that hold a request."""
        return self._slots_in_use[instance]

    def count_running(self):
        """Return the number of requests that hold a slot."""
        return self._running_requests.total()

    def count_waiting(self, service):
        """Return the number of waiting requests of `service`."""
        return len(self._queues.get(service, ()))

    def get_run_times(self, service):
        """Return the `RunTimes` of `service`."""
        return self._run_times.setdefault(service, RunTimes())

    def change_routes(self, routes, spare, now):
        """Replace the routing table and the spare pools.

        Parameters
        ----------
        routes : RoutingTable
        spare : iterable of str
            Names of the spare pools.
        now : float

        Returns
        -------
        list of (Start or Reject)
        """
        self.routes = routes
        self._spare_pools = tuple(spare)
        present = {
            upstream.instance
            for upstreams in routes.upstreams.values()
            for upstream in upstreams
        }
        self.health.retain_only(present)
        return self.fill(now)

    def offer(self, ticket, now):
        """Start, queue or reject a request.

        Parameters
        ----------
        ticket : Ticket
        now : float

        Returns
        -------
        list of (Start or Reject)
            Empty if the request waits.
        """
        if not self._queues.get(ticket.service):
            started = self._try_start(ticket, now)
            if started is not None:
                return [started]
        rejected = self._reject_unservable(ticket, now)
        if rejected is not None:
            return [rejected]
        self._queues.setdefault(ticket.service, deque()).append(ticket)
        self._waiting_tickets[ticket.number] = ticket
        heapq.heappush(
            self._latest_starts, (self._compute_latest_start(ticket), ticket.number)
        )
        self._report_demand(ticket.service, now)
        return []

    def withdraw(self, number, now):
        """Remove a request from its queue; do nothing if it doesn't wait."""
        ticket = self._waiting_tickets.pop(number, None)
        if ticket is not None:
            self._queues[ticket.service].remove(ticket)
            self._report_demand(ticket.service, now)

    def finish(self, start, result, taken, now):
        """Release the slot of a request that has ended, and start waiting requests.

        Parameters
        ----------
        start : Start
        result : UpstreamAnswer or AttemptFailure
        taken : float
            Seconds for which the request held the slot.
        now : float

        Returns
        -------
        list of (Start or Reject)
        """
        service = start.ticket.service
        instance = start.upstream.instance
        self._slots_in_use[instance] -= 1
        self._running_requests[service] -= 1
        if not self._slots_in_use[instance]:
            del self._slots_in_use[instance]
        expected = self._expected_slot_times.pop(start.ticket.number, None)
        if expected is not None:
            self.fair_queue.record_end(service, expected, taken)
        self._record_result(service, instance, result, taken, now)
        self._report_use(start.upstream, 0, now)
        return self.fill(now) if self._waiting_tickets else []

    def fill(self, now):
        """Start all requests that can start, and reject those that are too late.

        Each service first uses its own upstreams; the free slots of the spare pools
        are then divided fairly between the services that declare overflow.
        """
        decisions = self.expire(now)
        for service in list(self._queues):
            decisions += self._start_on_own_pool(service, now)
        while (name := self._choose_borrower(now)) is not None:
            upstream = self._find_spare_upstream(self._queues[name][0], now)
            decisions.append(self._start_head(name, upstream, now, borrowed=True))
        return decisions

    def expire(self, now):
        """Reject the waiting requests that can no longer start in time."""
        decisions = []
        while self._latest_starts and self._latest_starts[0][0] <= now:
            _, number = heapq.heappop(self._latest_starts)
            ticket = self._waiting_tickets.get(number)
            if ticket is not None:
                self.withdraw(number, now)
                decisions.append(
                    self._reject(ticket, "the request can't start in time")
                )
        return decisions

    def get_next_expiry(self):
        """Return the monotonic time for the next call of `expire`, or None."""
        while (
            self._latest_starts
            and self._latest_starts[0][1] not in self._waiting_tickets
        ):
            heapq.heappop(self._latest_starts)
        return self._latest_starts[0][0] if self._latest_starts else None

    def _record_result(self, service, instance, result, taken, now):
        kind = getattr(result, "kind", None)
        if kind is FailureKind.EXPIRED:
            return
        if kind is None or kind is FailureKind.SILENT:
            self.get_run_times(service).add(taken)
        if kind is None and result.status < HTTP_SERVER_ERROR:
            self.health.record_success(instance)
        else:
            self.health.record_failure(instance, now)

    def _try_start(self, ticket, now):
        upstream = self._find_own_upstream(ticket, now)
        if upstream is not None:
            return self._start(ticket, upstream, now)
        upstream = self._find_spare_upstream(ticket, now)
        if upstream is not None:
            return self._start(ticket, upstream, now, borrowed=True)
        return None

    def _start_on_own_pool(self, service, now):
        decisions = []
        queue = self._queues[service]
        while queue:
            upstream = self._find_own_upstream(queue[0], now)
            if upstream is None:
                break
            decisions.append(self._start_head(service, upstream, now))
        return decisions

    def _choose_borrower(self, now):
        """Return the service whose first request gets a free spare slot, or None."""
        if not self._spare_pools or not self._waiting_tickets:
            return None
        startable = [
            service
            for service, queue in self._queues.items()
            if queue and self._find_spare_upstream(queue[0], now) is not None
        ]
        return self.fair_queue.choose(startable) if startable else None

    def _start_head(self, service, upstream, now, borrowed=False):
        ticket = self._queues[service][0]
        self.withdraw(ticket.number, now)
        return self._start(ticket, upstream, now, borrowed)

    def _start(self, ticket, upstream, now, borrowed=False):
        self._slots_in_use[upstream.instance] += 1
        self._running_requests[ticket.service] += 1
        self.health.record_start(upstream.instance)
        if borrowed:
            expected = self.get_run_times(ticket.service).mean
            self._expected_slot_times[ticket.number] = expected
            self.fair_queue.record_start(ticket.service, expected)
        self._report_use(upstream, 0, now)
        return Start(ticket, upstream)

    def _find_own_upstream(self, ticket, now):
        return self._choose_upstream(
            self.routes.get_upstreams(ticket.service), ticket, now
        )

    def _find_spare_upstream(self, ticket, now):
        """Return a free upstream of a spare pool, or None.

        Requests of the spare pool itself have priority over those of borrowers.
        """
        if not ticket.overflow:
            return None
        for pool in self._spare_pools:
            if pool != ticket.service and not self._queues.get(pool):
                upstream = self._choose_upstream(
                    self.routes.get_upstreams(pool), ticket, now
                )
                if upstream is not None:
                    return upstream
        return None

    def _choose_upstream(self, upstreams, ticket, now):
        usable = self.health.list_usable(upstreams, ticket.idempotent, now)
        excluded = ticket.excluded
        if excluded and all(item.instance in excluded for item in usable):
            excluded = frozenset()
        return choose_upstream(
            usable, self._slots_in_use, self._shares, self._zone, now, excluded
        )

    def _reject_unservable(self, ticket, now):
        """Return a `Reject` if the queue is full or the wait too long, or None."""
        waiting = self.count_waiting(ticket.service)
        if waiting >= ticket.queue_limit:
            return self._reject(ticket, f"{waiting} requests wait already")
        if now >= self._compute_latest_start(ticket):
            return self._reject(ticket, "too little time is left to run the request")
        wait = self._estimate_wait(ticket, now)
        if now + wait > self._compute_latest_start(ticket):
            return self._reject(ticket, f"the expected wait is {wait:.3f} s")
        return None

    def _compute_latest_start(self, ticket):
        """Return the monotonic time until which the request may start."""
        # The estimate is corrected only by requests that run. If none runs, the
        # estimate is ignored, or one that is too high would reject every request.
        if not self._running_requests[ticket.service]:
            return ticket.deadline - MIN_START_MARGIN
        expected = self.get_run_times(ticket.service).estimate_typical_limit()
        return ticket.deadline - max(MIN_START_MARGIN, expected)

    def _estimate_wait(self, ticket, now):
        """Return the expected wait for a slot in seconds; 0 if it is unknown."""
        slots = self._count_slots(ticket, now)
        if not slots:
            return 0.0
        ahead = self.count_waiting(ticket.service) + 1
        return ahead * self.get_run_times(ticket.service).mean / slots

    def _count_slots(self, ticket, now):
        upstreams = self.routes.get_upstreams(ticket.service)
        slots = sum(self._shares.get_share(item, now) for item in upstreams)
        if not ticket.overflow:
            return slots
        spare_slots = sum(
            self._shares.get_share(item, now)
            for pool in self._spare_pools
            if pool != ticket.service
            for item in self.routes.get_upstreams(pool)
        )
        sharing_services = 1 + sum(1 for queue in self._queues.values() if queue)
        return slots + spare_slots / sharing_services

    def _reject(self, ticket, reason):
        waiting = self.count_waiting(ticket.service)
        mean = self.get_run_times(ticket.service).mean
        slots = max(1, self._running_requests[ticket.service])
        seconds = math.ceil(waiting * mean / slots)
        return Reject(ticket, reason, max(MIN_RETRY_AFTER, seconds))

    def _report_demand(self, service, now):
        """Report the waiting requests to the shares of all upstreams that may run them.

        Upstreams of the spare pools are included.
        """
        waiting = self.count_waiting(service)
        for upstream in self.routes.get_upstreams(service):
            self._report_use(upstream, waiting, now)
        borrowing = sum(
            len(queue)
            for name, queue in self._queues.items()
            if queue and queue[0].overflow and name not in self._spare_pools
        )
        for pool in (
            self._spare_pools if borrowing or service in self._spare_pools else ()
        ):
            spare_waiting = borrowing + self.count_waiting(pool)
            for upstream in self.routes.get_upstreams(pool):
                self._report_use(upstream, spare_waiting, now)

    def _report_use(self, upstream, waiting, now):
        in_use = self._slots_in_use[upstream.instance]
        self._shares.record_use(upstream, in_use, in_use + waiting, now)
