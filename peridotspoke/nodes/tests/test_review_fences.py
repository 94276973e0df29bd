"""A review's tests of what a life's fence and its publication leave open (issue 41)."""

import asyncio
from dataclasses import replace

from peridotspoke.nodes.records import QueueCounts, decode_value
from peridotspoke.nodes.tests.stores import InMemoryStore, make_parts
from peridotspoke.nodes.tests.test_fences import (
    FENCE,
    LASTING,
    begin_owner,
    find_state,
)
from peridotspoke.nodes.tests.test_sessions import SessionFixture
from peridotspoke.store import Record
from peridotspoke.workloads.executors import (
    ExecutorCondition,
    ReportedRun,
    RunReport,
    StopOrder,
)
from peridotspoke.workloads.jobledger import LATE_CALL_S
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.tests.ledgers import (
    RULES,
    add_job,
    make_entry,
    make_ledger,
    plan,
    start_all,
    store,
)

LONGEST_S = 10.2
LATE_RULES = replace(
    RULES, longest_lease=LONGEST_S, restart_excess=6.9, run_lease=5.0, stop_limit=0.5
)


def report_unfenced(ledger, run, now):
    """Apply a report of e1's next life under the fence of the former one."""
    state = ledger.executors["e1"]
    listed = (ReportedRun(run.key, run.number, "", 50),)
    ledger.apply_report("e1", RunReport(0, 2, listed), now, now, now, state.fence)


def begin_late_start():
    """Return a ledger, and a run that e1's next life has begun late, as it lists."""
    ledger = make_ledger("e1", rules=LATE_RULES)
    ledger.note_published(0.1)
    add_job(ledger, LASTING)
    plan(ledger, 0.2)
    (run,) = store(ledger)
    ledger.extend_lease("e1", 5.2)
    ledger.handle_start_timeout(run)
    ledger.see_entry(make_entry("e1", incarnation=2), 1.0)
    report_unfenced(ledger, run, 1.1)
    return ledger, run


def test_a_run_that_an_unfenced_report_lists_is_awaited_for_as_long_as_a_late_call():
    """No fence is to be had (the store is away), and no stop may be sent.

    The report of 8.0 shows that the run goes on; a poll that was meant for the former
    life is carried out just before it, and grants the longest lease (TWICE).
    """
    ledger, run = begin_late_start()
    state = ledger.executors["e1"]
    for now in (3.0, 5.0, 8.0):
        report_unfenced(ledger, run, now)
    assert state.answered_at is None  # so that it refuses nothing of before
    granted_until = 7.9 + LONGEST_S
    ledger.note_unreachable("e1", "cut off", 8.5)
    ledger.expire_leases(granted_until)
    assert ledger.is_current(run)


def test_a_late_call_between_an_unfenced_report_and_a_cut_is_awaited():
    """The executor is cut off before its first answer under its fence (TWICE).

    The late call was sent before the rebirth, and is carried out 2 s after it.
    """
    ledger, run = begin_late_start()
    ledger.note_unreachable("e1", "cut off", 1.3)
    granted_until = 3.0 + LONGEST_S
    ledger.expire_leases(granted_until)
    assert ledger.is_current(run)


def test_a_stop_answer_of_a_former_life_that_is_handled_after_a_rebirth_is_ignored():
    """Session and supervisor pass messages in a queue: the report comes first there."""
    ledger, run = begin_late_start()
    order = StopOrder(run.key, run.number, FENCE)
    ledger.apply_stop_answer("e1", order, 1.1, incarnation=1)
    assert run.stop_answered_at is None


