"""Tests of the demand that a pool's owner stores for the fleet's owner."""

import asyncio
from dataclasses import replace

import pytest

from peridotspoke.nodes import poolrecords
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import key_owner, key_pool_demand
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.poolrecords import (
    ESTIMATE_INTERVAL,
    MIN_DEMAND_INTERVAL,
    PoolRecords,
)
from peridotspoke.nodes.tasksets import TaskSet
from peridotspoke.nodes.tests.stores import JOB, make_parts
from peridotspoke.store import Put, Transaction
from peridotspoke.workloads.jobs import Job, Need, Step
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.ledgertypes import LedgerRules
from peridotspoke.workloads.readywork import open_due_occurrences
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH, add_job, make_entry


@pytest.fixture
def records():
    parts = make_parts()
    now = parts.clock.read_monotonic()
    ledger = PoolLedger("pool", 1, LedgerRules(inherited_lease=12.0, margin=0.1), now)
    holding = Holding("pool", 1, now)
    return PoolRecords(
        parts, holding, PoolJobs("pool"), ledger, TaskSet("pool"), lambda job_id: None
    )


def make_job(records, age):
    wall = records._node.clock.read_wall()
    step = Step(10, Need(cpu=4000), estimate=2.0)
    return Job(JOB, "queue", "pool", "", (step,), accepted_at=wall - age)


def test_open_jobs_read_by_a_new_owner_do_not_count_as_arrivals(records):
    """Only jobs accepted within the window count; one has 80 processor-seconds."""
    now = records._node.clock.read_monotonic()
    for _ in range(30):
        records.record_arrival(make_job(records, age=5.0))
    assert records._arrivals.compute_mean(now) == 0.0
    records.record_arrival(make_job(records, age=0.1))
    assert records._arrivals.compute_mean(now) == pytest.approx(80.0)


def test_an_entry_of_an_unknown_pool_adds_no_attainable_processors(records):
    # Guards against demands that count on what another writer says there is.
    parts = records._node
    known, unknown = make_entry("e1", cpu=8000), make_entry("e2", cpu=10**8)
    parts.view.entries = {"e1": known, "e2": replace(unknown, pool="unknown")}
    assert records._sum_attainable() == pytest.approx(4.0)


async def test_an_unchanged_demand_is_not_estimated_in_every_round(
    records, monkeypatch
):
    """An estimate scans all jobs; a round comes every few milliseconds."""
    estimates = []
    estimate_demand = poolrecords.estimate_demand

    def count_estimate(*arguments):
        estimates.append(True)
        return estimate_demand(*arguments)

    monkeypatch.setattr(poolrecords, "estimate_demand", count_estimate)
    rounds = 60
    for number in range(rounds):
        records.update_demand(100.0 + number / 100)
    seconds = rounds / 100
    assert 1 < len(estimates) <= seconds / ESTIMATE_INTERVAL + 1


async def test_a_change_of_the_needed_memory_alone_is_published(records):
    """The new tasks add a hundredth of the processors; 152 GB come with 76 of them."""
    ledger = records._ledger
    for number in range(4):
        ledger.see_entry(make_entry(f"e{number}", cpu=32_000), 0.0)
    add_job(ledger, Step(8, Need(4000, 4000), lasting=True), job_id="1" * 16)
    open_due_occurrences(ledger, WALL_EPOCH)
    records.update_demand(100.0)
    assert records._last_demand.cores == 32.0
    while "demand" in records._tasks.running_names:
        await asyncio.sleep(0)
    add_job(ledger, Step(4, Need(100, 30_000), lasting=True), job_id="2" * 16)
    open_due_occurrences(ledger, WALL_EPOCH)
    records.update_demand(100.0 + MIN_DEMAND_INTERVAL + 0.01)
    assert records._last_demand.cores == 76.0


async def test_a_demand_is_stored_as_soon_as_the_store_is_back(records, monkeypatch):
    """A write that was sent during the outage hangs until after the store's return."""
    parts = records._node
    store, commit = parts.store, parts.store.commit
    owner = await commit(Transaction((), (Put(key_owner("pool"), b"n1"),)))
    holding = Holding("pool", owner.revision, 0.0)
    records._holding = records._publisher._holding = holding

    async def hang(transaction, timeout=None):
        await asyncio.Event().wait()

    monkeypatch.setattr(store, "commit", hang)
    for _ in range(3):
        parts.record_store_call("watch", "AnswerLostError", served=False)
    parts.clock.advance(5.0)
    records.update_demand(parts.clock.read_monotonic())
    await asyncio.sleep(0)
    monkeypatch.setattr(store, "commit", commit)
    parts.clock.advance(0.2)
    parts.record_store_call("watch", "200", served=True)
    records.update_demand(parts.clock.read_monotonic())
    for _ in range(5):
        await asyncio.sleep(0)
    assert key_pool_demand("pool") in store.records
    records._tasks.cancel()
