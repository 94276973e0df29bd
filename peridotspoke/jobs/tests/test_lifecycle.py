"""Tests of the state machine of a job."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.jobs.lifecycle import (
    MAX_ATTEMPTS,
    CancelAsked,
    JobFailed,
    JobFinished,
    JobNeverStarted,
    JobRunning,
    JobSetAside,
    JobStarting,
    JobStopped,
    WorkerLost,
    apply_event,
)
from peridotspoke.jobs.messages import Attempt, Job, JobPhase, JobSpec

scenarios("lifecycle.feature")

EVENTS = {
    "queued": [],
    "start": [JobStarting(Attempt(1, "w1", 1, 10.0))],
    "starting": [JobStarting(Attempt(1, "w1", 1, 10.0))],
    "again": [JobStarting(Attempt(2, "w2", 1, 10.0))],
    "running": [JobStarting(Attempt(1, "w1", 1, 10.0)), JobRunning(1)],
    "cancel": [CancelAsked()],
    "finished": [JobFinished(1)],
    "failed": [JobFailed(1, "status 1")],
    "never-started": [JobNeverStarted(1, "refused")],
    "stopped": [JobStopped(1, "stopped")],
    "checkpointed": [JobStopped(1, "stopped", "step 7")],
    "lost": [WorkerLost(1, "vanished")],
    "set-aside": [JobSetAside("too large")],
}


@pytest.fixture
def world():
    return {}


def _apply_events(job, names):
    for name in names.split(", "):
        for event in EVENTS[name]:
            job = apply_event(job, event)
    return job


@given(
    parsers.re(r"a job that is (?P<kind>not idempotent|idempotent) and (?P<phase>.+)")
)
def make_job(world, kind, phase):
    spec = JobSpec("cutting-plan", "feldkirch", idempotent=kind == "idempotent")
    world["job"] = _apply_events(Job(spec), phase)


@when(parsers.parse("it receives {event}"))
def receive_event(world, event):
    world["job"] = _apply_events(world["job"], event)


@when("each of its attempts is lost")
def lose_attempts(world):
    job = world["job"]
    for number in range(1, 2 * MAX_ATTEMPTS):
        job = apply_event(job, JobStarting(Attempt(number, f"w{number}", 1, 10.0)))
        job = apply_event(job, WorkerLost(number, "vanished"))
    assert job.state.attempts == MAX_ATTEMPTS
    world["job"] = job


@then(parsers.parse("the job is {after} and has run: {ran}"))
def check(world, after, ran):
    state = world["job"].state
    assert (state.phase, state.ran) == (JobPhase(after), ran)
