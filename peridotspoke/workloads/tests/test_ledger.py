"""Tests of `PoolLedger`: its state after answers, reports and lost answers."""

import pytest

from peridotspoke.store import Record
from peridotspoke.workloads.executors import EndKind, Refusal
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.ledgertypes import LedgerRules
from peridotspoke.workloads.progress import JobOutcome, TaskStatus, decode_summary
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    end,
    make_entry,
    make_ledger,
    plan,
    report,
    start_all,
    store,
)


def read_summary(batch, job_id):
    """Return the `ProgressSummary` of a job as a `StoredBatch` holds it."""
    return decode_summary(Record("key", batch.values[job_id], 1))


def read_outcome(batch, job_id):
    """Return the outcome of a job as a `StoredBatch` holds it."""
    return read_summary(batch, job_id).outcome


def test_a_job_that_ends_while_an_earlier_state_is_stored_is_stored_again():
    """An older write that returns after the job has ended must not remove the job.

    The ledger would then never write the completed state.
    """
    ledger = make_ledger("e1")
    progress = add_job(ledger)
    plan(ledger, 0.0)
    first_batch = ledger.take_batch(15)
    runs = ledger.note_stored(first_batch)
    for run in runs:
        ledger.apply_start_answer(run, None, 0.1)
    ledger.dirty.add(progress.job.job_id)
    older_batch = ledger.take_batch(15)
    report(ledger, "e1", 1.0, ended=[end(1, runs[0]), end(2, runs[1])])
    ledger.note_stored(older_batch)
    newer_batch = ledger.take_batch(15)
    assert read_outcome(newer_batch, progress.job.job_id) == "completed"
    ledger.note_stored(newer_batch)
    assert ledger.jobs == {}


def test_a_start_without_an_answer_is_stopped_before_its_task_waits_again():
    """The start may still be carried out, so an early retry could run the task twice.

    Only a report that was requested after the stop was answered, and that does not
    list the run, shows that it is over.
    """
    ledger = make_ledger("e1", "e2")
    progress = add_job(ledger)
    plan(ledger, 0.0)
    run = store(ledger)[0]
    ledger.handle_start_timeout(run)
    (stop,) = ledger.list_stops()
    assert stop.order.run == run.number
    report(ledger, run.executor_id, 1.0)
    assert run.task.status is TaskStatus.ASSIGNED
    ledger.apply_stop_answer(stop.executor_id, stop.order, 1.5)
    report(ledger, run.executor_id, 1.9, asked_at=1.4)
    assert run.task.status is TaskStatus.ASSIGNED
    report(ledger, run.executor_id, 2.0, asked_at=1.6)
    assert run.task.status is TaskStatus.WAITING
    assert progress.outcome is JobOutcome.OPEN


def test_a_reported_run_that_the_ledger_does_not_have_is_stopped():
    """A start can be carried out late, after its run was already released."""
    ledger = make_ledger("e1")
    add_job(ledger)
    run = start_all(ledger, 0.0)[0]
    report(ledger, "e1", 1.0, ended=[end(1, run, EndKind.STOPPED)])
    report(ledger, "e1", 2.0, running=[run])
    (stop,) = ledger.list_stops()
    assert stop.order.key == run.key


def test_failures_are_counted_once_and_end_the_job():
    """An executor lists an ended run until its effect is stored; it counts once."""
    ledger = make_ledger("e1")
    progress = add_job(ledger)
    end_number = 0
    for attempt in range(3):
        runs = start_all(ledger, float(attempt))
        end_number += 1
        failed = next(run for run in runs if run.key.index == 0)
        ends = [end(end_number, failed, EndKind.FAILED)]
        others = [run for run in ledger.list_runs() if run is not failed]
        report(ledger, "e1", attempt + 0.5, others, ends)
        report(ledger, "e1", attempt + 0.6, others, ends)
    assert progress.outcome is JobOutcome.FAILED
    assert failed.task.failures == 3


def test_runs_of_an_earlier_owner_are_adopted_or_wait_again():
    """After a report under the new fence, runs that it does not list can't start."""
    first = make_ledger("e1")
    progress = add_job(first)
    runs = start_all(first, 0.0)
    second = make_ledger(fence=8)
    second.add_job(progress)
    assert plan(second, 0.0) == []
    report(second, "e1", 1.0, running=[runs[0]])
    assert runs[0].task.status is TaskStatus.ASSIGNED
    assert runs[1].task.status is TaskStatus.WAITING


