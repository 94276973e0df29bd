"""Tests of the fence of each life of an executor, and of what its owner publishes.

The load pattern: executors start again under their identity, lose calls around that,
are cut off soon after, and their owner is lost with them.
"""

import asyncio
from dataclasses import replace

import pytest

from peridotspoke.nodes.messages import StopAnswered
from peridotspoke.nodes.tests.doubles import RunningCalls
from peridotspoke.nodes.tests.stores import InMemoryStore
from peridotspoke.nodes.tests.test_publishing import COUNTS_KEY, PoolOwner
from peridotspoke.nodes.tests.test_sessions import SessionFixture
from peridotspoke.nodes.tests.test_supervising import FENCE, follow_entries
from peridotspoke.workloads.executors import RunReport, StopOrder
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.leaseledger import SILENCE_DELAY_S
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.tests.ledgers import (
    RULES,
    add_job,
    make_entry,
    make_ledger,
    plan,
    report,
    start_all,
    store,
)

LATER_S = 11.0  # longer than any lease lasts
RUN_LEASE_S = 5.0
LASTING = Step(1, Need(1000, 100), lasting=True)


class LivesCalls(RunningCalls):
    """Calls to an executor whose incarnation can be changed."""

    incarnation = 1

    async def renew_leases(self, order):
        found = await super().renew_leases(order)
        return RunReport(found.clock, self.incarnation, found.running, ())


async def begin_owner(store=None):
    """Return the owner of a pool whose executor e1 has answered it long before."""
    owner = PoolOwner(store or InMemoryStore(), FENCE, calls=LivesCalls())
    follow_entries(owner.parts, "e1")
    owner.take_over(FENCE - 1)
    for _ in range(15):
        await owner.work(1.0)
        await owner.poll()
    return owner


async def restart_executor(owner):
    """Let e1 start again; the next poll shows it."""
    owner.calls.incarnation += 1
    await owner.poll()


def find_state(owner):
    return owner.supervisor._ledger.executors["e1"]


async def test_a_next_life_gets_a_higher_fence_than_anything_sent_to_the_former_one():
    """From its first answer on it refuses what was meant for the former one (TWICE)."""
    owner = await begin_owner()
    sent = max(order.fence for order in owner.calls.orders)
    await restart_executor(owner)
    assert not find_state(owner).accepts_runs(owner.parts.clock.read_monotonic())
    await owner.poll()
    assert owner.calls.orders[-1].fence > sent
    owner.close()


async def test_the_fence_of_a_later_owner_is_higher_than_any_that_was_sent():
    """A later owner's record is created after each of this one's publications."""
    owner = await begin_owner()
    for _ in range(3):
        await restart_executor(owner)
        await owner.work(0.2)
        await owner.poll()
    sent = max(order.fence for order in owner.calls.orders)
    assert FENCE < sent <= owner.parts.store.records[COUNTS_KEY].revision
    owner.close()


async def test_no_fence_rises_by_a_publication_that_the_store_refused():
    """Another owner may have the pool, whose fence it would exceed (TWICE)."""
    owner = await begin_owner()
    fence = owner.supervisor._records.grants.fence
    owner.parts.store.faults = ["unavailable"] * 9
    for _ in range(3):
        await owner.work(1.1)
    assert owner.supervisor._records.grants.fence == fence
    owner.close()


async def test_nothing_starts_on_a_next_life_before_its_first_answer_is_published():
    """A successor would await a lease that is shorter than a late call's (TWICE)."""
    owner = await begin_owner()
    await restart_executor(owner)
    owner.parts.store.faults = ["unavailable"] * 9
    await owner.poll()
    state, now = find_state(owner), owner.parts.clock.read_monotonic()
    assert state.answered_at == now
    assert not state.accepts_runs(now)
    owner.parts.store.faults.clear()
    await owner.work(0.2)
    assert state.accepts_runs(owner.parts.clock.read_monotonic())
    assert owner.read_counts().late["e1"] > RUN_LEASE_S
    owner.close()


