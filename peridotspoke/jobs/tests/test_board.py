"""Tests of scheduling and supervision of a pool's jobs."""

from dataclasses import replace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.jobs import (
    FailureEvidence,
    JobSpec,
    Resources,
    Urgency,
    WorkerCapacity,
)
from peridotspoke.jobs.actions import CallStart, WriteBatch
from peridotspoke.jobs.needs import QueuedJob, RunningJob
from peridotspoke.jobs.placement import plan_placements
from peridotspoke.jobs.tests.harness import ControllerUnderTest, World

scenarios("board.feature")


class Steps:
    def __init__(self):
        self.world = World(workers=1)
        self.first = ControllerUnderTest(self.world, "a")
        self.first.run_without_faults()
        self.evidence = FailureEvidence()
        self.running = []

    def deliver_until(self, action_class):
        """Carry out actions until the next one is of a class; return that action."""
        while not isinstance(self.first.outbox[0], action_class):
            self.first.deliver()
        return self.first.outbox[0]


@pytest.fixture
def steps():
    return Steps()


@given(parsers.parse("a job whose start is stored, and its start call is {call}"))
def start(steps, call):
    steps.key = steps.world.submit([JobSpec("plan", "team", ("run", "2"))])
    steps.first.watch()
    steps.first.run_round()
    steps.deliver_until(WriteBatch)
    steps.first.deliver()
    steps.call = steps.deliver_until(CallStart)
    if call == "unanswered":
        # The call reaches the worker, but its answer is lost.
        steps.first.deliver(answered=False)
    else:
        steps.first.deliver(arrives=call == "delivered")
    steps.first.outbox.clear()


@given(parsers.parse("a job that runs on a worker and {kind} checkpoints"))
def run_job(steps, kind):
    spec = JobSpec("plan", "team", ("run", "9"), checkpointable=kind == "supports")
    steps.world.submit([spec])
    _run_for(steps, 2)


@when("the worker takes no more jobs")
def drain(steps):
    capacity = WorkerCapacity("w0", "r", Resources(4.0, 16 << 30, 2), usable=False)
    steps.first.board.set_workers([capacity], steps.world.now)
    _run_for(steps, 2)


def _run_for(steps, seconds):
    for _ in range(seconds):
        steps.world.now += 1.0
        steps.first.run_without_faults()


@when("one second passes")
def pass_time(steps):
    _run_for(steps, 1)


@when("it is cancelled and the call arrives late")
def cancel(steps):
    steps.world.cancel(steps.key, 0)
    _run_for(steps, 2)
    steps.world.call_worker("w0", "start_task", steps.call.start)


@when("the worker restarts and another controller takes over")
def restart(steps):
    steps.world.runners["w0"].restart()
    steps.world.now += 5.0
    successor = ControllerUnderTest(steps.world, "b")
    successor.watch()
    successor.run_without_faults()
    successor.run_without_faults()


@when("its end is reported but the write of it fails")
def lose_end_write(steps):
    steps.world.now += 3.0
    for _ in range(4):
        steps.first.run_round()
        while steps.first.outbox:
            lost = isinstance(steps.first.outbox[0], WriteBatch)
            steps.first.deliver(arrives=not lost)
        steps.world.now += 0.5
    _run_new_controller(steps)


@when("a controller without its batch receives its end")
def receive_unknown_end(steps):
    steps.world.now += 3.0
    other = ControllerUnderTest(steps.world, "b")
    for _ in range(3):
        other.run_round()
        while other.outbox:
            other.deliver()
        steps.world.now += 0.5
    _run_new_controller(steps)


def _run_new_controller(steps):
    steps.world.now += 5.0
    successor = ControllerUnderTest(steps.world, "c")
    for _ in range(3):
        successor.run_without_faults()
        steps.world.now += 1.0


@then(parsers.parse("the job is {phase} and has run {runs:d} times"))
def check(steps, phase, runs):
    ((job_id, job),) = steps.world.list_jobs()
    assert job.state.phase == phase, job.state
    assert steps.world.count_runs(job_id) == runs


@given(parsers.parse("failures {failures}"))
def fail(steps, failures):
    for item in failures.split(", "):
        name, _, worker = item.split()
        steps.evidence.record_failure(worker, name, 0.0)


@given(parsers.parse("successes {successes}"))
def succeed(steps, successes):
    if successes != "none":
        name, _, worker = successes.split()
        steps.evidence.record_success(worker, name)


@then(parsers.parse('worker "bad" is suspected: {suspected}'))
def check_worker(steps, suspected):
    verdict = steps.evidence.judge_worker("bad", 1.0)
    assert str(verdict.suspect) == suspected, verdict


@then(parsers.parse("a job that failed on w1, w2 and bad is set aside: {aside}"))
def check_job(steps, aside):
    verdict = steps.evidence.judge_job(("w1", "w2", "bad"), 1.0, 8)
    assert str(verdict.set_aside) == aside, verdict


def _parse_jobs(text):
    for item in text.split(", ") if text != "none" else ():
        name, urgency, cores, *worker = item.split()
        spec = JobSpec(
            name, "team", urgency=Urgency(urgency), idempotent=True, memory=1
        )
        # Memory is the scarce resource, so that throttling cores does not help.
        yield name, spec, Resources(float(cores), int(cores)), worker


@given(parsers.parse("running {running}"))
def run(steps, running):
    steps.running = [
        RunningJob(name, spec, need, worker[0])
        for name, spec, need, worker in _parse_jobs(running)
    ]


@when(parsers.parse("{queued} are queued"))
def place(steps, queued):
    jobs = [
        QueuedJob(name, spec, need, number)
        for number, (name, spec, need, _) in enumerate(_parse_jobs(queued))
    ]
    capacities = [
        WorkerCapacity(name, name, Resources(8.0, 8)) for name in ("w1", "w2")
    ]
    steps.plan = plan_placements(jobs, steps.running, capacities, {}, 0.0)


@then(parsers.parse("these start: {starts}"))
def check_starts(steps, starts):
    found = " ".join(start.job for start in steps.plan.starts) or "none"
    assert found == starts


@then(parsers.parse("these are preempted: {stops}"))
def check_stops(steps, stops):
    assert (" ".join(steps.plan.stops) or "none") == stops
    exhausted = [replace(job, preemptions=3) for job in steps.running]
    capacities = [
        WorkerCapacity(name, name, Resources(8.0, 8)) for name in ("w1", "w2")
    ]
    assert plan_placements([], exhausted, capacities, {}, 0.0).stops == ()
