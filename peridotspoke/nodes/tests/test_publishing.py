"""Tests of what owners publish of their leases, and of how their successors use it."""

import asyncio
from itertools import pairwise

import pytest

from peridotspoke.nodes.grants import NEVER, LeaseGrants, LeasePublication
from peridotspoke.nodes.holdings import Holding
from peridotspoke.nodes.keys import key_owner, key_queue_counts
from peridotspoke.nodes.leaserules import stretch_lease
from peridotspoke.nodes.predecessors import Predecessor, find_published_bound
from peridotspoke.nodes.records import ProcessRecord, QueueCounts, decode_value
from peridotspoke.nodes.supervising import PoolSupervisor
from peridotspoke.nodes.tests.doubles import HeldOwnership, RunningCalls, SilentCalls
from peridotspoke.nodes.tests.stores import InMemoryStore, make_parts, own_unit
from peridotspoke.nodes.tests.test_supervising import (
    FENCE,
    follow_entries,
    make_jobs,
)
from peridotspoke.store import FollowedRecords
from peridotspoke.workloads.leaseledger import (
    FIRST_ANSWER_LIMIT_S,
    SILENCE_DELAY_S,
)
from peridotspoke.workloads.ledgertypes import LeaseBound
from peridotspoke.workloads.progress import TaskStatus

COUNTS_KEY = key_queue_counts("pool")
PROCESS = ProcessRecord("n1", "i1", "127.0.0.1:1")
TAKEOVER_S = 2.0  # from an owner's loss until the next one begins
MAX_WAIT_AFTER_LOSS = 12.0  # seconds from an owner's loss until its tasks run again


class PoolOwner:
    """A node that owns a pool; its view of the store is updated only when told."""

    def __init__(self, store, fence, clock=None, calls=None):
        self.parts = make_parts(f"n{fence}", store)
        if clock is not None:
            self.parts.clock = clock
        self.calls = calls or SilentCalls()
        self.parts.ownership = HeldOwnership()
        self.parts.open_executor = lambda entry: self.calls
        self.fence = fence
        self.supervisor = None

    def see_store(self):
        """Let the view read all records."""
        records = dict(self.parts.store.records)
        now = self.parts.clock.read_monotonic()
        followed = FollowedRecords(records, frozenset(records), 0.0, self.fence)
        known = self.parts.view.counts.get("pool", (None, 0.0))
        self.parts.view.apply_work(followed)
        found = self.parts.view.counts.get("pool", (None, 0.0))
        if known[0] == found[0]:
            self.parts.view.counts["pool"] = known
        self.parts.publication_times.note(self.parts.view.counts, now)

    def take_over(self, former_fence):
        """Begin as the owner after the one with `former_fence`; return the task."""
        own_unit(self.parts.store, "pool", self.fence)
        predecessor = Predecessor(PROCESS, former_fence, publishes_first=True)
        now = self.parts.clock.read_monotonic()
        holding = Holding("pool", self.fence, now, predecessor=predecessor)
        jobs = make_jobs(confirmed=True)
        self.supervisor = PoolSupervisor(self.parts, holding, jobs)
        self.supervisor._inherited_leases.begin()
        self.supervisor._changed_jobs.update(jobs.views)
        self.supervisor._changed_entries.update(self.parts.view.entries)
        (task,) = jobs.views
        self.supervisor._run_round()
        return next(iter(self.supervisor._ledger.jobs[task].list_tasks()))

    async def work(self, seconds=0.0):
        """Let time pass, run a round and let its write be answered."""
        self.parts.clock.advance(seconds)
        self.parts.record_store_call("watch", "200", served=True)
        self.supervisor._run_round()
        for _ in range(4):
            await asyncio.sleep(0)

    async def poll(self):
        """Poll e1 once and return the end of the lease that was asked for, or None."""
        session, loop_task, _ = self.supervisor._sessions["e1"]
        loop_task.cancel()
        await session._poll()
        await self.supervisor._receive_messages()
        return self.calls.orders[-1].lease_end_ms

    def read_counts(self):
        return decode_value(self.parts.store.records[COUNTS_KEY], QueueCounts)

    def close(self):
        self.supervisor._tasks.cancel()


