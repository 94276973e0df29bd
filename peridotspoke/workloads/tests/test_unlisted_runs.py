"""Tests of what a report says of the runs that it does not list.

The load pattern: an executor whose many runs end or are stopped together, so that its
report lists neither all that runs there nor all that has ended.
"""

from dataclasses import replace

from peridotspoke.workloads.executors import EndKind, StopOrder
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.tests.ledgers import (
    RULES,
    add_job,
    end,
    make_entry,
    make_ledger,
    report,
    start_all,
)

ASSIGNED_THREE = [TaskStatus.ASSIGNED] * 3
SLOW_STOPS = replace(RULES, stop_limit=0.4)


def test_a_run_whose_end_is_not_listed_yet_does_not_run_again():
    # Guards against second runs of tasks that are done (review/1): an executor lists
    # its first ends only, so that a run that is not listed at all may be done.
    ledger = make_ledger("e1")
    add_job(ledger, Step(4, Need(1000, 100)))
    runs = first, second, stopped, _ = start_all(ledger, 0.0)
    ledger.stop_run(stopped, "test")
    ledger.apply_stop_answer("e1", StopOrder(stopped.key, stopped.number, 7), 0.1)
    report(ledger, "e1", 1.0, ended=[end(1, first)], has_more_ends=True)
    assert [run.task.status for run in runs] == [TaskStatus.DONE, *ASSIGNED_THREE]
    report(ledger, "e1", 2.0, ended=[end(2, second), end(3, stopped)])
    assert [run.task.status for run in runs] == [
        *[TaskStatus.DONE] * 3,
        TaskStatus.WAITING,
    ]


def test_an_inherited_run_whose_end_is_not_listed_yet_does_not_run_again():
    # Guards against second runs of tasks that are done (review/1), after a hand-over.
    first = make_ledger("e1")
    progress = add_job(first)
    runs = start_all(first, 0.0)
    second = make_ledger(fence=8)
    second.add_job(progress)
    report(second, "e1", 1.0, ended=[end(1, runs[0])], has_more_ends=True)
    assert runs[1].task.status is TaskStatus.ASSIGNED
    report(second, "e1", 2.0, ended=[end(2, runs[1])])
    assert runs[1].task.status is TaskStatus.DONE


def test_a_run_that_is_being_stopped_does_not_run_again_though_it_is_not_listed():
    # Guards against two runs at once (TWICE in the users' own runs): an executor takes
    # a while to stop a run, and may list it neither as running nor as ended meanwhile.
    ledger = make_ledger("e1", rules=SLOW_STOPS)
    add_job(ledger)
    first, second = start_all(ledger, 0.0)
    for run in (first, second):
        ledger.stop_run(run, "the executor is leaving")
        order = StopOrder(run.key, run.number, ledger.fence)
        ledger.apply_stop_answer("e1", order, 1.0)
    report(ledger, "e1", 1.3, ended=[end(1, first, EndKind.STOPPED)], asked_at=1.1)
    assert first.task.status is TaskStatus.WAITING
    assert second.task.status is TaskStatus.ASSIGNED
    ledger.request_due_reports(1.4)
    assert not ledger.requested_reports
    ledger.request_due_reports(1.5)
    assert ledger.requested_reports == {"e1"}
    report(ledger, "e1", 1.6, asked_at=1.5)
    assert second.task.status is TaskStatus.WAITING


def test_an_inherited_run_may_be_one_that_an_earlier_owner_stops():
    # Guards against two runs at once (TWICE), as above, after a hand-over.
    first = make_ledger("e1")
    progress = add_job(first)
    runs = start_all(first, 0.0)
    second = make_ledger(fence=8, rules=SLOW_STOPS)
    second.add_job(progress)
    report(second, "e1", 1.0, asked_at=0.9)
    report(second, "e1", 1.3, asked_at=1.2)
    assert {run.task.status for run in runs} == {TaskStatus.ASSIGNED}
    second.request_due_reports(1.5)
    assert second.requested_reports == {"e1"}
    report(second, "e1", 1.6, asked_at=1.5)
    assert {run.task.status for run in runs} == {TaskStatus.WAITING}


