"""Tests that a pool's owner knows of refused jobs before their callers return."""

import asyncio
from types import SimpleNamespace

import pytest

from peridotspoke.exceptions import AnswerLostError
from peridotspoke.nodes import jobanswers as answers
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import WORK_PREFIX, key_owner, key_pool_demand, key_refused
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.poolrecords import PoolRecords
from peridotspoke.nodes.records import OwnerRecord, decode_value, encode_value
from peridotspoke.nodes.refusedwork import RefusedTeller
from peridotspoke.nodes.tasksets import TaskSet
from peridotspoke.nodes.tests.stores import InMemoryStore, make_parts
from peridotspoke.store import FollowedRecords, Put, Transaction
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.jobs import Job, Need, QueueTerms, Step
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.ledgertypes import LedgerRules

CORES = 20.0  # processors that each job needs to finish in time
OUTAGE = 6.0  # seconds


def decode(body, job_id, queue, wall):
    """Return a job of 60 processor-seconds that has 3 s from its start to its end."""
    terms = QueueTerms(stretch=1.5, latency=1.0)
    steps = (Step(15, Need(cpu=2000), estimate=2.0),)
    return Job(job_id, queue.name, queue.pool, "", steps, terms, accepted_at=wall)


class Entry:
    """A node that callers reach, and that tells what it refused."""

    def __init__(self, name, store):
        self.parts = make_parts(name, store)
        self.parts.ownership = SimpleNamespace(lease_id=0)
        self.handler = JobRequestHandler(self.parts, decode)
        self.teller = RefusedTeller(self.parts)

    async def acquire_lease(self):
        lease = await self.parts.store.grant_lease(1.6)
        self.parts.ownership.lease_id = lease.lease_id

    def lose_store(self):
        for _ in range(3):
            self.parts.record_store_call("commit", "AnswerLostError", served=False)

    def advance(self, seconds):
        self.parts.clock.advance(seconds)
        self.parts.view.configured_at = self.parts.clock.read_monotonic()

    async def submit(self, number):
        return await self.handler.submit("host", f"/q/{number:016x}", b"")

    async def regain_store(self):
        self.parts.record_store_call("watch", "200", served=True)
        await self.acquire_lease()
        await self.teller.update()


class Owner:
    """The owner of the pool, with its copy of the records."""

    def __init__(self, store, fence):
        self.parts = make_parts("owner", store)
        now = self.parts.clock.read_monotonic()
        rules = LedgerRules(inherited_lease=12.0, margin=0.1)
        ledger = PoolLedger("pool", 1, rules, now)
        self.jobs = PoolJobs("pool")
        self.jobs.apply_records(FollowedRecords({}, frozenset(), now))
        self.tasks = TaskSet("pool")
        self.records = PoolRecords(
            self.parts,
            Holding("pool", fence, now),
            self.jobs,
            ledger,
            self.tasks,
            lambda job_id: None,
        )
        self._known = {}

    @classmethod
    async def claim(cls, store):
        key = key_owner("pool")
        put = Put(key, encode_value(OwnerRecord("owner", "i1")))
        result = await store.commit(Transaction((), (put,)))
        return cls(store, result.revision)

    async def publish(self):
        """Read the records, and return the demand that is stored next."""
        store, now = self.parts.store, self.parts.clock.read_monotonic()
        self.parts.record_store_call("watch", "200", served=True)
        records = {
            key: record
            for key, record in store.records.items()
            if key.startswith(WORK_PREFIX)
        }
        keys = records.keys() | self._known.keys()
        changed = {key for key in keys if records.get(key) != self._known.get(key)}
        self._known = records
        followed = FollowedRecords(records, frozenset(changed), now, store.revision)
        self.parts.view.apply_work(followed)
        self.records.update_demand(now)
        while self.tasks.running_names:
            await asyncio.sleep(0)
        return decode_value(store.records[key_pool_demand("pool")], PoolDemand)


@pytest.fixture
def store():
    return InMemoryStore()


async def refuse_peak(entries, jobs):
    """Let the store be away while callers of jobs come to each entry in turn.

    Each caller's first retry reaches the next entry.
    """
    for entry in entries:
        entry.lose_store()
        entry.advance(OUTAGE)
    for number in range(jobs):
        for place in (number, number + 1):
            answer = await entries[place % len(entries)].submit(number)
            assert isinstance(answer, answers.Refused)


async def test_the_first_demand_after_an_outage_asks_for_the_refused_work(store):
    """Each job counts once, though two nodes refused it."""
    entries = [Entry("n1", store), Entry("n2", store)]
    owner = await Owner.claim(store)
    await refuse_peak(entries, jobs=10)
    for entry in entries:
        await entry.regain_store()
    demand = await owner.publish()
    assert demand.cores == pytest.approx(10 * CORES, rel=0.01)


