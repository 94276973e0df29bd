"""Tests of whole nodes that keep a workspace within its limit, on stand-ins."""

import asyncio

import pytest

from peridotspoke.platform.standins import ExecutorStandIn
from peridotspoke.platform.tests.platforms import (
    CONFIG,
    FakePlatform,
    call,
    find_overlaps,
)

TASKS = 6
CPU = 500
MOST = 2  # tasks that the limit allows at once
KEY = "key-of-team"
IDS = ("5c0e7a21d94b36f8", "o/00000000000000aa")  # one for each queue


@pytest.fixture
async def platform():
    """A platform with two pools and a workspace with a limit."""
    fake = FakePlatform()
    fake.executors.append(ExecutorStandIn("i-2", "other"))
    await fake.open()
    route = CONFIG["routes"][0]
    config = {
        **CONFIG,
        "version": 4,
        "routes": [
            {**route, "prefix": "/q/"},
            {**route, "name": "s", "prefix": "/q/o/", "service": "other"},
        ],
        "services": [
            *CONFIG["services"],
            {"name": "other", "admissionCheck": True, "spare": False},
        ],
        "tenants": [
            {"name": "team", "apiKeys": [KEY], "maxCount": {"cpu": MOST * CPU}}
        ],
    }
    fake.store.put("op/config", config)
    for executor in fake.executors:
        executor.duration = 0.15
    yield fake
    async with asyncio.timeout(20):
        await fake.close()


async def submit_all(address):
    for job_id in IDS:
        steps = [{"count": TASKS, "cpu": CPU}]
        async with asyncio.timeout(20):
            while (await call(address, "POST", job_id, steps, key=KEY))[0] != 200:
                await asyncio.sleep(0.05)


async def wait_for_all(address):
    async with asyncio.timeout(40):
        for job_id in IDS:
            while True:
                _, answer = await call(address, "GET", job_id, key=KEY)
                if answer == {"state": "completed"}:
                    break
                await asyncio.sleep(0.05)


def find_peak(executors):
    """Return how many tasks ran at once, over all executors."""
    spans = [span[1:] for executor in executors for span in executor.intervals]
    changes = [(begin, 1) for begin, _ in spans] + [(end, -1) for _, end in spans]
    running = peak = 0
    for _, change in sorted(changes):
        running += change
        peak = max(peak, running)
    return peak


async def test_two_pools_keep_a_workspace_within_its_limit(platform):
    """Guards against pools that each go by the whole limit."""
    address = await platform.start_node("n1")
    await submit_all(address)
    await wait_for_all(address)
    assert 0 < find_peak(platform.executors) <= MOST
    assert any(key.startswith("quota/") for key in platform.store.items)


async def test_the_limit_holds_over_lost_answers_and_a_change_of_owner(platform):
    """Guards against grants that a new owner or a repeated write counts anew."""
    first = await platform.start_node("n1")
    await submit_all(first)
    platform.store.faults = ["lost", "busy"] * 3
    async with asyncio.timeout(20):
        while not any(executor.starts for executor in platform.executors):
            await asyncio.sleep(0.02)
    second = await platform.start_node("n2")
    await platform.kill_node("n1")
    await wait_for_all(second)
    assert find_peak(platform.executors) <= MOST
    assert not find_overlaps(platform.executors)
