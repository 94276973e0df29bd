"""Tests of the adapter's HTTP client against servers on raw sockets."""

import asyncio
import contextlib

import pytest

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.platform import http
from peridotspoke.platform.http import HttpPeer, ReadLimits

NEVER = 3600.0  # seconds; longer than any test, for limits that must not be reached


async def open_silent_server(on_closed):
    """Start a server that reads requests and never responds.

    `on_closed` is set to how the connection ends: "closed" or "reset".
    """

    async def serve(reader, writer):
        try:
            while await reader.read(4096):
                pass
            on_closed.set_result("closed")
        except ConnectionResetError:
            on_closed.set_result("reset")
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def test_a_call_that_times_out_resets_its_connection():
    """Guards against delayed orders.

    Without the reset, a request that a network partition held back would still be
    delivered once the partition heals.
    """
    closed_by = asyncio.get_running_loop().create_future()
    server, address = await open_silent_server(closed_by)
    peer = HttpPeer(address)
    with pytest.raises(AnswerLostError):
        await peer.call("POST", "/order", timeout=0.05, body={"order": 1})
    async with asyncio.timeout(5):
        assert await closed_by == "reset"
    await peer.close()
    server.close()


async def test_a_refused_connection_means_that_nothing_was_received():
    """The server has closed its port before the call."""
    server, address = await open_silent_server(
        asyncio.get_running_loop().create_future()
    )
    server.close()
    await server.wait_closed()
    peer = HttpPeer(address)
    with pytest.raises(PlatformUnavailableError):
        await peer.call("GET", "/", timeout=1.0)
    await peer.close()


@pytest.mark.parametrize(
    "address", ["[::1:9", "127.0.0.1:99999", "a" * 300 + ":80", "127.0.0.1\n:80"]
)
async def test_an_address_that_nothing_can_be_sent_to_received_nothing(address):
    # Guards against callers that meet an error which they don't expect, or take a
    # call for one that may have had an effect.
    peer = HttpPeer(address)
    with pytest.raises(PlatformUnavailableError):
        await peer.call("POST", "/order", timeout=0.5, body={"order": 1})
    await peer.close()


