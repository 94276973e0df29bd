"""Tests of tasks that fit no executor, and of places that can not be used."""

from peridotspoke.workloads.demand import estimate_demand
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.places import hold_place
from peridotspoke.workloads.readywork import open_due_occurrences
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.tests.ledgers import (
    WALL_EPOCH,
    add_job,
    make_ledger,
    report,
    start_all,
)


def measure(*steps, rate=0.0, ready=0.0):
    ledger = make_ledger("e1", "e2")  # 8 processors and 64,000 MB each
    add_job(ledger, *steps)
    open_due_occurrences(ledger, WALL_EPOCH)
    demand = estimate_demand(ledger, (), ready, rate)
    return demand.cores + demand.late_cores


def test_a_task_that_fits_no_executor_does_not_size_its_pool():
    """No number of machines gives it room."""
    assert measure(Step(1, Need(1000, 6_400_000), lasting=True)) <= 8.0


def test_a_finite_task_that_fits_no_executor_does_not_size_its_pool():
    steps = Step(1, Need(1000, 6_400_000)), Step(1, Need(1000, 100))
    assert measure(*steps, rate=8.0) <= 16.0


def test_tasks_that_fill_do_not_size_their_pool_by_the_rate_of_all():
    """Their memory is divided by the processors of the others alone."""
    steps = Step(20, Need(2000, 2000), fills=True), Step(1, Need(100, 100))
    assert measure(*steps, rate=40.0) <= 80.0


def test_a_task_whose_held_place_is_unreachable_does_not_keep_others_from_theirs():
    """Both are moved; one of the two executors with the places is then cut off."""
    ledger = make_ledger("e1", "e2", "e3")
    add_job(ledger, Step(2, Need(5000, 100), lasting=True))
    runs = start_all(ledger, 0.0)
    taken = {run.executor_id for run in runs}
    for name in taken:
        mine = [run for run in runs if run.executor_id == name]
        report(ledger, name, 0.5, running=mine)
    free = ({"e1", "e2", "e3"} - taken).pop()
    other = next(iter(taken))
    first, second = sorted(runs, key=lambda run: run.key)
    ledger.requeue(first, 1.0, "moved")
    ledger.requeue(second, 1.0, "moved")
    hold_place(ledger, first, other, 1.0)
    hold_place(ledger, second, free, 1.0)
    for name in taken:
        ledger.note_unreachable(name, "cut", 1.1)
    planned = plan_runs(ledger, 1.2, WALL_EPOCH + 1.2)
    assert [run.key for run in planned]
