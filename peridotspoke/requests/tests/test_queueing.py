"""Queueing, without I/O."""

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
    "time that is left": "too little time is left",
    "queue's length": "8 requests wait already",
    "start": "the request can't start in time",
}


class GivenShares(SlotShares):
    """Shares that a test sets."""

    def __init__(self):
        super().__init__()
        self.slots = {}
        self.wanted = {}

    def get_share(self, upstream, now):
        return self.slots.get(upstream.instance, upstream.slots)

    def note_use(self, upstream, in_use, wanted, now):
        self.wanted[upstream.instance] = wanted


class World:
    """A dispatcher and its time."""

    def __init__(self):
        self.now = 0.0
        self.shares = GivenShares()
        self.dispatcher = Dispatcher("vlbg-a", self.shares)
        self.routes = {}
        self.numbers = itertools.count(1)
        self.overflow = False
        self.done = []
        self.last = None

    def route(self, service, count, slots=8):
        found = tuple(
            make_upstream(f"{service}-{n}", slots=slots) for n in range(count)
        )
        self.routes[service] = found
        self.apply_routes()

    def apply_routes(self):
        self.done += self.dispatcher.change_routes(
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
        done = self.dispatcher.offer(ticket, self.now)
        self.done += done
        self.last = ticket
        return done

    def find_last(self):
        return [item for item in self.done if item.ticket is self.last]


@pytest.fixture
def world():
    """Return what the steps share."""
    return World()


@given("a service without upstreams")
def no_upstreams(world):
    world.route("feldkirch", 0)


@given("a service with 1 upstream of 0 slots")
def no_share(world):
    world.route("feldkirch", 1)
    world.shares.slots["feldkirch-0"] = 0


@given(
    parsers.parse(
        "a service with 1 upstream of 2 slots whose requests run {seconds:d} s"
    )
)
def known_times(world, seconds):
    world.route("feldkirch", 1, slots=2)
    world.dispatcher.get_times("feldkirch").add(seconds)


@given(parsers.parse("its requests are thought to run {seconds:d} s"))
def think(world, seconds):
    world.dispatcher.get_times("feldkirch").add(seconds)


@given("its requests have run 1 s 40 times")
def run_evenly(world):
    for _ in range(40):
        think(world, 1)


@given(parsers.parse("{waiting:d} requests wait and {running:d} run"))
def fill_queue(world, waiting, running):
    for _ in range(waiting + running):
        world.offer(1000)
    assert world.dispatcher.count_waiting("feldkirch") == waiting
    assert world.dispatcher.count_running() == running


@given(
    parsers.parse("the spare has 1 upstream with {own:d} of its own requests waiting")
)
def spare_upstream(world, own):
    world.route("common", 1)
    world.shares.slots["common-0"] = 1 - own
    for _ in range(own):
        world.offer(1000, "common")


@given(parsers.parse("a service without upstreams that {declares} overflow"))
def overflowing(world, declares):
    world.route("feldkirch", 0)
    world.overflow = declares == "declares"
    world.shares.slots["common-0"] = 1
    world.done.clear()


@given("the spare has 4 upstreams with 2 slots")
def spare_pool(world):
    world.route("common", 4, slots=2)


@given("3 rivals whose requests run 1 s, 2 s and 4 s")
def rivals(world):
    world.runs = {"hohenems": 1.0, "dornbirn": 2.0, "lustenau": 4.0}


@given(parsers.parse("a service with 4 upstreams of which {count:d} fails all it gets"))
def failing(world, count):
    world.route("feldkirch", 4)
    world.failing = {f"feldkirch-{number}" for number in range(count)}


@when(parsers.parse("a request with {left:g} s left is offered"))
def offer(world, left):
    world.offer(left)


@when("an upstream appears")
def appear(world):
    world.route("feldkirch", 1)


@when("the share grows to 1 slot")
def grow(world):
    world.shares.slots["feldkirch-0"] = 1
    world.done += world.dispatcher.fill(world.now)


@when(parsers.parse("{seconds:g} s pass"))
def wait(world, seconds):
    world.now += seconds
    assert world.dispatcher.get_next_expiry() <= world.now
    world.done += world.dispatcher.expire(world.now)


@when("one of the waiting callers leaves")
def leave(world):
    world.dispatcher.withdraw(world.last.number, world.now)


@when(parsers.parse("each rival keeps {count:d} requests waiting for {seconds:d} s"))
def compete(world, count, seconds):
    world.used = dict.fromkeys(world.runs, 0.0)
    running = []
    while world.now < seconds:
        for service in world.runs:
            while world.dispatcher.count_waiting(service) < count:
                running += _note_starts(world, world.offer(1e6, service, True))
        running.sort(key=lambda item: item[0])
        world.now, start = running.pop(0)
        taken = world.runs[start.ticket.service]
        world.used[start.ticket.service] += taken
        running += _note_starts(
            world, world.dispatcher.finish(start, ANSWER, taken, world.now)
        )


def _note_starts(world, done):
    assert all(isinstance(item, Start) for item in done)
    return [(world.now + world.runs[item.ticket.service], item) for item in done]


@when("40 bursts of 10 requests come in 40 s")
def come(world):
    world.failed = world.started = 0
    for _ in range(40):
        world.now += 1
        burst = [world.offer(4)[0] for _ in range(10)]
        for start in burst:
            assert isinstance(start, Start)
            world.started += 1
            fails = start.upstream.instance in world.failing
            world.failed += fails
            result = AttemptFailure(FailureKind.BROKEN, "") if fails else ANSWER
            world.dispatcher.finish(start, result, 0.05, world.now)


@then("it waits")
def check_waits(world):
    assert not world.find_last()


@then(parsers.re(r"(it|the request) starts"))
def check_starts(world):
    (found,) = world.find_last()
    assert isinstance(found, Start)


@then(parsers.parse("it is refused for the {reason}"))
def check_refused(world, reason):
    (found,) = world.find_last()
    assert isinstance(found, Reject)
    assert REASONS[reason] in found.reason
    assert found.retry_after >= 1
    assert world.now < found.ticket.deadline


@then("the lender is told that 1 slot is wanted")
def check_wanted(world):
    assert world.shares.wanted["feldkirch-0"] == 1


@then(
    parsers.parse(
        "the largest share of slot time is at most {ratio:g} times the smallest"
    )
)
def check_even(world, ratio):
    assert max(world.used.values()) <= ratio * min(world.used.values()), world.used


@then(parsers.parse("at most {count:d} of them fail"))
def check_failed(world, count):
    assert world.failed <= count


@then("all 400 of them start")
def check_all_start(world):
    assert world.started == 400
