"""Measures a scheduling round of one pool's owner against its backlog and executors.

Run: ``python -m benchmarks.rounds``. Each executor is full; `backlog` tasks wait. A
round plans runs (which finds no room), and then one run ends and its place is filled.
One line is printed for each size: the time of a round without and with a start, and
that of the demand's estimate.
"""

import time

from peridotspoke.workloads.demand import estimate_demand
from peridotspoke.workloads.executors import (
    EndedRun,
    EndKind,
    ExecutorCondition,
    ExecutorEntry,
    ReportedRun,
    RunReport,
)
from peridotspoke.workloads.jobs import Job, Need, Step
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.ledgertypes import LedgerRules
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.readywork import list_timings, sum_ready
from peridotspoke.workloads.scheduling import plan_runs

__all__ = ["measure_rounds"]

SIZES = ((66, 1000), (66, 5000), (66, 20000), (300, 5000), (1000, 5000), (1000, 20000))
ROUNDS = 20
TASKS_PER_STEP = 8
NEED = Need(4500, 2000)
CAPACITY = Need(32000, 64000)


def make_full_ledger(executors, backlog):
    """Return a `PoolLedger` with full executors and `backlog` waiting tasks."""
    ledger = PoolLedger("pool", 7, LedgerRules(12.0, 0.1), 0.0)
    for number in range(executors):
        name = f"e{number}"
        entry = ExecutorEntry(
            name,
            "pool",
            "10.0.0.1:80",
            "zone",
            ExecutorCondition.READY,
            CAPACITY,
            ("a", f"rack-{number // 20}"),
            1,
            1,
        )
        ledger.see_entry(entry, 0.0)
        ledger.apply_report(name, RunReport(0, 1), 0.0, 0.0, 0.0)
    places = executors * (CAPACITY.cpu // NEED.cpu)
    jobs = (places + backlog) // TASKS_PER_STEP
    for number in range(jobs):
        step = Step(TASKS_PER_STEP, NEED, estimate=1.0)
        job = Job(f"{number:016x}", "queue", "pool", "spec", (step,), accepted_at=0.0)
        ledger.add_job(JobProgress(job))
    plan_runs(ledger, 0.0, 0.0)
    while (batch := ledger.take_batch(15)) is not None:
        for run in ledger.note_stored(batch):
            ledger.apply_start_answer(run, None, 0.0)
    for name, state in ledger.executors.items():
        reported = [
            ReportedRun(run.key, run.number, "", 1) for run in state.runs.values()
        ]
        ledger.apply_report(name, RunReport(0, 1, tuple(reported)), 0.01, 0.01, 0.01)
    return ledger


def measure_rounds(executors, backlog):
    """Return the seconds of an idle round, of a start and of an estimate."""
    ledger = make_full_ledger(executors, backlog)
    full, filled, estimated = [], [], []
    for number in range(ROUNDS):
        now = 0.1 + number / 100
        full.append(_time(plan_runs, ledger, now, now))
        _end_one(ledger, f"e{number % executors}", now)
        filled.append(_time(plan_runs, ledger, now, now))
        while (batch := ledger.take_batch(15)) is not None:
            ledger.note_stored(batch)
        estimated.append(_time(_estimate, ledger, now))
    return tuple(sorted(values)[ROUNDS // 2] for values in (full, filled, estimated))


def _end_one(ledger, name, now):
    state = ledger.executors[name]
    first, *others = state.runs.values()
    ended = EndedRun(state.cursor + 1, first.key, first.number, EndKind.DONE, "")
    listed = tuple(ReportedRun(run.key, run.number, "", 1) for run in others)
    ledger.apply_report(name, RunReport(0, 1, listed, (ended,)), now, now, now)


def _estimate(ledger, now):
    estimate_demand(ledger, list_timings(ledger, now), sum_ready(ledger), 0.0)


def _time(function, *arguments):
    started_at = time.perf_counter()
    function(*arguments)
    return time.perf_counter() - started_at


def main():
    """Print one line for each size."""
    for executors, backlog in SIZES:
        full, filled, estimated = measure_rounds(executors, backlog)
        print(
            f"executors={executors} backlog={backlog} full_ms={full * 1000:.2f} "
            f"start_ms={filled * 1000:.2f} estimate_ms={estimated * 1000:.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
