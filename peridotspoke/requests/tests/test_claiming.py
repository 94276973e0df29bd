"""Keyed requests."""

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.requests import Outcome
from peridotspoke.requests.tests.keys import (
    FaultyGate,
    Fleet,
    find_outcome,
    make_answer,
    make_refusal,
)

scenarios("claiming.feature")


class World:
    """A fleet, and what its callers were told."""

    def __init__(self, runner):
        self.run = runner.run
        self.gate = FaultyGate()
        self.fleet = Fleet(self.gate)
        self.runs = 0
        self.told = None

    def make_send(self, ends="answered", started=None, release=None):
        async def send():
            if ends == "not-run":
                return make_refusal(Outcome.NOT_RUN)
            self.runs += 1
            answer = make_answer(self.runs)
            if release is not None:
                started.set()
                await release.wait()
            return answer if ends == "answered" else make_refusal(Outcome.UNKNOWN)

        return send

    async def request(self, entry, send=None, **fields):
        request = self.fleet.make_request(**fields)
        return await self.fleet.entries[entry].run(request, send or self.make_send())


@pytest.fixture
def world(runner):
    """Return what the steps share."""
    return World(runner)


@given("entries one and two")
def start(world):
    async def start_all():
        world.fleet.start_entry("one")
        world.fleet.start_entry("two")

    world.run(start_all())


@given(parsers.parse("the first request at entry one {ended}"))
def first(world, ended):
    how, _, then_what = ended.partition(", then one ")
    ends = {"was not run": "not-run", "is unknown": "unknown"}.get(how, "answered")
    world.still_runs = how == "still runs"
    if then_what == "forgets":
        _restart(world, most_entries=1)
    if not world.still_runs:
        world.first = world.run(world.request("one", world.make_send(ends)))
    if then_what == "forgets":
        world.run(world.request("one", key="another"))
        world.runs = 1
    if then_what == "is cut":
        world.fleet.cut.add("one")
    if then_what == "restarts":
        _restart(world)


def _restart(world, **flags):
    async def restart():
        world.fleet.start_entry("one", **flags)

    world.run(restart())


@given(
    parsers.parse(
        "160 s after a first claim the first request at entry one was answered, "
        "then one is cut"
    )
)
def first_later(world):
    world.run(world.request("one", key="earlier"))
    world.fleet.clock.advance(160)
    first(world, "was answered, then one is cut")


@when(parsers.parse("{seconds:d} s pass"))
def wait(world, seconds):
    world.fleet.clock.advance(seconds)


@when(parsers.parse("the caller repeats it at entry {entry}"))
def repeat(world, entry):
    async def repeat_during():
        started, release = asyncio.Event(), asyncio.Event()
        send = world.make_send("answered", started, release)
        first_one = asyncio.create_task(world.request("one", send))
        await started.wait()
        second = asyncio.create_task(world.request(entry))
        for _ in range(20):
            await asyncio.sleep(0)
        release.set()
        world.first = await first_one
        world.told = await second

    if getattr(world, "still_runs", False):
        world.run(repeat_during())
    else:
        world.told = world.run(world.request(entry))


@when(
    parsers.re(r"the platform (?P<fault>.*) and a (request|repeat) comes to entry one")
)
def fail_claim(world, fault):
    world.gate.down = fault == "is down"
    world.gate.lose = int(fault.startswith("loses"))
    world.gate.down_after = fault.endswith("ends")

    async def ask():
        if world.gate.lose:
            lose, world.gate.lose = world.gate.lose, 0
            await world.request("one", key="grants the lease")
            world.gate.lose = lose
            world.runs = 0
        return await world.request("one")

    world.told = world.first = world.run(ask())
    world.gate.down = False


@when("the same request comes to both at once")
def at_once(world):
    async def ask_both():
        return await asyncio.gather(world.request("one"), world.request("two"))

    world.told = world.run(ask_both())


@when(parsers.parse("another request with the key comes to entry {entry}"))
def reuse(world, entry):
    world.told = world.run(world.request(entry, body=b"lace"))


@when("entry one is frozen for 700 s while it claims")
def freeze(world):
    def sleep():
        world.fleet.clock.advance(700)
        world.gate.on_answer = lambda: None

    world.run(world.request("one", key="grants the lease"))
    world.runs = 0
    world.gate.on_answer = sleep
    world.told = world.run(world.request("one"))


@when("50 requests with keys of their own come to entry one")
def many(world):
    async def ask_all():
        await asyncio.gather(*(world.request("one", key=str(n)) for n in range(50)))

    world.run(ask_all())


@then(parsers.re(r"(the repeat|it) is told (?P<told>.*)"))
def check_told(world, told):
    _check(world, world.told, told)


def _check(world, found, told):
    if told == "the first answer":
        assert found == world.first
    if told in {"the first answer", "its own answer", "its answer"}:
        assert found == make_answer(world.runs)
    else:
        assert find_outcome(found) == told


@then(parsers.parse("a repeat at entry two with the platform back is told {told}"))
def check_later(world, told):
    _check(world, world.run(world.request("two")), told)


@then("in all the request ran once")
def check_once(world):
    assert world.runs == 1


@then(parsers.parse("the request ran {runs:d} times"))
def check_runs(world, runs):
    assert world.runs == runs


@then("both are told the same answer")
def check_same(world):
    assert world.told == [make_answer(1), make_answer(1)]


@then("it is refused with status 422")
def check_refused(world):
    assert world.told.status == 422
    assert world.told.outcome == Outcome.NOT_RUN


@then(parsers.parse("the platform counted {swaps:d} swaps and {grants:d} grants"))
def check_calls(world, swaps, grants):
    calls = world.fleet.service.store.calls
    assert (calls["swap"], calls["grant"]) == (swaps, grants)
    assert set(calls) == {"swap", "grant"}
