"""Tests of when a session sends orders, and which ends it lets an executor forget."""

import asyncio

import pytest

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import AnswerLostError
from peridotspoke.nodes.messages import Fenced, ReportArrived, StartAnswered
from peridotspoke.nodes.sessions import (
    WITHHELD_POLL_WAIT_S,
    ExecutorSession,
    SessionRules,
)
from peridotspoke.workloads.executors import (
    ExecutorCalls,
    Refusal,
    RunReport,
    StartAnswer,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from peridotspoke.workloads.tests.ledgers import (
    RULES,
    add_job,
    end,
    make_ledger,
    report,
    start_all,
)

FENCE = 7


class FakeExecutor(ExecutorCalls):
    """Records the calls and answers them; renewals wait for `gate` if it is set."""

    address = "10.0.0.1:80"

    def __init__(self, incarnation=1):
        self.incarnation = incarnation
        self.sent = []
        self.is_silent = False
        self.gate = None
        self.clock = 1000

    async def start(self, order):
        self.sent.append(order)
        return StartAnswer(clock=self.clock)

    async def stop(self, order):
        self.sent.append(order)

    async def throttle(self, order):
        self.sent.append(order)

    async def renew_leases(self, order):
        self.sent.append(order)
        if self.gate is not None:
            await self.gate.wait()
        if self.is_silent:
            raise AnswerLostError("silent", step="renew leases")
        return RunReport(self.clock, self.incarnation)

    async def close(self):
        return None


class SessionFixture:
    """A session with a fake executor, and a permission that tests can withdraw."""

    def __init__(self, rules=RULES):
        self.clock = ManualClock(100.0)
        self.ledger = make_ledger("e1", now=100.0, rules=rules)
        self.ledger.executors["e1"].fence = self.fence = FENCE
        self.executor = FakeExecutor()
        self.permitted = True
        self.lease_limit = float("inf")
        self.messages = []
        self.session = ExecutorSession(
            self.ledger.executors["e1"],
            self.executor,
            lambda: self.fence,
            SessionRules(run_lease=5.0),
            self.clock,
            lambda: self.permitted,
            lambda: self.lease_limit,
            self.messages.append,
            self.ledger.extend_lease,
        )

    async def poll(self):
        """Let the session poll, and return the cursor that it sent."""
        await self.session._poll()
        return self.executor.sent[-1].cursor

    async def begin_poll(self):
        """Return a task that polls the executor, and the event that it waits for."""
        self.executor.gate = gate = asyncio.Event()
        count = len(self.executor.sent)
        poll = asyncio.ensure_future(self.session._poll())
        async with asyncio.timeout(20):
            while len(self.executor.sent) == count:
                await asyncio.sleep(0)
        self.executor.gate = None
        return poll, gate

    def apply_reports(self):
        """Let the ledger apply the reports that were posted, and publish."""
        now = self.clock.read_monotonic()
        for item in self.messages:
            if type(item) is ReportArrived:
                self.ledger.apply_report(
                    "e1", item.report, item.asked_at, now, 0.0, item.fence
                )
        self.messages.clear()
        self.ledger.note_published(now)

    def list_started(self):
        """Return the tasks whose starts were sent."""
        return [order.key for order in self.executor.sent if type(order) is StartOrder]

    def acknowledge_one_end(self):
        """Let the ledger handle and store the end of a run, and return its job."""
        progress = add_job(self.ledger)
        first, second = start_all(self.ledger, self.clock.read_monotonic())
        now = self.clock.read_monotonic() + 0.001
        report(self.ledger, "e1", now, [first, second])
        report(self.ledger, "e1", now, [second], [end(1, first)])
        self.ledger.acknowledge_ends(self.ledger.list_end_cursors())
        return progress

    def acknowledge_second_end(self):
        """Let the ledger handle and store the end of the run that is left."""
        (run,) = self.ledger.list_runs()
        now = self.clock.read_monotonic() + 0.002
        report(self.ledger, "e1", now, ended=[end(2, run)])
        self.ledger.acknowledge_ends(self.ledger.list_end_cursors())


async def test_a_process_that_was_paused_sends_no_order_with_an_expired_permission():
    """The permission is checked when an order is sent, not only when it is planned."""
    fixture = SessionFixture()
    add_job(fixture.ledger)
    (run, _) = start_all(fixture.ledger, 100.0)
    await fixture.poll()
    fixture.executor.sent.clear()
    fixture.permitted = False
    await fixture.session.start(run)
    await fixture.session.throttle(ThrottleOrder(run.key, run.number, 50, FENCE))
    dues = [True, False]
    order = StopOrder(run.key, run.number, FENCE)
    await fixture.session.stop(order, lambda *_: dues.pop(0))
    assert fixture.executor.sent == []
    answers = [item for item in fixture.messages if isinstance(item, StartAnswered)]
    assert [answer.refusal for answer in answers] == [Refusal.LATE]


async def test_an_executor_that_may_have_restarted_is_told_to_forget_no_end():
    """The next incarnation numbers its ends anew, and would forget new ones."""
    fixture = SessionFixture()
    fixture.acknowledge_one_end()
    assert await fixture.poll() == 0  # no answer of this session yet
    assert await fixture.poll() == 1
    fixture.acknowledge_second_end()
    fixture.executor.is_silent = True
    assert await fixture.poll() == 2
    assert await fixture.poll() == 0  # it did not answer the poll before
    fixture.executor.is_silent = False
    fixture.executor.incarnation = 2
    assert await fixture.poll() == 0
    assert await fixture.poll() == 0  # the ledger does not know the restart yet
    report(fixture.ledger, "e1", 101.0, incarnation=2)
    assert await fixture.poll() == 0  # nothing of the new incarnation is acknowledged


async def test_an_executor_is_told_once_what_it_may_forget():
    # Guards against a second run of a task that is done (TWICE): each later call with
    # that cursor could reach a new incarnation, which forgets its own first ends.
    fixture = SessionFixture()
    fixture.acknowledge_one_end()
    cursors = [await fixture.poll() for _ in range(4)]
    assert cursors == [0, 1, 0, 0]
    fixture.acknowledge_second_end()
    assert [await fixture.poll() for _ in range(2)] == [2, 0]


async def test_nothing_starts_while_a_call_to_a_former_incarnation_may_forget_its_end():
    # Guards against a second run of a task that is done (TWICE): the call is carried
    # out late, and the new incarnation forgets an end that it has not reported.
    fixture = SessionFixture()
    fixture.acknowledge_one_end()
    await fixture.poll()
    poll, gate = await fixture.begin_poll()
    assert fixture.executor.sent[-1].cursor == 1
    fixture.executor.incarnation = 2
    await fixture.session.request_report()
    report(fixture.ledger, "e1", 101.0, incarnation=2)
    run, *_ = start_all(fixture.ledger, 101.0)
    start = asyncio.ensure_future(fixture.session.start(run))
    await asyncio.sleep(0.01)
    assert fixture.list_started() == []
    gate.set()
    await poll
    await start
    assert fixture.list_started() == [run.key]


async def test_a_start_after_a_lost_call_that_may_forget_its_end_has_a_higher_fence():
    # Guards against a second run of a task that is done (TWICE): a new incarnation may
    # carry out both, the call last, unless it has seen a higher fence by then.
    fixture = SessionFixture()
    fixture.acknowledge_one_end()
    await fixture.poll()
    fixture.executor.is_silent = True
    assert await fixture.poll() == 1
    lost = fixture.executor.sent[-1]
    fixture.executor.is_silent = False
    await fixture.poll()
    add_job(fixture.ledger, job_id="a" * 16)
    assert start_all(fixture.ledger, 100.0) == []
    fixture.fence += 1
    await fixture.poll()
    run, *_ = start_all(fixture.ledger, 100.0)
    await fixture.session.start(run)
    assert fixture.list_started() == [run.key]
    assert fixture.executor.sent[-1].fence > lost.fence


@pytest.mark.parametrize("pause", [0.05, 2.5])
async def test_an_unreported_run_delays_the_cursor(pause):
    """A new incarnation could have started and ended the run since the last answer."""
    fixture = SessionFixture()
    fixture.acknowledge_one_end()
    await fixture.poll()
    add_job(fixture.ledger, job_id="a" * 16)
    assert start_all(fixture.ledger, 100.0)
    fixture.clock.advance(pause)
    assert await fixture.poll() == 0


async def test_a_call_that_lets_ends_be_forgotten_is_not_held_back():
    """Starts wait for its answer."""
    fixture = SessionFixture()
    fixture.acknowledge_one_end()
    await fixture.poll()
    assert await fixture.poll() == 1
    assert fixture.executor.sent[-1].wait == 0.0


@pytest.mark.parametrize(("fence", "is_lost"), [(FENCE, True), (FENCE + 1, False)])
async def test_only_a_refusal_of_the_latest_fence_shows_another_owner(fence, is_lost):
    """A call may arrive after one that was sent later with a higher fence."""
    fixture = SessionFixture()
    refused = RunReport(0, 0, refusal=Refusal.FENCED)

    async def refuse(order):
        state = fixture.ledger.executors["e1"]
        state.renew_fence()
        state.choose_fence(fence)
        return refused

    fixture.executor.renew_leases = refuse
    await fixture.session._poll()
    assert [type(item) is Fenced for item in fixture.messages].count(True) == is_lost


@pytest.mark.parametrize(("clock", "confirmed"), [(1000, True), (40, False)])
async def test_a_start_is_confirmed_by_the_clock_of_the_incarnation_that_answers(
    clock, confirmed
):
    """The clock starts anew with each incarnation, which its answer shows at once."""
    fixture = SessionFixture()
    add_job(fixture.ledger)
    (run, _) = start_all(fixture.ledger, 100.0)
    await fixture.poll()
    fixture.executor.clock = clock
    await fixture.session.start(run)
    answers = [item for item in fixture.messages if isinstance(item, StartAnswered)]
    assert [item.by_known_incarnation for item in answers] == [confirmed]


async def test_a_poll_that_may_extend_no_lease_is_not_held_back_for_long():
    # Guards against runs that lapse at a takeover: the first polls come before the new
    # owner's first publication, and the next ones waited for an end.
    fixture = SessionFixture()
    add_job(fixture.ledger)
    start_all(fixture.ledger, 100.0)
    await fixture.poll()
    fixture.lease_limit = float("-inf")
    await fixture.poll()
    held_back = fixture.executor.sent[-1]
    assert (held_back.lease_end_ms, held_back.wait) == (None, WITHHELD_POLL_WAIT_S)
    fixture.lease_limit = fixture.clock.read_monotonic() + 3.0
    await fixture.poll()
    extended = fixture.executor.sent[-1]
    assert extended.wait == fixture.session._rules.poll_wait
    assert extended.lease_end_ms <= fixture.executor.clock + 3000
