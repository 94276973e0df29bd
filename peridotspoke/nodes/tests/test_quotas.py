"""Tests of how a pool's owner reads and writes the quotas of workspaces."""

import asyncio
from dataclasses import replace

import pytest

from peridotspoke.exceptions import RecordError
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import QUOTA_PREFIX, key_quota
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.quotas import PoolQuotas, follow_quotas
from peridotspoke.nodes.records import decode_quota, encode_value
from peridotspoke.nodes.tasksets import TaskSet
from peridotspoke.nodes.tests.stores import make_parts, own_unit
from peridotspoke.store import FollowedRecords, Record
from peridotspoke.workloads.configuration import Workspace
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.quotarecords import QuotaRecord, QuotaRow
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.tests.ledgers import make_job, make_ledger

FENCE = 9
TEAM = "team"
KEY = key_quota(TEAM)


class OwnedPool:
    """The quotas of a pool whose owner has one job of the workspace `TEAM`."""

    def __init__(self, limit=Need(4000), count=2, has_others=False):
        self.has_others = has_others
        self.parts = make_parts()
        self.store, self.clock = self.parts.store, self.parts.clock
        own_unit(self.store, "pool", FENCE)
        self.events, self.woken = [], 0
        self.ledger = make_ledger("e1", now=100.0)
        job = replace(make_job(Step(count, Need(1000))), workspace=TEAM)
        self.ledger.add_job(JobProgress(job))
        self.quotas = PoolQuotas(
            self.parts,
            Holding("pool", FENCE, 100.0),
            PoolJobs("pool"),
            self.ledger,
            TaskSet("pool"),
            lambda event, **fields: self.events.append((event, fields)),
            self.wake,
        )
        self.configure(limit)
        self.follow()

    def wake(self):
        self.woken += 1

    def configure(self, limit):
        view = self.parts.view
        workspaces = () if limit is None else (Workspace(TEAM, limit=limit),)
        workspaces += (Workspace("limited", limit=Need(1000)),) * self.has_others
        view.apply_configuration(
            replace(
                view.configuration,
                version=view.configuration.version + 1,
                workspaces=workspaces,
            )
        )

    def follow(self):
        """Let the node's copy of the quotas' records be as the store has them."""
        found = {
            key: record
            for key, record in self.store.records.items()
            if key.startswith(QUOTA_PREFIX)
        }
        followed = FollowedRecords(found, frozenset({KEY}), 0.0, self.store.revision)
        self.parts.quotas.apply(followed, self.clock.read_monotonic())

    async def run_round(self):
        """Run a round until its writes are answered; return the runs it planned."""
        now, wall = self.clock.read_monotonic(), self.clock.read_wall()
        book = self.quotas.begin_round(now, wall)
        runs = plan_runs(self.ledger, now, wall, quotas=book)
        self.quotas.end_round(now, wall)
        for _ in range(5):
            await asyncio.sleep(0)
        return runs

    def put(self, value, revision=FENCE):
        self.store.records[KEY] = Record(KEY, value, revision)

    def read(self):
        return decode_quota(self.store.records[KEY]).pools


async def test_a_grant_is_requested_in_the_round_that_lacks_it():
    """Guards against a first start that waits for more than one write."""
    pool = OwnedPool()
    assert not await pool.run_round()
    assert pool.read() == {"pool": QuotaRow(Need(2000))}
    assert pool.woken == 1
    assert len(await pool.run_round()) == 2
    (event, fields), *_ = pool.events
    assert event == "quota-changed" and fields["workspace"] == TEAM
    assert fields["use"] == "cpu:0m,memory:0MB,accelerators:0"


async def test_without_limits_nothing_is_asked_and_nothing_is_written():
    pool = OwnedPool(limit=None)
    pool.parts.store = None
    assert pool.quotas.begin_round(100.0, 1.0) is None
    assert len(await pool.run_round()) == 2


async def test_a_former_owner_writes_nothing():
    """Guards against a row that changes under the pool's next owner."""
    pool = OwnedPool()
    own_unit(pool.store, "pool", FENCE + 5)
    assert not await pool.run_round()
    assert KEY not in pool.store.records


async def test_a_former_owner_does_not_write_in_each_round():
    """Guards against a refused write for each answer until the watch tells the loss."""
    pool = OwnedPool()
    own_unit(pool.store, "pool", FENCE + 5)
    for _ in range(20):
        await pool.run_round()
    assert pool.woken == 1
    pool.clock.advance(0.11)
    await pool.run_round()
    assert pool.woken == 2


async def test_a_refused_write_is_made_anew_from_the_record_that_refused_it():
    """Guards against a wait for the watch when many pools write at once."""
    pool = OwnedPool()
    others = QuotaRecord({"other": QuotaRow(Need(3000))})
    pool.put(encode_value(others), revision=FENCE + 1)
    assert not await pool.run_round()
    await pool.run_round()
    assert pool.read() == {**others.pools, "pool": QuotaRow(Need(1000))}


