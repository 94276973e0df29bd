"""Tests of the callers' server: what it serves, and what its refusals state."""

import asyncio
import contextlib
import gc
import tracemalloc
from collections import Counter

import msgspec
import pytest
from aiohttp import web

from peridotspoke.callers import BoundedServer, CallerRefusedError
from peridotspoke.callers.budget import CONNECTION_COST
from peridotspoke.callers.connection import READ_SIZE, CallerConnection
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes.settings import CallerSettings, NodeSettings
from peridotspoke.platform.callerlimits import derive_limits
from peridotspoke.platform.callerrefusals import PlatformResponses, format_refusal

BODY = 262_144  # bytes, the configuration's maximum
CALLERS = 300  # calls at once
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


class Server:
    """A server that answers the size of each body once `may_answer` is set."""

    def __init__(self, callers=CallerSettings()):
        self.settings = NodeSettings(
            "n",
            "z",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "127.0.0.1:1",
            memory=200.0,
            callers=callers,
        )
        self.metrics, self.handled = MetricsRegistry(), []
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def __aenter__(self):
        self.server = BoundedServer(
            self._handle,
            derive_limits(self.settings, 4100),
            self.metrics,
            PlatformResponses(),
            access_log=None,
        )
        self.runner = web.ServerRunner(self.server, shutdown_timeout=0.2)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.port = self.runner.addresses[0][1]
        return self

    async def _handle(self, request):
        try:
            body = await self.server.read_body(request, BODY)
        except CallerRefusedError as error:
            return format_refusal(error)
        self.handled.append(request.path)
        await self.may_answer.wait()
        return web.Response(text=str(len(body)))

    def count_refusals(self, limit):
        return self.metrics.get_count(
            "caller_refusals", limit=limit, listener="callers"
        )

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def __aexit__(self, *_):
        self.may_answer.set()
        await self.runner.cleanup()


async def read_response(reader):
    """Return the status, the headers and the body of a response."""
    async with asyncio.timeout(20):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.splitlines()
        pairs = (line.partition(": ") for line in lines[1:] if line)
        headers = {name.lower(): value for name, _, value in pairs}
        body = await reader.readexactly(int(headers["content-length"]))
    return int(lines[0].split()[1]), headers, body


async def send_body(server, size, short=0):
    reader, writer = await server.connect()
    writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size)
    data = b"a" * (size - short)
    for start in range(0, len(data), 65_536):
        writer.write(data[start : start + 65_536])
        await writer.drain()
    return reader, writer


async def test_three_hundred_of_the_largest_bodies_at_once_are_served():
    """A default limit refused callers that keep to the documented limits."""
    async with Server() as server:
        server.may_answer.clear()
        sent = await asyncio.gather(*(send_body(server, BODY) for _ in range(CALLERS)))
        async with asyncio.timeout(20):
            while len(server.handled) < CALLERS:
                await asyncio.sleep(0.05)
        server.may_answer.set()
        for reader, writer in sent:
            status, _, body = await read_response(reader)
            assert (status, body) == (200, b"%d" % BODY)
            writer.close()


async def test_a_body_that_gives_way_is_refused_with_the_truth():
    """A caller could not tell whether a refused job had been accepted."""
    async with Server(CallerSettings(memory=4.0)) as server:
        sent = [await send_body(server, BODY, short=100_000) for _ in range(60)]
        refused = 0
        for reader, writer in sent:
            writer.write(b"a" * 100_000)
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                status, headers, body = await read_response(reader)
                if status == 200:
                    continue
                refused += 1
                assert status == 503
                assert int(headers["retry-after"]) >= 1
                assert "not accepted" in msgspec.json.decode(body)["error"]
        assert refused
        assert len(server.handled) <= len(sent) - refused


