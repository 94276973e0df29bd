"""Tests of the events from which two runs of one task at once are traced.

The load pattern: restarts, entries that lapse, lost answers and hand-overs, after which
a task ran twice, and someone asks the logs which belief released its first run.
"""

from dataclasses import replace

import pytest

from peridotspoke.workloads.executors import EndKind, Refusal, StopOrder
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.tests.ledgers import (
    RULES,
    add_job,
    end,
    make_entry,
    plan,
    report,
    store,
)
from peridotspoke.workloads.tests.test_notes import SHORT, make_noted_ledger, order


def test_a_release_tells_when_a_run_was_ordered_and_which_report_proved_its_end():
    """The line didn't tell a fresh report from one asked for before the start."""
    ledger = make_noted_ledger("e1")
    ledger.rules = replace(RULES, stop_limit=0.4)
    add_job(ledger, SHORT)
    run = order(ledger, 1.0)
    ledger.apply_start_answer(run, None, 1.5, True)
    ledger.stop_run(run, "test")
    ledger.apply_stop_answer("e1", StopOrder(run.key, 1, 7), 2.0)
    report(ledger, "e1", 4.0, asked_at=3.5)
    (over,) = ledger.note.find("run-over")
    told = {name: over[name] for name in ("confirmed", "ordered_age", "ordered_born")}
    assert told == {"confirmed": "answer", "ordered_age": 3.0, "ordered_born": 1}
    assert (over["stop_age"], over["missing_age"], over["asked_age"]) == (
        2.0,
        None,
        0.5,
    )


def test_a_release_of_a_run_that_nothing_confirmed_says_so():
    """A start that a later incarnation may have carried out looked like any other."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    run = order(ledger, 1.0)
    ledger.apply_start_answer(run, None, 1.5)
    report(ledger, "e1", 4.0, asked_at=3.5)
    (over,) = ledger.note.find("run-over")
    assert over["reason"] == "run no longer on the executor"
    assert (over["confirmed"], over["asked_age"], over["missing_age"]) == (
        "no",
        0.5,
        0.5,
    )


def test_ends_that_an_executor_has_forgotten_are_logged():
    """An end that no owner ever saw left no trace but its number."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, Step(4, Need(1000, 100)))
    plan(ledger, 0.0)
    first, second, third, fourth = store(ledger)
    running = [first, second, third, fourth]
    report(ledger, "e1", 1.0, running)
    report(ledger, "e1", 2.0, running[1:], [end(1, first)])
    report(ledger, "e1", 3.0, running[2:], [end(2, second)])
    assert ledger.note.find("ends-missing") == []
    report(ledger, "e1", 4.0, running[3:], [end(5, third)])
    report(ledger, "e1", 5.0, [], [end(5, third), end(6, fourth)])
    expected = {"executor": "e1", "after": 2, "missing": 2, "born": 1, "first": False}
    assert ledger.note.find("ends-missing") == [expected]


def test_ends_that_a_new_incarnation_has_forgotten_are_marked_as_its_first():
    """A cursor of the former incarnation makes the next one forget its own ends."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    run = order(ledger)
    report(ledger, "e1", 1.0, [run], incarnation=2)
    report(ledger, "e1", 2.0, [], [end(2, run)], incarnation=3)
    expected = {"executor": "e1", "after": 0, "missing": 1, "born": 3, "first": True}
    assert ledger.note.find("ends-missing") == [expected]


@pytest.mark.parametrize("source", ["entry", "report"])
def test_word_of_an_earlier_incarnation_is_logged_once(source):
    """A life that was wrongly taken for a later one made the true one unheard."""
    ledger = make_noted_ledger("e1")
    report(ledger, "e1", 1.0, incarnation=5)
    for now in (2.0, 3.0):
        if source == "entry":
            ledger.see_entry(make_entry("e1", incarnation=4), now)
        else:
            report(ledger, "e1", now, incarnation=4)
    expected = {"executor": "e1", "born": 4, "known": 5, "by": source}
    assert ledger.note.find("incarnation-ignored") == [expected]


def test_the_answer_to_a_stop_is_logged_once_with_its_refusal():
    """A stop that an executor refused looked like one that was never sent."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    run = order(ledger)
    stop = StopOrder(run.key, 1, 7)
    ledger.apply_stop_answer("e1", stop, 0.5)
    assert ledger.note.find("stop-answered") == []
    ledger.stop_run(run, "test")
    ledger.apply_stop_answer("e1", stop, 1.0, Refusal.SUPERSEDED)
    ledger.apply_stop_answer("e1", stop, 1.1)
    expected = {"task": run.key, "run": 1, "executor": "e1", "refusal": "superseded"}
    assert ledger.note.find("stop-answered") == [expected]


