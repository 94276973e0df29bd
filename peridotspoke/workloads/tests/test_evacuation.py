"""Tests of which runs are stopped to empty executors."""

from peridotspoke.workloads.evacuation import plan_evacuation
from peridotspoke.workloads.executors import EndKind, ExecutorCondition, ReportedRun
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    end,
    make_entry,
    make_ledger,
    report,
    start_all,
)

LASTING = Step(3, Need(1000, 100), lasting=True, may_miss=1, most_per_executor=1)


def report_all(ledger, runs, now, percent=100):
    for run in runs:
        reported = ReportedRun(run.key, run.number, "", percent)
        report(ledger, run.executor_id, now, running=[reported])


def start_lasting(*names):
    ledger = make_ledger(*names)
    add_job(ledger, LASTING)
    return ledger, start_all(ledger, 0.0)


def test_a_long_running_task_moves_only_while_its_siblings_are_available():
    """A sibling whose executor has not reported recently counts as unavailable."""
    ledger, runs = start_lasting("e1", "e2", "e3", "e4")
    report_all(ledger, runs, 1.0)
    ledger.set_withdrawn({runs[0].executor_id})
    assert list(plan_evacuation(ledger, 2.0)) == []
    assert ledger.requested_reports == {runs[1].executor_id, runs[2].executor_id}
    report_all(ledger, runs, 2.1)
    assert list(plan_evacuation(ledger, 2.2)) == [runs[0]]


def test_a_long_running_task_stays_while_a_sibling_starts_up():
    """A sibling below 100 percent counts as unavailable."""
    ledger, runs = start_lasting("e1", "e2", "e3", "e4")
    report_all(ledger, runs[:2], 1.0)
    report_all(ledger, runs[2:], 1.0, percent=40)
    ledger.set_withdrawn({runs[0].executor_id})
    assert list(plan_evacuation(ledger, 1.1)) == []


def test_two_withdrawn_executors_do_not_lose_two_tasks_at_once():
    """The first stop counts against the budget of the second in the same round."""
    ledger, runs = start_lasting("e1", "e2", "e3", "e4", "e5")
    report_all(ledger, runs, 1.0)
    ledger.set_withdrawn({runs[0].executor_id, runs[1].executor_id})
    stopped = []
    for run in plan_evacuation(ledger, 1.1):
        ledger.stop_run(run, "executor leaves")
        stopped.append(run)
    assert len(stopped) == 1


def test_a_long_running_task_stays_without_capacity_elsewhere():
    """It would be unavailable until another executor has capacity for it."""
    ledger, runs = start_lasting("e1", "e2", "e3")
    report_all(ledger, runs, 1.0)
    ledger.set_withdrawn({runs[0].executor_id})
    assert list(plan_evacuation(ledger, 1.1)) == []


def test_a_task_that_may_have_become_available_is_not_stopped():
    """A task that last reported its startup may be serving by now.

    Stopping it while a sibling starts up could exceed the availability budget.
    """
    ledger, runs = start_lasting("e1", "e2", "e3", "e4", "e5")
    report_all(ledger, runs[:2], 1.0, percent=50)
    report_all(ledger, runs[2:], 1.0)
    ledger.set_withdrawn({runs[0].executor_id, runs[1].executor_id})
    assert list(plan_evacuation(ledger, 1.1)) == []


def test_a_task_is_not_moved_to_each_executor_that_is_replaced_next():
    """A task followed executors that were replaced by turns, and was stopped by each.

    Three moves are plenty to see that executors leave one after another: those that
    are left of the old ones leave as well, and their successors stay.
    """
    names = [f"e{number}" for number in range(8)]
    ledger = make_ledger(*names)
    add_job(ledger, Step(1, Need(1000, 100), estimate=60.0, checkpointing=True))
    moves = 0
    start_all(ledger, 0.0)
    for turn, name in enumerate(names):
        now, successor = 2.0 * (turn + 1), f"n{turn}"
        ledger.see_entry(make_entry(successor, incarnation=turn + 2), now)
        report(ledger, successor, now, incarnation=turn + 2)
        draining = ExecutorCondition.DRAINING
        ledger.see_entry(make_entry(name, condition=draining), now)
        for run in list(ledger.list_runs()):
            born = ledger.executors[run.executor_id].incarnation
            report(ledger, run.executor_id, now, running=[run], incarnation=born)
        for run in list(plan_evacuation(ledger, now)):
            ledger.stop_run(run, "the executor is leaving")
            moves += 1
            ended = end(1, run, EndKind.STOPPED)
            report(ledger, run.executor_id, now + 0.1, ended=[ended])
        start_all(ledger, now + 0.2)
    assert moves <= 3
