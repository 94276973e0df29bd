"""Tests of when a pool's supervisor runs its first round."""

import asyncio

from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.supervising import PoolSupervisor
from peridotspoke.nodes.tests.stores import make_parts
from peridotspoke.store import FollowedRecords

FENCE = 9


def update_work(parts, revision):
    now = parts.clock.read_monotonic()
    parts.view.apply_work(FollowedRecords({}, frozenset(), now, revision))


def update_jobs(jobs, revision):
    jobs.apply_records(FollowedRecords({}, frozenset(), 100.0, revision))


async def test_a_new_owner_begins_once_it_sees_its_claim_and_the_jobs():
    """An older view could start work on executors that the former owner had emptied."""
    parts, jobs = make_parts(), PoolJobs("pool")
    rounds = []
    parts.view.entries_loaded = True
    supervisor = PoolSupervisor(parts, Holding("pool", FENCE, 100.0), jobs)
    supervisor._run_round = lambda: rounds.append(True)
    task = asyncio.ensure_future(supervisor.run())
    for update in (
        lambda: update_jobs(jobs, FENCE - 1),
        lambda: update_work(parts, FENCE - 1),
        lambda: update_jobs(jobs, FENCE),
    ):
        update()
        for _ in range(3):
            await asyncio.sleep(0)
        assert not rounds
    update_work(parts, FENCE)
    async with asyncio.timeout(20):
        while not rounds:
            await asyncio.sleep(0.01)
    task.cancel()
