"""Simulates one pool and its machines under a load that rises and falls abruptly.

Scheduling and sizing are the real code. Machines take a fixed time to move between
pools, and each task ends after a duration that is drawn in advance.
"""

import random
from dataclasses import dataclass, field, replace

from peridotspoke.workloads.demand import (
    ArrivalRate,
    DemandHistory,
    estimate_demand,
)
from peridotspoke.workloads.jobs import Job, Need, QueueTerms, Step
from peridotspoke.workloads.machines import Machine, MachineState
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.readywork import list_timings, sum_ready
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.sizing import SizingRules, plan_moves
from peridotspoke.workloads.tests.ledgers import (
    WALL_EPOCH,
    make_entry,
    make_ledger,
    report,
)
from peridotspoke.workloads.urgency import compute_critical_path, compute_timing

TICK_S = 0.05
TICKS_PER_DEMAND = 3  # ticks from one description of the demand to the next
ORDER_DELAY_S = 0.2  # from a description of the demand to the moves that it causes
RUN_OUT_S = 6.0  # time after the last job arrives in which all jobs end
CORES_PER_MACHINE = 32
SPARE_POOL = "spare"
TERMS = QueueTerms(stretch=1.6, latency=0.6)
RULES = SizingRules()


@dataclass(frozen=True)
class Load:
    """Random jobs that arrive at a low rate, except during one peak from time 0.

    Parameters
    ----------
    peak : float
        Arrival rate at the top of the peak, jobs per second.
    base_rate : float
        Arrival rate outside the peak, jobs per second.
    rise : float
        Time in which the rate rises by `peak`, seconds.
    length : float
        Duration of the peak, seconds.
    duration : float
        Bound on the durations of tasks, seconds: none takes more than 2.5 times it.
    spread : float
        Standard deviation of the logarithm of the durations.
    count : int
        Mean number of tasks in a step.
    cpu : int
        Mean need of a task, thousandths of a core.
    """

    peak: float = 56.0
    base_rate: float = 0.7
    rise: float = 2.5
    length: float = 9.0
    duration: float = 0.8
    spread: float = 0.5
    count: int = 8
    cpu: int = 3100

    def read_rate(self, now):
        """Return the arrival rate at `now`, jobs per second."""
        if not 0 <= now < self.length:
            return self.base_rate
        return min(self.peak, self.base_rate + self.peak * now / self.rise)

    def make_jobs(self, begin, end, seed):
        """Return the jobs in order of arrival, with the true durations of their steps.

        Arrivals at the peak rate are drawn, and each is kept with a probability of the
        current rate over the peak rate.

        Parameters
        ----------
        begin, end : float
            Time in which the jobs arrive, seconds.
        seed : int

        Returns
        -------
        list of tuple of (Job, list of float)
        """
        rng = random.Random(seed)
        jobs, now = [], begin
        while (now := now + rng.expovariate(self.peak)) < end:
            if rng.random() < self.read_rate(now) / self.peak:
                jobs.append(self._make_job(f"{len(jobs):016x}", now, rng))
        return jobs

    def _make_job(self, job_id, now, rng):
        durations = [
            min(2.5 * self.duration, rng.lognormvariate(0, self.spread) * 0.7)
            for _ in range(rng.choices((1, 2, 3), (11, 6, 3))[0])
        ]
        steps = tuple(
            Step(
                rng.randint(self.count // 2, self.count * 3 // 2),
                Need(int(self.cpu * rng.uniform(0.6, 1.4)), 100),
                duration * rng.uniform(0.1, 1.9),
                after=(number - 1,) if number else (),
            )
            for number, duration in enumerate(durations)
        )
        job = Job(job_id, "queue", "pool", "spec", steps, TERMS, WALL_EPOCH + now)
        return job, durations


@dataclass
class PeakModel:
    """Simulates a pool under a load.

    Parameters
    ----------
    load : Load
    machines : int
        Number of machines of all pools together.
    move : float
        Time that a machine takes to move to another pool, seconds.
    slack_used : list of tuple of (float, float)
        For each job that has ended, its arrival, seconds, and the share of its slack
        that it used: the delay beyond its critical path over the allowed delay.
    """

    load: Load
    machines: int = 180
    move: float = 1.5
    slack_used: list = field(default_factory=list)

    def __post_init__(self):
        self.ledger = make_ledger()
        self.fleet = {}
        for number in range(self.machines):
            name = f"m{number:03}"
            capacity = Need(CORES_PER_MACHINE * 1000, 1, 0)
            labels = ("a", f"rack-{number // 20}")
            self.fleet[name] = Machine(
                name, SPARE_POOL, MachineState.UP, "zone", labels, capacity, ""
            )
        self.moving, self.resizing = {}, {}
        self.ends, self.durations = [], {}
        self.arrivals = ArrivalRate(RULES.window, self.lead)
        self.history = DemandHistory(RULES.hold_time)
        self.demands = []
        self.executor_count = 0
        for name in list(self.fleet)[: RULES.min_machines]:
            self._add_machine(name, "pool", 0.0)

    @property
    def lead(self):
        """Time from a description of the demand to the machines' arrival, seconds."""
        return ORDER_DELAY_S + self.move

    def run(self, begin, end, seed):
        """Simulate the jobs that arrive from `begin` to `end`, in seconds."""
        jobs = self.load.make_jobs(begin, end, seed)
        for round_number in range(int((end + RUN_OUT_S - begin) / TICK_S)):
            now = begin + round_number * TICK_S
            while jobs and jobs[0][0].accepted_at - WALL_EPOCH <= now:
                self._add_job(*jobs.pop(0), now)
            self._end_runs(now)
            self._start_runs(now)
            self._finish_moves(now)
            if round_number % TICKS_PER_DEMAND == 0:
                self._estimate_demand(now)
            self._resize_pool(now)
        return self

    def list_slack_used(self, begin, end):
        """Return the shares of slack used by the jobs that arrived in that time."""
        return [
            share for arrived_at, share in self.slack_used if begin <= arrived_at < end
        ]

    def _add_job(self, job, durations, now):
        self.ledger.add_job(JobProgress(job))
        self.durations[job.job_id] = durations
        predict = self.ledger.durations.predict
        expected = [predict(job.queue, step.estimate) for step in job.steps]
        work = sum(
            step.count * step.need.cpu / 1000 * duration
            for step, duration in zip(job.steps, expected, strict=True)
        )
        critical_path = compute_critical_path(job, expected)
        slack = compute_timing(
            job, critical_path, critical_path, work, job.accepted_at
        ).slack
        self.arrivals.record(work, now, RULES.slack_share * slack)

    def _end_runs(self, now):
        for ends_at, run in [item for item in self.ends if item[0] <= now]:
            self.ends.remove((ends_at, run))
            job = run.progress.job
            self.ledger.durations.observe(
                job.queue, run.step.estimate, self.durations[job.job_id][run.key.step]
            )
            self.ledger.finish(run, WALL_EPOCH + now)
            if run.progress.ended_at:
                self._record_slack_used(job, now)

    def _record_slack_used(self, job, now):
        critical_path = sum(self.durations.pop(job.job_id))
        slack = (job.terms.stretch - 1.0) * critical_path + job.terms.latency
        arrived_at = job.accepted_at - WALL_EPOCH
        self.slack_used.append((arrived_at, (now - arrived_at - critical_path) / slack))
        self.ledger.drop_ended(job.job_id)

    def _start_runs(self, now):
        for run in plan_runs(self.ledger, now, WALL_EPOCH + now):
            duration = self.durations[run.key.job_id][run.key.step]
            self.ends.append((now + duration, run))

    def _estimate_demand(self, now):
        wall = WALL_EPOCH + now
        demand = estimate_demand(
            self.ledger,
            list_timings(self.ledger, wall),
            sum_ready(self.ledger),
            self.arrivals.forecast(now),
            self.machines * CORES_PER_MACHINE / 2,
            RULES,
        )
        self.demands.append((now + ORDER_DELAY_S, demand))

    def _resize_pool(self, now):
        effective = [demand for due, demand in self.demands if due <= now]
        if not effective:
            return
        demand = effective[-1]
        need = self.history.record(demand.cores * RULES.headroom, now)
        for name in self.resizing:
            executor = self.fleet[name].executor_id
            self.resizing[name] = self.ledger.is_empty(executor)
        plan = plan_moves(
            self.fleet,
            {"pool": demand},
            {"pool": need},
            SPARE_POOL,
            self.resizing,
            {name: pool for name, (pool, _) in self.moving.items()},
            set(),
            RULES,
        )
        for name, pool in plan.moves:
            self._remove_executor(name)
            self.resizing.pop(name, None)
            self.moving[name] = (pool, now + self.move)
        for name in plan.restore:
            self.resizing.pop(name, None)
        self.resizing.update(dict.fromkeys(plan.withdraw, False))
        self.ledger.set_withdrawn(
            {self.fleet[name].executor_id for name in self.resizing}
        )

    def _finish_moves(self, now):
        for name, (pool, due) in list(self.moving.items()):
            if due <= now:
                del self.moving[name]
                self._add_machine(name, pool, now)

    def _remove_executor(self, name):
        executor = self.fleet[name].executor_id
        if executor:
            self.ledger.lose_entry(executor)
            self.ledger.executors.pop(executor, None)
            self.fleet[name] = replace(self.fleet[name], executor_id="")

    def _add_machine(self, name, pool, now):
        executor = ""
        if pool != SPARE_POOL:
            self.executor_count += 1
            executor = f"i-{self.executor_count:04}"
            self.ledger.see_entry(
                make_entry(executor, cpu=CORES_PER_MACHINE * 1000), now
            )
            report(self.ledger, executor, now)
        self.fleet[name] = replace(self.fleet[name], pool=pool, executor_id=executor)
