"""Tests of the dispatcher, without I/O."""

import itertools

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.requests import (
    AttemptFailure,
    Dispatcher,
    FailureKind,
    Reject,
    RoutingTable,
    SlotShares,
    Start,
    Ticket,
    UpstreamAnswer,
)
from peridotspoke.requests.tests.entries import make_upstream

scenarios("queueing.feature")

QUEUE_LIMIT = 8
ANSWER = UpstreamAnswer(200, (), b"")
REASONS = {
    "expected wait": "the expected wait is",
    "time left": "too little time is left",
    "queue length": "8 requests wait already",
    "latest start": "the request can't start in time",
}


class ManualShares(SlotShares):
    """Shares that are set by the tests."""

    def __init__(self):
        super().__init__()
        self.slots = {}
        self.wanted = {}

    def get_share(self, upstream, now):
        return self.slots.get(upstream.instance, upstream.slots)

    def record_use(self, upstream, in_use, wanted, now):
        self.wanted[upstream.instance] = wanted


class World:
    """A dispatcher, the current time and the decisions made so far."""

    def __init__(self):
        self.now = 0.0
        self.shares = ManualShares()
        self.dispatcher = Dispatcher("vlbg-a", self.shares)
        self.routes = {}
        self.numbers = itertools.count(1)
        self.overflow = False
        self.decisions = []
        self.last_ticket = None

    def route(self, service, count, slots=8):
        upstreams = tuple(
            make_upstream(f"{service}-{n}", slots=slots) for n in range(count)
        )
        self.routes[service] = upstreams
        self.apply_routes()

    def apply_routes(self):
        self.decisions += self.dispatcher.change_routes(
            RoutingTable(dict(self.routes)), ("common",), self.now
        )

    def offer(self, left, service="feldkirch", overflow=None):
        overflow = self.overflow if overflow is None else overflow
        ticket = Ticket(
            next(self.numbers),
            service,
            True,
            self.now + left,
            QUEUE_LIMIT,
            overflow,
        )
        decisions = self.dispatcher.offer(ticket, self.now)
        self.decisions += decisions
        self.last_ticket = ticket
        return decisions

    def find_last_decisions(self):
        return [item for item in self.decisions if item.ticket is self.last_ticket]


@pytest.fixture
def world():
    """Return the state that the steps share."""
    return World()


@given("a service without upstreams")
def route_without_upstreams(world):
    world.route("feldkirch", 0)


@given("a service with 1 upstream of 0 slots")
def route_without_slots(world):
    world.route("feldkirch", 1)
    world.shares.slots["feldkirch-0"] = 0


@given(
    parsers.parse(
        "a service with 1 upstream of 2 slots whose requests run {seconds:d} s"
    )
)
def route_with_run_time(world, seconds):
    world.route("feldkirch", 1, slots=2)
    world.dispatcher.get_run_times("feldkirch").add(seconds)


@given(parsers.parse("its requests are estimated to run {seconds:d} s"))
def add_run_time(world, seconds):
    world.dispatcher.get_run_times("feldkirch").add(seconds)


@given("its requests have run 1 s 40 times")
def add_constant_run_times(world):
    for _ in range(40):
        add_run_time(world, 1)


@given(parsers.parse("{waiting:d} requests wait and {running:d} run"))
def fill_queue(world, waiting, running):
    for _ in range(waiting + running):
        world.offer(1000)
    assert world.dispatcher.count_waiting("feldkirch") == waiting
    assert world.dispatcher.count_running() == running


@given(
    parsers.parse(
        "the spare pool has 1 upstream with {own:d} of its own requests waiting"
    )
)
def route_spare_upstream(world, own):
    world.route("common", 1)
    world.shares.slots["common-0"] = 1 - own
    for _ in range(own):
        world.offer(1000, "common")


@given(parsers.parse("a service without upstreams that {declares} overflow"))
def declare_overflow(world, declares):
    world.route("feldkirch", 0)
    world.overflow = declares == "declares"
    world.shares.slots["common-0"] = 1
    world.decisions.clear()


