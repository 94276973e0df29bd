"""Tests of the events that a ledger logs.

The load pattern: a pool whose owner starts hundreds of short tasks a second, while a
few tasks that last stand, and someone asks the logs why.
"""

import pytest

from peridotspoke.workloads.executors import EndKind
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.progress import JobOutcome
from peridotspoke.workloads.tests.ledgers import (
    RULES,
    add_job,
    end,
    make_entry,
    make_ledger,
    plan,
    report,
    store,
)

LASTING = Step(1, Need(1000, 100), lasting=True)
SHORT = Step(1, Need(1000, 100))


class Notes(list):
    """Collects the events that a ledger notes, as tuples of name and fields."""

    def __call__(self, event, **fields):
        self.append((event, fields))

    def find(self, event):
        """Return the fields of each event of this name."""
        return [fields for name, fields in self if name == event]


def make_noted_ledger(*names):
    ledger = make_ledger(*names)
    ledger.note = Notes()
    return ledger


def order(ledger, now=0.0):
    plan(ledger, now)
    (run,) = store(ledger)
    return run


@pytest.mark.parametrize("source", ["answer", "report"])
def test_the_confirmation_of_a_run_that_lasts_is_logged_once(source):
    """Whether a task stood after its run was ordered couldn't be told."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, LASTING)
    run = order(ledger)
    by_known_incarnation = source == "answer"
    ledger.apply_start_answer(run, None, 0.1, by_known_incarnation)
    report(ledger, "e1", 1.0, running=[run])
    report(ledger, "e1", 2.0, running=[run])
    expected = {"task": run.key, "run": 1, "executor": "e1", "by": source}
    assert ledger.note.find("run-confirmed") == [expected]


def test_the_confirmation_of_a_short_run_is_not_logged():
    """Hundreds a second would drown the lines that explain something."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    run = order(ledger)
    ledger.apply_start_answer(run, None, 0.1, True)
    report(ledger, "e1", 1.0, running=[run])
    assert ledger.note.find("run-confirmed") == []


@pytest.mark.parametrize("bound", ["own", "inherited"])
def test_a_run_given_up_for_its_lease_names_the_executor_and_the_lease(bound):
    """A wait for the lease of an earlier owner looked like one for this owner's."""
    ledger = make_noted_ledger("e1")
    progress = add_job(ledger, LASTING)
    run = order(ledger)
    if bound == "own":
        ledger.extend_lease("e1", 5.0)
    else:
        ledger._add_inherited_run(progress, run.task)
        ledger.extend_lease("e1", 5.0)
    ledger.apply_start_answer(run, None, 0.1, True)
    ledger.lose_entry("e1")
    ledger.note_unreachable("e1", "no answer", 1.0)
    ledger.expire_leases(20.0)
    (over,) = ledger.note.find("run-over")
    held_until = 5.0 if bound == "own" else RULES.inherited_lease
    source = {"bound_by": "takeover", "bound_age": 20.0}
    assert over == {
        "task": run.key,
        "run": 1,
        "executor": "e1",
        "reason": "lease expired",
        "confirmed": "answer" if bound == "own" else "no",
        "ordered_age": 20.0,
        "ordered_born": 1,
        "stop_age": None,
        "missing_age": None,
        "born": 1,
        "born_age": 20.0,
        "unanswered_age": 19.0,
        "cursor": 0,
        "acknowledged": 0,
        "listed": False,
        "reachable": False,
        "report_age": 20.0,
        "lease_left": -15.0,
        "held_until": held_until + RULES.margin,
        "bound": bound,
        **({} if bound == "own" else source),
    }


def test_the_release_of_a_run_tells_what_is_known_of_its_executor():
    """Two runs of one task could not be traced to the evidence that ended the first."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    run = order(ledger, 1.0)
    ledger.extend_lease("e1", 6.0)
    ledger.apply_start_answer(run, None, 1.0, True)
    report(ledger, "e1", 3.0, asked_at=2.0)
    (over,) = ledger.note.find("run-over")
    assert over["reason"] == "run no longer on the executor"
    assert (over["born"], over["listed"], over["reachable"]) == (1, True, True)
    assert (over["report_age"], over["lease_left"]) == (3.0, 3.0)


@pytest.mark.parametrize("source", ["entry", "report"])
def test_a_restart_of_an_executor_names_who_tells_of_it(source):
    ledger = make_noted_ledger("e1")
    ledger.note_unreachable("e1", "no answer", 0.75)
    if source == "entry":
        ledger.see_entry(make_entry("e1", incarnation=2), 1.0)
    else:
        report(ledger, "e1", 1.0, incarnation=2)
    told = {"unanswered_age": 0.25, "lease_left": -1.0}
    assert ledger.note.find("executor-reborn") == [
        {"executor": "e1", "born": 2, "before": 1, "by": source, "runs": 0, **told}
    ]


def test_another_executor_at_an_address_is_logged_with_both_addresses():
    ledger = make_noted_ledger("e1")
    ledger.release_departed("e1", "10.0.0.9:80", 1.0)
    assert ledger.note.find("executor-replaced") == [
        {
            "executor": "e1",
            "address": "10.0.0.9:80",
            "listed": "10.0.0.1:80",
            "runs": 0,
        }
    ]


def test_the_end_of_a_job_tells_how_often_its_tasks_were_stopped():
    """Thirteen stops of one task could be told from run numbers alone."""
    ledger = make_noted_ledger("e1", "e2")
    progress = add_job(ledger, SHORT)
    for number, reason in enumerate(("stalled at 3 percent", "stalled at 8 percent")):
        run = order(ledger)
        ledger.apply_start_answer(run, None, 0.1)
        ledger.stop_run(run, reason)
        stopped = end(number + 1, run, EndKind.STOPPED)
        report(ledger, run.executor_id, 1.0, ended=[stopped])
    ledger.end_job(progress, JobOutcome.CANCELLED, 0.0)
    (fields,) = ledger.note.find("job-ended")
    assert fields["most_runs"] == 2
    assert fields["stops"] == "stalled=2"


def test_figures_of_a_job_are_dropped_with_it():
    """An owner of a busy pool sees many jobs, and must not keep a record of each."""
    ledger = make_noted_ledger("e1")
    add_job(ledger, SHORT)
    run = order(ledger)
    ledger.apply_start_answer(run, None, 0.1)
    report(ledger, "e1", 1.0, ended=[end(1, run)])
    store(ledger)
    assert ledger.job_runs == {}