async def test_stale_calls_are_cancelled_once_the_peer_responds_again():
    """Calls sent while the peer was silent must not wait until they time out."""
    silent = asyncio.Event()

    async def serve(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            if silent.is_set():
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    peer = HttpPeer(f"{host}:{port}")
    silent.set()
    hanging = asyncio.ensure_future(peer.call("GET", "/a", timeout=60.0))
    with pytest.raises(AnswerLostError):
        await peer.call("GET", "/b", timeout=0.2)
    silent.clear()
    assert (await peer.call("GET", "/c", timeout=60.0)).status == 200
    peer.cancel_stale_calls()
    async with asyncio.timeout(20):
        with pytest.raises(AnswerLostError):
            await hanging
    await peer.close()
    server.close()


async def test_a_time_out_on_replaced_connections_keeps_the_new_ones():
    """A time-out replaces only the connections that were open when its call began."""

    async def serve(reader, writer):
        path = (await reader.readuntil(b"\r\n\r\n")).split()[1]
        while path == b"/ok":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            connections.add(writer)
            path = (await reader.readuntil(b"\r\n\r\n")).split()[1]

    connections = set()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    peer = HttpPeer(f"{host}:{port}")
    slow_call = asyncio.ensure_future(peer.call("GET", "/silent", timeout=0.4))
    with pytest.raises(AnswerLostError):
        await peer.call("GET", "/silent", timeout=0.1)
    await peer.call("GET", "/ok", timeout=60.0)
    with pytest.raises(AnswerLostError):
        await slow_call
    await peer.call("GET", "/ok", timeout=60.0)
    assert len(connections) == 1
    await peer.close()
    server.close()


async def open_trickling_server(on_closed, interval=0.01):
    """Start a server that responds with one byte per interval, without an end.

    `interval` is in seconds; `on_closed` is set when the connection ends.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        try:
            while not writer.is_closing():
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(interval)
        except ConnectionError:
            pass
        finally:
            on_closed.set()
            writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def expect_time_out_and_close(send_request, interval=0.01):
    """Expect that a request times out and that its own connection is then closed."""
    closed = asyncio.Event()
    server, address = await open_trickling_server(closed, interval)
    peer = HttpPeer(address)
    async with asyncio.timeout(30):
        with pytest.raises(AnswerLostError):
            await send_request(peer)
        assert peer._closing  # The replaced connections still have their grace time.
        await closed.wait()
        assert peer._closing
    await peer.close()
    server.close()


async def test_a_call_that_times_out_within_the_response_closes_its_connection():
    await expect_time_out_and_close(lambda peer: peer.call("GET", "/", timeout=0.2))


async def test_a_read_that_times_out_within_the_response_closes_its_connection():
    limits = ReadLimits(first_byte=NEVER, idle=0.2, body=NEVER)
    await expect_time_out_and_close(lambda peer: peer.read("/", limits), interval=1.0)


async def test_a_read_whose_body_never_ends_times_out():
    limits = ReadLimits(first_byte=NEVER, idle=NEVER, body=0.2)
    await expect_time_out_and_close(lambda peer: peer.read("/", limits))


async def test_a_read_whose_response_never_begins_times_out():
    closed_by = asyncio.get_running_loop().create_future()
    server, address = await open_silent_server(closed_by)
    peer = HttpPeer(address)
    async with asyncio.timeout(30):
        with pytest.raises(AnswerLostError):
            await peer.read("/", ReadLimits(first_byte=0.2, idle=NEVER, body=NEVER))
        assert await closed_by == "reset"
    await peer.close()
    server.close()


class PartialServer:
    """Responds at once, except on two paths.

    `/silent` gets no response. The response to `/large` begins at once and ends when
    `large_response_released` is set. `requested_paths` has one list for each
    connection.
    """

    def __init__(self):
        self.requested_paths = []
        self.open_connections = 0
        self.large_response_begun = asyncio.Event()
        self.large_response_released = asyncio.Event()

    async def open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return HttpPeer(f"{host}:{port}")

    async def _serve(self, reader, writer):
        paths = []
        self.requested_paths.append(paths)
        self.open_connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                paths.append(request.split()[1].decode())
                if paths[-1] == "/silent":
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{")
                if paths[-1] == "/large":
                    self.large_response_begun.set()
                    await self.large_response_released.wait()
                writer.write(b"}")
        self.open_connections -= 1
        writer.transport.abort()

    def close(self):
        self.large_response_released.set()
        self._server.close()


NO_LIMITS = ReadLimits(first_byte=NEVER, idle=NEVER, body=NEVER)
SHORT_FIRST_BYTE = ReadLimits(first_byte=0.1, idle=NEVER, body=NEVER)


async def time_out_call(peer):
    """Send a call that may have an effect, and let it time out."""
    with pytest.raises(AnswerLostError):
        await peer.call("POST", "/silent", timeout=0.1)


async def time_out_read(peer):
    """Send a read, and let it time out."""
    with pytest.raises(AnswerLostError):
        await peer.read("/silent", SHORT_FIRST_BYTE)


@pytest.mark.parametrize("time_out_request", [time_out_call, time_out_read])
@pytest.mark.parametrize("grace", [0.0, NEVER], ids=["grace-over", "peer-returns"])
async def test_an_arriving_response_completes_after_another_request_times_out(
    monkeypatch, time_out_request, grace
):
    # Guards against a read that is cancelled and repeated again and again: on a slow
    # link, the time-outs of other calls used to cancel responses that were arriving.
    monkeypatch.setattr(http, "OLD_SESSION_GRACE", grace)
    server = PartialServer()
    peer = await server.open()
    async with asyncio.timeout(30):
        large_read = asyncio.ensure_future(peer.read("/large", NO_LIMITS))
        await server.large_response_begun.wait()
        await time_out_request(peer)
        await peer.read("/", NO_LIMITS)
        peer.cancel_stale_calls()
        while peer._closing:
            await asyncio.sleep(0.01)
        server.large_response_released.set()
        assert (await large_read).body == b"{}"
    await peer.close()
    server.close()


async def test_a_stale_read_is_cancelled_once_the_peer_responds_again():
    """Only reads whose response has begun to arrive are allowed to complete."""
    server = PartialServer()
    peer = await server.open()
    async with asyncio.timeout(30):
        hanging = asyncio.ensure_future(peer.read("/silent", NO_LIMITS))
        while server.requested_paths != [["/silent"]]:
            await asyncio.sleep(0.01)
        await time_out_call(peer)
        peer.cancel_stale_calls()
        with pytest.raises(AnswerLostError):
            await hanging
    await peer.close()
    server.close()


@pytest.mark.parametrize("time_out_request", [time_out_call, time_out_read])
async def test_connections_from_before_a_time_out_are_not_used_after_it(
    time_out_request,
):
    server = PartialServer()
    peer = await server.open()
    async with asyncio.timeout(30):
        await peer.read("/a", NO_LIMITS)
        await peer.call("POST", "/b", timeout=NEVER)
        await time_out_request(peer)
        await peer.read("/c", NO_LIMITS)
        await peer.call("POST", "/d", timeout=NEVER)
        before = [paths for paths in server.requested_paths if {"/a", "/b"} & {*paths}]
        assert not [paths for paths in before if {"/c", "/d"} & {*paths}]
    await peer.close()
    server.close()


async def test_connections_of_reads_are_closed_after_the_last_response_on_them():
    server = PartialServer()
    peer = await server.open()
    async with asyncio.timeout(30):
        large_read = asyncio.ensure_future(peer.read("/large", NO_LIMITS))
        await server.large_response_begun.wait()
        await time_out_call(peer)
        peer.cancel_stale_calls()
        while peer._closing:
            await asyncio.sleep(0.01)
        server.large_response_released.set()
        await large_read
        while server.open_connections:
            await asyncio.sleep(0.01)
    await peer.close()
    server.close()


async def test_closing_a_peer_closes_the_connections_that_were_replaced():
    """A node that ends would otherwise leave them open until they are collected."""
    peer = HttpPeer("127.0.0.1:1")
    replaced = peer._open_connections()
    session = replaced.calls
    peer._replace(replaced)
    await peer.close()
    assert session.closed


async def open_endless_server():
    """Start a server whose responses have 64 MB, in small chunks."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(1000):
                writer.write(b"10000\r\n" + b" " * 65_536 + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


@pytest.mark.parametrize("is_read", [True, False])
async def test_a_response_without_an_end_is_given_up(is_read):
    """A peer's response that didn't end filled the memory of the process."""
    server, address = await open_endless_server()
    peer = HttpPeer(address)
    with pytest.raises(AnswerLostError, match="longer than"):
        if is_read:
            await peer.read("/", ReadLimits(NEVER, NEVER, body=NEVER))
        else:
            await peer.call("POST", "/", timeout=NEVER, body={})
    await peer.close()
    server.close()