async def test_no_flood_of_reports_is_requested_while_no_fence_is_to_be_had():
    """A call with a cursor was lost and the store is away; a run's end is unproven.

    Reports prove nothing then, so that one each round is asked for (probes).
    """
    owner = await begin_owner(InMemoryStore())
    supervisor, state = owner.supervisor, find_state(owner)
    ledger = supervisor._ledger
    (run,) = state.runs.values()
    ledger.stop_run(run, "test")
    now = owner.parts.clock.read_monotonic()
    ledger.apply_stop_answer("e1", StopOrder(run.key, run.number, FENCE), now)
    owner.parts.store.faults = ["unavailable"] * 99
    state.fence = supervisor._records.grants.fence  # as after a poll that was answered
    state.renew_fence()  # as `ExecutorSession._renew_leases` does
    await owner.work(ledger.rules.stop_limit + 0.1)
    await owner.poll()
    before = len(owner.calls.orders)
    for _ in range(50):
        await owner.work(0.02)
        while not supervisor._queue.empty():
            supervisor._handle(supervisor._queue.get_nowait())
    asked = len(owner.calls.orders) - before
    owner.close()
    assert asked <= 5


def test_an_executor_that_is_new_after_the_polls_of_a_former_owner_may_be_reborn():
    """That owner was cut off from the store, and polled e2 until its horizon ended.

    Its last poll is carried out 12 s later, by e2's next life, before the first answer
    to this owner, and grants the longest lease; nothing is published of it (TWICE).
    """
    timing = make_parts().settings.timing
    ledger = make_ledger("e1", rules=LATE_RULES)
    last_poll = timing.lease_horizon - timing.lease  # after the takeover at 0.0
    ledger.see_entry(make_entry("e2", incarnation=2), last_poll + 11.0)
    assert last_poll + 11.0 > LATE_CALL_S
    assert ledger.executors["e2"].may_be_reborn


def test_an_inherited_run_is_awaited_where_its_first_report_is_the_first_word_of_born():
    """Neither the record nor the entry names a life; the fence was chosen for none.

    The report confirms the run, and no lease of it is known to the ledger (TWICE).
    """
    first = make_ledger("e1", rules=LATE_RULES)
    progress = add_job(first, LASTING)
    plan(first, 0.0)
    (run,) = store(first)
    run.task.incarnation = 0
    second = PoolLedger("pool", FENCE + 1, LATE_RULES, 1.0)
    second.add_job(progress)
    second.see_entry(make_entry("e1", incarnation=0), 1.0)
    state = second.executors["e1"]
    fence = state.choose_fence(FENCE + 1)
    listed = (ReportedRun(run.key, run.number, "", 50),)
    second.apply_report("e1", RunReport(0, 5, listed), 1.1, 1.1, 1.1, fence)
    second.note_unreachable("e1", "cut off", 1.2)
    second.expire_leases(2.0)
    assert len(state.runs) == 1


def test_a_publication_that_tells_nothing_of_late_calls_does_not_deny_them():
    """The owner before is of an earlier build, which knew of a rebirth (TWICE)."""
    old = b'{"fence":7,"waiting":{},"earlier_leases":0.0,"lease_horizon":9.5}'
    assert decode_value(Record("k", old, 8), QueueCounts).late is None


async def test_publications_stay_rare_while_calls_with_cursors_are_lost_on_and_on():
    """Each lost one asks for a fence, and so for a write; those are few."""
    owner = await begin_owner(InMemoryStore())
    state, store_ = find_state(owner), owner.parts.store
    counts = []
    for is_lossy in (False, True):
        before = store_.revision
        for _ in range(100):
            if is_lossy and state.has_own_fence:
                state.renew_fence()
            await owner.work(0.1)
            await owner.poll()
        counts.append(store_.revision - before)
    owner.close()
    assert counts[1] <= 2 * counts[0], counts


def test_a_late_poll_on_a_life_that_is_cut_off_before_it_answers_is_awaited():
    """The start came to the next life within the limit of a call, the poll 7 s late.

    The poll states its end on the former clock, which gives the longest lease (TWICE).
    """
    ledger = make_ledger("e1", rules=LATE_RULES)
    add_job(ledger, LASTING)
    plan(ledger, 0.2)
    (run,) = store(ledger)
    ledger.extend_lease("e1", 0.9 + LATE_RULES.run_lease)  # the poll, sent at 0.9
    ledger.handle_start_timeout(run)
    ledger.see_entry(make_entry("e1", incarnation=2), 1.0)
    ledger.note_unreachable("e1", "cut off", 1.3)
    granted_until = 0.9 + 7.0 + LONGEST_S
    ledger.expire_leases(granted_until)
    assert ledger.is_current(run)


