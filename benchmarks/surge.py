"""What callers are told through surges and a wave of failures, on a fake clock.

Five services of 8 executors with 8 slots each surge in turn to 5 times their mean and
fall to a twentieth in between; one of them is the spare. In a second phase a quarter
of all executors fail whatever they get. The decisions are those of the entry instance::

    python benchmarks/surge.py --seed 1

Prints one line of key=value pairs for each variant and phase. The variants: ``thin``,
the first version (no bound, no admission by deadline, no retry, no overflow);
``no-admission``; ``no-budget``, where retries have no budget; ``no-ejection``;
``neither`` of the last two; ``whole``.
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
SLOTS = 8
RUN_TIME = 0.5  # seconds, the mean
RUN_SPREAD = 0.5  # sigma of the lognormal run times
LIMIT = 2.0  # seconds that a caller waits
LOAD = 0.45  # mean use of a pool's slots
SURGE = 5.0  # times the mean
LULL = 0.05  # times the mean
SURGE_SECONDS = 8.0
IDEMPOTENT_SHARE = 0.5
FAILING = 4  # every fourth executor
FAILURE_SECONDS = 0.02
ANSWER = UpstreamAnswer(200, (), b"")


class _NoAdmission(Dispatcher):
    """Queues without a bound and gives up at the deadline only."""

    def _reject_hopeless(self, ticket, now):
        return None

    def _find_latest_start(self, ticket):
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
    told: Counter = field(default_factory=Counter)
    attempts: int = 0
    wasted: float = 0.0
    used: float = 0.0
    refusal_waits: list = field(default_factory=list)
    spare: Counter = field(default_factory=Counter)


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
        self._rules = RequestsDeclaration(time_limit=LIMIT, overflow=variant.overflow)
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
            self._plan_arrivals(service)
        while self._events:
            now, _, act, *arguments = heapq.heappop(self._events)
            act(now, *arguments)
            expiry = self._dispatcher.get_next_expiry()
            while expiry is not None and (
                not self._events or expiry <= self._events[0][0]
            ):
                self._carry_out(expiry, self._dispatcher.expire(expiry))
                expiry = self._dispatcher.get_next_expiry()
        return self.result

    def _at(self, when, act, *arguments):
        heapq.heappush(self._events, (when, next(self._order), act, *arguments))

    def _plan_arrivals(self, service):
        """Plan a Poisson stream whose rate surges in this service's turn."""
        mean = LOAD * EXECUTORS * SLOTS / RUN_TIME
        own_turn = SERVICES.index(service)
        now = 0.0
        while now < self._seconds:
            turn = int(now / SURGE_SECONDS) % len(SERVICES)
            rate = mean * (SURGE if turn == own_turn else LULL)
            step = self._random.expovariate(rate)
            end = (int(now / SURGE_SECONDS) + 1) * SURGE_SECONDS
            if now + step >= end:
                now = end
                continue
            now += step
            self._at(now, self._arrive, service)

    def _arrive(self, now, service):
        idempotent = self._random.random() < IDEMPOTENT_SHARE
        incoming = IncomingRequest("", service, "", "/", {}, b"", now)
        request = AdmittedRequest(incoming, idempotent, now + LIMIT, self._rules)
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
        self._carry_out(now, self._dispatcher.offer(ticket, now))

    def _carry_out(self, now, done):
        for item in done:
            job = self._jobs.pop(item.ticket.number)
            if isinstance(item, Reject):
                told = "unknown" if job.may_have_run else "refused"
                self._tell(now, job, told)
            else:
                self._start(now, job, item)

    def _start(self, now, job, start: Start):
        job.attempts += 1
        self.result.attempts += 1
        left = job.request.deadline - now
        mean = RUN_TIME / 2.718281828 ** (RUN_SPREAD**2 / 2)
        taken = mean * self._random.lognormvariate(0, RUN_SPREAD)
        number = int(start.upstream.instance.rpartition("-")[2])
        if self._failures and number % FAILING == 0:
            failure = AttemptFailure(FailureKind.BROKEN, "")
            self._at(now + FAILURE_SECONDS, self._end, job, start, failure, now)
        elif taken >= left:
            failure = AttemptFailure(FailureKind.SILENT, "")
            self._at(now + left, self._end, job, start, failure, now)
        else:
            self._at(now + taken, self._end, job, start, ANSWER, now)

    def _end(self, now, job, start, found, started):
        taken = now - started
        service = start.ticket.service
        if start.upstream.instance.startswith(SPARE):
            self.result.spare[service] += taken
        self.result.used += taken
        done = self._dispatcher.finish(start, found, taken, now)
        if found is ANSWER:
            self._tell(now, job, "answered")
        else:
            self.result.wasted += taken
            self._retry(now, job, start, found)
        self._carry_out(now, done)

    def _retry(self, now, job, start, failure):
        job.may_have_run = True
        job.excluded |= {start.upstream.instance}
        budget = self._budgets[start.ticket.service]
        chance = self._random.random()
        retry = decide_retry(job.request, failure, job.attempts, budget, now, chance)
        if retry is None:
            self._tell(now, job, "unknown")
        else:
            self._at(now + retry.delay, self._offer, job)

    def _tell(self, now, job, told):
        self.result.told[told] += 1
        if told == "refused":
            self.result.refusal_waits.append(now - job.request.incoming.received_at)


def _report(variant, phase, seed, result):
    total = result.told.total()
    waits = sorted(result.refusal_waits) or [0.0]
    rivals = [result.spare[name] for name in SERVICES if name != SPARE]
    evenness = min(rivals) / max(rivals) if max(rivals) else 1.0
    print(
        f"variant={variant.name} phase={phase} seed={seed} requests={total} "
        f"answered={result.told['answered'] / total:.4f} "
        f"refused={result.told['refused'] / total:.4f} "
        f"unknown={result.told['unknown'] / total:.4f} "
        f"refused_p50_s={waits[len(waits) // 2]:.3f} "
        f"refused_p99_s={waits[int(len(waits) * 0.99)]:.3f} "
        f"attempts_each={result.attempts / total:.3f} "
        f"wasted_slot_time={result.wasted / result.used:.4f} "
        f"spare_evenness={evenness:.3f}",
        flush=True,
    )


def main(seed=1, seconds=160):
    """Run all variants through `seconds` of surges, without and with failures."""
    for phase, failures in (("surges", False), ("failures", True)):
        for variant in VARIANTS:
            simulation = _Simulation(variant, seed, seconds, failures)
            _report(variant, phase, seed, simulation.run())


if __name__ == "__main__":
    fire.Fire(main)
