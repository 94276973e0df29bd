"""Tests of the calls that hang while the store answers nothing, and of its return."""

import asyncio
import contextlib
import random

import pytest

from peridotspoke.exceptions import AnswerLostError
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes.parts import BoottimeClock, NodeParts
from peridotspoke.nodes.view import StoreView
from peridotspoke.platform.http import HttpPeer
from peridotspoke.platform.keyvalue import MetadataStore, WatchRules
from peridotspoke.store import Lease, Put, Transaction

NEVER = 3600.0  # seconds; longer than any test, for limits that must not be reached
TEST_TIMEOUT = 10.0  # seconds
AGE = 0.15  # seconds by which calls are older than the store's return
BODY = b'{"key":"k","ttlMs":1500,"revision":5,"asOf":1,"lease":7}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
LEASE = Lease(7, 1.5, 0.0)
TRANSACTION = Transaction((), (Put("k", b"v"),))
SENDERS = {
    "renewal": lambda store: store.renew_lease(LEASE),
    "grant": lambda store: store.grant_lease(1.5),
    "revocation": lambda store: store.revoke_lease(LEASE),
    "commit": lambda store: store.commit(TRANSACTION),
    "record": lambda store: store.read("k"),
    "prefix": lambda store: store.read_prefix("work/"),
}


class InterruptedServer:
    """Answers nothing while `silent`; else a path in `held` waits for its event.

    The first bytes of an answer are sent at once where its path is in `begun`.
    `received` has all requests, and `ends` how the connections ended that had one
    while silent: "closed" or "reset".
    """

    def __init__(self):
        self.silent = False
        self.held = {}
        self.begun = set()
        self.received = []
        self.ends = []

    def hold(self, name):
        """Hold back the answers to the calls of this name; return their event."""
        self.held[name] = asyncio.Event()
        return self.held[name]

    async def wait_for(self, count):
        while len(self.received) < count:
            await asyncio.sleep(0.01)

    async def serve(self, reader, writer):
        was_silent, end = False, "closed"
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                name = request.split()[1].decode().split("/")[2].split("?")[0]
                self.received.append(name)
                was_silent = was_silent or self.silent
                if not was_silent:
                    await self._answer(name, writer)
        except asyncio.IncompleteReadError:
            pass
        except ConnectionError:
            end = "reset"
        finally:
            if was_silent:
                self.ends.append(end)
            writer.transport.abort()

    async def _answer(self, name, writer):
        answer = HEAD + BODY
        size = len(HEAD) + 5 if name in self.begun else 0
        writer.write(answer[:size])
        if name in self.held:
            await self.held[name].wait()
        writer.write(answer[size:])


@contextlib.asynccontextmanager
async def open_store():
    """Yield a server, and a client of it whose node has no store so far."""
    interrupted = InterruptedServer()
    server = await asyncio.start_server(interrupted.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    parts = NodeParts(
        None, BoottimeClock(), StoreView(), MetricsRegistry(), random.Random(1)
    )
    store = MetadataStore(
        HttpPeer(f"{host}:{port}", NEVER),
        parts.clock,
        NEVER,
        WatchRules(NEVER, NEVER),
        on_call=parts.record_store_call,
    )
    parts.cancel_stale_calls = store.cancel_stale_calls
    try:
        async with asyncio.timeout(TEST_TIMEOUT):
            yield interrupted, store
    finally:
        for event in interrupted.held.values():
            event.set()
        await store.close()
        server.close()


async def hang(server, send, store):
    """Send a call that the silent server receives; return its task once it is old."""
    server.silent = True
    hanging = asyncio.ensure_future(send(store))
    await server.wait_for(len(server.received) + 1)
    await asyncio.sleep(AGE)
    return hanging


@pytest.mark.parametrize("kind", SENDERS)
async def test_a_call_from_before_the_return_hangs_on_the_present_connections(kind):
    """Renewals hung for up to 0.8 s after the return, and nothing was ordered."""
    async with open_store() as (server, store):
        hanging = await hang(server, SENDERS[kind], store)
        server.silent = False
        await store.read("k")
        with pytest.raises(AnswerLostError):
            await hanging
        while server.ends != ["reset"]:
            await asyncio.sleep(0.01)
        await SENDERS[kind](store)


@pytest.mark.parametrize("kind", ["renewal", "prefix"])
@pytest.mark.parametrize("times_out_first", [False, True])
async def test_a_call_sent_after_the_return_is_ended_with_the_older_ones(
    kind, times_out_first
):
    """It is sent on the connections that an older call's end or time-out replaces."""
    async with open_store() as (server, store):
        hanging = await hang(server, SENDERS["grant"], store)
        older = asyncio.ensure_future(store.commit(TRANSACTION, 0.2))
        await server.wait_for(2)
        server.silent = False
        first_answer = server.hold("kv-key")
        later_answers = [server.hold("kv-keep"), server.hold("kv-range")]
        first = asyncio.ensure_future(store.read("k"))
        await server.wait_for(3)
        later = asyncio.ensure_future(SENDERS[kind](store))
        await server.wait_for(4)
        if times_out_first:
            with pytest.raises(AnswerLostError):
                await older
            assert store._peer._closing
        first_answer.set()
        await first
        for stale in (hanging, older):
            with pytest.raises(AnswerLostError):
                await stale
        assert store._peer._closing
        for answer in later_answers:
            answer.set()
        await later


async def test_a_waiting_watch_is_ended_as_the_store_returns():
    """A refused call elsewhere is an outage to the node; the store kept the poll."""
    async with open_store() as (server, store):
        answer = server.hold("kv-watch")
        watch = store.watch("work/", 1)
        waiting = asyncio.ensure_future(anext(watch))
        await server.wait_for(1)
        await asyncio.sleep(AGE)
        await store.read("k")
        answer.set()
        assert (await waiting).revision == 1
        await watch.aclose()


@pytest.mark.parametrize(("kind", "name"), [("commit", "txn"), ("prefix", "range")])
async def test_an_arriving_answer_is_lost_as_the_store_returns(kind, name):
    async with open_store() as (server, store):
        server.begun.add(f"kv-{name}")
        answer = server.hold(f"kv-{name}")
        arriving = asyncio.ensure_future(SENDERS[kind](store))
        await server.wait_for(1)
        await asyncio.sleep(AGE)
        while store._peer._connections.has_unanswered():
            await asyncio.sleep(0.01)
        await store.read("k")
        answer.set()
        await arriving