def test_a_start_that_another_incarnation_may_have_carried_out_is_logged():
    """Short tasks have no line of their confirmation, so that it couldn't be told."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    run = order(ledger)
    ledger.apply_start_answer(run, None, 0.5)
    expected = {"task": run.key, "run": 1, "executor": "e1", "born": 1}
    assert ledger.note.find("start-unconfirmed") == [expected]


def test_a_start_that_is_answered_after_the_release_of_its_run_is_logged():
    """The run may go on beside the next one, and nothing told that it had begun."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    run = order(ledger)
    ledger.release_departed("e1", "10.0.0.1:80", 0.2)
    ledger.apply_start_answer(run, Refusal.ROOM, 0.4, True)
    assert ledger.note.find("start-after-release") == []
    ledger.apply_start_answer(run, None, 0.5, True)
    expected = {"task": run.key, "run": 1, "executor": "e1"}
    assert ledger.note.find("start-after-release") == [expected]


def test_a_run_of_another_owner_is_logged_as_it_appears():
    """It was logged with every report, and without its number."""
    ledger = make_noted_ledger("e1", "e2")
    add_job(ledger, SHORT)
    plan(ledger, 0.0)
    (run,) = store(ledger)
    other = "e2" if run.executor_id == "e1" else "e1"
    for now in (1.0, 2.0):
        report(ledger, other, now, [run])
    expected = {
        "executor": other,
        "task": run.key,
        "run": 1,
        "percent": 50,
        "born": 1,
        "current_run": 1,
        "current_executor": run.executor_id,
    }
    assert ledger.note.find("run-foreign") == [expected]
    report(ledger, other, 3.0)
    report(ledger, other, 4.0, [run])
    assert len(ledger.note.find("run-foreign")) == 2


def test_a_run_that_was_planned_and_never_sent_is_logged():
    """Run numbers rose to 13 within half a minute, and no line told by what."""
    ledger = make_noted_ledger("e1")
    progress = add_job(ledger, SHORT)
    (run,) = plan(ledger, 0.0)
    ledger.stop_run(run, "the executor is leaving")
    expected = {"task": run.key, "run": 1, "executor": "e1"}
    reason = "the executor is leaving"
    assert ledger.note.find("run-unsent") == [{**expected, "reason": reason}]
    plan(ledger, 1.0)
    batch = ledger.take_batch(15)
    ledger.cancel_job(progress.job.job_id, 2.0)
    ledger.note_stored(batch)
    assert [fields["reason"] for fields in ledger.note.find("run-unsent")] == [
        reason,
        "job ended",
    ]


def test_the_end_of_a_released_run_names_its_executor():
    """Two jobs' runs at once on one executor couldn't be told from its late ends."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    run = order(ledger)
    ledger.apply_start_answer(run, None, 0.1, True)
    report(ledger, "e1", 1.0)
    report(ledger, "e1", 2.0, [], [end(1, run, EndKind.STOPPED)])
    expected = {"task": run.key, "run": 1, "executor": "e1", "kind": "stopped"}
    assert ledger.note.find("given-up-ended") == [expected]


def test_an_end_that_changes_nothing_is_logged():
    """The end of a first run after the second was ordered left no line at all."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    first = order(ledger)
    ledger.apply_start_answer(first, None, 0.1, True)
    report(ledger, "e1", 1.0)
    second = order(ledger, 1.1)
    report(ledger, "e1", 2.0, [second], [end(1, first, EndKind.STOPPED)])
    expected = {"task": first.key, "run": 1, "executor": "e1", "kind": "stopped"}
    assert ledger.note.find("late-end") == [expected | {"current_run": 2}]