async def test_a_task_does_not_stand_after_its_owner_and_executor_are_lost_together():
    # Guards against tasks that last and stand (LOST, review/4): the wait counted from
    # the takeover, and for an owner that holds on without the store.
    store = InMemoryStore()
    first = PoolOwner(store, FENCE)
    clock = first.parts.clock
    second = PoolOwner(store, FENCE + 1, clock)
    first.take_over(FENCE - 1)
    for _ in range(15):  # the leases of owners before the first one have ended
        await first.work(1.0)
    second.see_store()
    lost_at = clock.read_monotonic()
    clock.advance(2.5)
    second.see_store()
    task = second.take_over(FENCE)
    horizon = stretch_lease(first.parts.settings.timing.lease_horizon)
    while task.status is TaskStatus.ASSIGNED:
        await second.work(0.1)
    waited = clock.read_monotonic() - lost_at
    assert horizon <= waited <= MAX_WAIT_AFTER_LOSS - 1.5
    for owner in (first, second):
        owner.close()


@pytest.mark.parametrize("interval", [4.0, TAKEOVER_S + FIRST_ANSWER_LIMIT_S + 0.2])
@pytest.mark.parametrize("is_stated", [True, False], ids=["before", "with its owner"])
async def test_a_task_does_not_stand_while_owners_are_lost_one_after_another(
    interval, is_stated
):
    """Its executor has left before, and no owner can have extended a lease since.

    Guards against LOST of review/4: each hand-over without a word began the wait anew.
    """
    first = await start_with_lease()
    for _ in range(15):  # the leases of owners before the first one have ended
        await first.work(1.0)
        await first.poll()
    store, clock = first.parts.store, first.parts.clock
    left_at = clock.read_monotonic()
    if is_stated:
        await fall_silent(first)
    owners = [PoolOwner(store, FENCE + number, clock) for number in range(1, 9)]
    longest = 1.02 * first.parts.settings.timing.unstated_lease
    for former, owner in pairwise([first, *owners]):
        for node in owners:
            node.see_store()
        clock.advance(TAKEOVER_S)
        task = owner.take_over(former.fence)
        owned_until = clock.read_monotonic() + interval - TAKEOVER_S
        await owner.work()
        while task.status is TaskStatus.ASSIGNED and task.run == 1:
            if clock.read_monotonic() >= owned_until:
                break
            await owner.work(SILENCE_DELAY_S + 0.01)
            for node in owners:
                node.see_store()
        else:
            break
    assert clock.read_monotonic() - left_at <= longest
    for owner in (first, *owners):
        if owner.supervisor is not None:
            owner.close()


async def start_with_lease():
    """Return an owner that has extended the lease on e1, which runs its task."""
    owner = PoolOwner(InMemoryStore(), FENCE, calls=RunningCalls())
    follow_entries(owner.parts, "e1")
    owner.take_over(FENCE - 1)
    await owner.work()
    await owner.poll()
    assert await owner.poll() is not None
    return owner


async def fall_silent(owner):
    """Let e1 fail a call, and the owner publish that it grants no lease there."""
    owner.calls.error = ConnectionError
    session = owner.supervisor._sessions["e1"][0]
    session._failures += 1
    now = owner.parts.clock.read_monotonic()
    owner.supervisor._ledger.note_unreachable("e1", "no answer", now)
    await owner.work(SILENCE_DELAY_S + 0.01)
    owner.calls.error = None


async def test_no_lease_is_granted_before_the_first_publication():
    """A successor that saw none would not wait for it."""
    owner = PoolOwner(InMemoryStore(), FENCE, calls=RunningCalls())
    follow_entries(owner.parts, "e1")
    owner.parts.store.faults = ["unavailable"] * 9
    owner.take_over(FENCE - 1)
    await owner.work()
    for _ in range(3):
        assert await owner.poll() is None
    owner.parts.store.faults.clear()
    await owner.work(0.2)
    assert await owner.poll() is not None
    owner.close()