@pytest.mark.parametrize("fault", ["lost", "delayed", "unavailable"])
async def test_after_a_failed_write_the_grant_is_requested_again(fault):
    """Guards against a job that waits for ever for a write without an answer."""
    pool = OwnedPool()
    pool.store.faults = [fault]
    assert not await pool.run_round()
    for _ in range(3):
        pool.clock.advance(0.2)
        await pool.run_round()
    pool.store.deliver_delayed()
    assert pool.read() == {"pool": QuotaRow(Need(2000))}
    assert len(list(pool.ledger.list_runs())) == 2


@pytest.mark.parametrize(
    "value",
    [
        b"\xff",
        b"[]",
        b'{"pools": {"pool": {"granted": {"cpu": -1}}}}',
        b'{"pools": {"pool": {"granted": {"cpu": "many"}}}}',
        b'{"pools": {"pool": {"waiting_since": -1}}}',
    ],
)
async def test_an_unreadable_record_lets_nothing_start_and_stays(value):
    """Guards against grants of other pools that are overwritten unread."""
    pool = OwnedPool()
    pool.put(value)
    with pytest.raises(RecordError):
        decode_quota(pool.store.records[KEY])
    pool.follow()
    assert not await pool.run_round()
    assert pool.store.records[KEY].value == value


async def test_after_a_record_is_deleted_grants_are_recorded_before_tasks_start():
    """Guards against what other pools run and nothing tells any more."""
    pool = OwnedPool()
    pool.put(b"\xff")
    pool.follow()
    await pool.run_round()
    del pool.store.records[KEY]
    pool.store.revision += 1
    pool.follow()
    for _ in range(3):
        assert not await pool.run_round()
    assert not pool.read()["pool"].granted.cpu
    pool.clock.advance(3.1)
    pool.parts.record_store_call("watch", "200", served=True)
    await pool.run_round()
    assert len(await pool.run_round()) == 2


async def test_a_record_that_is_deleted_while_none_is_followed_grants_nothing():
    """Guards against starts by a grant that the store no longer has."""
    pool = OwnedPool()
    pool.put(encode_value(QuotaRecord({"pool": QuotaRow(Need(4000))})))
    pool.follow()
    assert pool.parts.quotas.list_granted("pool") == [TEAM]
    pool.parts.quotas.revision = -1
    followed = FollowedRecords({}, frozenset(), 0.0, FENCE + 1)
    pool.parts.quotas.apply(followed, pool.clock.read_monotonic())
    assert not pool.parts.quotas.list_granted("pool")
    assert TEAM in pool.parts.quotas.lost_at
    assert not await pool.run_round()


async def test_a_grant_of_before_is_returned_once_the_workspace_is_limited_again():
    """Guards against room that an owner without such jobs keeps from other pools."""
    pool = OwnedPool(has_others=True, count=0)
    pool.configure(None)
    await pool.run_round()
    pool.put(encode_value(QuotaRecord({"pool": QuotaRow(Need(3000))})))
    pool.follow()
    await pool.run_round()
    pool.configure(Need(4000))
    for _ in range(4):
        await pool.run_round()
        pool.clock.advance(1.1)
        pool.parts.record_store_call("watch", "200", served=True)
    assert not pool.read()


async def test_a_wait_for_quota_is_logged_with_the_job():
    pool = OwnedPool()
    others = QuotaRecord({"other": QuotaRow(Need(4000))})
    pool.put(encode_value(others))
    pool.follow()
    for _ in range(3):
        await pool.run_round()
        pool.clock.advance(0.2)
    fields = dict(pool.events)["quota-waiting"]
    assert fields["workspace"] == TEAM
    assert fields["task"].job_id in pool.ledger.jobs
    assert fields["others"].startswith("cpu:4000m")


async def test_the_gauges_tell_use_and_grants():
    pool = OwnedPool()
    await pool.run_round()
    pool.clock.advance(1.0)
    await pool.run_round()
    pool.clock.advance(1.0)
    await pool.run_round()
    text = pool.parts.metrics.render().decode()
    labels = '{pool="pool",resource="cpu",workspace="team"}'
    assert f"peridotspoke_quota_use{labels} 2000.0" in text
    assert f"peridotspoke_quota_granted{labels} 2000.0" in text
    pool.quotas.clear()
    text = pool.parts.metrics.render().decode()
    assert f"peridotspoke_quota_use{labels} 0.0" in text


async def test_records_are_followed_only_with_a_pool_and_a_limit():
    """Guards against store calls of nodes that need no quota."""
    pool, prefixes, owned = OwnedPool(limit=None), [], []

    async def follow(prefix):
        prefixes.append(prefix)
        while True:
            yield FollowedRecords({}, frozenset(), 0.0, 30)
            await asyncio.sleep(0)

    task = asyncio.ensure_future(follow_quotas(pool.parts, follow, lambda: owned))
    await asyncio.sleep(0)
    pool.configure(Need(4000))
    await asyncio.sleep(0.01)
    assert not prefixes
    owned.append("pool")
    pool.parts.view.changes.on_next({})
    await asyncio.sleep(0.01)
    assert prefixes == [QUOTA_PREFIX]
    assert pool.parts.quotas.revision == 30
    pool.configure(None)
    async with asyncio.timeout(20):
        while pool.parts.quotas.revision != -1:
            await asyncio.sleep(0.01)
    task.cancel()
