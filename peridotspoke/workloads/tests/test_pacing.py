"""Tests of the pace of tasks that fill beside tasks that serve."""

from peridotspoke.workloads.executors import HeldRun
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.pacing import plan_paces
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_ledger,
    report,
    start_all,
)

SERVING = Step(1, Need(1000, 100), lasting=True, target=0.2)
FILLING = Step(1, Need(4000, 100), fills=True)


def share_by_tail(tail, now, ledger, runs):
    """Report a tail in milliseconds and apply the pace that follows."""
    rows = [
        HeldRun(run.key, run.number, "", 50, tail if run.step.target else 900)
        for run in runs
    ]
    report(ledger, "e1", now, running=rows)
    for run, share in plan_paces(ledger, now):
        run.share, run.paced_at = share, now
    return next(run.share for run in runs if run.step.fills)


def test_the_pace_falls_near_the_target_and_rises_slowly_below():
    """A task over its target stops what fills beside it at once."""
    ledger = make_ledger("e1")
    add_job(ledger, SERVING, FILLING)
    runs = start_all(ledger, 0.0)
    assert share_by_tail(100, 1.0, ledger, runs) == 100
    assert share_by_tail(170, 2.0, ledger, runs) == 50
    assert share_by_tail(140, 3.0, ledger, runs) == 50
    assert share_by_tail(230, 4.0, ledger, runs) == 0
    assert share_by_tail(100, 5.0, ledger, runs) == 10
    assert share_by_tail(100, 5.5, ledger, runs) == 10
