"""Tests of how a program waits for its stop."""

import asyncio

import pytest

from peridotspoke.exceptions import PeridotspokeError
from peridotspoke.programs.running import wait_for_stop


async def fail():
    raise KeyError("unexpected")


async def test_a_failure_that_comes_together_with_the_stop_is_not_dropped():
    """The first of two finished tasks was taken at random, and the other ignored."""
    stop_requested = asyncio.Event()
    stop_requested.set()
    task = asyncio.ensure_future(fail())
    await asyncio.sleep(0)
    with pytest.raises(KeyError):
        await wait_for_stop(stop_requested, [task])


async def test_a_program_does_not_go_on_without_one_of_its_tasks():
    """The entry program never looked at its background tasks."""
    task = asyncio.ensure_future(asyncio.sleep(0))
    with pytest.raises(PeridotspokeError, match="ended"):
        await wait_for_stop(asyncio.Event(), [task])


async def test_a_stop_ends_the_wait_while_all_tasks_run():
    stop_requested = asyncio.Event()
    task = asyncio.ensure_future(asyncio.Event().wait())
    stop_requested.set()
    await wait_for_stop(stop_requested, [task])
    task.cancel()
