"""Tests of sessions and supervisors as executors start again, also elsewhere."""

import asyncio
from dataclasses import replace

from peridotspoke.exceptions import AnswerLostError
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.messages import ExecutorLeft
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.supervising import PoolSupervisor
from peridotspoke.nodes.tests.doubles import HeldOwnership
from peridotspoke.nodes.tests.stores import make_parts
from peridotspoke.nodes.tests.test_sessions import SessionFixture
from peridotspoke.workloads.executors import Refusal, RunReport
from peridotspoke.workloads.jobs import Step
from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_entry,
    plan,
    report,
    start_all,
    store,
)

FORMER_ADDRESS = "10.0.0.1:80"
ADDRESS = "10.0.0.2:80"


class Calls:
    """Stands for an executor's calls; it answers only at `ADDRESS`."""

    def __init__(self, address):
        self.address = address
        self.stops = []

    async def renew_leases(self, order):
        if self.address == FORMER_ADDRESS:
            raise AnswerLostError("no answer", step="renew leases")
        return RunReport(1000, 2)

    async def stop(self, order):
        self.stops.append(order)
        if self.address == FORMER_ADDRESS:
            raise AnswerLostError("no answer", step="stop")

    async def close(self):
        return None


def make_supervisor():
    """Return a supervisor, and the calls that it opens, by address."""
    parts, opened = make_parts(), {}
    parts.ownership = HeldOwnership()

    def open_executor(entry):
        return opened.setdefault(entry.address, Calls(entry.address))

    parts.open_executor = open_executor
    holding = Holding("pool", 9, parts.clock.read_monotonic())
    return parts, PoolSupervisor(parts, holding, PoolJobs("pool")), opened


async def test_a_stop_follows_its_executor_to_the_address_of_its_next_life():
    """Its start was lost as the executor restarted; nothing answers at the former one.

    Guards against a task that stands (LOST) beside a free executor that answers.
    """
    parts, supervisor, opened = make_supervisor()
    ledger, now = supervisor._ledger, parts.clock.read_monotonic()
    ledger.see_entry(make_entry("e1", incarnation=1), now)
    report(ledger, "e1", now)
    ledger.note_published(now)
    add_job(ledger, Step(1))
    (run,) = _start(ledger, now)
    ledger.handle_start_timeout(run)
    supervisor._update_sessions()
    supervisor._send_stops()
    await asyncio.sleep(0.02)
    assert opened[FORMER_ADDRESS].stops
    moved = replace(make_entry("e1", incarnation=2), address=ADDRESS)
    ledger.see_entry(moved, now)
    for _ in range(8):
        supervisor._update_sessions()
        supervisor._send_stops()
        await asyncio.sleep(0.1)
    assert opened[ADDRESS].stops
    supervisor._tasks.cancel()


def _start(ledger, now):
    plan(ledger, now)
    return store(ledger)


async def test_an_executor_that_is_listed_again_at_once_gets_a_session_of_its_state():
    """Another one answered at its address while it was unlisted; then it is back.

    Else the session never acknowledges an end (Acks), and polls as if it were idle.
    """
    parts, supervisor, _ = make_supervisor()
    ledger, now = supervisor._ledger, parts.clock.read_monotonic()
    ledger.see_entry(make_entry("e1", incarnation=1), now)
    supervisor._update_sessions()
    ledger.lose_entry("e1")
    supervisor._handle(ExecutorLeft("e1", FORMER_ADDRESS))
    ledger.see_entry(make_entry("e1", incarnation=2), now)  # in the same round
    supervisor._update_sessions()
    assert supervisor._sessions["e1"][0]._state is ledger.executors["e1"]
    supervisor._tasks.cancel()


async def test_an_answer_of_another_executor_releases_no_life_that_is_newer():
    """The address is given back while the answer is under way (TWICE).

    The reports that make the next life known come on another connection.
    """
    fixture = SessionFixture()
    await fixture.poll()
    answer = RunReport(0, 0, refusal=Refusal.OTHER_INCARNATION)
    gate = asyncio.Event()

    async def answer_late(order):
        await gate.wait()
        return answer

    renew, fixture.executor.renew_leases = fixture.executor.renew_leases, answer_late
    poll = asyncio.ensure_future(fixture.session._poll())
    await asyncio.sleep(0.01)
    fixture.executor.renew_leases = renew
    ledger = fixture.ledger
    ledger.see_entry(make_entry("e1", incarnation=2), 100.1)
    report(ledger, "e1", 100.2, incarnation=2)
    progress = add_job(ledger)
    runs = start_all(ledger, 100.3)
    report(ledger, "e1", 100.4, runs, incarnation=2)
    gate.set()
    await poll
    for message in fixture.messages:
        if type(message) is ExecutorLeft:
            ledger.release_departed(
                message.executor_id, message.address, 100.5, message.incarnation
            )
    tasks = list(progress.list_tasks())
    assert [task.status for task in tasks] == [TaskStatus.ASSIGNED] * 2


