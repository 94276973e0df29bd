"""Helpers for tests: build ledgers and jobs, apply reports and start runs."""

from peridotspoke.workloads.executors import (
    EndedRun,
    EndKind,
    ExecutorCondition,
    ExecutorEntry,
    ReportedRun,
    RunReport,
)
from peridotspoke.workloads.jobs import Job, Need, QueueTerms, Step
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.ledgertypes import LedgerRules
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.scheduling import plan_runs

MS_PER_SECOND = 1000
WALL_EPOCH = 1_700_000_000.0  # seconds since the Unix epoch at monotonic time 0
JOB = "5c0e7a21d94b36f8"


def make_entry(
    name, *, incarnation=1, condition=ExecutorCondition.READY, remaining=None, cpu=8000
):
    """Return an `ExecutorEntry`; its rack is numbered by the last digit of `name`."""
    return ExecutorEntry(
        name,
        "pool",
        "10.0.0.1:80",
        "zone",
        condition,
        Need(cpu, 64_000, 0),
        ("a", f"rack-{name[-1]}"),
        incarnation,
        1,
        remaining,
    )


def make_job(*steps, job_id=JOB, **fields):
    """Return a `Job` accepted at `WALL_EPOCH`, by default one step with two tasks."""
    steps = steps or (Step(2, Need(1000, 100)),)
    return Job(job_id, "queue", "pool", "spec", steps, accepted_at=WALL_EPOCH, **fields)


RULES = LedgerRules(inherited_lease=12.0, margin=0.1)


def make_ledger(*names, now=0.0, fence=7, rules=RULES):
    """Return a `PoolLedger` whose executors are listed and have reported no runs.

    That they have answered is published.
    """
    ledger = PoolLedger("pool", fence, rules, now)
    for name in names:
        ledger.see_entry(make_entry(name), now)
        report(ledger, name, now)
    ledger.note_published(now)
    return ledger


def report(
    ledger,
    name,
    now,
    running=(),
    ended=(),
    incarnation=1,
    asked_at=None,
    has_more_ends=False,
):
    """Apply a report of an executor.

    Parameters
    ----------
    ledger : PoolLedger
    name : str
        The executor's identity.
    now : float
        Monotonic seconds; the executor's clock reads the same at the answer.
    running : sequence of Run or ReportedRun
        Listed runs; a `Run` is listed at 50 percent.
    ended : sequence of EndedRun
    incarnation : int
        Start of the executor's incarnation, Unix milliseconds.
    asked_at : float, optional
        When the report was requested; `now` if not given.
    has_more_ends : bool
        Whether there may be more ends than those listed.
    """
    reported_runs = tuple(
        run
        if isinstance(run, ReportedRun)
        else ReportedRun(run.key, run.number, "", 50)
        for run in running
    )
    run_report = RunReport(
        round(now * MS_PER_SECOND),
        incarnation,
        reported_runs,
        tuple(ended),
        has_more_ends=has_more_ends,
    )
    requested_at = now if asked_at is None else asked_at
    ledger.apply_report(name, run_report, requested_at, now, WALL_EPOCH + now)


def end(number, run, kind=EndKind.DONE, checkpoint=""):
    """Return the `EndedRun` of a `Run`, as number `number` of its executor."""
    return EndedRun(number, run.key, run.number, kind, checkpoint)


def add_job(ledger, *steps, **fields):
    """Add a job of `make_job` to a ledger and return its `JobProgress`."""
    progress = JobProgress(make_job(*steps, **fields))
    ledger.add_job(progress)
    return progress


def plan(ledger, now):
    """Plan runs for the waiting tasks and return them."""
    return plan_runs(ledger, now, WALL_EPOCH + now)


def store(ledger):
    """Mark all changed jobs as stored and return the runs that then start."""
    started = []
    while (batch := ledger.take_batch(15)) is not None:
        started += ledger.note_stored(batch)
    return started


def start_all(ledger, now):
    """Plan, store and start the waiting tasks; return the runs that started."""
    plan(ledger, now)
    runs = store(ledger)
    for run in runs:
        ledger.apply_start_answer(run, None, now)
    return runs


def terms(**fields):
    return QueueTerms(**fields)
