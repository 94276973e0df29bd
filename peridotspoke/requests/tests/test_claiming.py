"""Tests of requests with an Idempotency-Key."""

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.requests import Outcome
from peridotspoke.requests.tests.keys import (
    FaultInjector,
    Fleet,
    get_outcome,
    make_answer,
    make_refusal,
)

scenarios("claiming.feature")


class World:
    """Entry instances, the number of runs and the result of the last request."""

    def __init__(self, runner):
        self.run = runner.run
        self.faults = FaultInjector()
        self.fleet = Fleet(self.faults)
        self.runs = 0
        self.result = None

    def make_sender(self, outcome="answered", started=None, release=None):
        async def send():
            if outcome == "not-run":
                return make_refusal(Outcome.NOT_RUN)
            self.runs += 1
            answer = make_answer(self.runs)
            if release is not None:
                started.set()
                await release.wait()
            return answer if outcome == "answered" else make_refusal(Outcome.UNKNOWN)

        return send

    async def request(self, entry, send=None, **fields):
        request = self.fleet.make_request(**fields)
        return await self.fleet.entries[entry].run(request, send or self.make_sender())


@pytest.fixture
def world(runner):
    """Return the state that the steps share."""
    return World(runner)


@given("entry instances one and two")
def start_entries(world):
    async def start_all():
        world.fleet.start_entry("one")
        world.fleet.start_entry("two")

    world.run(start_all())


@given(parsers.parse("the first request at entry one {ended}"))
def run_first_request(world, ended):
    end, _, event = ended.partition(", then one ")
    outcome = {
        "was not run": "not-run",
        "ended with unknown outcome": "unknown",
    }.get(end, "answered")
    world.still_running = end == "is still running"
    if event == "evicts the answer":
        _restart(world, max_entries=1)
    if not world.still_running:
        world.first_result = world.run(world.request("one", world.make_sender(outcome)))
    if event == "evicts the answer":
        world.run(world.request("one", key="another"))
        world.runs = 1
    if event == "becomes unreachable":
        world.fleet.unreachable.add("one")
    if event == "restarts":
        _restart(world)


def _restart(world, **flags):
    async def restart():
        world.fleet.start_entry("one", **flags)

    world.run(restart())


@given(
    parsers.parse(
        "the first request at entry one, 160 s after another claim, was answered, "
        "then one becomes unreachable"
    )
)
def run_first_request_later(world):
    world.run(world.request("one", key="earlier"))
    world.fleet.clock.advance(160)
    run_first_request(world, "was answered, then one becomes unreachable")


@when(parsers.parse("{seconds:d} s pass"))
def advance_clock(world, seconds):
    world.fleet.clock.advance(seconds)


@when(parsers.parse("the request is repeated at entry {entry}"))
def repeat_request(world, entry):
    async def repeat_while_running():
        started, release = asyncio.Event(), asyncio.Event()
        send = world.make_sender("answered", started, release)
        first_task = asyncio.create_task(world.request("one", send))
        await started.wait()
        second_task = asyncio.create_task(world.request(entry))
        for _ in range(20):
            await asyncio.sleep(0)
        release.set()
        world.first_result = await first_task
        world.result = await second_task

    if getattr(world, "still_running", False):
        world.run(repeat_while_running())
    else:
        world.result = world.run(world.request(entry))


@when(
    parsers.re(
        r"the platform (?P<fault>.*) and a (repeated )?request arrives at entry one"
    )
)
def request_during_fault(world, fault):
    world.faults.down = fault == "is down"
    world.faults.answers_to_lose = int(fault.startswith("loses"))
    world.faults.down_after = fault.endswith("goes down")

    async def request():
        if world.faults.answers_to_lose:
            count, world.faults.answers_to_lose = world.faults.answers_to_lose, 0
            await world.request("one", key="grants the lease")
            world.faults.answers_to_lose = count
            world.runs = 0
        return await world.request("one")

    world.result = world.first_result = world.run(request())
    world.faults.down = False


@when("the same request arrives at both concurrently")
def request_concurrently(world):
    async def request_both():
        return await asyncio.gather(world.request("one"), world.request("two"))

    world.result = world.run(request_both())


@when(parsers.parse("a different request with the key arrives at entry {entry}"))
def reuse_key(world, entry):
    world.result = world.run(world.request(entry, body=b"lace"))


@when("entry one is paused for 700 s while it claims the key")
def pause_entry(world):
    def pause():
        world.fleet.clock.advance(700)
        world.faults.on_answer = lambda: None

    world.run(world.request("one", key="grants the lease"))
    world.runs = 0
    world.faults.on_answer = pause
    world.result = world.run(world.request("one"))


@when("50 requests with different keys arrive at entry one")
def request_with_different_keys(world):
    async def request_all():
        await asyncio.gather(*(world.request("one", key=str(n)) for n in range(50)))

    world.run(request_all())


@then(parsers.re(r"the (repeated )?request gets (?P<result>.*)"))
def check_result(world, result):
    _assert_result(world, world.result, result)


def _assert_result(world, found, expected):
    if expected == "the first answer":
        assert found == world.first_result
    if expected in {"the first answer", "its own answer"}:
        assert found == make_answer(world.runs)
    else:
        assert get_outcome(found) == expected


@then(
    parsers.parse(
        "after the platform recovers a repeated request at entry two gets {result}"
    )
)
def check_later_result(world, result):
    _assert_result(world, world.run(world.request("two")), result)


@then("the request ran once in total")
def check_total_runs(world):
    assert world.runs == 1


@then(parsers.parse("the request ran {runs:d} times"))
def check_runs(world, runs):
    assert world.runs == runs


@then("both requests get the same answer")
def check_same_answer(world):
    assert world.result == [make_answer(1), make_answer(1)]


@then("the request is refused with status 422")
def check_refused(world):
    assert world.result.status == 422
    assert world.result.outcome == Outcome.NOT_RUN


@then(
    parsers.parse("the platform has served {swaps:d} swaps and {grants:d} lease grants")
)
def check_store_calls(world, swaps, grants):
    calls = world.fleet.service.store.calls
    assert (calls["swap"], calls["grant"]) == (swaps, grants)
    assert set(calls) == {"swap", "grant"}
