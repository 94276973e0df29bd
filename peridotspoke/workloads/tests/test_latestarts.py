"""A start without an answer may be carried out by its executor's next life (review/7).

The load pattern: calls that get no answer and are carried out seconds later, after
newer ones, beside executors that crash and are back under their identity.
"""

from dataclasses import replace

import pytest

from peridotspoke.store import Record
from peridotspoke.workloads.executors import EndedRun, EndKind, ReportedRun, RunReport
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.latestarts import LASTING_LATE_START_S, LATE_START_S
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.progress import (
    JobOutcome,
    JobProgress,
    TaskStatus,
    decode_progress,
    encode_progress,
)
from peridotspoke.workloads.tests.ledgers import (
    JOB,
    RULES,
    add_job,
    make_entry,
    make_ledger,
    plan,
    report,
    start_all,
    store,
    terms,
)
from peridotspoke.workloads.waiting import WaitReason, list_waiting

SHORT = Step(1, Need(1000, 100))
LASTING = Step(1, Need(1000, 100), lasting=True)
WIDE = Step(1, Need(6000, 100))
LATE_RULES = replace(RULES, longest_lease=6.2, restart_excess=1.9, stop_limit=0.4)
LOST_AT = 0.8  # when the start's call was given up


def stop_lost_start(ledger, run, running=()):
    """Give up the call of a start; its executor answers the stop and reports."""
    ledger.handle_start_timeout(run, LOST_AT)
    for command in list(ledger.list_stops()):
        ledger.apply_stop_answer(command.executor_id, command.order, 0.9)
    report(ledger, run.executor_id, 1.4, running)


def lose_start(*steps, names=("e1", "e2"), **fields):
    """Return a ledger and a run whose start was lost and whose stop is confirmed."""
    ledger = make_ledger(*names, rules=LATE_RULES)
    add_job(ledger, *(steps or (SHORT,)), **fields)
    plan(ledger, 0.0)
    (run,) = store(ledger)
    stop_lost_start(ledger, run)
    assert run.task.status is TaskStatus.WAITING
    return ledger, run


def fence_next_life(ledger, name, now, running=(), ended=()):
    """Let an executor's next life report, under its own fence, and publish that."""
    ledger.see_entry(make_entry(name, incarnation=2), now)
    state = ledger.executors[name]
    state.choose_fence(state.fence + 1)
    report(ledger, name, now, running, ended, incarnation=2)
    ledger.note_published(now)


def test_the_next_run_starts_where_the_lost_start_was_sent():
    # Guards against run 1 beside run 2 (TWICE): e1's next life may carry run 1 out.
    ledger, run = lose_start()
    other = next(name for name in ledger.executors if name != run.executor_id)
    ledger.penalize(ledger.executors[run.executor_id], 1.4, 5.0)  # e2 would be chosen
    (second,) = start_all(ledger, 1.4)
    assert (second.number, second.executor_id) == (2, run.executor_id)
    assert not ledger.executors[other].runs


def test_the_task_waits_for_the_next_life_which_must_not_run_the_lost_start():
    # Guards against run 3 beside run 1, which the next life has begun (TWICE).
    ledger, run = lose_start()
    start_all(ledger, 1.4)
    name = run.executor_id
    late = ReportedRun(run.key, 1, "", 5)
    fence_next_life(ledger, name, 3.0, [late])
    assert plan(ledger, 3.0) == []
    assert [item.order.run for item in ledger.list_stops()] == [1]
    report(ledger, name, 3.2, incarnation=2)
    assert plan(ledger, 3.2) == []  # it may still be stopping
    report(ledger, name, 3.5, incarnation=2)
    (third,) = plan(ledger, 3.5)
    assert (third.number, third.executor_id) == (3, name)


@pytest.mark.parametrize(
    ("step", "limit"), [(SHORT, LATE_START_S), (LASTING, LASTING_LATE_START_S)]
)
def test_a_task_whose_executor_is_lost_runs_elsewhere_once_the_call_is_past(
    step, limit
):
    """Guards against a task that stands (LOST): the wait counts from the lost call."""
    ledger, run = lose_start(step)
    ledger.note_unreachable(run.executor_id, "crashed", 1.5)
    ledger.lose_entry(run.executor_id)
    assert plan(ledger, LOST_AT + limit - 0.1) == []
    (second,) = plan(ledger, LOST_AT + limit)
    assert second.executor_id != run.executor_id


def test_a_wait_ends_before_the_jobs_are_asked_for():
    """The pages' `finish_s` is 14 s; a task that lasts may stand for 6 s and 3 s."""
    call_s = 0.7
    assert call_s + LATE_START_S < 14.0
    assert call_s + LASTING_LATE_START_S < 6.0 + 3.0


def test_other_tasks_of_the_step_run_anywhere_meanwhile():
    # Guards against a step that stands for one task that waits (LOST, credit).
    ledger = make_ledger("e1", "e2", rules=LATE_RULES)
    add_job(ledger, Step(3, Need(1000, 100)))
    plan(ledger, 0.0)
    lost, *others = store(ledger)
    for run in others:
        ledger.apply_start_answer(run, None, 0.1)
    stop_lost_start(ledger, lost, others)
    ledger.note_unreachable(lost.executor_id, "crashed", 1.5)
    add_job(ledger, Step(3, Need(1000, 100)), job_id="b" * 16)
    runs = plan(ledger, 2.0)
    assert {run.key.job_id for run in runs} == {"b" * 16}
    assert len(runs) == 3


def test_the_place_of_the_lost_start_is_kept_for_its_next_run():
    # Guards against a wide task whose only room is taken piece by piece (LOST).
    ledger, run = lose_start(WIDE)
    ledger.executors[run.executor_id].blocked_until = 1.6
    for number in range(3):
        add_job(ledger, Step(4, Need(1000, 100)), job_id=f"{number:016x}")
    plan(ledger, 1.5)
    ledger.executors[run.executor_id].blocked_until = 0.0
    runs = [item for item in plan(ledger, 1.7) if item.key.job_id == JOB]
    assert [item.executor_id for item in runs] == [run.executor_id]


def test_a_task_that_failed_there_keeps_an_attempt_for_another_executor():
    # Guards against a job shown as failed by one bad executor (LOST, credit).
    ledger, run = lose_start()
    name = run.executor_id
    (second,) = start_all(ledger, 1.4)
    for number, current in ((1, second), (2, None)):
        current = current or start_all(ledger, 2.5)[0]
        assert current.executor_id == name
        ends = [EndedRun(number, current.key, current.number, EndKind.FAILED, "")]
        report(ledger, name, 1.5 + number, ended=ends)
    assert plan(ledger, 4.0) == []
    (last,) = plan(ledger, LOST_AT + LATE_START_S)
    assert last.executor_id != name


def test_a_gang_starts_with_its_member_where_the_lost_start_was_sent():
    # Guards against run 1 of one member beside run 2 of the gang (TWICE).
    ledger = make_ledger("e1", "e2", "e3", rules=LATE_RULES)
    add_job(ledger, Step(3, Need(6000, 100), gang=True))
    plan(ledger, 0.0)
    lost, *others = store(ledger)
    for run in others:
        ledger.apply_start_answer(run, None, 0.1)
        ends = [EndedRun(1, run.key, 1, EndKind.ALONE, "")]
        report(ledger, run.executor_id, 3.2, ended=ends)
    stop_lost_start(ledger, lost)
    runs = plan(ledger, 3.3)
    assert len({run.executor_id for run in runs}) == 3
    (member,) = [run for run in runs if run.key == lost.key]
    assert member.executor_id == lost.executor_id


def test_a_task_that_lasts_and_waits_for_a_late_start_says_so():
    """Whoever asks the log why it stands would look for a lack of room."""
    ledger, run = lose_start(LASTING)
    ledger.note_unreachable(run.executor_id, "crashed", 1.5)
    waiting = list_waiting(ledger, 2.0, lambda group: frozenset())
    assert waiting == {run.key: WaitReason.LATE_START}


