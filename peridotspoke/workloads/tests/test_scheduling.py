"""Tests of the order in which waiting tasks are placed, and of where they are placed.

The load pattern: a pool with a backlog of late finite jobs, beside tasks that run until
their job is cancelled and that stand, for example after their executor was lost.
"""

from peridotspoke.workloads.demand import estimate_demand
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_ledger,
    plan,
    start_all,
    terms,
)

LASTING = Step(5, Need(1000, 100), lasting=True, may_miss=1)
LATE = 60.0  # seconds after which the finite jobs of these tests are late


def list_executors(runs):
    return sorted(run.executor_id for run in runs if run.step.lasting)


def test_a_standing_task_that_lasts_is_placed_before_late_finite_work():
    """A backlog of late jobs takes each free place, so it would stand for good."""
    ledger = make_ledger("e1", now=LATE)
    for number in range(8):
        step = Step(4, Need(1000, 100), estimate=1.0)
        add_job(ledger, step, job_id=f"{number:016x}", terms=terms())
    add_job(ledger, LASTING, job_id="f" * 16, terms=terms())
    runs = plan(ledger, LATE)
    assert len(runs) == 8  # as many as the executor has room for
    assert sum(run.step.lasting for run in runs) == LASTING.count


def test_a_queue_of_higher_priority_still_comes_before_tasks_that_last():
    ledger = make_ledger("e1")
    urgent = Step(8, Need(1000, 100), estimate=1.0)
    add_job(ledger, LASTING, job_id="f" * 16, terms=terms(priority=1))
    add_job(ledger, urgent, job_id="0" * 16, terms=terms(priority=0, latency=60.0))
    runs = plan(ledger, 0.0)
    assert not list_executors(runs)


def test_executors_with_tasks_that_last_are_not_offered_for_removal():
    """A smaller pool would stop these tasks and start them elsewhere again."""
    ledger = make_ledger("e1", "e2", "e3")
    add_job(ledger, Step(1, Need(1000, 100), lasting=True), job_id="f" * 16)
    (run,) = start_all(ledger, 0.0)
    removable = estimate_demand(ledger, (), 0.0, 0.0).removable
    assert set(removable) == {"e1", "e2", "e3"} - {run.executor_id}


def test_tasks_that_last_share_few_executors_but_not_one():
    """Few executors have to stay in the pool for them; one loss leaves half of them."""
    ledger = make_ledger("e1", "e2", "e3", "e4", "e5")
    add_job(ledger, LASTING, job_id="f" * 16)
    add_job(ledger, LASTING, job_id="e" * 16)
    executors = list_executors(start_all(ledger, 0.0))
    assert len(set(executors)) == 2
    assert {executors.count(name) for name in set(executors)} == {4, 6}
