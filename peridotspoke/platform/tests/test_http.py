"""Tests of the adapter's HTTP client against a raw socket."""

import asyncio
import contextlib

import pytest

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.platform import http
from peridotspoke.platform.http import HttpPeer, ReadLimits

NEVER = 3600.0  # seconds; a limit that must not be the one that ends a call


async def open_silent_server(on_closed):
    """Listen on a free port; read a request, answer nothing, report the end."""

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
    """Bytes that a partition holds up would otherwise arrive once it has healed."""
    ended = asyncio.get_running_loop().create_future()
    server, address = await open_silent_server(ended)
    peer = HttpPeer(address)
    with pytest.raises(AnswerLostError):
        await peer.call("POST", "/order", timeout=0.05, body={"order": 1})
    async with asyncio.timeout(5):
        assert await ended == "reset"
    await peer.close()
    server.close()


async def test_a_refused_connection_means_that_nothing_was_received():
    """Nobody listens on a port that was free a moment ago."""
    server, address = await open_silent_server(
        asyncio.get_running_loop().create_future()
    )
    server.close()
    await server.wait_closed()
    peer = HttpPeer(address)
    with pytest.raises(PlatformUnavailableError):
        await peer.call("GET", "/", timeout=1.0)
    await peer.close()


async def test_calls_that_hang_are_given_up_once_the_peer_answers_again():
    """They were sent while it was silent, and would wait for their own time-out."""
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
    peer.drop_stale_calls()
    async with asyncio.timeout(20):
        with pytest.raises(AnswerLostError):
            await hanging
    await peer.close()
    server.close()


async def test_a_failed_call_on_old_connections_leaves_the_new_ones_alone():
    """Only the connections of its own time are suspect."""

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
    late = asyncio.ensure_future(peer.call("GET", "/silent", timeout=0.4))
    with pytest.raises(AnswerLostError):
        await peer.call("GET", "/silent", timeout=0.1)
    await peer.call("GET", "/ok", timeout=60.0)
    with pytest.raises(AnswerLostError):
        await late
    await peer.call("GET", "/ok", timeout=60.0)
    assert len(connections) == 1
    await peer.close()
    server.close()


