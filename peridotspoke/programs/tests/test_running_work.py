"""Jobs on a draining instance."""

from types import SimpleNamespace

import pytest
from pytest_bdd import given, parsers, scenarios, then

from peridotspoke.jobs import JobPoolView, JobSpec, Resources, WorkerCapacity
from peridotspoke.jobs.environment import JobsSettings
from peridotspoke.jobs.supervising import PoolSupervisor
from peridotspoke.jobs.tests.harness import ControllerUnderTest, World
from peridotspoke.peers import InFlightReport, InFlightSource
from peridotspoke.programs.fleetjobs import JobInFlightSource

scenarios("running_work.feature")


class OneEntry(InFlightSource):
    def __init__(self, requests):
        self._requests = requests

    async def report_in_flight(self, address, epochs):
        return {name: InFlightReport(self._requests, True) for name in epochs}


@pytest.fixture
def context():
    return SimpleNamespace()


@given(parsers.parse("an entry that reports {requests:d} requests in flight"))
def make_entry(context, requests):
    context.source = JobInFlightSource(OneEntry(requests))


@given(
    parsers.parse(
        "a pool whose batches are {read}, with {jobs:d} jobs on a worker that is "
        "{state}"
    )
)
def make_pool(runner, context, read, jobs, state):
    async def make_supervisor():
        return PoolSupervisor("feldkirch", JobsSettings("c"), None, None)

    supervisor = runner.run(make_supervisor())
    controller = ControllerUnderTest(World(workers=1), "c")
    controller.run_without_faults()
    for _ in range(jobs):
        controller.world.submit([JobSpec("plan", "team", ("run", "9"))])
    controller.run_without_faults()
    capacity = WorkerCapacity(
        "w0", "r", Resources(4.0, 16 << 30), usable=state == "serving"
    )
    supervisor._board = controller.board
    supervisor._view = JobPoolView((capacity,), {}, {})
    supervisor._ready = read == "read"
    context.source.jobs = supervisor


@then(parsers.parse("{running:d} are in flight"))
def check_in_flight(runner, context, running):
    reports = runner.run(context.source.report_in_flight("127.0.0.1:1", {"w0": 1}))
    assert reports["w0"].in_flight == running
