"""Tests of how the end of a unit's last owner limits the wait for its leases."""

import pytest

from peridotspoke.nodes.holdings import Holding
from peridotspoke.nodes.predecessors import (
    InheritedLeases,
    Predecessor,
    find_lease_bound,
    has_ended,
)
from peridotspoke.nodes.records import NodeRecord, ProcessRecord, QueueCounts
from peridotspoke.nodes.tests.stores import make_parts
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.ledgertypes import LedgerRules
from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_ledger,
    report,
    start_all,
)

ADDRESS = "127.0.0.1:1"
RUN_LEASE = 5.0  # seconds
LONGEST_LEASE = 7.0  # seconds, where a later incarnation carried a start out
RULES = LedgerRules(
    inherited_lease=12.75,
    margin=0.1,
    restart_excess=LONGEST_LEASE - RUN_LEASE,
    run_lease=RUN_LEASE,
)
LASTING = Step(1, Need(1000, 100), lasting=True)
PREDECESSOR = Predecessor(ProcessRecord("n1", "i1", ADDRESS), fence=7)


@pytest.mark.parametrize(
    ("incarnation", "address", "expected"),
    [
        ("i2", ADDRESS, True),
        ("i1", ADDRESS, False),
        ("i2", "127.0.0.9:1", False),
    ],
)
def test_a_process_has_ended_once_another_one_has_its_name_and_address(
    incarnation, address, expected
):
    """One at another address may still be working while it is replaced."""
    nodes = {"n1": NodeRecord("n1", incarnation, address=address)}
    assert has_ended(PREDECESSOR.process, nodes) is expected


def test_a_process_that_is_no_longer_registered_may_still_work():
    """It may be cut off from the store alone."""
    assert not has_ended(PREDECESSOR.process, {})


@pytest.mark.parametrize(
    ("counts", "expected"),
    [
        (None, None),
        (QueueCounts(6, {}, earlier_leases=0.0), None),
        (QueueCounts(7, {}), None),
        (QueueCounts(7, {}, earlier_leases=0.0), 12.0 + LONGEST_LEASE),
        (QueueCounts(7, {}, earlier_leases=9.0), 10.0 + 9.0),
    ],
    ids=["no counts", "of another owner", "of an older version", "settled", "not yet"],
)
def test_leases_of_owners_before_the_ended_one_are_awaited_too(counts, expected):
    """Only the ended owner knows how long those may last."""
    bound = find_lease_bound(PREDECESSOR, counts, 10.0, 12.0, LONGEST_LEASE)
    assert bound == expected


def take_over(parts, earlier_leases, confirmed=False):
    """Return a ledger and its limits, at 100 s, and a run on an executor that left."""
    first = make_ledger("e1", now=90.0, rules=RULES)
    progress = add_job(first, LASTING)
    (run,) = start_all(first, 90.0)
    if confirmed:
        report(first, "e1", 90.5, running=[run])
    counts = QueueCounts(7, {}, earlier_leases=earlier_leases)
    parts.view.counts["pool"] = (counts, 99.0)
    parts.view.nodes["n1"] = NodeRecord("n1", "i1", address=ADDRESS)
    ledger = make_ledger(now=100.0, fence=8, rules=RULES)
    holding = Holding("pool", 8, 100.0, "n1", predecessor=PREDECESSOR)
    leases = InheritedLeases(parts, holding, ledger)
    leases.begin()
    ledger.add_job(progress)
    return ledger, leases, run


def pass_time(ledger, leases, now):
    leases.update(now)
    ledger.expire_leases(now)


def test_a_lost_executors_task_does_not_stand_after_its_owner_was_killed():
    """Its process is replaced within seconds; nothing extends its leases after that."""
    parts = make_parts("n2")
    ledger, leases, run = take_over(parts, earlier_leases=0.0)
    pass_time(ledger, leases, 101.0)
    parts.view.nodes["n1"] = NodeRecord("n1", "i2", address=ADDRESS)
    pass_time(ledger, leases, 102.0)
    pass_time(ledger, leases, 102.0 + LONGEST_LEASE + RULES.margin)
    assert run.task.status is TaskStatus.ASSIGNED
    pass_time(ledger, leases, 102.0 + LONGEST_LEASE + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING


CONFIRMED = pytest.mark.parametrize(
    ("confirmed", "excess"),
    [(True, 0.0), (False, RULES.restart_excess)],
    ids=["confirmed", "a later incarnation may have it"],
)


@CONFIRMED
def test_a_task_waits_for_the_longest_lease_while_its_owners_end_is_unknown(
    confirmed, excess
):
    """The owner may be cut off from the store and still extend the lease."""
    parts = make_parts("n2")
    ledger, leases, run = take_over(parts, 0.0, confirmed)
    del parts.view.nodes["n1"]
    pass_time(ledger, leases, 102.0)
    longest = RULES.inherited_lease + excess + RULES.margin
    pass_time(ledger, leases, 100.0 + longest)
    assert run.task.status is TaskStatus.ASSIGNED
    pass_time(ledger, leases, 100.0 + longest + 0.01)
    assert run.task.status is TaskStatus.WAITING


@CONFIRMED
def test_owners_killed_in_series_do_not_make_the_wait_for_the_first_begin_anew(
    confirmed, excess
):
    """The last one said how long the leases of those before it may last."""
    parts = make_parts("n2")
    ledger, leases, run = take_over(parts, 9.0, confirmed)
    parts.view.nodes["n1"] = NodeRecord("n1", "i2", address=ADDRESS)
    pass_time(ledger, leases, 102.0)
    assert ledger.former_lease_end == 100.0 + 9.0
    pass_time(ledger, leases, 109.0 + excess + RULES.margin)
    assert run.task.status is TaskStatus.ASSIGNED
    pass_time(ledger, leases, 109.0 + excess + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING


def test_a_confirmed_run_does_not_wait_for_a_lease_of_a_later_incarnation():
    # Guards against tasks that last and stand (LOST) after their owners were killed
    # where executors grant long leases: lost-then-rolled-often on leases of 10 s.
    parts = make_parts("n2")
    ledger, leases, run = take_over(parts, 0.0, confirmed=True)
    parts.view.nodes["n1"] = NodeRecord("n1", "i2", address=ADDRESS)
    pass_time(ledger, leases, 102.0)
    pass_time(ledger, leases, 102.0 + RUN_LEASE + RULES.margin)
    assert run.task.status is TaskStatus.ASSIGNED
    pass_time(ledger, leases, 102.0 + RUN_LEASE + RULES.margin + 0.01)
    assert run.task.status is TaskStatus.WAITING
