"""Tests of the order in which waiting tasks are placed, and of where they are placed.

The load pattern: a pool with a backlog of late finite jobs, beside tasks that run until
their job is cancelled and that stand, for example after their executor was lost.
"""

import random
from dataclasses import replace

import pytest

from peridotspoke.workloads.demand import estimate_demand
from peridotspoke.workloads.executors import EndKind
from peridotspoke.workloads.jobs import Need, Step
from peridotspoke.workloads.progress import JobProgress
from peridotspoke.workloads.readywork import list_step_work
from peridotspoke.workloads.tests.ledgers import (
    WALL_EPOCH,
    add_job,
    end,
    make_job,
    make_ledger,
    plan,
    report,
    start_all,
    store,
    terms,
)

LASTING = Step(5, Need(1000, 100), lasting=True, may_miss=1)
LATE = 60.0  # seconds after which the finite jobs of these tests are late


def list_executors(runs):
    return sorted(run.executor_id for run in runs if run.step.lasting)


def test_a_standing_task_that_lasts_is_placed_before_late_finite_work():
    """A backlog of late jobs takes each free place, so it would stand for good."""
    ledger = make_ledger("e1", now=LATE)
    for number in range(8):
        step = Step(4, Need(1000, 100), estimate=1.0)
        add_job(ledger, step, job_id=f"{number:016x}", terms=terms())
    add_job(ledger, LASTING, job_id="f" * 16, terms=terms())
    runs = plan(ledger, LATE)
    assert len(runs) == 8  # as many as the executor has room for
    assert sum(run.step.lasting for run in runs) == LASTING.count


def test_a_queue_of_higher_priority_still_comes_before_tasks_that_last():
    ledger = make_ledger("e1")
    urgent = Step(8, Need(1000, 100), estimate=1.0)
    add_job(ledger, LASTING, job_id="f" * 16, terms=terms(priority=1))
    add_job(ledger, urgent, job_id="0" * 16, terms=terms(priority=0, latency=60.0))
    runs = plan(ledger, 0.0)
    assert not list_executors(runs)


def test_executors_with_tasks_that_last_are_not_offered_for_removal():
    """A smaller pool would stop these tasks and start them elsewhere again."""
    ledger = make_ledger("e1", "e2", "e3")
    add_job(ledger, Step(1, Need(1000, 100), lasting=True), job_id="f" * 16)
    (run,) = start_all(ledger, 0.0)
    removable = estimate_demand(ledger, (), 0.0, 0.0).removable
    assert set(removable) == {"e1", "e2", "e3"} - {run.executor_id}


def test_tasks_that_last_share_few_executors_but_not_one():
    """Few executors have to stay in the pool for them; one loss leaves half of them."""
    ledger = make_ledger("e1", "e2", "e3", "e4", "e5")
    add_job(ledger, LASTING, job_id="f" * 16)
    add_job(ledger, LASTING, job_id="e" * 16)
    executors = list_executors(start_all(ledger, 0.0))
    assert len(set(executors)) == 2
    assert {executors.count(name) for name in set(executors)} == {4, 6}


def describe(work):
    """Return the identity of each `StepWork` and its tasks, in order."""
    return [
        (item.progress.job.job_id, item.step_number, [task.key for task in item.tasks])
        for item in work
    ]


class BacklogHistory:
    """Random changes of a ledger with a backlog, drawn from a seed."""

    def __init__(self, seed):
        self.source = random.Random(seed)
        self.ledger = make_ledger("e1", "e2")
        self.now = 0.0
        self.ends = {"e1": 0, "e2": 0}

    @property
    def wall(self):
        return WALL_EPOCH + self.now

    def add(self):
        count = self.source.randint(1, 4)
        steps = (
            Step(count, Need(1000 * self.source.randint(1, 3), 100), estimate=1.0),
            Step(2, Need(1000, 100), estimate=0.5, after=(0,)),
        )
        lasting = Step(2, Need(1000, 100), lasting=True)
        chosen = (lasting,) if self.source.random() < 0.2 else steps
        number = f"{self.source.getrandbits(60):016x}"
        job = make_job(*chosen, job_id=number, terms=terms(latency=2.0))
        self.ledger.add_job(JobProgress(replace(job, accepted_at=self.wall)))

    def work(self):
        plan(self.ledger, self.now)
        for run in store(self.ledger):
            self.ledger.apply_start_answer(run, None, self.now)

    def end_a_run(self):
        name = self.source.choice(["e1", "e2"])
        runs = list(self.ledger.executors[name].runs.values())
        if runs:
            run = self.source.choice(runs)
            self.ends[name] += 1
            kind = self.source.choice([EndKind.DONE, EndKind.DONE, EndKind.FAILED])
            others = [other for other in runs if other is not run]
            ended = [end(self.ends[name], run, kind)]
            report(self.ledger, name, self.now, others, ended)

    def cancel(self):
        if self.ledger.jobs:
            job_id = self.source.choice(list(self.ledger.jobs))
            self.ledger.cancel_job(job_id, self.wall)

    def wait(self):
        self.now += self.source.choice([0.01, 0.1, 0.6])

    def change(self):
        changes = (self.add, self.work, self.end_a_run, self.wait)
        self.source.choice([*changes, *changes, self.cancel])()


@pytest.mark.parametrize("seed", range(40))
def test_ready_work_that_is_kept_is_the_work_that_a_whole_scan_finds(seed):
    """Only jobs that have changed are looked at again."""
    history = BacklogHistory(seed)
    for _ in range(60):
        history.change()
        kept = describe(list_step_work(history.ledger, history.wall))
        history.ledger.ready_work.clear()
        assert sorted(kept) == sorted(
            describe(list_step_work(history.ledger, history.wall))
        )


def test_smaller_tasks_are_placed_behind_larger_ones_that_fit_nowhere():
    """A size that fits nowhere is tried once a round, and smaller ones after it."""
    ledger = make_ledger("e1")
    sizes = (5000, 6000, 4000, 3000)  # of 8000 on the executor
    for number, cpu in enumerate(sizes):
        step = Step(1, Need(cpu, 100), estimate=1.0)
        latency = 10.0 + number
        add_job(ledger, step, job_id=f"{number:016x}", terms=terms(latency=latency))
    placed = [run.step.need.cpu for run in plan(ledger, 0.0)]
    assert placed == [5000, 3000]


def test_a_step_that_a_limit_keeps_off_does_not_hide_others_of_its_size():
    ledger = make_ledger("e1")
    apart = Step(2, Need(1000, 100), estimate=1.0, most_per_executor=1)
    add_job(ledger, apart, job_id="0" * 16)
    free = Step(1, Need(1000, 100), estimate=1.0)
    add_job(ledger, free, job_id="1" * 16, terms=terms(latency=60.0))
    assert len(plan(ledger, 0.0)) == 2
