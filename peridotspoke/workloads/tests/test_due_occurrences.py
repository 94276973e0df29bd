"""Tests of the occurrences of repeated jobs that are open at once."""

from peridotspoke.workloads.checking import MAX_TASKS
from peridotspoke.workloads.jobs import Step
from peridotspoke.workloads.readywork import open_due_occurrences
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH, add_job, make_ledger


def test_a_job_that_is_due_very_often_opens_no_more_tasks_than_a_large_one():
    """A job of a few hundred bytes took the memory and the time of its pool's owner."""
    ledger = make_ledger("e1")
    progress = add_job(ledger, Step(3), repeats=100_000, interval=0.001)
    open_due_occurrences(ledger, WALL_EPOCH + 1000)
    assert len(progress.occurrences) == MAX_TASKS // 3
    del progress.occurrences[0]
    open_due_occurrences(ledger, WALL_EPOCH + 1000)
    assert len(progress.occurrences) == MAX_TASKS // 3
    assert MAX_TASKS // 3 in progress.occurrences


def test_the_largest_job_opens_its_occurrences_one_after_another():
    ledger = make_ledger("e1")
    progress = add_job(ledger, Step(MAX_TASKS), repeats=5, interval=0.001)
    for number in range(5):
        open_due_occurrences(ledger, WALL_EPOCH + 1000)
        assert list(progress.occurrences) == [number]
        progress.occurrences.clear()
