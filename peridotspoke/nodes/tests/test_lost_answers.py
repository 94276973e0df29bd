"""Seeded searches: jobs and progress are stored once, whatever answers are lost."""

import asyncio
import random
from dataclasses import replace

import pytest

from peridotspoke.nodes.commits import TimedCommits
from peridotspoke.nodes.committing import OwnershipLostError, ProgressWriter
from peridotspoke.nodes.holdings import Holding
from peridotspoke.nodes.jobanswers import Accepted, Refused, Unknown
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.keys import key_job, key_owner, key_progress, split_job_key
from peridotspoke.nodes.tests.handlers import OTHER_JOB, decode
from peridotspoke.nodes.tests.stores import JOB, InMemoryStore, make_parts
from peridotspoke.store import Condition, Put, Transaction
from peridotspoke.workloads.configuration import Configuration, WorkPool

SEEDS = 150
STEPS = 60
FAULTS = (None, "lost", "delayed", "delayed", "delayed", "unavailable")
POOLS = ("pool", "other")
JOBS = tuple(f"{number:016x}" for number in range(6))


class FaultyStore(InMemoryStore):
    """Draws a fault for each commit; delayed commits take effect in any order.

    Attributes
    ----------
    writes : list of str
        The keys that were written, in order.
    """

    def __init__(self, chance):
        super().__init__()
        self._chance = chance
        self.is_faulty = True
        self.writes = []

    async def commit(self, transaction, timeout=None):
        for _ in range(self._chance.randrange(3)):
            await asyncio.sleep(0)
        if self.is_faulty:
            self.faults = [self._chance.choice(FAULTS)]
        try:
            return await super().commit(transaction, timeout)
        finally:
            await asyncio.sleep(0)

    def deliver_one(self):
        """Apply one of the delayed commits, if its conditions still hold."""
        if self.delayed:
            index = self._chance.randrange(len(self.delayed))
            self._apply(self.delayed.pop(index))

    def _apply(self, transaction):
        result = super()._apply(transaction)
        if result.succeeded:
            self.writes += [put.key for put in transaction.puts]
        return result


def make_nodes(store):
    """Return the handlers of four nodes; two of them send the queue to another pool."""
    handlers = []
    for number in range(4):
        parts = make_parts(f"n{number}", store)
        queue = replace(parts.view.configuration.queues[0], pool=POOLS[number % 2])
        pools = tuple(WorkPool(name) for name in POOLS)
        parts.view.apply_configuration(Configuration(2, (queue,), pools))
        handlers.append(JobRequestHandler(parts, decode))
    return handlers


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_a_job_handed_in_again_is_stored_once_and_only_if_not_refused(seed):
    """Its queue may move to another pool in between, and any answer may be lost."""
    chance = random.Random(seed)
    store = FaultyStore(chance)
    handlers = make_nodes(store)
    outcomes = {job_id: [] for job_id in JOBS}

    async def submit(job_id):
        handler = chance.choice(handlers)
        outcomes[job_id].append(await handler.submit("host", f"/q/{job_id}", b"good"))

    pending = []
    for _ in range(STEPS // 4):
        pending.append(asyncio.ensure_future(submit(chance.choice(JOBS))))
        for _ in range(chance.randrange(20)):
            await asyncio.sleep(0)
        if chance.random() < 0.5:
            store.deliver_one()
    await asyncio.gather(*pending)
    store.deliver_delayed()
    for job_id, answers in outcomes.items():
        keys = [key_job(pool, job_id) for pool in POOLS]
        written = [key for key in store.writes if key in keys]
        kinds = {type(answer) for answer in answers}
        assert kinds <= {Accepted, Refused, Unknown}
        assert len(written) <= 1
        if Accepted in kinds:
            assert len(written) == 1
        if kinds == {Refused}:
            assert written == []


def encode_count(count, fence):
    """Return a stand-in for encoded progress: a count and its writer's fence."""
    return b"%d %d" % (count, fence)


def read_count(records, job_id):
    """Return the count in the stored progress of a job; 0 before the first one."""
    record = records.get(key_progress("pool", job_id))
    return int(record.value.split()[0]) if record else 0


class ProgressStore(FaultyStore):
    """A `FaultyStore` that notes progress that doesn't follow on the stored one.

    Attributes
    ----------
    violations : list of str
        The keys of such writes, and of those by an owner that is not the present one.
    """

    def __init__(self, chance):
        super().__init__(chance)
        self.violations = []

    def _apply(self, transaction):
        before = dict(self.records)
        result = super()._apply(transaction)
        for put in transaction.puts if result.succeeded else ():
            if not put.key.endswith("/progress"):
                continue
            count, fence = map(int, put.value.split())
            owner = before.get(key_owner("pool"))
            follows = count == read_count(before, split_job_key(put.key).job_id) + 1
            if not follows or owner is None or owner.revision != fence:
                self.violations.append(put.key)
        return result


class ProgressOwner:
    """One ownership of a pool, which counts the progress of two jobs up."""

    def __init__(self, store, fence, clock, chance):
        self._store, self._chance, self._fence = store, chance, fence
        self.counts, revisions = {}, {}
        for job_id in (JOB, OTHER_JOB):
            record = store.records.get(key_progress("pool", job_id))
            self.counts[job_id] = read_count(store.records, job_id)
            revisions[job_id] = record.revision if record else 0
        commits, holding = TimedCommits(store, clock), Holding("pool", fence, 0.0)
        self._writer = ProgressWriter(commits, holding, revisions, chance, self._pause)

    async def _pause(self, seconds):
        for _ in range(self._chance.randrange(4)):
            await asyncio.sleep(0)

    async def count_up(self, job_ids):
        """Write the next progress of some jobs until the ownership or test ends."""
        try:
            while self._store.is_faulty:
                counts = {job_id: self.counts[job_id] + 1 for job_id in job_ids}
                await self._writer.write(
                    {
                        job_id: encode_count(count, self._fence)
                        for job_id, count in counts.items()
                    }
                )
                self.counts.update(counts)
        except OwnershipLostError:
            return


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_stored_progress_never_goes_back_while_owners_come_and_go(seed):
    """A former owner's commits may take effect late, also those of this process."""
    chance = random.Random(seed)
    store = ProgressStore(chance)
    clock = make_parts("n1", store).clock
    key, running, owners = key_owner("pool"), [], []
    for _ in range(4):
        found = store.records.get(key)
        condition = Condition(key, found.revision if found else 0)
        claim = Transaction((condition,), (Put(key, b"me"),))
        fence = store._apply(claim).revision
        for owner in owners:
            for job_id, count in owner.counts.items():
                assert read_count(store.records, job_id) >= count
        owner = ProgressOwner(store, fence, clock, chance)
        owners.append(owner)
        batches = chance.choice([((JOB, OTHER_JOB),), ((JOB,), (OTHER_JOB,))])
        running += [asyncio.ensure_future(owner.count_up(names)) for names in batches]
        for _ in range(STEPS):
            await asyncio.sleep(0)
            if chance.random() < 0.2:
                store.deliver_one()
    assert read_count(store.records, JOB) > 0
    store.is_faulty, store.faults = False, []
    store.records.pop(key)
    await asyncio.gather(*running)
    store.deliver_delayed()
    assert store.violations == []