@pytest.mark.parametrize("is_killed", [True, False])
async def test_a_successor_awaits_what_a_late_call_has_granted_to_a_next_life(
    is_killed,
):
    """The users' pairs: the owner before knew of the new life, its successor not."""
    first = await begin_owner()
    clock, store = first.parts.clock, first.parts.store
    await restart_executor(first)
    await first.poll()
    answered_at = clock.read_monotonic()
    await first.work(0.2)
    second = PoolOwner(store, FENCE + 1000, clock)
    second.see_store()
    task = second.take_over(FENCE)
    longest = second.supervisor._ledger.rules.longest_lease
    if is_killed:
        ledger, now = second.supervisor._ledger, clock.read_monotonic()
        ledger.limit_inherited_leases(type(ledger.former_bound)(now, "test", now))
    while clock.read_monotonic() < answered_at + longest:
        assert task.status is TaskStatus.ASSIGNED
        await second.work(SILENCE_DELAY_S)
    for owner in (first, second):
        owner.close()


async def test_a_stop_that_was_answered_before_a_rebirth_was_known_is_sent_again():
    """The answer is the former life's; the next one may carry out the start (TWICE)."""
    fixture = SessionFixture()
    await fixture.poll()
    add_job(fixture.ledger)
    run, *_ = start_all(fixture.ledger, 100.0)
    gate, dues = asyncio.Event(), [True, False]

    async def answer_late(order):
        await gate.wait()

    fixture.executor.stop = answer_late
    order = StopOrder(run.key, run.number, FENCE)
    stop = asyncio.ensure_future(fixture.session.stop(order, lambda *_: dues.pop(0)))
    await asyncio.sleep(0.01)
    fixture.ledger.see_entry(make_entry("e1", incarnation=2), 100.1)
    gate.set()
    await stop
    assert not any(type(item) is StopAnswered for item in fixture.messages)


async def test_a_restart_between_planning_and_sending_voids_a_start():
    """It was stored for the former life; the next one isn't published (TWICE)."""
    fixture = SessionFixture()
    await fixture.poll()
    add_job(fixture.ledger)
    run, *_ = start_all(fixture.ledger, 100.0)
    fixture.executor.incarnation = 2
    fixture.fence += 1
    for _ in range(2):
        await fixture.poll()
        fixture.apply_reports()
    await fixture.session.start(run)
    assert fixture.list_started() == []


def test_an_executor_that_is_new_to_an_old_owner_has_no_late_calls():
    """Machines that change their pool begin at once, without a publication."""
    fixture = SessionFixture()
    ledger = fixture.ledger
    for now, name, is_first in (
        (101.0, "e2", False),
        (101.0 + LATER_S * 3, "e3", True),
    ):
        ledger.see_entry(make_entry(name), now)
        assert ledger.executors[name].may_be_reborn is not is_first
    ledger.lose_entry("e3")
    ledger.expire_leases(now + LATER_S)
    assert "e3" not in ledger.executors
    ledger.see_entry(make_entry("e3"), now + LATER_S)
    assert ledger.executors["e3"].may_be_reborn


def lose_start_to_next_life():
    """Return a ledger whose lost start e1's next life may have, and the run."""
    ledger = make_ledger("e1")
    add_job(ledger, LASTING)
    plan(ledger, 0.0)
    (run,) = store(ledger)
    ledger.handle_start_timeout(run)
    ledger.see_entry(make_entry("e1", incarnation=2), 1.0)
    return ledger, run


def test_a_report_under_the_fence_of_a_former_life_shows_no_end():
    """The start that it does not list may still be carried out (TWICE)."""
    ledger, run = lose_start_to_next_life()
    state = ledger.executors["e1"]
    ledger.apply_stop_answer("e1", StopOrder(run.key, run.number, FENCE), 2.0)
    ledger.apply_report("e1", RunReport(0, 2), 3.0, 3.0, 0.0, fence=state.fence)
    assert ledger.is_current(run) and state.reported_at is None
    ledger.apply_report("e1", RunReport(0, 2), 3.1, 3.1, 0.0)
    assert not ledger.is_current(run)


def test_a_run_is_stored_as_confirmed_only_once_its_life_is_announced():
    """A successor would take its lease to be as long as its owner grants it (TWICE)."""
    rules = replace(RULES, longest_lease=LATER_S)
    first = make_ledger("e1", rules=rules)
    progress = add_job(first, LASTING)
    plan(first, 0.0)
    (run,) = store(first)
    second = PoolLedger("pool", FENCE + 1, rules, 1.0)
    second.see_entry(make_entry("e1"), 1.0)
    second.add_job(progress)
    report(second, "e1", 2.0, [run])
    second.note_published(1.9)
    assert not run.task.confirmed and not second.dirty
    second.note_published(2.1)
    assert run.task.confirmed and second.dirty