def test_a_later_life_may_still_stop_an_inherited_run_that_was_missing_before():
    # Guards against two runs at once (TWICE): an earlier owner's orders may reach the
    # later life up to its first report.
    first = make_ledger("e1")
    progress = add_job(first)
    runs = start_all(first, 0.0)
    second = make_ledger(fence=8, rules=SLOW_STOPS)
    second.add_job(progress)
    report(second, "e1", 1.0, asked_at=0.9)
    report(second, "e1", 1.45, asked_at=1.42, incarnation=2)
    report(second, "e1", 1.6, asked_at=1.5, incarnation=2)
    assert {run.task.status for run in runs} == {TaskStatus.ASSIGNED}
    report(second, "e1", 2.0, asked_at=1.9, incarnation=2)
    assert {run.task.status for run in runs} == {TaskStatus.WAITING}


def test_a_run_that_is_listed_again_has_not_been_missing():
    # Guards against taking two reports without the run, one long before, for its end.
    ledger = make_ledger("e1", rules=SLOW_STOPS)
    add_job(ledger)
    run, other = start_all(ledger, 0.0)
    report(ledger, "e1", 1.0, running=[other])
    report(ledger, "e1", 2.0, running=[run, other])
    report(ledger, "e1", 3.0, running=[other])
    assert run.task.status is TaskStatus.ASSIGNED
    report(ledger, "e1", 3.5, running=[other])
    assert run.task.status is TaskStatus.WAITING


def test_no_report_is_requested_of_an_executor_that_does_not_answer():
    ledger = make_ledger("e1", rules=SLOW_STOPS)
    add_job(ledger)
    start_all(ledger, 0.0)
    report(ledger, "e1", 1.0)
    ledger.note_unreachable("e1", "no answer", 1.1)
    ledger.request_due_reports(2.0)
    assert not ledger.requested_reports


def test_a_restart_before_the_proof_of_an_end_fails_nothing():
    # Guards against a round that ends by an unexpected error: nothing is known of the
    # new incarnation until its first report.
    ledger = make_ledger("e1", rules=SLOW_STOPS)
    add_job(ledger)
    run, _ = start_all(ledger, 0.0)
    ledger.stop_run(run, "the executor is leaving")
    order = StopOrder(run.key, run.number, ledger.fence)
    ledger.apply_stop_answer("e1", order, 1.0)
    ledger.see_entry(make_entry("e1", incarnation=2), 1.1)
    ledger.apply_stop_answer("e1", order, 1.2)
    ledger.request_due_reports(2.0)
    assert not ledger.requested_reports - {"e1"}
    report(ledger, "e1", 2.5, incarnation=2)
    ledger.request_due_reports(3.0)
    report(ledger, "e1", 3.5, incarnation=2)
    assert run.task.status is TaskStatus.WAITING


def test_a_gang_that_has_lost_a_run_does_not_run_again_while_another_may_be_done():
    # Guards against second runs of tasks that are done (TWICE): one end stands for all,
    # and it may come from any of the gang's executors.
    ledger = make_ledger("e1", "e2")
    step = Step(2, Need(5000, 100), gang=True)
    progress = add_job(ledger, step)
    first, second = start_all(ledger, 0.0)
    assert {first.executor_id, second.executor_id} == {"e1", "e2"}
    for run in (first, second):
        report(ledger, run.executor_id, 0.5, [run])
    report(ledger, first.executor_id, 1.0, incarnation=2)
    assert first.task.status is TaskStatus.WAITING
    assert start_all(ledger, 1.1) == []
    report(ledger, second.executor_id, 1.2, ended=[end(1, second)])
    assert progress.outcome is JobOutcome.COMPLETED