@given("the spare pool has 4 upstreams with 2 slots")
def route_spare_pool(world):
    world.route("common", 4, slots=2)


@given("3 competing services whose requests run 1 s, 2 s and 4 s")
def set_run_times(world):
    world.run_times = {"hohenems": 1.0, "dornbirn": 2.0, "lustenau": 4.0}


@given(
    parsers.parse("a service with 4 upstreams, {count:d} of them failing every request")
)
def route_failing_upstreams(world, count):
    world.route("feldkirch", 4)
    world.failing = {f"feldkirch-{number}" for number in range(count)}


@when(parsers.parse("a request with {left:g} s left is offered"))
def offer(world, left):
    world.offer(left)


@when("an upstream is added")
def add_upstream(world):
    world.route("feldkirch", 1)


@when("the share grows to 1 slot")
def grow_share(world):
    world.shares.slots["feldkirch-0"] = 1
    world.decisions += world.dispatcher.fill(world.now)


@when(parsers.parse("{seconds:g} s pass"))
def advance_clock(world, seconds):
    world.now += seconds
    assert world.dispatcher.get_next_expiry() <= world.now
    world.decisions += world.dispatcher.expire(world.now)


@when("one of the waiting requests is withdrawn")
def withdraw(world):
    world.dispatcher.withdraw(world.last_ticket.number, world.now)


@when(parsers.parse("each service keeps {count:d} requests waiting for {seconds:d} s"))
def run_competing_services(world, count, seconds):
    world.slot_time = dict.fromkeys(world.run_times, 0.0)
    running = []
    while world.now < seconds:
        for service in world.run_times:
            while world.dispatcher.count_waiting(service) < count:
                running += _schedule_ends(world, world.offer(1e6, service, True))
        running.sort(key=lambda item: item[0])
        world.now, start = running.pop(0)
        taken = world.run_times[start.ticket.service]
        world.slot_time[start.ticket.service] += taken
        running += _schedule_ends(
            world, world.dispatcher.finish(start, ANSWER, taken, world.now)
        )


def _schedule_ends(world, decisions):
    assert all(isinstance(item, Start) for item in decisions)
    return [
        (world.now + world.run_times[item.ticket.service], item) for item in decisions
    ]


@when("40 bursts of 10 requests arrive in 40 s")
def offer_bursts(world):
    world.failed_count = world.started_count = 0
    for _ in range(40):
        world.now += 1
        burst = [world.offer(4)[0] for _ in range(10)]
        for start in burst:
            assert isinstance(start, Start)
            world.started_count += 1
            fails = start.upstream.instance in world.failing
            world.failed_count += fails
            result = AttemptFailure(FailureKind.BROKEN, "") if fails else ANSWER
            world.dispatcher.finish(start, result, 0.05, world.now)


@then("it waits")
def check_waits(world):
    assert not world.find_last_decisions()


@then(parsers.re(r"(it|the request) starts"))
def check_starts(world):
    (found,) = world.find_last_decisions()
    assert isinstance(found, Start)


@then(parsers.parse("it is rejected for the {reason}"))
def check_rejected(world, reason):
    (found,) = world.find_last_decisions()
    assert isinstance(found, Reject)
    assert REASONS[reason] in found.reason
    assert found.retry_after >= 1
    assert world.now < found.ticket.deadline


@then("a demand of 1 slot is reported")
def check_demand(world):
    assert world.shares.wanted["feldkirch-0"] == 1


@then(
    parsers.parse(
        "the largest share of slot time is at most {ratio:g} times the smallest"
    )
)
def check_fairness(world, ratio):
    assert max(world.slot_time.values()) <= ratio * min(world.slot_time.values()), (
        world.slot_time
    )


@then(parsers.parse("at most {count:d} of them fail"))
def check_failed(world, count):
    assert world.failed_count <= count


@then("all 400 of them start")
def check_all_start(world):
    assert world.started_count == 400
