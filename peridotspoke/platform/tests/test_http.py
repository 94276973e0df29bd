"""Tests of the adapter's HTTP client against a raw socket."""

import asyncio

import pytest

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.platform.http import HttpPeer


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
