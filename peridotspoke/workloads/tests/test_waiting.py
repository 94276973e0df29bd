"""Tests of why a task that lasts waits, and since when.

The load pattern: after executors are lost, a few tasks that last stand in a pool whose
other executors are full, drain or lack what the tasks need.
"""

from dataclasses import replace

import pytest

from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.placement import Offer
from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_ledger,
    plan,
    report,
    start_all,
    store,
    terms,
)
from peridotspoke.workloads.waiting import (
    WaitingTasks,
    WaitReason,
    find_reason,
    list_waiting,
)

GROUP = ("job", 0, 0)
LASTING = Step(1, Need(1000, 100), lasting=True)


def make_offer(name="e1", cpu=8000, memory=8000, accelerators=1, labels=(), count=0):
    return Offer(
        name, "rack", frozenset(labels), cpu, memory, accelerators, {GROUP: count}
    )


@pytest.mark.parametrize(
    ("reason", "step", "offers", "allowed"),
    [
        (WaitReason.EXECUTORS, LASTING, [], None),
        (WaitReason.TICKET, LASTING, [make_offer()], {"e2"}),
        (WaitReason.LABEL, replace(LASTING, requires="ssd"), [make_offer()], None),
        (
            WaitReason.ACCELERATORS,
            replace(LASTING, need=Need(1000, 100, 2)),
            [make_offer()],
            None,
        ),
        (WaitReason.MEMORY, LASTING, [make_offer(memory=99)], None),
        (WaitReason.PROCESSORS, LASTING, [make_offer(cpu=999)], None),
        (
            WaitReason.ANTI_AFFINITY,
            replace(LASTING, most_per_executor=2),
            [make_offer(count=2), make_offer("e2", count=2)],
            None,
        ),
        (WaitReason.GANG, replace(LASTING, gang=True), [make_offer()], None),
        (WaitReason.ROUND, LASTING, [make_offer()], {"e1"}),
    ],
)
def test_the_reason_names_what_the_executors_lack(reason, step, offers, allowed):
    """Without it, a pool sized by processors hid that its tasks lacked memory."""
    assert find_reason(offers, step, GROUP, allowed) is reason


def test_the_nearest_executors_decide_the_reason():
    """An executor that lacks everything says nothing about what would help."""
    offers = [make_offer(cpu=0, memory=0), make_offer("e2", memory=0)]
    assert find_reason(offers, LASTING, GROUP) is WaitReason.MEMORY


def list_reasons(ledger, now, tickets=frozenset()):
    return list(list_waiting(ledger, now, lambda group: tickets).values())


def test_a_task_on_a_lost_executor_waits_for_the_lease():
    """Its run may go on until then, so that it can't start elsewhere."""
    ledger = make_ledger("e1", "e2")
    add_job(ledger, LASTING)
    (run,) = start_all(ledger, 0.0)
    assert list_reasons(ledger, 0.5) == []
    ledger.note_unreachable(run.executor_id, "no answer", 1.0)
    assert list_reasons(ledger, 1.0) == [WaitReason.LEASE]
    report(ledger, run.executor_id, 2.0, running=[run])
    ledger.lose_entry(run.executor_id)
    assert list_reasons(ledger, 2.0) == [WaitReason.LEASE]


def test_an_inherited_run_that_nobody_confirmed_waits_for_the_lease():
    """The new owner doesn't know yet whether it runs."""
    ledger = make_ledger("e1")
    progress = add_job(ledger, LASTING)
    plan(ledger, 0.0)
    successor = make_ledger()
    successor.add_job(progress)
    assert list_reasons(successor, 0.1) == [WaitReason.LEASE]


def test_a_run_that_is_not_stored_waits_for_its_start():
    """While the store is away, planned runs stand beside free executors."""
    ledger = make_ledger("e1")
    add_job(ledger, LASTING)
    plan(ledger, 0.0)
    assert list_reasons(ledger, 0.0) == [WaitReason.START]
    (run,) = store(ledger)
    assert list_reasons(ledger, 0.1) == [WaitReason.START]
    ledger.apply_start_answer(run, None, 0.2)
    assert list_reasons(ledger, 0.2) == []


def test_a_task_without_a_ticket_waits_for_one():
    """The executors have room, but the advice service hasn't answered."""
    ledger = make_ledger("e1")
    progress = add_job(ledger, LASTING, terms=terms(advised=True))
    progress.open_occurrence(0)
    assert list_reasons(ledger, 0.0) == [WaitReason.TICKET]
    assert list_reasons(ledger, 0.0, {"e1"}) == [WaitReason.ROUND]


def test_short_tasks_and_steps_that_come_later_do_not_count():
    """Only tasks that last and may run now stand."""
    ledger = make_ledger()
    first = Step(1, Need(1000, 100))
    progress = add_job(ledger, first, replace(LASTING, after=(0,)))
    progress.open_occurrence(0)
    assert list_reasons(ledger, 0.0) == []
    progress.occurrences[0][0][0].status = TaskStatus.DONE
    assert list_reasons(ledger, 0.0) == [WaitReason.EXECUTORS]


def test_the_task_that_has_waited_longest_is_the_example():
    """A task that ran in between waits anew; a short wait doesn't count."""
    waiting = WaitingTasks(0.5)
    assert waiting.update({"a": WaitReason.LEASE}, 0.0) is None
    waiting.update({"b": WaitReason.MEMORY}, 1.0)
    summary = waiting.update({"a": WaitReason.LEASE, "b": WaitReason.MEMORY}, 1.6)
    assert summary.counts == {WaitReason.MEMORY: 1}
    summary = waiting.update({"a": WaitReason.LEASE, "b": WaitReason.MEMORY}, 2.5)
    assert (summary.example, summary.longest) == ("b", 1.5)
    assert summary.counts == {WaitReason.MEMORY: 1, WaitReason.LEASE: 1}
    assert waiting.update({}, 3.0) is None
