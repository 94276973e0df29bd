"""A node process whose executors or store answer outside of all limits.

As in `test_outside_callers`, the bounds are those of the instance.
"""

import asyncio
import contextlib

import pytest
from aiohttp import web

from peridotspoke.platform.tests.smallnode import (
    DESCRIPTORS,
    SmallNode,
    check_bounds,
)

EXECUTORS = 20
ANSWER = 7_900_000  # bytes, less than what a single answer may have
STEP = 65_536  # bytes
FAULT_TIME = 6.0  # seconds for which the answers are faulty
FIELD = "a" * 8000  # value of a header field


async def answer_at_length(request):
    """Answer a large body, in pieces."""
    response = web.StreamResponse()
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        for _ in range(ANSWER // STEP):
            await response.write(b" " * STEP)
        await response.write(b"{}")
    return response


async def answer_endlessly(request):
    """Answer a body without an end, slowly enough not to be silent."""
    response = web.StreamResponse()
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        while True:
            await response.write(b" " * STEP)
            await asyncio.sleep(0.02)
    return response


async def answer_long_head(request):
    """Answer a head of many long fields."""
    fields = {f"X-{number}": FIELD for number in range(100)}
    return web.Response(headers=fields, body=b"{}")


FAULTS = {
    "large": answer_at_length,
    "endless": answer_endlessly,
    "long-heads": answer_long_head,
}


class FaultyServices(SmallNode):
    """A small node whose executors and store can be made faulty."""

    def __init__(self, folder, executors):
        super().__init__(folder, DESCRIPTORS, executors=executors)
        self.executors_fault = self.store_fault = None

    def wrap_executor(self, handler):
        async def handle(request):
            return await (self.executors_fault or handler)(request)

        return handle

    def wrap_store(self, handler):
        async def handle(request):
            return await (self.store_fault or handler)(request)

        return handle


async def check_fault(node, service, fault):
    """Let a service answer faultily for a while; check the node beside and after it."""
    attribute = f"{service}_fault"
    setattr(node, attribute, FAULTS[fault])
    await asyncio.sleep(FAULT_TIME)
    setattr(node, attribute, None)
    answered = True
    try:
        await node.call_ordinarily(2)
    except TimeoutError:
        answered = False
    await check_bounds(node, f"{service}, {fault}", answered)


@pytest.mark.parametrize("fault", FAULTS)
async def test_answers_of_many_executors(alone, tmp_path, fault):
    async with FaultyServices(tmp_path, EXECUTORS) as node:
        await check_fault(node, "executors", fault)


@pytest.mark.parametrize("fault", FAULTS)
async def test_answers_of_the_store(alone, tmp_path, fault):
    async with FaultyServices(tmp_path, 1) as node:
        await check_fault(node, "store", fault)
