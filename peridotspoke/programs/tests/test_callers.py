"""The interface towards callers."""

import asyncio
import contextlib
import re

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.requests import FixedShares
from peridotspoke.requests.tests.entries import EntryUnderTest
from peridotspoke.standins import UpstreamFaults

scenarios("callers.feature")

BODY_LIMIT = 1 << 18
MEMORY = 1 << 20


@pytest.fixture
def world(runner):
    """Return what the steps share."""
    shared = {"runner": runner}
    yield shared
    runner.run(shared["entry"].close())


def _start(world, faults=None, shares=None, flags=None, **rules):
    async def start():
        entry = EntryUnderTest(shares=shares, body_timeout=0.3, **flags or {})
        await entry.start(1, **{"body_limit": 4096, **rules})
        return entry

    world["entry"] = world["runner"].run(start())
    world["entry"].standins[0].faults = faults or UpstreamFaults()


async def _exchange(entry, text):
    """Return the status, the headers and the body that raw bytes bring."""
    host, port = entry.callers.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(text.encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(re.search(r"(?i)content-length: (\d+)", head)[1])
        body = await reader.readexactly(length)
    finally:
        writer.close()
    return int(head.split()[1]), head, body


def _format(request):
    """Return the bytes of a line such as ``GET /x, Name: value``."""
    request = re.sub(r"\{(\d+)\}", lambda match: "x" * int(match[1]), request)
    line, *headers = request.split(", ")
    return "\r\n".join([f"{line} HTTP/1.1", "Host: h", *headers, "", ""])


@given("an entry instance")
def start_plain(world):
    _start(world)


@given("an entry instance whose paths under /quote are idempotent")
def start_quotes(world):
    faults = UpstreamFaults(close_early=True)
    _start(world, faults, idempotent_paths=("/quote",))


@given("an entry instance with 1 slot whose requests run 0.3 s")
def start_slow(world):
    _start(world, UpstreamFaults(service_time=0.3), FixedShares(8))


@given("an entry instance with memory for 2 bodies")
def start_small(world):
    _start(world, flags={"body_memory": MEMORY}, body_limit=BODY_LIMIT)


@when(parsers.re(r"a caller sends (?P<request>(GET|POST) .*)"))
def send_raw(world, request):
    world["told"] = world["runner"].run(_exchange(world["entry"], _format(request)))


@when(
    "callers send POSTs to /quote/1, /quote/../order and /quoted over closing upstreams"
)
def send_paths(world):
    entry = world["entry"]
    world["seen"] = []
    for path in ("/quote/1", "/quote/../order", "/quoted"):
        entry.standins[0].arrivals.clear()
        text = _format(f"POST /feldkirch{path}, Content-Length: 0")
        status, *_ = world["runner"].run(_exchange(entry, text))
        assert status == 502
        world["seen"].append(entry.count_arrivals())


async def _send_and_leave(entry, seconds):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await entry.request("POST")


@when("a second caller leaves while it waits")
def leave_waiting(world):
    async def leave():
        first = asyncio.create_task(entry.request("POST"))
        await asyncio.sleep(0.05)
        await _send_and_leave(entry, 0.05)
        await first
        await asyncio.sleep(0.1)

    entry = world["entry"]
    world["runner"].run(leave())


@when("the first caller leaves while its request runs and another asks")
def leave_running(world):
    async def leave():
        await _send_and_leave(entry, 0.1)
        return await entry.request("POST")

    entry = world["entry"]
    world["told"] = world["runner"].run(leave())


@when("3 callers announce bodies and send nothing")
def announce(world):
    async def announce_all():
        request = f"POST /feldkirch/a, Content-Length: {BODY_LIMIT}"
        asking = [_exchange(entry, _format(request)) for _ in range(3)]
        tasks = [asyncio.create_task(item) for item in asking]
        world["first"] = await next(asyncio.as_completed(tasks))
        world["told"] = await entry.request("GET")
        await asyncio.gather(*tasks)

    entry = world["entry"]
    world["runner"].run(announce_all())


@when("a stop is asked for while a request runs")
def ask_to_stop(world):
    async def stop():
        running = asyncio.create_task(entry.request("POST", headers={}))
        await asyncio.sleep(0.05)
        draining = asyncio.create_task(entry.callers.drain())
        await asyncio.sleep(0)
        world["ready"] = entry.callers.is_serving()
        in_notice = asyncio.create_task(entry.request("POST", headers={}))
        await asyncio.sleep(0.15)
        world["later"] = await entry.request("POST", headers={})
        await draining
        world["told"] = await running
        world["in_notice"] = await in_notice

    entry = world["entry"]
    entry.callers._settings = entry.settings.model_copy(update={"stop_notice": 0.1})
    world["runner"].run(stop())


@then(
    parsers.parse(
        "it is refused with status {status:d} and a detail that names {place}"
    )
)
def check_refused(world, status, place):
    found, head, body = world["told"]
    document = msgspec.json.decode(body)
    assert (found, document["status"]) == (status, status), body
    assert document["detail"].startswith(place), document
    assert "found" in document["detail"]
    assert "Peridotspoke-Outcome: not-run" in head
    assert "application/problem+json" in head


@then("no upstream saw a request")
def check_none(world):
    assert world["entry"].count_arrivals() == 0


@then("the upstreams saw 2, 1 and 1 of them")
def check_seen(world):
    assert world["seen"][0] >= 2
    assert world["seen"][1:] == [1, 1]


@then("the upstreams saw 1 request in all")
def check_one(world):
    assert world["entry"].count_arrivals() == 1


@then("at most 1 request ran at once")
def check_running(world):
    assert world["entry"].standins[0].most_running == 1


@then("the other was answered")
@then("a request without a body is answered")
@then("what ran is answered")
def check_answered(world):
    assert world["told"][0] == 200, world["told"]


@then("1 of them is told not-run with Retry-After at once")
def check_memory(world):
    status, head, body = world["first"]
    assert status == 503
    assert "Retry-After" in head
    assert b"memory" in body


@then("the entry is not ready at once")
def check_not_ready(world):
    assert not world["ready"]


@then("requests that come within the notice are answered")
def check_notice(world):
    assert world["in_notice"][0] == 200


@then("later ones are told not-run")
def check_later(world):
    status, headers, _ = world["later"]
    assert (status, headers["Peridotspoke-Outcome"]) == (503, "not-run")
    assert headers["Connection"] == "close"
