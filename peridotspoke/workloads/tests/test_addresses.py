"""Tests of what an answer of another executor at an address says about runs."""

from dataclasses import replace

import pytest

from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_entry,
    make_ledger,
    plan,
    report,
    start_all,
    store,
)

FORMER_ADDRESS = "10.0.0.1:80"
ADDRESS = "10.0.0.2:80"


def make_moved_entry():
    """Return the entry of the second incarnation of e1, at its new address."""
    return replace(make_entry("e1", incarnation=2), address=ADDRESS)


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_late_answer_from_a_former_address_releases_no_run(is_listed):
    # Guards against two runs at once (TWICE): the address was given to another
    # executor after e1 had started again elsewhere.
    ledger = make_ledger("e1")
    progress = add_job(ledger)
    ledger.see_entry(make_moved_entry(), 1.0)
    report(ledger, "e1", 1.1, incarnation=2)
    runs = start_all(ledger, 1.2)
    report(ledger, "e1", 1.3, runs, incarnation=2)
    if not is_listed:
        ledger.lose_entry("e1")
    ledger.release_departed("e1", FORMER_ADDRESS, 1.4)
    tasks = list(progress.list_tasks())
    assert [task.status for task in tasks] == [TaskStatus.ASSIGNED] * 2
    ledger.release_departed("e1", ADDRESS, 1.5)
    assert [task.status for task in tasks] == [TaskStatus.WAITING] * 2


def hand_over_moved_executor():
    """Return the ledger of an executor's next owner, and a job planned on its new life.

    The executor has started again at another address; the next owner has read nothing.
    """
    first = make_ledger()
    first.see_entry(make_moved_entry(), 0.0)
    report(first, "e1", 0.0, incarnation=2)
    progress = add_job(first)
    plan(first, 0.0)
    store(first)
    return make_ledger(fence=8), progress


def test_an_owner_with_an_old_entry_holds_the_runs_of_the_later_incarnation():
    # Guards against two runs at once (TWICE): the new owner still reads the entry from
    # before the restart, and another executor answers at that address.
    second, progress = hand_over_moved_executor()
    second.add_job(progress)
    second.see_entry(make_entry("e1", incarnation=1), 0.1)
    second.release_departed("e1", FORMER_ADDRESS, 0.2)
    tasks = list(progress.list_tasks())
    assert [task.status for task in tasks] == [TaskStatus.ASSIGNED] * 2
    second.see_entry(make_moved_entry(), 0.3)
    second.release_departed("e1", ADDRESS, 0.4)
    assert [task.status for task in tasks] == [TaskStatus.WAITING] * 2


def test_an_old_entry_that_is_read_before_the_jobs_releases_no_later_life():
    """A supervisor's round applies the entries first and the jobs after them."""
    second, progress = hand_over_moved_executor()
    second.see_entry(make_entry("e1", incarnation=1), 0.1)
    second.add_job(progress)
    second.release_departed("e1", FORMER_ADDRESS, 0.2)
    tasks = list(progress.list_tasks())
    assert [task.status for task in tasks] == [TaskStatus.ASSIGNED] * 2
