"""Seeded plays of whole nodes under series of faults that overlap.

Each play draws its jobs and its faults from a seed. None may run a task twice at once,
and each accepted job has to end.
"""

import asyncio
import contextlib
import random

import aiohttp
import pytest

from peridotspoke.platform.standins import ExecutorStandIn
from peridotspoke.platform.tests.platforms import FakePlatform, call, find_overlaps

JOBS = 24
FAULTS = 10
CALM = 6.0  # seconds; longer than the leases of an owner that was lost without a word
NODES = ("n1", "n2")
STOP_DURATION = 0.3  # seconds


class Soak:
    """One play on a `FakePlatform`; all choices are drawn from the seed."""

    def __init__(self, platform, seed):
        self.platform = platform
        self.chance = random.Random(seed)
        self.addresses = {}
        self.accepted = set()

    async def play(self):
        """Submit jobs beside faults, then wait until all accepted jobs have ended."""
        for name in NODES:
            self.addresses[name] = await self.platform.start_node(name)
        await asyncio.gather(self._submit_jobs(), self._make_faults())
        await asyncio.sleep(CALM)
        async with asyncio.timeout(60):
            for job_id in self.accepted:
                while await self._call("GET", job_id) != (200, {"state": "completed"}):
                    await asyncio.sleep(0.1)

    async def _call(self, method, job_id, steps=None):
        """Call one of the nodes that serve; None if it is lost during the call."""
        if not self.addresses:
            return None
        name = self.chance.choice(sorted(self.addresses))
        with contextlib.suppress(aiohttp.ClientError, OSError):
            return await call(self.addresses[name], method, job_id, steps)
        return None

    async def _submit_jobs(self):
        for number in range(JOBS):
            job_id = f"{number:016x}"
            steps = [{"count": self.chance.randint(1, 4), "cpu": 500}]
            answer = await self._call("POST", job_id, steps)
            if answer is not None and answer[0] == 200:
                self.accepted.add(job_id)
            await asyncio.sleep(self.chance.uniform(0.1, 0.5))

    async def _make_faults(self):
        kinds = [
            self._lose_starts,
            self._silence_executor,
            self._lapse_entry,
            self._stop_store,
            self._compact_history,
            self._replace_node,
        ]
        pending = []
        for _ in range(FAULTS):
            await asyncio.sleep(self.chance.uniform(0.2, 1.2))
            pending.append(asyncio.ensure_future(self.chance.choice(kinds)()))
        await asyncio.gather(*pending)

    def _draw_executor(self):
        return self.chance.choice(self.platform.executors)

    async def _lose_starts(self):
        self._draw_executor().lost_start_responses = 3

    async def _silence_executor(self):
        executor = self._draw_executor()
        executor.silent = True
        await asyncio.sleep(self.chance.choice([0.5, 1.5, 3.0]))
        executor.silent = False

    async def _lapse_entry(self):
        """Let a draining executor's entry lapse, while it lives, and come back."""
        executor, store = self._draw_executor(), self.platform.store
        key, entry = f"servers/{executor.executor_id}", executor.describe()
        store.put(key, {**entry, "state": "draining", "remainingMs": 2000})
        await asyncio.sleep(self.chance.uniform(0.3, 0.8))
        store.remove(key)
        executor.silent = True
        await asyncio.sleep(self.chance.uniform(0.5, 1.5))
        executor.silent = False
        store.put(key, entry)

    async def _stop_store(self):
        self.platform.store.unavailable = True
        await asyncio.sleep(self.chance.choice([0.5, 1.5, 2.5]))
        self.platform.store.unavailable = False

    async def _compact_history(self):
        self.platform.store.compact()

    async def _replace_node(self):
        """End a node without a word and start it again, unless one is away already."""
        if len(self.addresses) < len(NODES):
            return
        name = self.chance.choice(NODES)
        del self.addresses[name]
        await self.platform.kill_node(name)
        await asyncio.sleep(self.chance.uniform(0.1, 1.0))
        self.addresses[name] = await self.platform.start_node(name)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_no_task_runs_twice_at_once_and_no_job_is_lost(seed):
    # Guards against two runs at once (TWICE) and accepted jobs that stand (LOST).
    platform = FakePlatform()
    platform.executors = [
        ExecutorStandIn(
            f"i-{number}", "pool", duration=1.2, stop_duration=STOP_DURATION
        )
        for number in range(3)
    ]
    await platform.open()
    try:
        soak = Soak(platform, seed)
        await soak.play()
        assert soak.accepted
        assert not find_overlaps(platform.executors)
    finally:
        async with asyncio.timeout(30):
            await platform.close()
