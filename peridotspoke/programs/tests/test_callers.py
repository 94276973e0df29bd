"""The HTTP interface for callers."""

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

BODY_LIMIT = 1 << 18  # bytes
BODY_MEMORY = 1 << 20  # bytes


@pytest.fixture
def context(runner):
    """Return the dict in which the steps of a scenario share their objects."""
    shared = {"runner": runner}
    yield shared
    runner.run(shared["entry"].close())


def _start(context, faults=None, shares=None, flags=None, **rules):
    async def start():
        entry = EntryUnderTest(shares=shares, body_timeout=0.3, **flags or {})
        await entry.start(1, **{"body_limit": 4096, **rules})
        return entry

    context["entry"] = context["runner"].run(start())
    context["entry"].standins[0].faults = faults or UpstreamFaults()


async def _exchange(entry, text):
    """Send raw text and return the status, the head and the body of the response."""
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
    """Return the HTTP head for text such as ``GET /x, Name: value``.

    A number in braces becomes as many characters.
    """
    request = re.sub(r"\{(\d+)\}", lambda match: "x" * int(match[1]), request)
    line, *headers = request.split(", ")
    return "\r\n".join([f"{line} HTTP/1.1", "Host: h", *headers, "", ""])


@given("an entry instance")
def start_plain(context):
    _start(context)


@given("an entry instance whose paths under /quote are idempotent")
def start_with_idempotent_paths(context):
    faults = UpstreamFaults(close_early=True)
    _start(context, faults, idempotent_paths=("/quote",))


@given("an entry instance with 1 slot whose requests run 0.3 s")
def start_slow(context):
    _start(context, UpstreamFaults(service_time=0.3), FixedShares(8))


@given("an entry instance with memory for 2 bodies")
def start_with_little_memory(context):
    _start(context, flags={"body_memory": BODY_MEMORY}, body_limit=BODY_LIMIT)


@when(parsers.re(r"a caller sends (?P<request>(GET|POST) .*)"))
def send_raw(context, request):
    context["response"] = context["runner"].run(
        _exchange(context["entry"], _format(request))
    )


@when(
    "callers POST to /quote/1, /quote/../order and /quoted while upstreams close early"
)
def send_paths(context):
    entry = context["entry"]
    context["arrivals"] = []
    for path in ("/quote/1", "/quote/../order", "/quoted"):
        entry.standins[0].arrivals.clear()
        text = _format(f"POST /feldkirch{path}, Content-Length: 0")
        status, *_ = context["runner"].run(_exchange(entry, text))
        assert status == 502
        context["arrivals"].append(entry.count_arrivals())


async def _send_and_disconnect(entry, seconds):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await entry.request("POST")


@when("a second caller disconnects while its request waits")
def disconnect_waiting(context):
    async def disconnect():
        first = asyncio.create_task(entry.request("POST"))
        await asyncio.sleep(0.05)
        await _send_and_disconnect(entry, 0.05)
        await first
        await asyncio.sleep(0.1)

    entry = context["entry"]
    context["runner"].run(disconnect())


@when("a caller disconnects while its request runs and another sends one")
def disconnect_running(context):
    async def disconnect():
        await _send_and_disconnect(entry, 0.1)
        return await entry.request("POST")

    entry = context["entry"]
    context["response"] = context["runner"].run(disconnect())


@when("3 callers announce bodies and send nothing")
def announce_bodies(context):
    async def announce_all():
        request = f"POST /feldkirch/a, Content-Length: {BODY_LIMIT}"
        exchanges = [_exchange(entry, _format(request)) for _ in range(3)]
        tasks = [asyncio.create_task(item) for item in exchanges]
        context["first_response"] = await next(asyncio.as_completed(tasks))
        context["response"] = await entry.request("GET")
        await asyncio.gather(*tasks)

    entry = context["entry"]
    context["runner"].run(announce_all())


@when("a stop is requested while a request runs")
def request_stop(context):
    async def stop():
        running = asyncio.create_task(entry.request("POST", headers={}))
        await asyncio.sleep(0.05)
        draining = asyncio.create_task(entry.callers.drain())
        await asyncio.sleep(0)
        context["serving"] = entry.callers.is_serving()
        in_notice = asyncio.create_task(entry.request("POST", headers={}))
        await asyncio.sleep(0.15)
        context["later_response"] = await entry.request("POST", headers={})
        await draining
        context["response"] = await running
        context["notice_response"] = await in_notice

    entry = context["entry"]
    entry.callers._settings = entry.settings.model_copy(update={"stop_notice": 0.1})
    context["runner"].run(stop())


@then(
    parsers.parse(
        "it is refused with status {status:d} and a detail that starts with {start}"
    )
)
def check_refused(context, status, start):
    found, head, body = context["response"]
    document = msgspec.json.decode(body)
    assert (found, document["status"]) == (status, status), body
    assert document["detail"].startswith(start), document
    assert "found" in document["detail"]
    assert "Peridotspoke-Outcome: not-run" in head
    assert "application/problem+json" in head


@then("no upstream received a request")
def check_no_arrival(context):
    assert context["entry"].count_arrivals() == 0


@then("the upstreams received at least 2, exactly 1 and exactly 1 of them")
def check_arrivals(context):
    assert context["arrivals"][0] >= 2
    assert context["arrivals"][1:] == [1, 1]


@then("the upstreams received 1 request in all")
def check_one_arrival(context):
    assert context["entry"].count_arrivals() == 1


@then("at most 1 request ran at once")
def check_most_running(context):
    assert context["entry"].standins[0].most_running == 1


@then("the other request is answered")
@then("a request without a body is answered")
@then("the running request is answered")
def check_answered(context):
    assert context["response"][0] == 200, context["response"]


@then("the first response is a refusal with Retry-After")
def check_memory_refusal(context):
    status, head, body = context["first_response"]
    assert status == 503
    assert "Retry-After" in head
    assert b"memory" in body


@then("the entry is no longer ready")
def check_not_serving(context):
    assert not context["serving"]


@then("requests within the stop notice are answered")
def check_notice(context):
    assert context["notice_response"][0] == 200


@then("later requests are refused as not-run")
def check_later_refusal(context):
    status, headers, _ = context["later_response"]
    assert (status, headers["Peridotspoke-Outcome"]) == (503, "not-run")
    assert headers["Connection"] == "close"