async def begin_start_behind_cursor():
    """Return a session's fixture, a start that waits for a cursor, and their tasks."""
    fixture = SessionFixture()
    fixture.acknowledge_one_end()
    await fixture.poll()
    poll, gate = await fixture.begin_poll()
    assert fixture.executor.sent[-1].cursor == 1
    add_job(fixture.ledger, job_id="a" * 16)
    run, *_ = start_all(fixture.ledger, 100.0)
    start = asyncio.ensure_future(fixture.session.start(run))
    await asyncio.sleep(0.01)
    assert fixture.list_started() == []

    async def end():
        gate.set()
        await poll
        await start

    return fixture, end


async def test_a_start_that_waited_for_a_cursor_is_late_where_its_executor_drains():
    """It waits for up to the limit of a call after it was planned (DRAIN)."""
    fixture, end_start = await begin_start_behind_cursor()
    drains = ExecutorCondition.DRAINING
    fixture.ledger.see_entry(make_entry("e1", condition=drains), 100.5)
    await end_start()
    assert fixture.list_started() == []


async def test_a_start_that_waited_for_a_cursor_is_not_sent_for_a_cancelled_job():
    """The stop is sent at once, and may get no answer (UNASKED, wasted work)."""
    fixture, end_start = await begin_start_behind_cursor()
    fixture.ledger.cancel_job("a" * 16, 0.0)
    await end_start()
    assert fixture.list_started() == []


def test_a_start_without_an_answer_is_not_over_as_another_one_has_the_address():
    """The executor may be back under its id, and carry the start out late (TWICE)."""
    ledger = make_ledger("e1", rules=LATE_RULES)
    add_job(ledger, LASTING)
    plan(ledger, 0.2)
    (run,) = store(ledger)
    ledger.extend_lease("e1", 5.2)
    ledger.handle_start_timeout(run)
    ledger.lose_entry("e1")
    ledger.release_departed("e1", "10.0.0.1:80", 1.0, 1)
    assert ledger.is_current(run)


async def count_log_lines(owner, seconds):
    """Return how often the demand is logged while the store is away."""
    logged = []
    owner.supervisor._records._log_demand = lambda *_: logged.append(True)
    for _ in range(round(seconds / 0.05)):
        owner.parts.clock.advance(0.05)
        owner.supervisor._run_round()
        await asyncio.sleep(0)
    assert not owner.parts.has_store()
    return len(logged)


async def test_no_flood_of_demand_is_logged_while_a_fence_is_due_and_the_store_away():
    """A second rebirth, or a lost cursor, asks for a publication that can't be made."""
    owner = await begin_owner(InMemoryStore())
    state = find_state(owner)
    await count_log_lines(owner, 10.0)
    before = await count_log_lines(owner, 10.0)
    state.fence = owner.supervisor._records.grants.fence
    state.renew_fence()
    after = await count_log_lines(owner, 10.0)
    owner.close()
    assert after <= 2 * max(1, before), (before, after)


async def test_a_closed_session_sends_no_start_that_waited_for_a_cursor():
    """Its executor has another address by then, or has left and is listed again.

    The start gets the fence that is chosen for the next life as well, as both take the
    latest one that is available.
    """
    fixture = SessionFixture()
    fixture.acknowledge_one_end()
    await fixture.poll()
    fixture.executor.gate = asyncio.Event()
    loop = asyncio.ensure_future(fixture.session.run())
    async with asyncio.timeout(5):
        while fixture.executor.sent[-1].cursor != 1:
            await asyncio.sleep(0.01)
    add_job(fixture.ledger, job_id="a" * 16)
    run, *_ = start_all(fixture.ledger, 100.0)
    start = asyncio.ensure_future(fixture.session.start(run))
    await asyncio.sleep(0.01)
    fixture.fence += 1
    loop.cancel()
    await start
    assert fixture.list_started() == []
