"""Tests of throttling filler tasks that run beside serving tasks."""

from peridotspoke.workloads.executors import ReportedRun
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    make_ledger,
    report,
    start_all,
)
from peridotspoke.workloads.throttling import plan_throttling

SERVING = Step(1, Need(1000, 100), lasting=True, target=0.2)
FILLING = Step(1, Need(4000, 100), fills=True)


def apply_tail_latency(tail, now, ledger, runs):
    """Report a tail latency in milliseconds; return the filler task's new speed."""
    rows = [
        ReportedRun(run.key, run.number, "", 50, tail if run.step.target else 900)
        for run in runs
    ]
    report(ledger, "e1", now, running=rows)
    for run, share in plan_throttling(ledger, now):
        run.share, run.throttled_at = share, now
    return next(run.share for run in runs if run.step.fills)


def test_filler_speed_falls_near_the_target_and_rises_slowly_below():
    """A serving task over its target pauses the filler tasks beside it at once."""
    ledger = make_ledger("e1")
    add_job(ledger, SERVING, FILLING)
    runs = start_all(ledger, 0.0)
    assert apply_tail_latency(100, 1.0, ledger, runs) == 100
    assert apply_tail_latency(170, 2.0, ledger, runs) == 50
    assert apply_tail_latency(140, 3.0, ledger, runs) == 50
    assert apply_tail_latency(230, 4.0, ledger, runs) == 0
    assert apply_tail_latency(100, 5.0, ledger, runs) == 10
    assert apply_tail_latency(100, 5.5, ledger, runs) == 10
