"""Simulates a pool of fixed size whose workspaces send jobs at different rates.

Scheduling is the real code. Each task ends after the time that its step names.
"""

import random
from collections import defaultdict

from peridotspoke.workloads.demand import estimate_demand
from peridotspoke.workloads.jobs import Job, Need, QueueTerms, Step
from peridotspoke.workloads.progress import JobProgress, TaskStatus
from peridotspoke.workloads.readywork import list_timings, sum_ready
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.sharedrounds import PoolShares
from peridotspoke.workloads.sharewaits import ShareInputs, SmoothedUses, sum_uses
from peridotspoke.workloads.tests.ledgers import WALL_EPOCH, make_ledger

TICK_S = 0.05
TICKS_PER_ESTIMATE = 2
EXECUTOR_CORES = 8  # each `make_entry` of the ledgers has 8 cores and 64,000 MB
TERMS = QueueTerms(stretch=1.6, latency=0.6)


def make_arrivals(workspace, rate, begin, end, seed, *, step=None, evenly=False):
    """Return the jobs that a workspace sends, as (time, `Job`).

    Parameters
    ----------
    workspace : str
        Empty for jobs without one.
    rate : float
        Processors that the jobs use on average.
    begin, end : float
        Seconds.
    seed : int
    step : Step, optional
        The only step of each job; by default 4 tasks of a core and a second.
    evenly : bool, optional
        Whether the times between jobs are all the same; by default they are random.
    """
    step = step or Step(4, Need(1000, 100), 1.0)
    rng = random.Random(f"{workspace}-{seed}")
    interval = step.count * step.need.cpu / 1000 * step.estimate / rate
    jobs, now = [], begin + rng.random() * interval
    while now < end:
        job = Job(
            f"{workspace}-{seed}-{len(jobs):06}",
            "queue",
            "pool",
            "",
            (step,),
            TERMS,
            accepted_at=WALL_EPOCH + now,
            workspace=workspace,
        )
        jobs.append((now, job))
        now += interval if evenly else rng.expovariate(1.0 / interval)
    return jobs


class ShareModel:
    """Runs jobs on a pool.

    Parameters
    ----------
    executors : int
    weights : dict of str to float or None
        None places all jobs without shares.

    Attributes
    ----------
    waits : dict of str to list of float
        By workspace, for each job the time from its arrival to its end beyond the
        duration of its tasks, seconds.
    work : dict of str to list of tuple of (float, float)
        By workspace, when each task ended and its processor-seconds.
    idle_cores : float
        Most cores that were free after a round while tasks waited.
    """

    def __init__(self, executors, weights):
        self.ledger = make_ledger(*(f"e{number}" for number in range(executors)))
        self.shares = None if weights is None else PoolShares(weights)
        self.waits, self.work = defaultdict(list), defaultdict(list)
        self.idle_cores = 0.0
        self._ends = []
        self._uses, self._average = SmoothedUses(), {}

    def estimate(self, now):
        """Return the `PoolDemand` that the pool's owner would publish."""
        wall = WALL_EPOCH + now
        shares = ShareInputs(self.shares.weights, self._average)
        timings, ready = list_timings(self.ledger, wall), sum_ready(self.ledger)
        return estimate_demand(self.ledger, timings, ready, 0.0, shares=shares)

    def run(self, arrivals, until):
        """Simulate the jobs of `arrivals` from time 0; return the model itself."""
        arrivals = sorted(arrivals, key=lambda row: (row[0], row[1].job_id))
        for number in range(round(until / TICK_S)):
            now = number * TICK_S
            while arrivals and arrivals[0][0] <= now:
                self.ledger.add_job(JobProgress(arrivals.pop(0)[1]))
            self._end_runs(now)
            wall = WALL_EPOCH + now
            for run in plan_runs(self.ledger, now, wall, None, self.shares):
                self._ends.append((now + run.step.estimate, run))
            self._measure_idle()
            if number % TICKS_PER_ESTIMATE == 0:
                self._average = self._uses.record(sum_uses(self.ledger), now)
        return self

    def measure_rate(self, workspace, begin, end):
        """Return the mean processors that a workspace's ended tasks used in a time."""
        done = [work for at, work in self.work[workspace] if begin <= at < end]
        return sum(done) / (end - begin)

    def _end_runs(self, now):
        for row in [row for row in self._ends if row[0] <= now + 1e-9]:
            self._ends.remove(row)
            run = row[1]
            job = run.progress.job
            work = run.step.estimate * run.step.need.cpu / 1000
            self.work[job.workspace].append((now, work))
            self.ledger.finish(run, WALL_EPOCH + now)
            if run.progress.ended_at:
                arrived_at = job.accepted_at - WALL_EPOCH
                self.waits[job.workspace].append(now - arrived_at - run.step.estimate)
                self.ledger.drop_ended(job.job_id)

    def _measure_idle(self):
        is_waiting = any(
            task.status is TaskStatus.WAITING
            for progress in self.ledger.jobs.values()
            for task in progress.list_tasks()
        )
        if is_waiting:
            states = self.ledger.executors.values()
            free = sum(state.compute_free().cpu for state in states) / 1000
            self.idle_cores = max(self.idle_cores, free)
