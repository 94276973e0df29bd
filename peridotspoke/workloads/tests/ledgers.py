"""Ledgers with jobs and executors for tests."""

from peridotspoke.workloads.executors import (
    Condition,
    EndedRun,
    EndKind,
    ExecutorEntry,
    HeldRun,
    HoldReport,
)
from peridotspoke.workloads.jobs import Job, Need, QueueTerms, Step
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.runledger import LedgerRules
from peridotspoke.workloads.scheduling import plan_runs

WALL = 1_700_000_000.0
JOB = "5c0e7a21d94b36f8"


def make_entry(name, *, born=1, condition=Condition.READY, remaining=None, cpu=8000):
    return ExecutorEntry(
        name,
        "pool",
        "10.0.0.1:80",
        "zone",
        condition,
        Need(cpu, 64_000, 0),
        ("a", f"rack-{name[-1]}"),
        born,
        1,
        remaining,
    )


def make_job(*steps, job_id=JOB, **fields):
    steps = steps or (Step(2, Need(1000, 100)),)
    return Job(job_id, "queue", "pool", "spec", steps, accepted_at=WALL, **fields)


def make_ledger(*names, now=0.0, fence=7):
    ledger = PoolLedger(
        "pool", fence, LedgerRules(inherited_life=12.0, margin=0.1), now
    )
    for name in names:
        ledger.see_entry(make_entry(name), now)
        report(ledger, name, now)
    return ledger


def report(ledger, name, now, running=(), ended=(), born=1, asked_at=None):
    """Let an executor report its lists; `running` holds runs, `ended` rows."""
    held = tuple(
        row if isinstance(row, HeldRun) else HeldRun(row.key, row.number, "", 50)
        for row in running
    )
    answer = HoldReport(0, born, held, tuple(ended))
    asked = now if asked_at is None else asked_at
    ledger.take_report(name, answer, asked, now, WALL + now)


def end(number, run, kind=EndKind.DONE, checkpoint=""):
    return EndedRun(number, run.key, run.number, kind, checkpoint)


def add_job(ledger, *steps, **fields):
    progress = JobProgress(make_job(*steps, **fields))
    ledger.add_job(progress)
    return progress


def plan(ledger, now):
    return plan_runs(ledger, now, WALL + now)


def store(ledger):
    """Store all that has changed and return the runs that then start."""
    started = []
    while (batch := ledger.take_batch(15)) is not None:
        started += ledger.note_stored(batch)
    return started


def start_all(ledger, now):
    """Plan, store and start what waits; return the runs."""
    plan(ledger, now)
    runs = store(ledger)
    for run in runs:
        ledger.take_start_answer(run, None, now)
    return runs


def terms(**fields):
    return QueueTerms(**fields)