async def open_trickling_server(on_closed, pause=0.01):
    """Begin to answer and send a byte at each pause, until the connection ends."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        try:
            while not writer.is_closing():
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(pause)
        except ConnectionError:
            pass
        finally:
            on_closed.set()
            writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def expect_loss_and_close(ask, pause=0.01):
    """Expect that a call is lost and that its connection ends with it."""
    closed = asyncio.Event()
    server, address = await open_trickling_server(closed, pause)
    peer = HttpPeer(address)
    async with asyncio.timeout(30):
        with pytest.raises(AnswerLostError):
            await ask(peer)
        assert peer._closing  # The other calls' connections still have their grace.
        await closed.wait()
        assert peer._closing
    await peer.close()
    server.close()


async def test_a_call_given_up_in_mid_answer_uses_the_link_no_longer():
    await expect_loss_and_close(lambda peer: peer.call("GET", "/", timeout=0.2))


async def test_a_read_given_up_in_mid_answer_uses_the_link_no_longer():
    limits = ReadLimits(begin=NEVER, silence=0.2, arrival=NEVER)
    await expect_loss_and_close(lambda peer: peer.read("/", limits), pause=1.0)


async def test_a_read_that_trickles_for_ever_is_given_up():
    limits = ReadLimits(begin=NEVER, silence=NEVER, arrival=0.2)
    await expect_loss_and_close(lambda peer: peer.read("/", limits))


async def test_a_read_whose_answer_never_begins_is_given_up():
    ended = asyncio.get_running_loop().create_future()
    server, address = await open_silent_server(ended)
    peer = HttpPeer(address)
    async with asyncio.timeout(30):
        with pytest.raises(AnswerLostError):
            await peer.read("/", ReadLimits(begin=0.2, silence=NEVER, arrival=NEVER))
        assert await ended == "reset"
    await peer.close()
    server.close()


class SwitchedServer:
    """Answers at once, but for paths that never, or only in part, are answered.

    `/silent` gets no answer, `/large` begins at once and ends when `released` is set.
    `asked` holds the paths of each connection.
    """

    def __init__(self):
        self.asked = []
        self.open_connections = 0
        self.begun, self.released = asyncio.Event(), asyncio.Event()

    async def open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return HttpPeer(f"{host}:{port}")

    async def _serve(self, reader, writer):
        paths = []
        self.asked.append(paths)
        self.open_connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                paths.append(request.split()[1].decode())
                if paths[-1] == "/silent":
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{")
                if paths[-1] == "/large":
                    self.begun.set()
                    await self.released.wait()
                writer.write(b"}")
        self.open_connections -= 1
        writer.transport.abort()

    def close(self):
        self.released.set()
        self._server.close()


PATIENT = ReadLimits(begin=NEVER, silence=NEVER, arrival=NEVER)
HASTY = ReadLimits(begin=0.1, silence=NEVER, arrival=NEVER)


async def lose_call(peer):
    """Lose a call with an effect."""
    with pytest.raises(AnswerLostError):
        await peer.call("POST", "/silent", timeout=0.1)


async def lose_read(peer):
    """Lose a read."""
    with pytest.raises(AnswerLostError):
        await peer.read("/silent", HASTY)


@pytest.mark.parametrize("lose", [lose_call, lose_read])
@pytest.mark.parametrize("grace", [0.0, NEVER], ids=["grace-over", "peer-returns"])
async def test_an_answer_that_arrives_outlives_the_loss_of_another(
    monkeypatch, lose, grace
):
    # It was cut off and asked for anew while its link was slow and other calls failed.
    monkeypatch.setattr(http, "OLD_SESSION_GRACE", grace)
    server = SwitchedServer()
    peer = await server.open()
    async with asyncio.timeout(30):
        arriving = asyncio.ensure_future(peer.read("/large", PATIENT))
        await server.begun.wait()
        await lose(peer)
        await peer.read("/", PATIENT)
        peer.drop_stale_calls()
        while peer._closing:
            await asyncio.sleep(0.01)
        server.released.set()
        assert (await arriving).body == b"{}"
    await peer.close()
    server.close()


async def test_a_read_that_hangs_is_given_up_once_the_peer_answers_again():
    """It waits for an answer that has not begun, unlike one that arrives."""
    server = SwitchedServer()
    peer = await server.open()
    async with asyncio.timeout(30):
        hanging = asyncio.ensure_future(peer.read("/silent", PATIENT))
        while server.asked != [["/silent"]]:
            await asyncio.sleep(0.01)
        await lose_call(peer)
        peer.drop_stale_calls()
        with pytest.raises(AnswerLostError):
            await hanging
    await peer.close()
    server.close()


@pytest.mark.parametrize("lose", [lose_call, lose_read])
async def test_no_connection_from_before_a_loss_is_used_after_it(lose):
    server = SwitchedServer()
    peer = await server.open()
    async with asyncio.timeout(30):
        await peer.read("/a", PATIENT)
        await peer.call("POST", "/b", timeout=NEVER)
        await lose(peer)
        await peer.read("/c", PATIENT)
        await peer.call("POST", "/d", timeout=NEVER)
        before = [paths for paths in server.asked if {"/a", "/b"} & {*paths}]
        assert not [paths for paths in before if {"/c", "/d"} & {*paths}]
    await peer.close()
    server.close()


async def test_connections_of_reads_are_closed_with_the_last_answer_on_them():
    server = SwitchedServer()
    peer = await server.open()
    async with asyncio.timeout(30):
        arriving = asyncio.ensure_future(peer.read("/large", PATIENT))
        await server.begun.wait()
        await lose_call(peer)
        peer.drop_stale_calls()
        while peer._closing:
            await asyncio.sleep(0.01)
        server.released.set()
        await arriving
        while server.open_connections:
            await asyncio.sleep(0.01)
    await peer.close()
    server.close()