async def test_no_lease_outlasts_the_horizon_of_the_last_publication():
    """While the store is away, the last one grants what is left of its horizon."""
    owner = await start_with_lease()
    clock, timing = owner.parts.clock, owner.parts.settings.timing
    published_at = clock.read_monotonic()
    ends = []
    for _ in range(12):
        clock.advance(1.0)
        ends.append(await owner.poll())
    limit = published_at + timing.lease_horizon
    assert max(end for end in ends if end is not None) <= 1000 * (
        limit - published_at
    ) + (1000)
    assert owner.supervisor._ledger.executors["e1"].lease_end <= limit
    assert ends[-1] is None
    owner.close()


async def test_a_silent_executor_gets_no_lease_until_its_return_is_published():
    """A successor would take its runs for over while they go on (TWICE)."""
    owner = await start_with_lease()
    await fall_silent(owner)
    assert set(owner.read_counts().silent) == {"e1"}
    await owner.poll()
    owner.parts.store.faults = ["unavailable"]
    await owner.work(0.2)
    assert await owner.poll() is None
    await owner.work(0.2)
    assert not owner.read_counts().silent
    assert await owner.poll() is not None
    owner.close()


@pytest.mark.parametrize("fault", ["lost", "delayed"])
async def test_a_publication_without_an_answer_may_have_named_an_executor(fault):
    """It may take effect later, so that no lease is granted until the next one."""
    owner = await start_with_lease()
    owner.parts.store.faults = [fault, *["unavailable"] * 3]
    await fall_silent(owner)
    await owner.poll()
    assert await owner.poll() is None
    owner.parts.store.faults.clear()
    await owner.work(0.2)
    assert not owner.read_counts().silent
    assert await owner.poll() is not None
    owner.parts.store.deliver_delayed()
    assert not owner.read_counts().silent
    owner.close()


async def test_a_publication_of_a_former_owner_has_no_effect():
    """It would make its successor's leases look shorter than they are."""
    owner = await start_with_lease()
    own_unit(owner.parts.store, "pool", FENCE + 1)
    before = owner.parts.store.records[COUNTS_KEY]
    await owner.work(1.1)
    assert owner.parts.store.records[COUNTS_KEY] is before
    assert owner.parts.store.records[key_owner("pool")].revision == FENCE + 1
    owner.close()


def test_an_unanswered_publication_withholds_what_it_or_the_one_before_names():
    """Either may be the latest one in the store."""
    grants = LeaseGrants(horizon=9.5)
    grants.confirm(LeasePublication(100.0, {"e1": 4.0}))
    grants.withhold(["e2"])
    assert grants.find_limit("e1") == grants.find_limit("e2") == NEVER
    assert grants.find_limit("e3") == 109.5
    grants.confirm(LeasePublication(101.0))
    assert {grants.find_limit(name) for name in ("e1", "e2", "e3")} == {110.5}


@pytest.mark.parametrize(
    ("counts", "publishes_first", "expected"),
    [
        (None, True, None),
        (QueueCounts(7, {}), True, None),
        (QueueCounts(6, {}, lease_horizon=9.8), False, None),
        (QueueCounts(6, {}, lease_horizon=9.8), True, 60.0),
        (QueueCounts(7, {}, lease_horizon=9.8), False, 60.0),
        (QueueCounts(7, {}, earlier_leases=12.0, lease_horizon=9.8), True, 62.0),
    ],
    ids=[
        "nothing",
        "an older build",
        "an older build after the one that published",
        "lost before its first publication",
        "published",
        "leases of older builds before it",
    ],
)
def test_the_bound_counts_from_the_last_publication_that_holds(
    counts, publishes_first, expected
):
    """Owners that published nothing granted nothing, but for those of older builds."""
    predecessor = Predecessor(PROCESS, 7, publishes_first)
    bound = find_published_bound(predecessor, counts, 50.0)
    assert bound == (expected and LeaseBound(expected, "publication", 50.0))