async def test_nothing_starts_on_a_next_life_that_may_carry_out_a_lost_cursor():
    """The lost call may be carried out seconds later (PROTOCOL): by the next life.

    It forgets an end that it has not reported, and the task runs again (TWICE). The
    next life refuses it once it has answered a call with a higher fence.
    """
    fixture = SessionFixture()
    fixture.acknowledge_one_end()
    await fixture.poll()
    fixture.executor.is_silent = True
    assert await fixture.poll() == 1
    lost = fixture.executor.sent[-1]
    fixture.executor.is_silent = False
    fixture.executor.incarnation = 2
    for _ in range(3):
        await fixture.poll()
        fixture.apply_reports()
        fixture.clock.advance(0.4)
    add_job(fixture.ledger, job_id="a" * 16)
    assert start_all(fixture.ledger, 101.5) == []
    fixture.fence += 1
    await fixture.poll()
    fixture.apply_reports()
    run, *_ = start_all(fixture.ledger, 101.5)
    await fixture.session.start(run)
    assert fixture.list_started() == [run.key]
    assert fixture.executor.sent[-1].fence > lost.fence


async def test_a_lease_that_was_stated_on_a_former_lifes_clock_is_awaited_in_full():
    """A report makes the next life known while the poll to the former one still hangs.

    A start is then stated on the former clock, which gives the longest lease (TWICE).
    """
    parts = make_parts()
    rules = PoolSupervisor(
        parts, Holding("pool", 9, parts.clock.read_monotonic()), PoolJobs("pool")
    )._ledger.rules
    fixture = SessionFixture(rules)
    fixture.executor.clock = 500_000
    await fixture.poll()
    poll, gate = await fixture.begin_poll()
    ledger, executor = fixture.ledger, fixture.executor
    executor.incarnation, executor.clock = 2, 300
    fixture.clock.advance(0.6)
    report(ledger, "e1", 100.6, incarnation=2)
    ledger.note_published(100.6)
    fixture.clock.advance(1.0)  # the poll may wait for 1.0 s, and its answer for 0.7 s
    add_job(ledger, Step(1))
    ledger_run, *_ = _start(ledger, 101.6)
    await fixture.session.start(ledger_run)
    if fixture.list_started():
        ledger.apply_start_answer(ledger_run, None, 101.6, False)
        report(ledger, "e1", 101.7, [ledger_run], incarnation=2)
        longest = 101.6 + parts.settings.bounds.max_run_lease / 0.98
        state = ledger.executors["e1"]
        recorded = ledger._compute_run_end(state, ledger_run) + rules.margin
        assert recorded >= longest
    gate.set()
    await poll


def test_a_poll_that_a_later_life_carries_out_is_awaited_in_full():
    """A poll is under way for the limit of a call and its wait (TWICE).

    It states its lease on the former life's clock, which gives the longest one.
    """
    parts = make_parts()
    holding = Holding("pool", 9, parts.clock.read_monotonic())
    supervisor = PoolSupervisor(parts, holding, PoolJobs("pool"))
    timing, rules = parts.settings.timing, supervisor._ledger.rules
    longest = parts.settings.bounds.max_run_lease / 0.98
    under_way = timing.call + supervisor._rules.poll_wait
    awaited = rules.run_lease + rules.restart_excess + rules.margin
    assert awaited >= under_way + longest


async def test_a_poll_states_no_lease_by_the_clock_of_a_former_life():
    """A report has made the next life known, but no poll has been answered by it.

    The next life would hold its runs for the longest lease, and the owner awaits that
    of the poll (TWICE).
    """
    fixture = SessionFixture()
    fixture.executor.clock = 500_000
    await fixture.poll()
    report(fixture.ledger, "e1", 100.6, incarnation=2)
    await fixture.poll()
    assert fixture.executor.sent[-1].lease_end_ms is None
