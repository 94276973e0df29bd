"""Tests of the adapter's HTTP client against a raw socket."""

import asyncio

import pytest

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
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
