"""Tests of whole nodes against stand-ins for the platform on the loopback interface."""

import asyncio
import contextlib

import aiohttp
import pytest

from peridotspoke.platform.tests.platforms import (
    JOB_ID,
    STEPS,
    TIMING,
    FakePlatform,
    call,
    find_overlaps,
    submit,
    wait_for_state,
)


@pytest.fixture
async def platform():
    fake = FakePlatform()
    await fake.open()
    yield fake
    async with asyncio.timeout(20):
        await fake.close()


async def start_node_and_task(platform):
    """Start the node n1 and wait until an executor has begun a task of 1.6 s for it."""
    for executor in platform.executors:
        executor.duration = 1.6
    address = await platform.start_node("n1")
    await submit(address, steps=[{"count": 1, "cpu": 500}])
    async with asyncio.timeout(20):
        while not any(executor.starts for executor in platform.executors):
            await asyncio.sleep(0.02)


async def test_a_job_of_two_steps_runs_each_task_once(platform):
    """The second step waits for the first; no task is started twice."""
    address = await platform.start_node("n1")
    await submit(address)
    await wait_for_state(address, "completed")
    starts = [start for executor in platform.executors for start in executor.starts]
    assert sorted(task for task, _ in starts) == sorted(
        f"{JOB_ID}.0.{step}.{index}"
        for step, index in ((0, 0), (0, 1), (0, 2), (1, 0), (1, 1))
    )


async def test_lost_responses_of_the_store_and_of_executors_start_no_run_twice(
    platform,
):
    """A start without a response is looked up or stopped before the task is retried."""
    platform.store.faults = ["lost", "busy"] * 4
    platform.executors[0].lost_start_responses = 2
    address = await platform.start_node("n1")
    await submit(address)
    await wait_for_state(address, "completed")
    starts = [start for executor in platform.executors for start in executor.starts]
    assert len(starts) == len(set(starts))


async def test_tasks_that_take_a_while_to_stop_run_nowhere_else_meanwhile(platform):
    # Guards against two runs at once (TWICE in the users' own runs): several runs of
    # one executor are stopped together, and it lists none of them until they end.
    for executor in platform.executors:
        executor.duration = 3600.0
        executor.stop_duration = 0.39
        executor.lost_start_responses = 2
    address = await platform.start_node("n1")
    await submit(address, steps=[{"count": 4, "cpu": 500}])
    async with asyncio.timeout(20):
        while not all(executor.intervals for executor in platform.executors):
            await asyncio.sleep(0.02)
        while sum(len(executor.running) for executor in platform.executors) < 4:
            await asyncio.sleep(0.02)
    assert not find_overlaps(platform.executors)


async def test_a_task_that_always_fails_ends_its_job_after_all_attempts(platform):
    """The queue allows two attempts."""
    task = f"{JOB_ID}.0.0.0"
    for executor in platform.executors:
        executor.failing.add(task)
    address = await platform.start_node("n1")
    await submit(address)
    await wait_for_state(address, "failed")
    starts = [start for executor in platform.executors for start in executor.starts]
    assert sum(name == task for name, _ in starts) == 2


async def test_odd_entries_of_other_writers_keep_no_node_from_working(platform):
    # Guards against nodes that end, stop following the entries or count on capacity
    # that does not exist.
    good = platform.executors[0].describe()
    for number, value in enumerate(
        [
            b'{"inventory":' + b"[" * 2000,
            b"9" * 5000,
            {**good, "seq": 10**30},
            {**good, "born": 10**18},
            {**good, "capacity": {"cpu": 10**18, "memMb": -5, "gpu": 0}},
            {**good, "address": "127.0.0.1:99999"},
            {**good, "address": "[::1:9"},
            {**good, "address": "a" * 300 + ":80"},
            {**good, "service": "unknown"},
        ]
    ):
        platform.store.put(f"servers/odd-{number}", value)
    address = await platform.start_node("n1")
    await submit(address)
    await wait_for_state(address, "completed")
    parts = platform.nodes["n1"][2]
    assert set(parts.view.entries) == {"i-0", "i-1", "odd-8"}


async def test_a_caller_that_sends_a_deeply_nested_body_is_told_so(platform):
    # Guards against an error of the server for what the caller got wrong.
    address = await platform.start_node("n1")
    await submit(address)
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{address}/q/{'a' * 16}",
            data=b'{"spec":"s","steps":[],"x":' + b"[" * 2000,
            headers={"Host": "jobs.example"},
        ) as response,
    ):
        assert response.status == 400


