"""Outcomes of requests in surges and while executors fail, on a fake clock.

Five services have 8 executors of 8 slots each. Their load surges in turn to 5 times
the mean and falls to a twentieth in between; one of them is the spare. In a second
phase a quarter of all executors fail every attempt. The decisions are made by the
classes of the entry instance::

    python benchmarks/surge.py --seed 1

Prints one line of key=value pairs for each variant and phase. The variants are
``thin``, the first version (no queue limit, no admission by deadline, no retry, no
overflow, no ejection); ``no-admission`` (no queue limit, no admission by deadline);
``no-budget``, where retries have no budget; ``no-ejection``; ``neither`` budget nor
ejection; and ``whole``, with everything.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import fire

from peridotspoke.declarations.schema import RequestsDeclaration
from peridotspoke.requests import (
    AdmittedRequest,
    AttemptFailure,
    Dispatcher,
    FailureKind,
    FixedShares,
    IncomingRequest,
    Reject,
    RetryBudget,
    RoutingTable,
    Start,
    Ticket,
    Upstream,
    UpstreamAnswer,
    decide_retry,
)

SERVICES = ("hohenems", "dornbirn", "lustenau", "feldkirch", "common")
SPARE = "common"
EXECUTORS = 8  # for each service
SLOTS = 8  # of each executor
RUN_TIME = 0.5  # seconds, the mean
RUN_SPREAD = 0.5  # sigma of the lognormal run times
TIME_LIMIT = 2.0  # seconds that a caller waits
LOAD = 0.45  # mean share of a pool's slots in use
SURGE_FACTOR = 5.0  # times the mean
LULL_FACTOR = 0.05  # times the mean
SURGE_SECONDS = 8.0
IDEMPOTENT_SHARE = 0.5  # of the requests
FAILING_EVERY = 4  # one executor in so many fails
FAILURE_SECONDS = 0.02  # from the start of an attempt to its failure
ANSWER = UpstreamAnswer(200, (), b"")


class _NoAdmission(Dispatcher):
    """Queues without a limit and rejects requests at their deadline only."""

    def _reject_unservable(self, ticket, now):
        return None

    def _compute_latest_start(self, ticket):
        return ticket.deadline


class _NoBudget(RetryBudget):
    """Allows every retry."""

    def take(self):
        return True


class _NoRetry(RetryBudget):
    """Allows no retry."""

    def take(self):
        return False


@dataclass(frozen=True)
class _Variant:
    name: str
    dispatcher: type
    budget: type
    overflow: bool
    ejects: bool = True


VARIANTS = (
    _Variant("thin", _NoAdmission, _NoRetry, False, ejects=False),
    _Variant("no-admission", _NoAdmission, RetryBudget, True),
    _Variant("no-budget", Dispatcher, _NoBudget, True),
    _Variant("no-ejection", Dispatcher, RetryBudget, True, ejects=False),
    _Variant("neither", Dispatcher, _NoBudget, True, ejects=False),
    _Variant("whole", Dispatcher, RetryBudget, True),
)


@dataclass
class _Job:
    request: AdmittedRequest
    attempts: int = 0
    excluded: frozenset = frozenset()
    may_have_run: bool = False


@dataclass
class _Result:
    outcomes: Counter = field(default_factory=Counter)
    attempts: int = 0
    wasted_time: float = 0.0
    used_time: float = 0.0
    refusal_waits: list = field(default_factory=list)
    spare_time: Counter = field(default_factory=Counter)


class _Simulation:
    """Runs one variant through the arrivals of one seed."""

    def __init__(self, variant, seed, seconds, failures):
        self._variant = variant
        self._random = random.Random(seed)
        self._seconds = seconds
        self._failures = failures
        self._dispatcher = variant.dispatcher("z", FixedShares(1))
        if not variant.ejects:
            self._dispatcher.health.record_failure = lambda instance, now: None
        self._budgets = {name: variant.budget(0.1) for name in SERVICES}
        self._events = []
        self._order = itertools.count()
        self._jobs = {}
        self._rules = RequestsDeclaration(
            time_limit=TIME_LIMIT, overflow=variant.overflow
        )
        self.result = _Result()

    def run(self):
        routes = {
            name: tuple(
                Upstream(f"{name}-{n}", "", "z", "r", SLOTS, 64)
                for n in range(EXECUTORS)
            )
            for name in SERVICES
        }
        self._dispatcher.change_routes(RoutingTable(routes), (SPARE,), 0.0)
        for service in SERVICES:
            self._schedule_arrivals(service)
        while self._events:
            now, _, handler, *arguments = heapq.heappop(self._events)
            handler(now, *arguments)
            expiry = self._dispatcher.get_next_expiry()
            while expiry is not None and (
                not self._events or expiry <= self._events[0][0]
            ):
                self._apply_decisions(expiry, self._dispatcher.expire(expiry))
                expiry = self._dispatcher.get_next_expiry()
        return self.result

    def _schedule(self, when, handler, *arguments):
        heapq.heappush(self._events, (when, next(self._order), handler, *arguments))

    def _schedule_arrivals(self, service):
        """Schedule Poisson arrivals whose rate surges in this service's turn."""
        mean = LOAD * EXECUTORS * SLOTS / RUN_TIME
        own_turn = SERVICES.index(service)
        now = 0.0
        while now < self._seconds:
            turn = int(now / SURGE_SECONDS) % len(SERVICES)
            rate = mean * (SURGE_FACTOR if turn == own_turn else LULL_FACTOR)
            step = self._random.expovariate(rate)
            end = (int(now / SURGE_SECONDS) + 1) * SURGE_SECONDS
            if now + step >= end:
                now = end
                continue
            now += step
            self._schedule(now, self._arrive, service)

    def _arrive(self, now, service):
        idempotent = self._random.random() < IDEMPOTENT_SHARE
        incoming = IncomingRequest("", service, "", "/", {}, b"", now)
        request = AdmittedRequest(incoming, idempotent, now + TIME_LIMIT, self._rules)
        self._budgets[service].record_first_attempt()
        self._offer(now, _Job(request))

    def _offer(self, now, job):
        request = job.request
        ticket = Ticket(
            next(self._order),
            request.incoming.service,
            request.idempotent,
            request.deadline,
            request.rules.queue_limit,
            request.rules.overflow,
            job.excluded,
        )
        self._jobs[ticket.number] = job
        self._apply_decisions(now, self._dispatcher.offer(ticket, now))

    def _apply_decisions(self, now, decisions):
        for decision in decisions:
            job = self._jobs.pop(decision.ticket.number)
            if isinstance(decision, Reject):
                outcome = "unknown" if job.may_have_run else "refused"
                self._record_outcome(now, job, outcome)
            else:
                self._start(now, job, decision)

    def _start(self, now, job, start: Start):
        job.attempts += 1
        self.result.attempts += 1
        time_left = job.request.deadline - now
        mean = RUN_TIME / 2.718281828 ** (RUN_SPREAD**2 / 2)
        elapsed = mean * self._random.lognormvariate(0, RUN_SPREAD)
        number = int(start.upstream.instance.rpartition("-")[2])
        if self._failures and number % FAILING_EVERY == 0:
            failure = AttemptFailure(FailureKind.BROKEN, "")
            self._schedule(now + FAILURE_SECONDS, self._end, job, start, failure, now)
        elif elapsed >= time_left:
            failure = AttemptFailure(FailureKind.SILENT, "")
            self._schedule(now + time_left, self._end, job, start, failure, now)
        else:
            self._schedule(now + elapsed, self._end, job, start, ANSWER, now)

    def _end(self, now, job, start, attempt_result, started):
        elapsed = now - started
        service = start.ticket.service
        if start.upstream.instance.startswith(SPARE):
            self.result.spare_time[service] += elapsed
        self.result.used_time += elapsed
        decisions = self._dispatcher.finish(start, attempt_result, elapsed, now)
        if attempt_result is ANSWER:
            self._record_outcome(now, job, "answered")
        else:
            self.result.wasted_time += elapsed
            self._retry(now, job, start, attempt_result)
        self._apply_decisions(now, decisions)

    def _retry(self, now, job, start, failure):
        job.may_have_run = True
        job.excluded |= {start.upstream.instance}
        budget = self._budgets[start.ticket.service]
        chance = self._random.random()
        retry = decide_retry(job.request, failure, job.attempts, budget, now, chance)
        if retry is None:
            self._record_outcome(now, job, "unknown")
        else:
            self._schedule(now + retry.delay, self._offer, job)

    def _record_outcome(self, now, job, outcome):
        self.result.outcomes[outcome] += 1
        if outcome == "refused":
            self.result.refusal_waits.append(now - job.request.incoming.received_at)