def test_runs_on_an_unreachable_executor_wait_for_the_end_of_every_lease():
    """The earlier owner may extend leases for a while after the takeover.

    Its last extension must expire before the task can run elsewhere.
    """
    first = make_ledger("e1")
    progress = add_job(first)
    runs = start_all(first, 0.0)
    second = make_ledger(fence=8)
    second.add_job(progress)
    second.note_unreachable("e1", "no answer", 0.0)
    second.expire_leases(12.0)
    assert runs[0].task.status is TaskStatus.ASSIGNED
    second.expire_leases(12.2)
    assert runs[0].task.status is TaskStatus.WAITING


def test_a_silent_executor_that_answers_within_its_leases_keeps_its_runs():
    """Nothing is started elsewhere or given up while a lease may last."""
    ledger = make_ledger("e1", "e2")
    add_job(ledger)
    runs = start_all(ledger, 0.0)
    for run in runs:
        ledger.extend_lease(run.executor_id, 5.0)
    report(ledger, "e1", 0.5, [run for run in runs if run.executor_id == "e1"])
    report(ledger, "e2", 0.5, [run for run in runs if run.executor_id == "e2"])
    for name in ("e1", "e2"):
        ledger.note_unreachable(name, "no answer", 1.0)
    ledger.expire_leases(5.0)
    assert plan(ledger, 5.0) == []
    report(ledger, "e1", 5.05, [run for run in runs if run.executor_id == "e1"])
    report(ledger, "e2", 5.05, [run for run in runs if run.executor_id == "e2"])
    assert [run.task.run for run in runs] == [1, 1]
    assert {run.task.status for run in runs} == {TaskStatus.ASSIGNED}


def test_a_restarted_executor_frees_confirmed_runs_and_stops_unconfirmed_ones():
    """A start without an answer may still be carried out by the new incarnation."""
    ledger = make_ledger("e1")
    add_job(ledger)
    plan(ledger, 0.0)
    confirmed, unconfirmed = store(ledger)
    ledger.apply_start_answer(confirmed, None, 0.1)
    ledger.handle_start_timeout(unconfirmed)
    report(ledger, "e1", 1.0, incarnation=2)
    assert confirmed.task.status is TaskStatus.WAITING
    assert unconfirmed.task.status is TaskStatus.ASSIGNED


def test_a_run_that_was_never_reported_may_be_on_the_restarted_executor():
    """The new incarnation can have answered a start that was sent to the old one."""
    ledger = make_ledger("e1")
    add_job(ledger)
    listed, ended = start_all(ledger, 0.0)
    report(ledger, "e1", 1.0, incarnation=2, asked_at=-0.5)
    assert listed.task.status is TaskStatus.ASSIGNED
    report(ledger, "e1", 2.0, [listed], incarnation=2)
    assert listed.task.status is TaskStatus.ASSIGNED
    assert ended.task.status is TaskStatus.WAITING


def test_a_stopped_run_that_was_never_reported_is_stopped_again_after_a_restart():
    """The earlier stop may have been answered by the old incarnation."""
    ledger = make_ledger("e1")
    add_job(ledger)
    run, _ = start_all(ledger, 0.0)
    ledger.stop_run(run, "test")
    (command,) = ledger.list_stops()
    ledger.apply_stop_answer("e1", command.order, 0.5)
    ledger.see_entry(make_entry("e1", incarnation=2), 1.0)
    assert run.task.status is TaskStatus.ASSIGNED
    assert [item.order.key for item in ledger.list_stops()] == [run.key]


def test_a_late_report_of_the_earlier_incarnation_changes_nothing():
    """Its numbers of ended runs would be taken for those of the new incarnation."""
    ledger = make_ledger("e1")
    add_job(ledger)
    first, second = start_all(ledger, 0.0)
    report(ledger, "e1", 1.0, [first, second])
    ledger.see_entry(make_entry("e1", incarnation=2), 2.0)
    report(ledger, "e1", 2.1, [second], [end(1, first)], asked_at=1.5)
    assert ledger.executors["e1"].cursor == 0
    assert first.task.status is TaskStatus.WAITING
    assert not list(ledger.list_stops())


