"""Tests of the tickets of queues that require advice."""

import asyncio

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import PlatformUnavailableError
from peridotspoke.nodes.tickets import TicketCache
from peridotspoke.workloads.configuration import Advice
from peridotspoke.workloads.executors import TicketGrant
from peridotspoke.workloads.readywork import list_step_work, open_due_occurrences
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH, add_job, make_ledger


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


def make_cache():
    advice, clock = AdviceStandIn(), ManualClock(10.0)
    cache = TicketCache(advice, clock, asyncio.ensure_future, lambda queue: Advice())
    ledger = make_ledger("e1", "e2")
    add_job(ledger)
    open_due_occurrences(ledger, WALL_EPOCH)
    (work,) = list_step_work(ledger, WALL_EPOCH)
    return advice, clock, cache, work


async def test_tickets_of_a_step_are_requested_once_for_each_executor():
    """Tickets are kept until they expire."""
    advice, clock, cache, work = make_cache()
    assert cache.find(work, ("e1", "e2")) is None
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert cache.find(work, ("e1", "e2")) == {"e1": "ticket-e1"}
    cache.find(work, ("e1", "e2", "e3"))
    await asyncio.sleep(0)
    assert advice.calls == [("e1", "e2"), ("e3",)]
    clock.advance(3.0)
    assert cache.find(work, ("e1",)) is None


async def test_a_failed_call_is_repeated_only_after_a_delay():
    """An overloaded advice service is not called again before the retry delay."""
    advice, clock, cache, work = make_cache()
    advice.fails = True
    for _ in range(3):
        cache.find(work, ("e1",))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    assert len(advice.calls) == 1
    clock.advance(1.0)
    cache.find(work, ("e1",))
    await asyncio.sleep(0)
    assert len(advice.calls) == 2


async def test_the_executors_with_a_ticket_are_listed_until_it_expires():
    """Whether a task waits for its ticket is asked without a further call."""
    advice, clock, cache, work = make_cache()
    group = work.tasks[0].key[:3]
    assert cache.list_granted(group) == set()
    cache.find(work, ("e1", "e2"))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert cache.list_granted(group) == {"e1"}
    clock.advance(3.0)
    assert cache.list_granted(group) == set()
    assert len(advice.calls) == 1