async def test_a_job_whose_every_start_is_refused_is_counted_as_waiting(platform):
    # Guards against a count that leaves out jobs of which no task has started, on the
    # pool's owner and elsewhere (review/5).
    for executor in platform.executors:
        executor.refuses_starts = True
    owner = await platform.start_node("n1")
    await submit(owner, steps=[{"count": 1, "cpu": 500}])
    async with asyncio.timeout(20):
        while sum(executor.refused_starts for executor in platform.executors) < 3:
            await asyncio.sleep(0.02)
    other = await platform.start_node("n2")
    async with asyncio.timeout(20):
        while (await call(other, "GET", ""))[0] != 200:
            await asyncio.sleep(0.02)
    for address in (owner, other):
        assert (await call(address, "GET", ""))[1] == {"waiting": 1}
    for executor in platform.executors:
        executor.refuses_starts = False
    await wait_for_state(owner, "completed")
    assert (await call(owner, "GET", ""))[1] == {"waiting": 0}


async def test_another_node_takes_over_running_tasks(platform):
    """The first node is killed while a task runs; the task is not started again."""
    await start_node_and_task(platform)
    second = await platform.start_node("n2")
    await platform.kill_node("n1")
    await wait_for_state(second, "completed")
    assert sum(len(executor.starts) for executor in platform.executors) == 1


async def test_a_node_that_stops_tells_its_successor_how_long_its_leases_last(platform):
    """The successor waits no longer for them, nor does it start the task again."""
    await start_node_and_task(platform)
    second = await platform.start_node("n2")
    await platform.nodes["n1"][0].release_units()
    ownership = platform.nodes["n2"][2].ownership
    async with asyncio.timeout(20):
        while "pool" not in ownership.holdings:
            await asyncio.sleep(0.02)
    (used,) = [item.executor_id for item in platform.executors if item.starts]
    assert list(ownership.holdings["pool"].lease_ends) == [used]
    await wait_for_state(second, "completed")
    assert sum(len(executor.starts) for executor in platform.executors) == 1


async def test_a_cancelled_job_stops_its_running_tasks(platform):
    """Each of its tasks is stopped on its executor."""
    for executor in platform.executors:
        executor.duration = 3600.0
    address = await platform.start_node("n1")
    await submit(address, steps=[{"count": 2, "cpu": 500, "longRunning": True}])
    async with asyncio.timeout(20):
        while sum(len(executor.running) for executor in platform.executors) < 2:
            await asyncio.sleep(0.02)
        assert (await call(address, "DELETE"))[0] == 200
        while any(executor.running for executor in platform.executors):
            await asyncio.sleep(0.02)
    assert (await call(address, "GET"))[1] == {"state": "cancelled"}


async def test_a_compacted_history_loses_no_job(platform):
    """The refused watch makes the node read all records again."""
    address = await platform.start_node("n1")
    await submit(address)
    platform.store.compact()
    await wait_for_state(address, "completed")
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.1):
            await wait_for_state(address, "failed")


async def test_a_node_does_not_receive_the_jobs_of_pools_that_others_own(platform):
    # Guards against a node that receives all jobs of the fleet: its network link is too
    # slow for them.
    spec, jobs = "s" * 3500, [f"{number:016x}" for number in range(40)]
    owner = await platform.start_node("n1")
    await submit(owner)
    await wait_for_state(owner, "completed")
    other = await platform.start_node("n2")
    async with asyncio.timeout(20):
        while (await call(other, "GET"))[0] != 200:
            await asyncio.sleep(0.02)
        for job_id in jobs:
            await call(owner, "POST", job_id, STEPS, spec)
        for address, job_id in [(owner, job_id) for job_id in jobs] + [(other, JOB_ID)]:
            while (await call(address, "GET", job_id))[1] != {"state": "completed"}:
                await asyncio.sleep(0.02)
        while (await call(other, "GET", ""))[1] != {"waiting": 0}:
            await asyncio.sleep(0.02)
    metrics = platform.nodes["n2"][2].metrics
    received_bytes = sum(
        metrics.get_count("store_bytes", kind=k) for k in ("watch", "range")
    )
    assert received_bytes < len(jobs) * len(spec)


async def test_accepted_work_starts_while_the_store_is_away_for_all(platform):
    # Guards against executors that stand idle beside accepted work until the store is
    # back: an availability zone goes on serving what it can without the platform.
    executor = platform.executors.pop()
    platform.store.remove(f"servers/{executor.executor_id}")
    (executor,) = platform.executors
    executor.duration = 1.0
    address = await platform.start_node("n1")
    whole_executor = [{"count": 1, "cpu": 8000}]
    await submit(address, whole_executor)
    async with asyncio.timeout(20):
        while not executor.starts:
            await asyncio.sleep(0.02)
        assert (await call(address, "POST", "a" * 16, whole_executor))[0] == 200
    platform.store.unavailable = True
    alone = TIMING.lease_horizon - TIMING.run_lease  # seconds
    await asyncio.sleep(executor.duration + alone)
    assert [task for task, _ in executor.starts] == [
        f"{JOB_ID}.0.0.0",
        f"{'a' * 16}.0.0.0",
    ]
