"""Tests of the tickets of queues that require advice."""

import asyncio

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import PlatformUnavailableError
from peridotspoke.nodes.advicequeue import AdviceQueue
from peridotspoke.nodes.tickets import LOOK_INTERVAL, TicketCache
from peridotspoke.workloads.configuration import Advice
from peridotspoke.workloads.executors import TicketGrant
from peridotspoke.workloads.readywork import list_step_work, open_due_occurrences
from peridotspoke.workloads.scheduling import make_offers
from peridotspoke.workloads.tests.ledgers import (
    WALL_EPOCH,
    add_job,
    make_entry,
    make_ledger,
)


class AdviceStandIn:
    """Grants tickets to every second executor; calls fail while `fails` is set."""

    def __init__(self):
        self.calls = []
        self.fails = False

    async def advise(self, key, executor_ids, timeout):
        self.calls.append(tuple(executor_ids))
        if self.fails:
            raise PlatformUnavailableError("too many calls wait", step="advise")
        good = {name: f"ticket-{name}" for name in list(executor_ids)[::2]}
        return TicketGrant(good, 3.0)


class TicketFixture:
    """A cache, its clock and the work of a job with two tasks."""

    def __init__(self, *names):
        self.advice, self.clock = AdviceStandIn(), ManualClock(10.0)
        self.ledger = make_ledger(*names)
        queue = AdviceQueue(self.advice, self.clock)
        self.cache = TicketCache(queue, self.clock, lambda queue: Advice(), self.ledger)
        add_job(self.ledger)
        open_due_occurrences(self.ledger, WALL_EPOCH)
        (self.work,) = list_step_work(self.ledger, WALL_EPOCH)

    async def find(self, *full):
        """Return the tickets, once the call that was due has been answered.

        The executors in `full` have no room.
        """
        offers = make_offers(self.ledger, 0.0)
        for name in full:
            offers[name].cpu = 0
        found = self.cache.find(self.work, offers)
        for _ in range(4):
            await asyncio.sleep(0)
        return found


async def test_tickets_of_a_step_are_requested_once_for_each_executor():
    """Tickets are kept until they expire; more are requested where room lacks."""
    fixture = TicketFixture("e1", "e2")
    assert await fixture.find() is None
    assert await fixture.find() == {"e1": "ticket-e1"}
    fixture.ledger.see_entry(make_entry("e3"), 0.0)
    fixture.ledger.executors["e3"].reported_at = 0.0
    fixture.ledger.executors["e3"].is_announced = True
    fixture.ledger.executors["e3"].choose_fence(7)
    fixture.clock.advance(LOOK_INTERVAL)
    await fixture.find()
    assert fixture.advice.calls == [("e1", "e2")]
    fixture.clock.advance(LOOK_INTERVAL)
    await fixture.find("e1")
    assert fixture.advice.calls == [("e1", "e2"), ("e3",)]
    fixture.clock.advance(3.0)
    assert await fixture.find() is None


async def test_a_failed_call_is_repeated_only_after_a_delay():
    """An overloaded advice service is not called again before the retry delay."""
    fixture = TicketFixture("e1")
    fixture.advice.fails = True
    for _ in range(3):
        await fixture.find()
    assert len(fixture.advice.calls) == 1
    fixture.clock.advance(1.0)
    await fixture.find()
    assert len(fixture.advice.calls) == 2


async def test_the_executors_with_a_ticket_are_listed_until_it_expires():
    """Whether a task waits for its ticket is asked without a further call."""
    fixture = TicketFixture("e1", "e2")
    cache, group = fixture.cache, fixture.work.tasks[0].key[:3]
    assert cache.list_granted(group) == set()
    await fixture.find()
    assert cache.list_granted(group) == {"e1"}
    fixture.clock.advance(3.0)
    assert cache.list_granted(group) == set()
    assert len(fixture.advice.calls) == 1


async def test_a_refused_ticket_and_those_of_a_former_life_are_requested_anew():
    # Guards against starts that are refused until the tickets' time is over (LOST).
    fixture = TicketFixture("e1")
    await fixture.find()
    fixture.cache.drop(fixture.work.tasks[0].key[:3], "e1")
    fixture.clock.advance(LOOK_INTERVAL)
    assert await fixture.find() is None
    assert await fixture.find()
    fixture.ledger.executors["e1"].incarnation = 2
    fixture.clock.advance(LOOK_INTERVAL)
    assert fixture.cache.find(fixture.work, make_offers(fixture.ledger, 0.0)) is None
    assert len(fixture.advice.calls) == 2


async def test_nothing_is_kept_of_jobs_that_have_ended():
    fixture = TicketFixture("e1")
    await fixture.find()
    fixture.ledger.jobs.clear()
    fixture.cache.remove_ended_jobs()
    assert fixture.cache.list_granted(fixture.work.tasks[0].key[:3]) == set()


async def test_an_unexpected_error_does_not_end_the_calls():
    """The next step's call is made all the same."""
    fixture = TicketFixture("e1")

    async def fail(key, executor_ids, timeout):
        raise RuntimeError("unexpected")

    advise, fixture.advice.advise = fixture.advice.advise, fail
    await fixture.find()
    fixture.advice.advise = advise
    fixture.clock.advance(1.0)
    await fixture.find()
    assert await fixture.find()
