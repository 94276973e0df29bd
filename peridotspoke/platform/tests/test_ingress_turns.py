"""Tests of which callers wait for which at a node's HTTP server."""

import asyncio

import pytest

from peridotspoke.nodes import jobanswers
from peridotspoke.nodes.settings import NodeSettings
from peridotspoke.platform.ingress import Ingress
from peridotspoke.platform.tests.test_keys import call

KNOWN, UNKNOWN = b"known", b"unknown"


class Handler:
    """Waits for a newer configuration before it decides about an unknown key."""

    checks_keys = True
    max_body_size = 1000

    def __init__(self):
        self.waiting, self.is_proved = 0, asyncio.Event()

    async def check_head(self, host, path, key, step="submit"):
        if key.lines == (UNKNOWN.decode(),):
            self.waiting += 1
            await self.is_proved.wait()
            return jobanswers.UnknownQueue()
        return None

    async def show(self, host, path, key):
        return await self.check_head(host, path, key) or jobanswers.Counted(1)

    async def cancel(self, host, path, key):
        return await self.check_head(host, path, key) or jobanswers.Accepted()

    async def submit(self, host, path, body, key):
        return await self.check_head(host, path, key) or jobanswers.Accepted()


@pytest.mark.parametrize("method", ["GET", "DELETE", "POST"])
async def test_callers_with_unknown_keys_hold_up_no_others(method):
    """Reads of the configuration for unknown keys took the turns of known callers."""
    address = "127.0.0.1:0"
    settings = NodeSettings("n", "z", address, address, "127.0.0.1:1", descriptors=12)
    handler = Handler()
    ingress = Ingress(settings, handler, bytes)
    await ingress.open()
    unknown = [
        asyncio.ensure_future(call(ingress.addresses[0], method, [UNKNOWN]))
        for _ in range(3)  # with 12 descriptors, one request is carried out at once
    ]
    try:
        async with asyncio.timeout(5):
            while not handler.waiting:
                await asyncio.sleep(0.01)
            answer = await call(ingress.addresses[0], method, [KNOWN])
        assert answer[0] == 200
    finally:
        handler.is_proved.set()
        await asyncio.gather(*unknown)
        await ingress.close()