def test_a_copy_may_run_anywhere():
    """The rule on double runs leaves out steps that may run in several copies."""
    ledger, run = lose_start(replace(SHORT, speculative=True))
    assert run.key not in ledger.late_starts


def test_a_report_under_a_higher_fence_is_needed_where_no_stop_was_answered():
    # Guards against run 1 that begins beside run 2 in the same life (TWICE): it need
    # not refuse a run that is lower than one that goes on.
    ledger = make_ledger("e1", rules=LATE_RULES)
    add_job(ledger, SHORT)
    plan(ledger, 0.0)
    (run,) = store(ledger)
    ledger.handle_start_timeout(run, LOST_AT)
    ledger.note_unreachable("e1", "cut off", 1.0)
    ledger.expire_leases(9.0)
    assert run.task.status is TaskStatus.WAITING
    former = ledger.executors["e1"].fence
    for now, fence, runs in ((9.1, former, 0), (9.2, former + 1, 1)):
        ledger.executors["e1"].choose_fence(fence)
        ledger.apply_report("e1", RunReport(9, 1), now, now, now, fence)
        assert len(plan(ledger, now)) == runs


def take_over(progress, now):
    """Return the ledger of a new owner, and the job's progress as it was stored."""
    record = Record("progress", encode_progress(progress), 1)
    stored = decode_progress(progress.job, record)
    ledger = PoolLedger("pool", 9, LATE_RULES, now)
    ledger.add_job(stored)
    for name in ("e1", "e2"):
        ledger.see_entry(make_entry(name), now)
        report(ledger, name, now + 0.1)
        report(ledger, name, now + 0.6)
    ledger.note_published(now + 0.6)
    return ledger, stored


@pytest.mark.parametrize("is_waiting", [True, False])
def test_a_new_owner_knows_of_the_lost_start(is_waiting):
    # Guards against a successor that runs the task elsewhere (TWICE).
    ledger, run = lose_start()
    if not is_waiting:
        start_all(ledger, 1.4)
    second, _ = take_over(run.progress, 5.0)
    second.penalize(second.executors[run.executor_id], 5.6, 5.0)
    (next_run,) = plan(second, 5.7)
    assert next_run.executor_id == run.executor_id
    second.note_unreachable(run.executor_id, "crashed", 6.0)
    assert plan(second, 5.0 + LATE_START_S) == []  # it is planned there, once


def test_an_end_by_a_late_start_counts_whichever_run_was_planned_since():
    # Guards against a start after a run that was done, and acknowledged (TWICE).
    ledger, run = lose_start()
    start_all(ledger, 1.4)
    ends = [EndedRun(1, run.key, 1, EndKind.DONE, "")]
    fence_next_life(ledger, run.executor_id, 3.0, ended=ends)
    assert run.task.status is TaskStatus.DONE
    assert plan(ledger, 3.0) == []


def test_what_is_known_of_lost_starts_goes_with_its_job():
    """Nothing is kept of jobs that have ended."""
    ledger, run = lose_start()
    ledger.cancel_job(JOB, 2.0)
    store(ledger)
    plan(ledger, 2.0)
    assert not ledger.late_starts
    assert isinstance(run.progress, JobProgress)


def test_a_late_failure_uses_up_an_attempt():
    # Guards against a start after all attempts have failed (BUDGET).
    ledger, run = lose_start(terms=terms(max_attempts=1))
    start_all(ledger, 1.4)
    ends = [EndedRun(1, run.key, 1, EndKind.FAILED, "")]
    fence_next_life(ledger, run.executor_id, 3.0, ended=ends)
    report(ledger, run.executor_id, 4.0, ended=ends, incarnation=2)
    assert plan(ledger, 4.0) == []
    assert run.progress.outcome is JobOutcome.FAILED