async def test_a_request_that_is_carried_out_keeps_its_connection():
    """Newer connections pushed out one whose request was being carried out."""
    async with Server(CallerSettings(connections=16)) as server:
        server.may_answer.clear()
        reader, writer = await send_body(server, 10)
        async with asyncio.timeout(20):
            while not server.handled:
                await asyncio.sleep(0.01)
        others = [await server.connect() for _ in range(60)]
        await asyncio.sleep(0.1)
        server.may_answer.set()
        assert (await read_response(reader))[0] == 200
        for _, other in [*others, (reader, writer)]:
            other.close()


async def test_a_declared_size_above_the_limit_is_refused_before_the_body():
    """A body that was too large was read first."""
    async with Server() as server:
        reader, writer = await server.connect()
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % (BODY + 1))
        assert (await read_response(reader))[0] == 413
        assert not server.handled
        writer.close()


async def test_a_chunked_body_above_the_limit_is_refused():
    async with Server() as server:
        reader, writer = await server.connect()
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(5):
            writer.write(b"10000\r\n" + b"a" * 65_536 + b"\r\n")
        assert (await read_response(reader))[0] == 413
        assert not server.handled
        writer.close()


@pytest.mark.parametrize("size", [10, 20_000, BODY])
async def test_requests_that_follow_one_another_without_a_pause_are_all_served(size):
    """A connection that was held back was never read again."""
    async with Server() as server:
        reader, writer = await server.connect()
        post = HEAD + b"Content-Length: %d\r\n\r\n" % size + b"a" * size
        sending = asyncio.ensure_future(_send_all(writer, size, post))
        for number in range(100):
            status, _, body = await read_response(reader)
            assert status == 200
            assert body == (b"0" if number % 3 else b"%d" % size)
        await sending
        writer.close()


async def _send_all(writer, size, post):
    for number in range(100):
        writer.write(GET % number if number % 3 else post)
        await writer.drain()


async def test_a_body_that_arrives_byte_by_byte_is_served():
    async with Server() as server:
        reader, writer = await server.connect()
        head = HEAD + b"Content-Length: 50\r\n\r\n" + b"a" * 50
        for byte in head:
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(0.001)
        assert (await read_response(reader))[2] == b"50"
        writer.close()


async def test_a_body_in_chunks_of_one_byte_is_served():
    """A chunked body that is read by turns was never read to its end."""
    async with Server() as server:
        reader, writer = await server.connect()
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        chunks = b"1\r\na\r\n" * 5000 + b"0\r\n\r\n"
        for start in range(0, 20_000, 4001):
            writer.write(chunks[start : start + 4001])
            await writer.drain()
            await asyncio.sleep(0.005)
        for byte in chunks[20_005:20_105]:  # what a slow client sends piece by piece
            writer.write(bytes([byte]))
            await asyncio.sleep(0.001)
        writer.write(chunks[20_105:])
        status, _, body = await read_response(reader)
        assert (status, body) == (200, b"5000")
        writer.close()


async def test_bodies_in_small_chunks_are_read_one_after_another(monkeypatch):
    """Hundreds of reads full of small chunks stopped the event loop for seconds."""
    tick, read = 0, Counter()  # turns of the event loop; bytes of bodies read in each
    receive = CallerConnection.data_received

    def record(connection, data):
        if connection._is_in_body():
            read[tick] += len(data)
        receive(connection, data)

    async def count_ticks():
        nonlocal tick
        while True:
            tick += 1
            await asyncio.sleep(0)

    monkeypatch.setattr(CallerConnection, "data_received", record)
    async with Server() as server:
        ticks = asyncio.ensure_future(count_ticks())
        sent = [await server.connect() for _ in range(40)]
        for _, writer in sent:
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            writer.write(b"1\r\na\r\n" * 10_000)
        async with asyncio.timeout(20):
            while sum(read.values()) < 400_000:
                await asyncio.sleep(0.01)
        most = max(read.values())
        ticks.cancel()
        for _, writer in sent:
            writer.transport.abort()
    assert most <= 4 * READ_SIZE


