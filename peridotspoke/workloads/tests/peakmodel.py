"""A model of one pool and its machines under a load that rises and falls at once.

Decisions are the real ones; machines take a fixed time to come, and tasks end when
their duration is over.
"""

import random
from dataclasses import dataclass, field, replace

from peridotspoke.workloads.demand import (
    ArrivalRate,
    DemandHistory,
    describe_demand,
)
from peridotspoke.workloads.jobs import Job, Need, QueueTerms, Step
from peridotspoke.workloads.machines import Machine, MachineState
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.scheduling import list_timings, plan_runs, sum_ready
from peridotspoke.workloads.sizing import SizingRules, plan_moves
from peridotspoke.workloads.tests.ledgers import WALL, make_entry, make_ledger, report
from peridotspoke.workloads.urgency import compute_chain, compute_timing

TICK = 0.05  # seconds
DESCRIPTION = 3  # ticks between two descriptions of the demand
ORDERING = 0.2  # seconds from a demand to the orders that it causes
LAST = 6.0  # seconds in which the last jobs are done
CORES = 32  # of each machine
SPARE = "spare"
TERMS = QueueTerms(stretch=1.6, latency=0.6)
RULES = SizingRules()


@dataclass(frozen=True)
class Load:
    """Jobs of steps of equal tasks, whose rate rises from a trickle and falls again.

    `rise` and `length` are in seconds, `peak` and `trickle` in jobs a second.
    """

    peak: float = 56.0
    trickle: float = 0.7
    rise: float = 2.5
    length: float = 9.0
    duration: float = 0.8
    spread: float = 0.5
    count: int = 8
    cpu: int = 3100

    def read_rate(self, now):
        if not 0 <= now < self.length:
            return self.trickle
        return min(self.peak, self.trickle + self.peak * now / self.rise)

    def make_jobs(self, begin, end, seed):
        """Return each job with the true durations of its steps."""
        chance = random.Random(seed)
        jobs, now = [], begin
        while (now := now + chance.expovariate(self.peak)) < end:
            if chance.random() < self.read_rate(now) / self.peak:
                jobs.append(self._make_job(f"{len(jobs):016x}", now, chance))
        return jobs

    def _make_job(self, job_id, now, chance):
        durations = [
            min(2.5 * self.duration, chance.lognormvariate(0, self.spread) * 0.7)
            for _ in range(chance.choices((1, 2, 3), (11, 6, 3))[0])
        ]
        steps = tuple(
            Step(
                chance.randint(self.count // 2, self.count * 3 // 2),
                Need(int(self.cpu * chance.uniform(0.6, 1.4)), 100),
                duration * chance.uniform(0.1, 1.9),
                after=(number - 1,) if number else (),
            )
            for number, duration in enumerate(durations)
        )
        job = Job(job_id, "queue", "pool", "spec", steps, TERMS, WALL + now)
        return job, durations


@dataclass
class PeakModel:
    """Plays a load; `used` holds when each job came and the share of its slack used.

    `move` is how long a machine takes to come, in seconds.
    """

    load: Load
    machines: int = 180
    move: float = 1.5
    used: list = field(default_factory=list)

    def __post_init__(self):
        self.ledger = make_ledger()
        self.fleet = {}
        for number in range(self.machines):
            name = f"m{number:03}"
            capacity = Need(CORES * 1000, 1, 0)
            labels = ("a", f"rack-{number // 20}")
            self.fleet[name] = Machine(
                name, SPARE, MachineState.UP, "zone", labels, capacity, ""
            )
        self.moving, self.resizing = {}, {}
        self.ends, self.durations = [], {}
        self.arrivals = ArrivalRate(RULES.window, self.lead)
        self.history = DemandHistory(RULES.hold)
        self.demands = []
        self.executors = 0
        for name in list(self.fleet)[: RULES.least]:
            self._arrive(name, "pool", 0.0)

    @property
    def lead(self):
        return ORDERING + self.move

    def run(self, begin, end, seed):
        jobs = self.load.make_jobs(begin, end, seed)
        for round_number in range(int((end + LAST - begin) / TICK)):
            now = begin + round_number * TICK
            while jobs and jobs[0][0].accepted_at - WALL <= now:
                self._take_job(*jobs.pop(0), now)
            self._end_runs(now)
            self._start_runs(now)
            self._move(now)
            if round_number % DESCRIPTION == 0:
                self._describe(now)
            self._size(now)
        return self

    def list_used(self, begin, end):
        """Return the shares of slack that jobs used which came in that time."""
        return [share for came, share in self.used if begin <= came < end]

    def _take_job(self, job, durations, now):
        self.ledger.add_job(JobProgress(job))
        self.durations[job.job_id] = durations
        predict = self.ledger.durations.predict
        expected = [predict(job.queue, step.estimate) for step in job.steps]
        work = sum(
            step.count * step.need.cpu / 1000 * duration
            for step, duration in zip(job.steps, expected, strict=True)
        )
        chain = compute_chain(job, expected)
        slack = compute_timing(job, chain, chain, work, job.accepted_at).slack
        self.arrivals.note(work, now, RULES.slack_share * slack)

    def _end_runs(self, now):
        for ends_at, run in [item for item in self.ends if item[0] <= now]:
            self.ends.remove((ends_at, run))
            job = run.progress.job
            self.ledger.durations.observe(
                job.queue, run.step.estimate, self.durations[job.job_id][run.key.step]
            )
            self.ledger.finish(run, WALL + now)
            if run.progress.ended_at:
                self._note_done(job, now)

    def _note_done(self, job, now):
        chain = sum(self.durations.pop(job.job_id))
        slack = (job.terms.stretch - 1.0) * chain + job.terms.latency
        came = job.accepted_at - WALL
        self.used.append((came, (now - came - chain) / slack))
        self.ledger.drop_ended(job.job_id)

    def _start_runs(self, now):
        for run in plan_runs(self.ledger, now, WALL + now):
            duration = self.durations[run.key.job_id][run.key.step]
            self.ends.append((now + duration, run))

    def _describe(self, now):
        wall = WALL + now
        demand = describe_demand(
            self.ledger,
            list_timings(self.ledger, wall),
            sum_ready(self.ledger),
            self.arrivals.forecast(now),
            self.machines * CORES / 2,
            RULES,
        )
        self.demands.append((now + ORDERING, demand))

    def _size(self, now):
        known = [demand for due, demand in self.demands if due <= now]
        if not known:
            return
        demand = known[-1]
        need = self.history.note(demand.cores * RULES.headroom, now)
        for name in self.resizing:
            executor = self.fleet[name].executor_id
            self.resizing[name] = self.ledger.is_empty(executor)
        plan = plan_moves(
            self.fleet,
            {"pool": demand},
            {"pool": need},
            SPARE,
            self.resizing,
            {name: pool for name, (pool, _) in self.moving.items()},
            set(),
            RULES,
        )
        for name, pool in plan.moves:
            self._leave(name)
            self.resizing.pop(name, None)
            self.moving[name] = (pool, now + self.move)
        for name in plan.restore:
            self.resizing.pop(name, None)
        self.resizing.update(dict.fromkeys(plan.withdraw, False))
        self.ledger.set_withdrawn(
            {self.fleet[name].executor_id for name in self.resizing}
        )

    def _move(self, now):
        for name, (pool, due) in list(self.moving.items()):
            if due <= now:
                del self.moving[name]
                self._arrive(name, pool, now)

    def _leave(self, name):
        executor = self.fleet[name].executor_id
        if executor:
            self.ledger.lose_entry(executor)
            self.ledger.executors.pop(executor, None)
            self.fleet[name] = replace(self.fleet[name], executor_id="")

    def _arrive(self, name, pool, now):
        executor = ""
        if pool != SPARE:
            self.executors += 1
            executor = f"i-{self.executors:04}"
            self.ledger.see_entry(make_entry(executor, cpu=CORES * 1000), now)
            report(self.ledger, executor, now)
        self.fleet[name] = replace(self.fleet[name], pool=pool, executor_id=executor)
