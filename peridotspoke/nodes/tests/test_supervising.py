"""Tests of when a pool's supervisor begins, and of what it inherits."""

import asyncio

from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import key_job, key_progress
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.supervising import PoolSupervisor
from peridotspoke.nodes.tests.doubles import HeldOwnership, SilentCalls
from peridotspoke.nodes.tests.stores import make_parts
from peridotspoke.store import FollowedRecords, Record
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.progress import TaskStatus, encode_job
from peridotspoke.workloads.tests.ledgers import (
    JOB,
    add_job,
    make_entry,
    make_ledger,
    plan,
)

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


def make_owning_parts():
    parts = make_parts()
    parts.ownership = HeldOwnership()
    parts.open_executor = lambda entry: SilentCalls()
    return parts


def make_jobs(confirmed=False):
    """Return the pool's jobs: one, whose task that lasts is stored as run by e1."""
    ledger = make_ledger("e1")
    progress = add_job(ledger, Step(1, Need(1000, 100), lasting=True))
    plan(ledger, 0.0)
    for task in progress.list_tasks():
        task.confirmed = confirmed
    progress.begun = True
    values = {
        key_job("pool", JOB): encode_job(progress.job),
        key_progress("pool", JOB): ledger.take_batch(1).values[JOB],
    }
    records = {key: Record(key, value, FENCE) for key, value in values.items()}
    jobs = PoolJobs("pool")
    jobs.apply_records(FollowedRecords(records, frozenset(records), 100.0, FENCE))
    return jobs


def follow_entries(parts, *names):
    """Let the view read the entries of executors; e1 is among the changed ones."""
    records = {f"entries/{name}": Record(name, b"", 1) for name in names}
    now = parts.clock.read_monotonic()
    followed = FollowedRecords(records, frozenset({*records, "entries/e1"}), now, 1)
    parts.view.apply_entries(followed, lambda record: make_entry(record.key))


def run_round(parts, jobs, fence, lease_ends=None):
    """Run the first round of a new owner, and return its task."""
    now = parts.clock.read_monotonic()
    holding = Holding("pool", fence, now, lease_ends=lease_ends or {})
    supervisor = PoolSupervisor(parts, holding, jobs)
    supervisor._changed_jobs.update(jobs.views)
    supervisor._changed_entries.update(parts.view.entries)
    supervisor._run_round()
    (task,) = supervisor._ledger.jobs[JOB].list_tasks()
    return supervisor, task


async def test_a_new_owner_waits_only_for_the_leases_that_its_predecessor_stated():
    """The task is ready to run again once they have ended."""
    parts, jobs = make_owning_parts(), make_jobs()
    follow_entries(parts)
    now = parts.clock.read_monotonic()
    supervisor, task = run_round(parts, jobs, FENCE, {"e1": now + 4.0})
    assert supervisor.list_lease_waits() == {"e1": 4.0}
    parts.clock.advance(4.0)
    supervisor._run_round()
    assert task.status is TaskStatus.ASSIGNED
    parts.clock.advance(0.2)
    supervisor._run_round()
    assert task.run > 1 or task.status is TaskStatus.WAITING
