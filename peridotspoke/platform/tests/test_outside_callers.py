"""A node process under callers outside the limits, which nobody controls.

Each test guards against a process that ends, hangs, takes more memory than its instance
has, leaves no descriptors for the store, or fills its log, because of what callers
send. The bounds are those of the instance, which the node's settings file states.
"""

import contextlib
import os

import pytest

from peridotspoke.platform.settings import METRICS_PORT
from peridotspoke.platform.tests.smallnode import (
    DESCRIPTORS,
    MEMORY,
    READY_PORT,
    SmallNode,
    check_bounds,
)

FEW_DESCRIPTORS = 160  # limits.maxFds where the crowd is to take descriptors
MOST_ERRORS = 1000  # bytes of standard error where the reader of the log has left
SMALLEST_MEMORY = 160  # MB, that of the smallest prepared instances
SMALLEST_DESCRIPTORS = 4100  # those of the smallest prepared instances
CALLS = 20  # ordinary calls, each of which is logged
MEMORY_CROWDS = (
    "endless-heads",
    "whole-bodies",
    "body-pieces",
    "large-chunks",
    "small-chunks",
    "unread-responses",
    "pipelined-bodies",
    "trailers",
    "half-closed-bodies",
    "bodies-for-no-queue",
    "jobs-of-many-steps",
    "jobs-of-many-faults",
    "large-jobs",
)
DESCRIPTOR_CROWDS = ("head-bytes", "empty-lines", "left-connections")
OUTPUT_CROWDS = ("oversized-heads", "malformed-heads", "left-bodies")
# Crowds one after another on one process, and at last several at once.
SERIES = (
    ("whole-bodies",),
    ("bodies-for-no-queue",),
    ("large-chunks",),
    ("bodies",),
    ("body-pieces",),
    ("half-closed-bodies",),
    ("whole-bodies", "large-chunks", "bodies", "body-pieces"),
)


async def meet_crowd(folder, kind, descriptors):
    """Check that a node withstands a crowd and answers an ordinary caller beside it."""
    async with SmallNode(folder, descriptors) as node:
        async with node.meet(kind):
            answered = await answers_ordinary_call(node, 2)
        await check_bounds(node, kind, answered)


async def answers_ordinary_call(node, number):
    try:
        await node.call_ordinarily(number)
    except TimeoutError:
        return False
    return True


@pytest.mark.parametrize("kind", MEMORY_CROWDS)
async def test_memory_stays_within_the_instance(alone, tmp_path, kind):
    await meet_crowd(tmp_path, kind, DESCRIPTORS)


@pytest.mark.parametrize("kind", DESCRIPTOR_CROWDS)
async def test_descriptors_are_left_for_the_store(alone, tmp_path, kind):
    await meet_crowd(tmp_path, kind, FEW_DESCRIPTORS)


@pytest.mark.parametrize("kind", OUTPUT_CROWDS)
async def test_malformed_requests_do_not_fill_the_log(alone, tmp_path, kind):
    await meet_crowd(tmp_path, kind, DESCRIPTORS)


@pytest.mark.parametrize("port", [READY_PORT, METRICS_PORT])
async def test_heads_at_other_addresses_stay_within_the_instance(alone, tmp_path, port):
    async with SmallNode(tmp_path) as node:
        async with node.meet("endless-heads", port):
            answered = await answers_ordinary_call(node, 2)
        await check_bounds(node, port, answered)


@pytest.mark.parametrize(
    ("memory", "descriptors"),
    [(MEMORY, DESCRIPTORS), (SMALLEST_MEMORY, SMALLEST_DESCRIPTORS)],
)
async def test_a_series_of_crowds_stays_within_the_instance(
    alone, tmp_path, memory, descriptors
):
    async with SmallNode(tmp_path, descriptors, memory=memory) as node:
        answered = True
        for number, kinds in enumerate(SERIES, start=2):
            async with contextlib.AsyncExitStack() as crowds:
                for kind in kinds:
                    await crowds.enter_async_context(node.meet(kind))
                answered &= await answers_ordinary_call(node, number)
        await check_bounds(node, "series", answered)


async def test_a_log_reader_that_leaves_costs_one_line(alone, tmp_path):
    reader, writer = os.pipe()
    async with SmallNode(tmp_path, DESCRIPTORS, writer) as node:
        os.close(writer)
        os.close(reader)
        for number in range(2, CALLS):
            await node.call_ordinarily(number)
        errors = (tmp_path / "err").stat().st_size
        print(f"log reader that leaves: {errors} bytes of standard error")
        assert node.process.poll() is None
        assert errors <= MOST_ERRORS
