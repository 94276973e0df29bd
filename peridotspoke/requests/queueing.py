"""Decides which request starts on which upstream, which waits and which can't."""

import heapq
import math
from collections import Counter, deque

from peridotspoke.requests.choosing import choose_upstream
from peridotspoke.requests.fairness import FairTurns
from peridotspoke.requests.health import UpstreamHealth
from peridotspoke.requests.messages import FailureKind, Reject, Start
from peridotspoke.requests.routing import RoutingTable
from peridotspoke.requests.runtimes import RunTimes

__all__ = ["Dispatcher"]

ANSWER_MARGIN = 0.02  # seconds
SHORTEST_RETRY_AFTER = 1  # seconds
HTTP_SERVER_ERROR = 500


class Dispatcher:
    """The queues of all services and the slots in use, without I/O.

    Each method takes the monotonic time in seconds; those that may let requests
    start or end return a list of `Start` and `Reject`. A request that starts holds
    a slot until `finish`.

    Parameters
    ----------
    zone : str
        The entry instance's availability zone.
    shares : SlotShares
    """

    def __init__(self, zone, shares):
        self.health = UpstreamHealth()
        self.turns = FairTurns()
        self.routes = RoutingTable()
        self._zone = zone
        self._shares = shares
        self._spare = ()
        self._in_use = Counter()
        self._queues = {}
        self._waiting = {}
        self._latest_starts = []
        self._times = {}
        self._running = Counter()
        self._borrowed = {}

    def count_in_use(self, instance):
        """Return the slots of `instance` that carry a request."""
        return self._in_use[instance]

    def count_running(self):
        """Return the number of requests that hold a slot."""
        return self._running.total()

    def count_waiting(self, service):
        """Return the number of requests of `service` that wait."""
        return len(self._queues.get(service, ()))

    def get_times(self, service):
        """Return the `RunTimes` of `service`."""
        return self._times.setdefault(service, RunTimes())

    def change_routes(self, routes, spare, now):
        """Take a `RoutingTable` and the names of the spare pools into force."""
        self.routes = routes
        self._spare = tuple(spare)
        known = {item.instance for found in routes.upstreams.values() for item in found}
        self.health.forget_absent(known)
        return self.fill(now)

    def offer(self, ticket, now):
        """Take a request: it starts, waits or is rejected."""
        if not self._queues.get(ticket.service):
            started = self._try_start(ticket, now)
            if started is not None:
                return [started]
        rejected = self._reject_hopeless(ticket, now)
        if rejected is not None:
            return [rejected]
        self._queues.setdefault(ticket.service, deque()).append(ticket)
        self._waiting[ticket.number] = ticket
        heapq.heappush(
            self._latest_starts, (self._find_latest_start(ticket), ticket.number)
        )
        self._note_demand(ticket.service, now)
        return []

    def withdraw(self, number, now):
        """Drop a waiting request whose caller has left."""
        ticket = self._waiting.pop(number, None)
        if ticket is not None:
            self._queues[ticket.service].remove(ticket)
            self._note_demand(ticket.service, now)

    def finish(self, start, result, taken, now):
        """Free the slot of `start` after `taken` seconds.

        Parameters
        ----------
        start : Start
        result : UpstreamAnswer or AttemptFailure
        taken : float
            Seconds that the slot was held.
        now : float
        """
        service = start.ticket.service
        instance = start.upstream.instance
        self._in_use[instance] -= 1
        self._running[service] -= 1
        if not self._in_use[instance]:
            del self._in_use[instance]
        expected = self._borrowed.pop(start.ticket.number, None)
        if expected is not None:
            self.turns.note_end(service, expected, taken)
        self._note_result(service, instance, result, taken, now)
        self._note_use(start.upstream, 0, now)
        return self.fill(now) if self._waiting else []

    def fill(self, now):
        """Start what can start now, and reject what no longer can in time."""
        done = self.expire(now)
        for service in list(self._queues):
            done += self._fill_own(service, now)
        while (name := self._choose_borrower(now)) is not None:
            upstream = self._find_spare(self._queues[name][0], now)
            done.append(self._start_first(name, upstream, now, borrowed=True))
        return done

    def expire(self, now):
        """Reject the requests whose latest start has passed."""
        done = []
        while self._latest_starts and self._latest_starts[0][0] <= now:
            _, number = heapq.heappop(self._latest_starts)
            ticket = self._waiting.get(number)
            if ticket is not None:
                self.withdraw(number, now)
                done.append(self._reject(ticket, "the request can't start in time"))
        return done

    def get_next_expiry(self):
        """Return when `expire` is to be called next, or None."""
        while self._latest_starts and self._latest_starts[0][1] not in self._waiting:
            heapq.heappop(self._latest_starts)
        return self._latest_starts[0][0] if self._latest_starts else None

    def _note_result(self, service, instance, result, taken, now):
        kind = getattr(result, "kind", None)
        if kind is FailureKind.EXPIRED:
            return
        if kind is None or kind is FailureKind.SILENT:
            self.get_times(service).add(taken)
        if kind is None and result.status < HTTP_SERVER_ERROR:
            self.health.note_success(instance)
        else:
            self.health.note_failure(instance, now)

    def _try_start(self, ticket, now):
        upstream = self._find_own(ticket, now)
        if upstream is not None:
            return self._start(ticket, upstream, now)
        upstream = self._find_spare(ticket, now)
        if upstream is not None:
            return self._start(ticket, upstream, now, borrowed=True)
        return None

    def _fill_own(self, service, now):
        done = []
        queue = self._queues[service]
        while queue:
            upstream = self._find_own(queue[0], now)
            if upstream is None:
                break
            done.append(self._start_first(service, upstream, now))
        return done

    def _choose_borrower(self, now):
        """Return the service whose first request gets a free slot of the spare."""
        if not self._spare or not self._waiting:
            return None
        able = [
            service
            for service, queue in self._queues.items()
            if queue and self._find_spare(queue[0], now) is not None
        ]
        return self.turns.choose(able) if able else None

    def _start_first(self, service, upstream, now, borrowed=False):
        ticket = self._queues[service][0]
        self.withdraw(ticket.number, now)
        return self._start(ticket, upstream, now, borrowed)

    def _start(self, ticket, upstream, now, borrowed=False):
        self._in_use[upstream.instance] += 1
        self._running[ticket.service] += 1
        self.health.note_start(upstream.instance)
        if borrowed:
            expected = self.get_times(ticket.service).mean
            self._borrowed[ticket.number] = expected
            self.turns.note_start(ticket.service, expected)
        self._note_use(upstream, 0, now)
        return Start(ticket, upstream)

    def _find_own(self, ticket, now):
        return self._choose(self.routes.get_upstreams(ticket.service), ticket, now)

    def _find_spare(self, ticket, now):
        """Return a spare's free upstream; the spare's own requests go before."""
        if not ticket.overflow:
            return None
        for pool in self._spare:
            if pool != ticket.service and not self._queues.get(pool):
                found = self._choose(self.routes.get_upstreams(pool), ticket, now)
                if found is not None:
                    return found
        return None

    def _choose(self, upstreams, ticket, now):
        usable = self.health.list_usable(upstreams, ticket.idempotent, now)
        excluded = ticket.excluded
        if excluded and all(item.instance in excluded for item in usable):
            excluded = frozenset()
        return choose_upstream(
            usable, self._in_use, self._shares, self._zone, now, excluded
        )

    def _reject_hopeless(self, ticket, now):
        waiting = self.count_waiting(ticket.service)
        if waiting >= ticket.queue_limit:
            return self._reject(ticket, f"{waiting} requests wait already")
        if now >= self._find_latest_start(ticket):
            return self._reject(ticket, "too little time is left to run the request")
        wait = self._estimate_wait(ticket, now)
        if now + wait > self._find_latest_start(ticket):
            return self._reject(ticket, f"the expected wait is {wait:.3f} s")
        return None

    def _find_latest_start(self, ticket):
        # Without a running request nothing would renew a wrong estimate, so the
        # next one is tried whatever the estimate says.
        if not self._running[ticket.service]:
            return ticket.deadline - ANSWER_MARGIN
        expected = self.get_times(ticket.service).estimate_most()
        return ticket.deadline - max(ANSWER_MARGIN, expected)

    def _estimate_wait(self, ticket, now):
        """Return the expected seconds until a slot is free; 0 where unknown."""
        slots = self._count_slots(ticket, now)
        if not slots:
            return 0.0
        ahead = self.count_waiting(ticket.service) + 1
        return ahead * self.get_times(ticket.service).mean / slots

    def _count_slots(self, ticket, now):
        upstreams = self.routes.get_upstreams(ticket.service)
        slots = sum(self._shares.get_share(item, now) for item in upstreams)
        if not ticket.overflow:
            return slots
        lent = sum(
            self._shares.get_share(item, now)
            for pool in self._spare
            if pool != ticket.service
            for item in self.routes.get_upstreams(pool)
        )
        sharers = 1 + sum(1 for queue in self._queues.values() if queue)
        return slots + lent / sharers

    def _reject(self, ticket, reason):
        waiting = self.count_waiting(ticket.service)
        mean = self.get_times(ticket.service).mean
        slots = max(1, self._running[ticket.service])
        seconds = math.ceil(waiting * mean / slots)
        return Reject(ticket, reason, max(SHORTEST_RETRY_AFTER, seconds))

    def _note_demand(self, service, now):
        waiting = self.count_waiting(service)
        for upstream in self.routes.get_upstreams(service):
            self._note_use(upstream, waiting, now)
        borrowers = sum(
            len(queue)
            for name, queue in self._queues.items()
            if queue and queue[0].overflow and name not in self._spare
        )
        for pool in self._spare if borrowers or service in self._spare else ():
            wanted = borrowers + self.count_waiting(pool)
            for upstream in self.routes.get_upstreams(pool):
                self._note_use(upstream, wanted, now)

    def _note_use(self, upstream, waiting, now):
        in_use = self._in_use[upstream.instance]
        self._shares.note_use(upstream, in_use, in_use + waiting, now)
