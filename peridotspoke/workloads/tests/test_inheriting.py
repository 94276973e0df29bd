"""Tests of how long the runs of earlier owners stand on executors that have left."""

import pytest

from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.ledgertypes import LedgerRules
from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_ledger,
    report,
    start_all,
)

RUN_LEASE = 5.0  # seconds
LONGEST_LEASE = 7.0  # seconds, that an executor grants
ALONE = 7.5  # seconds for which an owner extends leases without the store
RULES = LedgerRules(
    inherited_lease=RUN_LEASE + ALONE,
    margin=0.1,
    restart_excess=2.0,
    longest_lease=LONGEST_LEASE,
    run_lease=RUN_LEASE,
)
LASTING = Step(1, Need(1000, 100), lasting=True)


@pytest.fixture
def inherited():
    """A second owner, at 0 s, and a run that its predecessor started on e1."""
    first = make_ledger("e1", rules=RULES)
    progress = add_job(first, LASTING)
    (run,) = start_all(first, 0.0)
    second = make_ledger(fence=8, rules=RULES)
    second.add_job(progress)
    return second, run


def test_a_task_does_not_stand_once_an_executor_that_met_the_new_owner_has_left(
    inherited,
):
    """From its answer on, the executor refuses what earlier owners send."""
    ledger, run = inherited
    report(ledger, "e1", 0.2, running=[run])
    ledger.extend_lease("e1", 3.0 + RUN_LEASE)
    ledger.note_unreachable("e1", "no answer", 3.1)
    ledger.expire_leases(3.0 + RUN_LEASE + RULES.margin)
    assert run.task.status is TaskStatus.ASSIGNED
    ledger.expire_leases(3.0 + RUN_LEASE + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING


def test_leases_that_an_earlier_owner_extended_before_the_first_answer_are_awaited(
    inherited,
):
    """Its last extension may have come just before, and be as long as any can be."""
    ledger, run = inherited
    report(ledger, "e1", 3.0, running=[run])
    ledger.note_unreachable("e1", "no answer", 3.1)
    ledger.expire_leases(3.0 + LONGEST_LEASE)
    assert run.task.status is TaskStatus.ASSIGNED
    ledger.expire_leases(3.0 + LONGEST_LEASE + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING


@pytest.fixture
def left():
    """A first owner, and its run on e1, which has left; its last lease ends at 6 s.

    No call to an earlier incarnation of e1 can have granted a longer one any more.
    """
    first = make_ledger("e1", now=-LONGEST_LEASE, rules=RULES)
    add_job(first, LASTING)
    (run,) = start_all(first, 0.5)
    report(first, "e1", 1.0, running=[run])
    first.extend_lease("e1", 1.0 + RUN_LEASE)
    first.lose_entry("e1")
    return first, run


def hand_over(ledger, now, progress):
    """Return the ledger of an owner that takes over at `now` from one that stops."""
    waits = ledger.list_lease_waits(now)
    stated_ends = {name: now + wait for name, wait in waits.items()}
    successor = make_ledger(now=now, fence=ledger.fence + 1, rules=RULES)
    successor.expect_lease_ends(stated_ends)
    successor.add_job(progress)
    return successor


def test_a_task_does_not_stand_while_owners_that_stop_hand_its_pool_over(left):
    """Each hand-over once made the wait begin anew, in series for ever."""
    ledger, run = left
    progress = run.progress
    for now in (2.0, 4.0, 5.5):
        ledger = hand_over(ledger, now, progress)
        ledger.expire_leases(now)
        assert run.task.status is TaskStatus.ASSIGNED
    ledger.expire_leases(1.0 + RUN_LEASE + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING


def test_a_stopping_owner_states_the_leases_that_an_earlier_one_may_still_extend(left):
    """The first owner was not heard of any more, and may hold for a while alone."""
    _, run = left
    second = make_ledger(now=2.0, fence=8, rules=RULES)
    second.add_job(run.progress)
    third = hand_over(second, 3.0, run.progress)
    third.expire_leases(2.0 + RULES.inherited_lease)
    assert run.task.status is TaskStatus.ASSIGNED
    third.expire_leases(2.0 + RULES.inherited_lease + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING


def test_a_start_without_an_answer_is_stated_with_the_longest_lease():
    """A restarted executor measures the lease on a clock that starts anew."""
    first = make_ledger("e1", rules=RULES)
    progress = add_job(first, LASTING)
    (run,) = start_all(first, 0.5)
    first.extend_lease("e1", 0.5 + RUN_LEASE)
    first.lose_entry("e1")
    second = hand_over(first, 1.0, progress)
    second.expire_leases(0.5 + RUN_LEASE + RULES.restart_excess)
    assert run.task.status is TaskStatus.ASSIGNED
    second.expire_leases(0.5 + RUN_LEASE + RULES.restart_excess + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING


def test_an_owner_that_stops_before_it_took_jobs_in_repeats_what_it_was_told(left):
    """Two hand-overs may come within the time in which a view is read."""
    first, run = left
    waits = first.list_lease_waits(2.0)
    second = make_ledger(now=2.0, fence=8, rules=RULES)
    second.expect_lease_ends({name: 2.0 + wait for name, wait in waits.items()})
    third = hand_over(second, 2.5, run.progress)
    third.expire_leases(1.0 + RUN_LEASE + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING
