"""Tests of the client of the platform's store, with answers by hand and slow ones."""

import asyncio
import contextlib
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
from aiohttp import web

from peridotspoke.clock import ManualClock, SystemClock
from peridotspoke.exceptions import AnswerLostError
from peridotspoke.platform.http import Answer, HttpPeer
from peridotspoke.platform.keyvalue import MetadataStore, WatchRules
from peridotspoke.platform.standins import MetadataStandIn, serve_standin

RULES = WatchRules(wait=3.0, busy_wait=0.5, margin=0.25)
LIMIT = 1.0  # seconds of a call
PIECES = 15
PAUSE = 0.1  # seconds; all pieces together take longer than LIMIT
HANG = 30.0  # seconds after which a call that should have ended hangs


class PeerDouble:
    """Answers with the bodies that it is given and notes how long it may take."""

    address = "peer"

    def __init__(self, bodies):
        self.bodies = list(bodies)
        self.waits = []

    async def read(self, path, limits):
        query = parse_qs(urlsplit(path).query)
        self.waits.append((int(query["waitMs"][0]), limits.begin))
        return Answer(200, msgspec.json.encode(self.bodies.pop(0)))


async def test_a_watch_that_has_just_told_of_changes_is_found_silent_early():
    """One on records that rest is left waiting longer, as each poll has a price."""
    event = {"key": "work/a", "value": "", "revision": 5}
    peer = PeerDouble(
        [{"events": [event], "asOf": 5}, {"events": [], "asOf": 5}, {"asOf": 5}]
    )
    store = MetadataStore(peer, ManualClock(0.0), 1.0, RULES)
    batches = store.watch("work/", 4)
    for _ in range(3):
        await anext(batches)
    await batches.aclose()
    assert peer.waits == [(500, 0.75), (500, 0.75), (3000, 3.25)]


class SlowLink:
    """Passes on the store's answers in pieces, with a pause after each.

    After `most` pieces it falls silent.
    """

    def __init__(self, store, most=PIECES):
        self.store = store
        self.most = most
        self.ended = asyncio.Event()

    async def handle(self, request):
        body = (await self.store.handle(request)).body
        size = -(-len(body) // PIECES)
        answer = web.StreamResponse(headers={"Content-Length": str(len(body))})
        for number in range(PIECES):
            if number == self.most:
                await self.ended.wait()
            if number == 0:
                await answer.prepare(request)
            await answer.write(body[number * size : (number + 1) * size])
            await asyncio.sleep(PAUSE)
        return answer


@contextlib.asynccontextmanager
async def open_slow_store(most=PIECES):
    """Yield a stand-in with a large page, and its client over a slow link."""
    standin = MetadataStandIn()
    for number in range(400):
        standin.put(f"work/{number:03}", "x" * 1000)
    link = SlowLink(standin, most)
    runner, address = await serve_standin(link.handle)
    store = MetadataStore(HttpPeer(address), SystemClock(), LIMIT, RULES)
    try:
        async with asyncio.timeout(HANG):
            yield standin, store
    finally:
        link.ended.set()
        await store.close()
        await runner.cleanup()


async def test_a_large_page_arrives_over_a_slow_link():
    # It was given up after a limit of the whole call, and asked for again for ever.
    async with open_slow_store() as (standin, store):
        snapshot = await store.read_prefix("work/")
        assert len(snapshot.records) == len(standin.items)


async def test_a_large_record_arrives_over_a_slow_link():
    async with open_slow_store() as (standin, store):
        standin.put("op/config", "x" * 400_000)
        assert len((await store.read("op/config")).value) > 400_000


async def test_a_watch_with_many_changes_arrives_over_a_slow_link():
    async with open_slow_store() as (standin, store):
        batch = await anext(store.watch("work/", 1))
        assert len(batch.changes) == len(standin.items)


@pytest.mark.parametrize("most", [0, 5], ids=["before it begins", "in its middle"])
async def test_an_answer_that_falls_silent_is_noticed(most):
    async with open_slow_store(most) as (_, store):
        with pytest.raises(AnswerLostError):
            await store.read_prefix("work/")
        with pytest.raises(AnswerLostError):
            await anext(store.watch("work/", 1))
