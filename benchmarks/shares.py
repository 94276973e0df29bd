"""Measures a scheduling round of a pool's owner without and with workspaces.

Run: ``python -m benchmarks.shares``. 66 executors run 7 tasks each, 200 steps of 8
tasks wait, and in each round the runs of one executor end. One line is printed for each
number of workspaces, 0 for none: the median time of a round that starts runs, and of
one in which no executor has room.
"""

import inspect
import statistics
from dataclasses import replace

from benchmarks.rounds import NEED, TASKS_PER_STEP, _time, make_full_ledger
from peridotspoke.workloads.readywork import list_step_work
from peridotspoke.workloads.runs import RunPhase
from peridotspoke.workloads.scheduling import plan_runs

EXECUTORS = 66
READY_STEPS = 200
ROUNDS = 200


def make_rounds_ledger(workspaces):
    """Return a ledger whose jobs belong to workspaces in turn."""
    ledger = make_full_ledger(EXECUTORS, READY_STEPS * TASKS_PER_STEP)
    for number, progress in enumerate(ledger.jobs.values()):
        if workspaces:
            name = f"w{number % workspaces}"
            progress.job = replace(progress.job, workspace=name)
    return ledger


def measure(workspaces):
    """Return the median seconds of a round with starts and of one without room."""
    ledger = make_rounds_ledger(workspaces)
    options = {}
    if workspaces and "shares" in inspect.signature(plan_runs).parameters:
        from peridotspoke.workloads.sharedrounds import PoolShares

        weights = {f"w{number}": 1.0 for number in range(workspaces)}
        options["shares"] = PoolShares(weights)
    full, started = [], []
    names = sorted(ledger.executors)
    list_step_work(ledger, 0.1)
    for number in range(ROUNDS):
        state = ledger.executors[names[number % EXECUTORS]]
        for run in list(state.runs.values()):
            ledger.requeue(run, 0.1, "benchmark")
        started.append(_time(lambda: plan_runs(ledger, 0.1, 0.1, **options)))
        full.append(_time(lambda: plan_runs(ledger, 0.1, 0.1, **options)))
        for run in ledger.list_runs():
            run.phase = RunPhase.RUNNING
    assert sum(len(state.runs) for state in ledger.executors.values()) >= EXECUTORS * 7
    return statistics.median(started), statistics.median(full)


def main():
    """Print one line for each number of workspaces."""
    print(f"executors={EXECUTORS} steps={READY_STEPS} need={NEED.cpu}m")
    for workspaces in (0, 20, 220):
        started, full = measure(workspaces)
        print(
            f"workspaces={workspaces} start_ms={started * 1000:.3f} "
            f"full_ms={full * 1000:.3f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