async def test_the_body_of_a_caller_that_has_left_counts_until_its_request_ends():
    """Callers that left after their bodies filled the memory while these waited."""
    async with Server() as server:
        server.may_answer.clear()
        sent = [await send_body(server, BODY) for _ in range(10)]
        async with asyncio.timeout(20):
            while len(server.handled) < 10:
                await asyncio.sleep(0.02)
        for _, writer in sent:
            writer.transport.abort()
        await asyncio.sleep(0.1)
        assert server.server.budget.held >= 10 * BODY
        server.may_answer.set()
        async with asyncio.timeout(20):
            while server.server.budget.held:
                await asyncio.sleep(0.02)


async def test_a_body_that_stops_is_refused_at_its_deadline():
    """A body that stopped just short of its end was waited for indefinitely."""
    async with Server(CallerSettings(arrival=0.2, rate=1e9)) as server:
        reader, writer = await send_body(server, BODY, short=44)
        status, _, body = await read_response(reader)
        assert status == 408 and b"not accepted" in body
        assert server.count_refusals("body") == 1
        writer.close()


async def test_a_malformed_head_is_refused_and_counted():
    async with Server() as server:
        reader, writer = await server.connect()
        writer.write(b"POST / HTTP/1.1\r\nBad Name: 1\r\n\r\n")
        status, _, body = await read_response(reader)
        assert status == 400 and b"not accepted" in body
        assert server.count_refusals("malformed") == 1
        assert not await reader.read()
        writer.close()


async def test_nothing_is_held_after_the_callers_have_left():
    """Bytes of closed connections stayed counted, until all callers were refused."""
    async with Server() as server:
        sent = [await send_body(server, BODY, short=n % 3) for n in range(30)]
        idle = [await server.connect() for _ in range(10)]
        for _, writer in [*sent, *idle]:
            writer.transport.abort()
        async with asyncio.timeout(20):
            while len(server.server.budget) or server.server.budget.held:
                await asyncio.sleep(0.02)


async def test_a_body_with_a_trailer_is_served():
    async with Server() as server:
        reader, writer = await server.connect()
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        writer.write(b"5\r\naaaaa\r\n0\r\nX-Sum: %s\r\n\r\n" % (b"1" * 5000))
        assert (await read_response(reader))[2] == b"5"
        writer.write(GET % 1)
        assert (await read_response(reader))[0] == 200
        writer.close()


async def test_a_trailer_above_the_limit_is_refused():
    """A caller could send trailer fields until the memory was used up."""
    async with Server() as server:
        reader, writer = await server.connect()
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n")
        with contextlib.suppress(ConnectionError):
            for number in range(12):
                writer.write(b"X-%d: " % number + b"a" * 6000 + b"\r\n")
                await writer.drain()
            status, _, body = await read_response(reader)
            assert status == 431 and b"not accepted" in body
        assert not server.handled
        assert server.count_refusals("trailer-size") == 1
        writer.close()


async def test_bodies_of_callers_that_have_left_are_freed_at_once():
    """Each kept its memory until the garbage collector found a reference cycle."""
    async with Server() as server:
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            for _ in range(20):
                _, writer = await send_body(server, BODY, short=44)
                writer.write_eof()
                await asyncio.sleep(0.02)
                writer.close()
            async with asyncio.timeout(20):
                while len(server.server.budget):
                    await asyncio.sleep(0.02)
            del writer
            await asyncio.sleep(0.05)
            assert tracemalloc.get_traced_memory()[0] < 4 * BODY
        finally:
            tracemalloc.stop()
            gc.enable()


async def test_a_connection_whose_requests_overlap_is_not_charged_for_answered_ones():
    """One such caller took up the memory of all, without holding any of it."""
    async with Server() as server:
        reader, writer = await server.connect()
        head = HEAD + b"Content-Length: 10\r\n\r\n"
        writer.write(head + b"aaaaa")
        for _ in range(100):
            await asyncio.sleep(0.005)  # the body is read before its end is sent
            writer.write(b"aaaaa" + head + b"aaaaa")
            assert (await read_response(reader))[0] == 200
        assert server.server.budget.held < CONNECTION_COST + 30_000
        writer.close()