async def test_an_accepted_job_is_not_expected_any_more(store):
    """Half of the callers have come back before the demand is published."""
    entry = Entry("n1", store)
    owner = await Owner.claim(store)
    await refuse_peak([entry], jobs=10)
    await entry.regain_store()
    for number in range(5):
        assert isinstance(await entry.submit(number), answers.Accepted)
        job = decode(b"", f"{number:016x}", entry.parts.view.configuration.queues[0], 0)
        owner.jobs.add_job(job, store.revision)
    demand = await owner.publish()
    assert demand.cores == pytest.approx(5 * CORES, rel=0.01)


async def test_no_job_is_expected_after_its_caller_has_given_up(store):
    """The demand falls, and the record is deleted."""
    entry = Entry("n1", store)
    owner = await Owner.claim(store)
    await refuse_peak([entry], jobs=10)
    await entry.regain_store()
    await owner.publish()
    owner.parts.clock.advance(6.0)
    assert (await owner.publish()).cores == 0.0
    entry.advance(6.0)
    entry.parts.record_store_call("watch", "200", served=True)
    await entry.teller.update()
    assert key_refused("n1") not in store.records


class CountingStore(InMemoryStore):
    """Counts the writes of records that tell what was refused."""

    def __init__(self):
        super().__init__()
        self.writes = 0

    async def commit(self, transaction, timeout=None):
        keys = [put.key for put in transaction.puts] + list(transaction.deletions)
        self.writes += key_refused("n1") in keys
        return await super().commit(transaction, timeout)


async def run_teller(entry, seconds):
    """Let the teller check for some seconds while the store serves."""
    for _ in range(round(seconds / 0.05)):
        entry.advance(0.05)
        entry.parts.record_store_call("watch", "200", served=True)
        await entry.teller.update()


@pytest.mark.parametrize(("jobs", "writes"), [(0, 0), (1, 2), (500, 2)])
async def test_an_outage_costs_a_node_one_write_and_its_deletion(jobs, writes):
    """Nothing is written where nothing was refused."""
    store = CountingStore()
    entry = Entry("n1", store)
    await refuse_peak([entry], jobs)
    await entry.acquire_lease()
    await run_teller(entry, seconds=20.0)
    assert store.writes == writes


async def test_a_large_peak_is_told_in_a_small_record(store):
    """Each node follows the records of all nodes."""
    entry = Entry("n1", store)
    await refuse_peak([entry], jobs=2000)
    await entry.regain_store()
    assert len(store.records[key_refused("n1")].value) < 8_000


async def test_what_was_refused_is_told_once_the_node_has_a_lease_again(store):
    """Its former lease ended in the outage; a write under it is not repeated."""
    store = CountingStore()
    entry = Entry("n1", store)
    former, next_lease = await store.grant_lease(1.6), await store.grant_lease(1.6)
    store.end_lease(former.lease_id)
    entry.parts.ownership.lease_id = former.lease_id
    await refuse_peak([entry], jobs=1)
    await run_teller(entry, seconds=0.5)
    assert (store.writes, len(store.records)) == (1, 0)
    entry.parts.ownership.lease_id = next_lease.lease_id
    await run_teller(entry, seconds=0.1)
    assert key_refused("n1") in store.records


async def test_a_write_without_an_answer_is_repeated(store):
    """What was refused is kept until it is told."""
    entry = Entry("n1", store)
    await refuse_peak([entry], jobs=1)
    store.faults = ["delayed"]
    with pytest.raises(AnswerLostError):
        await entry.regain_store()
    await entry.teller.update()
    assert key_refused("n1") in store.records


async def test_less_is_expected_the_longer_the_callers_stay_away(store):
    """Some had no retry left, and machines that wait for them are missed elsewhere."""
    entry = Entry("n1", store)
    owner = await Owner.claim(store)
    await refuse_peak([entry], jobs=10)
    entry.advance(1.0)
    await entry.regain_store()
    demands = [await owner.publish()]
    for _ in range(3):
        owner.parts.clock.advance(0.6)
        demands.append(await owner.publish())
    cores = [demand.cores for demand in demands]
    assert 10 * CORES > cores[0] > cores[1] > cores[2] > cores[3]


@pytest.mark.parametrize("is_told", [False, True])
async def test_what_the_owner_refused_itself_counts_at_once(store, is_told):
    """The first demand does not wait for its record to be written and read again."""
    owner = await Owner.claim(store)
    entry = Entry("n1", store)
    entry.parts.refused_jobs = owner.parts.refused_jobs
    await refuse_peak([entry], jobs=5)
    if is_told:
        await entry.regain_store()
        del store.records[key_refused("n1")]
    owner.parts.clock.advance(OUTAGE)
    demand = await owner.publish()
    assert demand.cores == pytest.approx(5 * CORES, rel=0.01)
