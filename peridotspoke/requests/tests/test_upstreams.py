"""The interface towards upstreams, with its fault table."""

import asyncio
from dataclasses import replace

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.requests import RoutingTable
from peridotspoke.requests.tests.entries import SERVICE, EntryUnderTest
from peridotspoke.standins import UpstreamFaults

scenarios("upstreams.feature")

BODY_LIMIT = 4096
FAULTS = {
    "nothing": {},
    "oversize": {"oversize": BODY_LIMIT + 1},
    "delay": {"service_time": 0.02},
    "refuse and cross": {"refuse": True, "cross": True},
}


@pytest.fixture
def world(runner):
    """Return what the steps share."""
    shared = {"runner": runner}
    yield shared
    runner.run(shared["entry"].close())


def _start(world, upstreams, fault):
    async def start():
        entry = world["entry"] = EntryUnderTest()
        await entry.start(upstreams, body_limit=BODY_LIMIT)
        return entry

    entry = world["runner"].run(start())
    _show_fault(entry, fault)


def _show_fault(entry, fault):
    if fault == "unreachable":
        upstreams = entry.pipeline.routes.get_upstreams(SERVICE)
        first = replace(upstreams[0], address="127.0.0.1:1")
        entry.whole_routes = entry.pipeline.routes
        entry.pipeline.routes = RoutingTable({SERVICE: (first, *upstreams[1:])})
        return
    flags = FAULTS.get(fault, {fault: True})
    entry.standins[0].faults = UpstreamFaults(**flags)


@given(parsers.parse("an entry instance with 1 upstream that shows {fault}"))
def start_one(world, fault):
    _start(world, 1, fault)


@given(
    parsers.parse("an entry instance with 2 upstreams of which the first shows {fault}")
)
def start_two(world, fault):
    _start(world, 2, fault)


@given("no retry is left in the budget")
def empty_budget(world):
    pipeline = world["entry"].pipeline
    budget = pipeline._get_retry_budget(SERVICE, 1.0)
    while budget.take():
        pass
    budget.note_first_try = lambda: None


@when(parsers.re("a caller sends a (?P<method>GET|POST)"))
def send(world, method):
    world["told"] = world["runner"].run(world["entry"].request(method))


@when("a caller sends a GET over a connection that was used before")
def send_again(world):
    entry = world["entry"]
    faults, entry.standins[0].faults = entry.standins[0].faults, UpstreamFaults()
    world["runner"].run(entry.request("GET"))
    entry.standins[0].arrivals.clear()
    entry.standins[0].faults = faults
    world["told"] = world["runner"].run(entry.request("GET"))


@when("3 GETs are answered and then all open connections go silent")
def silence(world):
    async def send_all():
        found = await asyncio.gather(*(entry.request("GET") for _ in range(3)))
        assert [status for status, _, _ in found] == [200] * 3

    entry = world["entry"]
    entry.standins[0].faults = UpstreamFaults(service_time=0.02)
    world["runner"].run(send_all())
    entry.standins[0].faults = UpstreamFaults()
    entry.standins[0].silence_connections()
    entry.standins[0].arrivals.clear()


@when("a caller sends a POST with headers of this system")
def send_own_headers(world):
    headers = {
        "Peridotspoke-Request-Id": "made-up",
        "peridotspoke-outcome": "not-run",
        "Connection": "X-Hop",
        "X-Hop": "1",
        "X-Kept": "1",
    }
    request = world["entry"].request("POST", headers=headers, body=b"tile")
    world["told"] = world["runner"].run(request)


@when("40 callers send GETs and POSTs at once")
def send_many(world):
    async def send_all():
        methods = ("GET", "POST") * 20
        found = await asyncio.gather(*map(world["entry"].request, methods))
        assert [status for status, _, _ in found] == [200] * 40

    world["runner"].run(send_all())


@then(parsers.parse("the caller is told {status:d} and {outcome}"))
def check_told(world, status, outcome):
    found, headers, body = world["told"]
    assert (found, headers["Peridotspoke-Outcome"]) == (status, outcome), body
    if outcome != "answered":
        assert headers["Content-Type"] == "application/problem+json"
        assert msgspec.json.decode(body)["outcome"] == outcome


@then(parsers.re(r"the upstreams saw (?P<arrivals>\d+) requests?"))
def check_arrivals(world, arrivals):
    assert world["entry"].count_arrivals() == int(arrivals)


@then("with the fault gone the next POST is answered with its own answer")
def check_next(world):
    entry = world["entry"]
    entry.standins[0].faults = UpstreamFaults()
    entry.pipeline.routes = getattr(entry, "whole_routes", entry.pipeline.routes)
    status, headers, body = world["runner"].run(entry.request("POST", "/next"))
    answer = msgspec.json.decode(body)
    assert (status, answer["path"]) == (200, "/next")
    assert answer["request"] == headers["Peridotspoke-Request-Id"]


@then(parsers.re(r"(?P<count>\d+) (?P<method>GET|POST)s are answered"))
def check_answered(world, count, method):
    for _ in range(int(count)):
        status, _, body = world["runner"].run(world["entry"].request(method))
        assert status == 200, body


@then("1 of them met the silence")
def check_silence(world):
    assert world["entry"].standins[0].silences == 1


@then("the upstream saw none of them")
def check_seen(world):
    (seen,) = world["entry"].standins[0].arrivals
    assert seen != "made-up"
    headers = world["entry"].standins[0].last_headers
    assert "Peridotspoke-Outcome" not in headers
    assert "X-Hop" not in headers
    assert headers["X-Kept"] == "1"


@then("the caller sees only those of its entry instance")
def check_own_headers(world):
    status, headers, _ = world["told"]
    assert status == 200
    assert headers.getall("Peridotspoke-Outcome") == ["answered"]
    assert "Peridotspoke-Other" not in headers


@then(
    parsers.parse(
        "at most {running:d} ran at once and {opened:d} connections were open at once"
    )
)
def check_bounds(world, running, opened):
    standin = world["entry"].standins[0]
    assert standin.most_running <= running
    assert standin.most_connections <= opened


@then(parsers.parse("at most {count:d} connections stay open"))
def check_open(world, count):
    world["runner"].run(asyncio.sleep(0.05))
    assert world["entry"].standins[0].count_connections() <= count
