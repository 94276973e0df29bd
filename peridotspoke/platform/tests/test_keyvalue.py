"""Tests of the metadata store's client with canned and with slow responses."""

import asyncio
import contextlib
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
from aiohttp import web

from peridotspoke.clock import ManualClock, SystemClock
from peridotspoke.exceptions import AnswerLostError
from peridotspoke.platform.http import HttpPeer, HttpResponse
from peridotspoke.platform.keyvalue import MetadataStore, WatchRules
from peridotspoke.platform.standins import serve_standin
from peridotspoke.platform.storestandin import MetadataStandIn

RULES = WatchRules(wait=3.0, busy_wait=0.5, margin=0.25)
CALL_TIMEOUT = 1.0  # seconds
CHUNKS = 15
CHUNK_INTERVAL = 0.1  # seconds; CHUNKS of them are longer than CALL_TIMEOUT
TEST_TIMEOUT = 30.0  # seconds


class FakePeer:
    """Returns the given bodies in turn, and records the time limits of each read.

    `waits` holds, for each poll, its ``waitMs`` and its limit of the time until the
    response begins, in seconds.
    """

    address = "peer"

    def __init__(self, bodies):
        self.bodies = list(bodies)
        self.waits = []

    async def read(self, path, limits):
        query = parse_qs(urlsplit(path).query)
        self.waits.append((int(query["waitMs"][0]), limits.first_byte))
        return HttpResponse(200, msgspec.json.encode(self.bodies.pop(0)))


async def test_a_poll_after_changes_has_a_shorter_wait():
    """After a poll without changes the wait is longer, since each poll is a call."""
    event = {"key": "work/a", "value": "", "revision": 5}
    peer = FakePeer(
        [{"events": [event], "asOf": 5}, {"events": [], "asOf": 5}, {"asOf": 5}]
    )
    store = MetadataStore(peer, ManualClock(0.0), 1.0, RULES)
    batches = store.watch("work/", 4)
    for _ in range(3):
        await anext(batches)
    await batches.aclose()
    assert peer.waits == [(500, 0.75), (500, 0.75), (3000, 3.25)]


class SlowLink:
    """Forwards the store's responses in `CHUNKS` chunks, with a pause after each.

    After `max_chunks` of them it sends nothing more.
    """

    def __init__(self, store, max_chunks=CHUNKS):
        self.store = store
        self.max_chunks = max_chunks
        self.closing = asyncio.Event()

    async def handle(self, request):
        body = (await self.store.handle(request)).body
        size = -(-len(body) // CHUNKS)
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        for number in range(CHUNKS):
            if number == self.max_chunks:
                await self.closing.wait()
            if number == 0:
                await response.prepare(request)
            await response.write(body[number * size : (number + 1) * size])
            await asyncio.sleep(CHUNK_INTERVAL)
        return response


@contextlib.asynccontextmanager
async def open_slow_store(max_chunks=CHUNKS):
    """Yield a stand-in with one large page of records, and a client over `SlowLink`."""
    store_standin = MetadataStandIn()
    for number in range(400):
        store_standin.put(f"work/{number:03}", "x" * 1000)
    link = SlowLink(store_standin, max_chunks)
    runner, address = await serve_standin(link.handle)
    store = MetadataStore(HttpPeer(address), SystemClock(), CALL_TIMEOUT, RULES)
    try:
        async with asyncio.timeout(TEST_TIMEOUT):
            yield store_standin, store
    finally:
        link.closing.set()
        await store.close()
        await runner.cleanup()


async def test_a_large_page_arrives_over_a_slow_link():
    # Guards against a limit of the whole call: a large page that took longer timed out
    # and was requested again without end.
    async with open_slow_store() as (store_standin, store):
        snapshot = await store.read_prefix("work/")
        assert len(snapshot.records) == len(store_standin.items)


async def test_a_large_record_arrives_over_a_slow_link():
    async with open_slow_store() as (store_standin, store):
        store_standin.put("op/config", "x" * 400_000)
        assert len((await store.read("op/config")).value) > 400_000


async def test_a_watch_with_many_changes_arrives_over_a_slow_link():
    async with open_slow_store() as (store_standin, store):
        batch = await anext(store.watch("work/", 1))
        assert len(batch.changes) == len(store_standin.items)


@pytest.mark.parametrize(
    "max_chunks", [0, 5], ids=["before the response", "within the response"]
)
async def test_a_response_that_stalls_raises_answer_lost(max_chunks):
    async with open_slow_store(max_chunks) as (_, store):
        with pytest.raises(AnswerLostError):
            await store.read_prefix("work/")
        with pytest.raises(AnswerLostError):
            await anext(store.watch("work/", 1))