def test_leases_of_an_unreported_run_can_last_as_long_as_a_new_incarnation_allows():
    """The time in an order means nothing on a clock that has started anew."""
    rules = LedgerRules(inherited_lease=12.0, margin=0.1, restart_excess=6.0)
    ledger = make_ledger("e1", rules=rules)
    add_job(ledger)
    reported, unreported = start_all(ledger, 0.0)
    ledger.extend_lease("e1", 5.0)
    report(ledger, "e1", 0.5, [reported], asked_at=-0.5)
    ledger.note_unreachable("e1", "no answer", 1.0)
    ledger.expire_leases(5.2)
    assert reported.task.status is TaskStatus.WAITING
    assert unreported.task.status is TaskStatus.ASSIGNED
    ledger.expire_leases(11.2)
    assert unreported.task.status is TaskStatus.WAITING


def test_an_executor_that_refused_a_start_gets_none_for_a_while():
    """An executor without free capacity is not asked again immediately."""
    ledger = make_ledger("e1")
    add_job(ledger)
    plan(ledger, 0.0)
    for run in store(ledger):
        ledger.apply_start_answer(run, Refusal.ROOM, 0.1)
    assert plan(ledger, 0.2) == []
    assert len(plan(ledger, 1.0)) == 2


def test_a_job_whose_every_start_was_refused_has_not_begun():
    # Guards against jobs that `waiting` leaves out though none of their tasks has
    # started (review/5).
    ledger = make_ledger("e1")
    job_id = add_job(ledger).job.job_id
    for now in (0.0, 2.0):
        plan(ledger, now)
        batch = ledger.take_batch(15)
        assert not read_summary(batch, job_id).begun
        for run in ledger.note_stored(batch):
            ledger.apply_start_answer(run, Refusal.UNHEALTHY, now)
        assert not read_summary(ledger.take_batch(15), job_id).begun
        report(ledger, "e1", now + 1.5)


@pytest.mark.parametrize("sign", ["answer", "report", "end"])
def test_the_begin_of_a_job_is_stored_within_a_second(sign):
    """It needs no write of its own where another job changes before."""
    ledger = make_ledger("e1")
    job_id = add_job(ledger).job.job_id
    plan(ledger, 0.0)
    run, _ = store(ledger)
    if sign == "answer":
        ledger.apply_start_answer(run, None, 0.1)
    else:
        running = [run] if sign == "report" else []
        ended = [end(1, run, EndKind.FAILED)] if sign == "end" else []
        report(ledger, "e1", 0.1, running, ended)
    if sign != "end":
        assert ledger.take_batch(15) is None
        ledger.hasten_begun_jobs(1.2)
    assert read_summary(ledger.take_batch(15), job_id).begun
    ledger.hasten_begun_jobs(2.4)
    assert ledger.take_batch(15) is None


def test_the_begin_of_a_job_is_stored_with_a_change_of_another():
    ledger = make_ledger("e1")
    first = add_job(ledger).job.job_id
    start_all(ledger, 0.0)
    second = add_job(ledger, job_id="a" * 16).job.job_id
    ledger.mark_changed(second)
    assert ledger.take_batch(15, exclude={second}) is None
    batch = ledger.take_batch(15)
    assert set(batch.values) == {first, second}
    assert read_summary(batch, first).begun
    assert not read_summary(batch, second).begun


def test_a_job_cancelled_as_it_is_taken_over_has_its_runs_stopped():
    """The takeover may come before the connection to the executor.

    The stop stays due until it is answered, and again while the run is still listed.
    """
    first = make_ledger("e1")
    progress = add_job(first)
    runs = start_all(first, 0.0)
    second = make_ledger(fence=8)
    second.add_job(progress)
    second.cancel_job(progress.job.job_id, 0.0)
    report(second, "e1", 1.0, running=runs)
    stops = list(second.list_stops())
    assert {stop.order.key for stop in stops} == {run.key for run in runs}
    for stop in stops:
        second.apply_stop_answer(stop.executor_id, stop.order, 1.1)
    assert list(second.list_stops()) == []
    report(second, "e1", 3.0, running=runs)
    assert len(list(second.list_stops())) == 2