def _report(variant, phase, seed, result):
    total = result.outcomes.total()
    waits = sorted(result.refusal_waits) or [0.0]
    borrowers = [result.spare_time[name] for name in SERVICES if name != SPARE]
    evenness = min(borrowers) / max(borrowers) if max(borrowers) else 1.0
    print(
        f"variant={variant.name} phase={phase} seed={seed} requests={total} "
        f"answered={result.outcomes['answered'] / total:.4f} "
        f"refused={result.outcomes['refused'] / total:.4f} "
        f"unknown={result.outcomes['unknown'] / total:.4f} "
        f"refused_p50_s={waits[len(waits) // 2]:.3f} "
        f"refused_p99_s={waits[int(len(waits) * 0.99)]:.3f} "
        f"attempts_each={result.attempts / total:.3f} "
        f"wasted_slot_time={result.wasted_time / result.used_time:.4f} "
        f"spare_evenness={evenness:.3f}",
        flush=True,
    )


def main(seed=1, seconds=160):
    """Run each variant for `seconds` simulated seconds, without and with failures."""
    for phase, failures in (("surges", False), ("failures", True)):
        for variant in VARIANTS:
            simulation = _Simulation(variant, seed, seconds, failures)
            _report(variant, phase, seed, simulation.run())


if __name__ == "__main__":
    fire.Fire(main)
