"""A node process under callers outside the limits, which nobody controls.

Each test guards against a process that ends, hangs, takes more memory than its instance
has, leaves no descriptors for the store, or fills its log, because of what callers
send. The bounds are those of the instance, which the node's settings file states.
"""

import asyncio
import fcntl
import os

import pytest

from peridotspoke.platform.tests.smallnode import DESCRIPTORS, MEMORY, SmallNode

MEGABYTE = 1_000_000  # bytes
FEW_DESCRIPTORS = 160  # limits.maxFds where the crowd is to take descriptors
SPARE_DESCRIPTORS = 20  # for the store, the executors and the log
MOST_OUTPUT = 65_536  # bytes of standard output and error
MOST_ERRORS = 1000  # bytes of standard error where the reader of the log has left
CALLS = 20  # ordinary calls, each of which is logged
MEMORY_CROWDS = (
    "endless-heads",
    "whole-bodies",
    "body-pieces",
    "large-chunks",
    "small-chunks",
    "unread-responses",
    "pipelined-bodies",
)
DESCRIPTOR_CROWDS = ("head-bytes", "empty-lines", "left-connections")
OUTPUT_CROWDS = ("oversized-heads", "malformed-heads", "left-bodies")


@pytest.fixture
def alone(tmp_path_factory):
    """Let one of these tests run at a time, over all workers of pytest-xdist."""
    path = tmp_path_factory.getbasetemp().parent / "outside-callers.lock"
    with open(path, "w", encoding="utf-8") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


async def meet_crowd(folder, kind, descriptors):
    """Check that a node withstands a crowd and answers an ordinary caller beside it."""
    async with SmallNode(folder, descriptors) as node:
        async with node.meet(kind):
            answered = True
            try:
                await node.call_ordinarily(2)
            except TimeoutError:
                answered = False
        await asyncio.sleep(0.5)  # for what the end of the connections writes
        measured = (
            f"memory {node.first_memory / MEGABYTE:.1f} to "
            f"{node.most_memory / MEGABYTE:.1f} MB, "
            f"descriptors {node.most_descriptors}, output {node.measure_output()} "
            f"bytes, answered {answered}"
        )
        print(f"{kind}: {measured}")
        assert node.process.poll() is None, measured
        assert node.most_memory <= MEMORY * MEGABYTE, measured
        assert node.most_descriptors <= descriptors - SPARE_DESCRIPTORS, measured
        assert node.measure_output() <= MOST_OUTPUT, measured
        assert answered, measured


@pytest.mark.parametrize("kind", MEMORY_CROWDS)
async def test_memory_stays_within_the_instance(alone, tmp_path, kind):
    await meet_crowd(tmp_path, kind, DESCRIPTORS)


@pytest.mark.parametrize("kind", DESCRIPTOR_CROWDS)
async def test_descriptors_are_left_for_the_store(alone, tmp_path, kind):
    await meet_crowd(tmp_path, kind, FEW_DESCRIPTORS)


@pytest.mark.parametrize("kind", OUTPUT_CROWDS)
async def test_malformed_requests_do_not_fill_the_log(alone, tmp_path, kind):
    await meet_crowd(tmp_path, kind, DESCRIPTORS)


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