def test_a_planned_run_that_was_released_meanwhile_does_not_start():
    """Its task may be planned elsewhere by the time the write of the plan returns."""
    ledger = make_ledger("e1", "e2")
    add_job(ledger)
    plan(ledger, 0.0)
    batch = ledger.take_batch(15)
    planned = list(ledger.list_runs())
    ledger.stop_run(planned[0], "executor leaves")
    ledger.note_unreachable(planned[1].executor_id, "no answer", 0.0)
    ledger.expire_leases(20.0)
    assert ledger.note_stored(batch) == []


def test_a_run_without_progress_is_stopped_and_its_executor_avoided():
    """Reports of the same percent, far enough apart, show that it is stalled."""
    ledger = make_ledger("e1", "e2")
    add_job(ledger, Step(1, Need(1000, 100)))
    (run,) = start_all(ledger, 0.0)
    for now in (0.3, 0.8, 1.4):
        report(ledger, run.executor_id, now, running=[run])
        ledger.stop_slow_runs(run.executor_id, now)
    (stop,) = ledger.list_stops()
    assert stop.order.key == run.key
    report(ledger, run.executor_id, 1.5, ended=[end(1, run, EndKind.STOPPED)])
    (again,) = start_all(ledger, 1.6)
    assert again.executor_id != run.executor_id


def test_a_speculative_task_is_copied_while_its_executor_is_unreachable():
    """Other tasks wait until the lease has expired."""
    ledger = make_ledger("e1", "e2")
    add_job(ledger, Step(1, Need(1000, 100), speculative=True))
    (run,) = start_all(ledger, 0.0)
    ledger.note_unreachable(run.executor_id, "no answer", 0.0)
    ledger.requeue_speculative(1.0)
    (again,) = start_all(ledger, 1.0)
    assert again.executor_id != run.executor_id
    assert again.number == run.number + 1


def test_the_first_copy_that_ends_as_done_counts():
    """The end of the unreachable executor's run completes the task; the copy stops."""
    ledger = make_ledger("e1", "e2")
    progress = add_job(ledger, Step(1, Need(1000, 100), speculative=True))
    (run,) = start_all(ledger, 0.0)
    ledger.note_unreachable(run.executor_id, "no answer", 0.0)
    ledger.requeue_speculative(1.0)
    (copy,) = start_all(ledger, 1.0)
    report(ledger, run.executor_id, 1.5, ended=[end(1, run)])
    assert progress.outcome is JobOutcome.COMPLETED
    (stop,) = ledger.list_stops()
    assert stop.executor_id == copy.executor_id


def test_a_task_that_has_failed_is_not_copied():
    """A failure of the earlier copy as well would count as one attempt too many."""
    ledger = make_ledger("e1", "e2")
    add_job(ledger, Step(1, Need(1000, 100), speculative=True))
    (run,) = start_all(ledger, 0.0)
    report(ledger, run.executor_id, 0.5, ended=[end(1, run, EndKind.FAILED)])
    (again,) = start_all(ledger, 0.6)
    ledger.note_unreachable(again.executor_id, "no answer", 0.0)
    ledger.requeue_speculative(1.0)
    assert again.task.status is TaskStatus.ASSIGNED


def test_an_end_that_is_reported_before_the_task_runs_again_counts():
    """The run was released, but no other run started since: the task is done."""
    for speculative in (True, False):
        ledger = make_ledger("e1", "e2")
        step = Step(1, Need(1000, 100), speculative=speculative)
        progress = add_job(ledger, step)
        (run,) = start_all(ledger, 0.0)
        ledger.note_unreachable(run.executor_id, "no answer", 0.0)
        ledger.requeue_speculative(1.0)
        ledger.expire_leases(20.0)
        report(ledger, run.executor_id, 20.5, ended=[end(1, run)])
        assert progress.outcome is JobOutcome.COMPLETED


def test_a_failure_that_an_earlier_owner_counted_is_not_counted_again():
    """The executor still lists the end, as the earlier owner did not acknowledge it."""
    first = make_ledger("e1")
    progress = add_job(first, Step(1, Need(1000, 100), speculative=True))
    (run,) = start_all(first, 0.0)
    failed = [end(1, run, EndKind.FAILED)]
    report(first, "e1", 0.5, ended=failed)
    second = make_ledger(fence=8)
    second.add_job(progress)
    report(second, "e1", 1.0, ended=failed)
    assert run.task.failures == 1
