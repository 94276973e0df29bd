"""Tests of forwarding requests to upstreams that show faults."""

import asyncio
from dataclasses import replace

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.requests import RoutingTable
from peridotspoke.requests.tests.entries import SERVICE, EntryUnderTest
from peridotspoke.standins import UpstreamFaults

scenarios("upstreams.feature")

BODY_LIMIT = 4096  # bytes
FAULTS = {
    "none": {},
    "oversize": {"oversize": BODY_LIMIT + 1},
    "delay": {"service_time": 0.02},
    "refuse and cross": {"refuse": True, "cross": True},
}


@pytest.fixture
def world(runner):
    """Yield the state that the steps share, and close its entry instance."""
    shared = {"runner": runner}
    yield shared
    runner.run(shared["entry"].close())


def _start_entry(world, upstreams, fault):
    async def start():
        entry = world["entry"] = EntryUnderTest()
        await entry.start(upstreams, body_limit=BODY_LIMIT)
        return entry

    entry = world["runner"].run(start())
    _apply_fault(entry, fault)


def _apply_fault(entry, fault):
    if fault == "unreachable":
        upstreams = entry.pipeline.routes.get_upstreams(SERVICE)
        unreachable = replace(upstreams[0], address="127.0.0.1:1")
        entry.original_routes = entry.pipeline.routes
        entry.pipeline.routes = RoutingTable({SERVICE: (unreachable, *upstreams[1:])})
        return
    flags = FAULTS.get(fault, {fault: True})
    entry.standins[0].faults = UpstreamFaults(**flags)


@given(parsers.parse("an entry instance with 1 upstream with fault {fault}"))
def start_with_one_upstream(world, fault):
    _start_entry(world, 1, fault)


@given(
    parsers.parse("an entry instance with 2 upstreams, the first with fault {fault}")
)
def start_with_two_upstreams(world, fault):
    _start_entry(world, 2, fault)


@given("the retry budget is exhausted")
def exhaust_budget(world):
    pipeline = world["entry"].pipeline
    budget = pipeline._get_retry_budget(SERVICE, 1.0)
    while budget.take():
        pass
    budget.record_first_attempt = lambda: None


@when(parsers.re("a caller sends a (?P<method>GET|POST)"))
def send_request(world, method):
    world["response"] = world["runner"].run(world["entry"].request(method))


@when("a caller sends a GET over a reused connection")
def send_over_reused_connection(world):
    entry = world["entry"]
    faults, entry.standins[0].faults = entry.standins[0].faults, UpstreamFaults()
    world["runner"].run(entry.request("GET"))
    entry.standins[0].arrivals.clear()
    entry.standins[0].faults = faults
    world["response"] = world["runner"].run(entry.request("GET"))


@when("3 GETs are answered and then all open connections become unresponsive")
def make_connections_unresponsive(world):
    async def send_all():
        found = await asyncio.gather(*(entry.request("GET") for _ in range(3)))
        assert [status for status, _, _ in found] == [200] * 3

    entry = world["entry"]
    entry.standins[0].faults = UpstreamFaults(service_time=0.02)
    world["runner"].run(send_all())
    entry.standins[0].faults = UpstreamFaults()
    entry.standins[0].silence_connections()
    entry.standins[0].arrivals.clear()


@when("a caller sends a POST with Peridotspoke headers")
def send_own_headers(world):
    headers = {
        "Peridotspoke-Request-Id": "made-up",
        "peridotspoke-outcome": "not-run",
        "Connection": "X-Hop",
        "X-Hop": "1",
        "X-Kept": "1",
    }
    request = world["entry"].request("POST", headers=headers, body=b"tile")
    world["response"] = world["runner"].run(request)


@when("40 callers send GETs and POSTs concurrently")
def send_many(world):
    async def send_all():
        methods = ("GET", "POST") * 20
        found = await asyncio.gather(*map(world["entry"].request, methods))
        assert [status for status, _, _ in found] == [200] * 40

    world["runner"].run(send_all())


@then(parsers.parse("the caller gets status {status:d} and outcome {outcome}"))
def check_response(world, status, outcome):
    found, headers, body = world["response"]
    assert (found, headers["Peridotspoke-Outcome"]) == (status, outcome), body
    if outcome != "answered":
        assert headers["Content-Type"] == "application/problem+json"
        assert msgspec.json.decode(body)["outcome"] == outcome


@then(parsers.re(r"the upstreams got (?P<arrivals>\d+) requests?"))
def check_arrivals(world, arrivals):
    assert world["entry"].count_arrivals() == int(arrivals)


@then("without the fault the next POST gets its own answer")
def check_next_request(world):
    entry = world["entry"]
    entry.standins[0].faults = UpstreamFaults()
    entry.pipeline.routes = getattr(entry, "original_routes", entry.pipeline.routes)
    status, headers, body = world["runner"].run(entry.request("POST", "/next"))
    answer = msgspec.json.decode(body)
    assert (status, answer["path"]) == (200, "/next")
    assert answer["request"] == headers["Peridotspoke-Request-Id"]


@then(parsers.re(r"(?P<count>\d+) (?P<method>GET|POST)s are answered"))
def check_answered(world, count, method):
    for _ in range(int(count)):
        status, _, body = world["runner"].run(world["entry"].request(method))
        assert status == 200, body


@then("1 of them was sent over an unresponsive connection")
def check_silences(world):
    assert world["entry"].standins[0].silences == 1


@then("the upstream gets none of them")
def check_upstream_headers(world):
    (request_id,) = world["entry"].standins[0].arrivals
    assert request_id != "made-up"
    headers = world["entry"].standins[0].last_headers
    assert "Peridotspoke-Outcome" not in headers
    assert "X-Hop" not in headers
    assert headers["X-Kept"] == "1"


@then("the caller gets only those of its entry instance")
def check_caller_headers(world):
    status, headers, _ = world["response"]
    assert status == 200
    assert headers.getall("Peridotspoke-Outcome") == ["answered"]
    assert "Peridotspoke-Other" not in headers


@then(
    parsers.parse(
        "at most {running:d} requests ran and {opened:d} connections were open "
        "concurrently"
    )
)
def check_limits(world, running, opened):
    standin = world["entry"].standins[0]
    assert standin.most_running <= running
    assert standin.most_connections <= opened


@then(parsers.parse("at most {count:d} connections remain open"))
def check_open_connections(world, count):
    world["runner"].run(asyncio.sleep(0.05))
    assert world["entry"].standins[0].count_connections() <= count
