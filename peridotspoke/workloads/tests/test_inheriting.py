"""Tests of how long the runs of earlier owners stand on executors that have left."""

import pytest

from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.ledgertypes import LedgerRules
from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_ledger,
    report,
    start_all,
)

RUN_LEASE = 5.0  # seconds
ALONE = 7.5  # seconds for which an owner extends leases without the store
RULES = LedgerRules(
    inherited_lease=RUN_LEASE + ALONE,
    margin=0.1,
    restart_excess=2.0,
    run_lease=RUN_LEASE,
)
LONGEST_LEASE = RUN_LEASE + RULES.restart_excess
LASTING = Step(1, Need(1000, 100), lasting=True)


@pytest.fixture
def inherited():
    """A second owner, at 0 s, and a run that its predecessor started on e1."""
    first = make_ledger("e1", rules=RULES)
    progress = add_job(first, LASTING)
    (run,) = start_all(first, 0.0)
    second = make_ledger(fence=8, rules=RULES)
    second.add_job(progress)
    return second, run


def test_a_task_does_not_stand_once_an_executor_that_met_the_new_owner_has_left(
    inherited,
):
    """From its answer on, the executor refuses what earlier owners send."""
    ledger, run = inherited
    report(ledger, "e1", 0.2, running=[run])
    ledger.extend_lease("e1", 3.0 + RUN_LEASE)
    ledger.note_unreachable("e1", "no answer", 3.1)
    ledger.expire_leases(3.0 + RUN_LEASE + RULES.margin)
    assert run.task.status is TaskStatus.ASSIGNED
    ledger.expire_leases(3.0 + RUN_LEASE + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING


def test_leases_that_an_earlier_owner_extended_before_the_first_answer_are_awaited(
    inherited,
):
    """Its last extension may have come just before, and be as long as any can be."""
    ledger, run = inherited
    report(ledger, "e1", 3.0, running=[run])
    ledger.note_unreachable("e1", "no answer", 3.1)
    ledger.expire_leases(3.0 + LONGEST_LEASE)
    assert run.task.status is TaskStatus.ASSIGNED
    ledger.expire_leases(3.0 + LONGEST_LEASE + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING
