"""Tests of the HTTP client of a worker against the worker's stand-in."""

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import PlatformError
from peridotspoke.standins import (
    TaskRunner,
    WorkerFaults,
    WorkerStandIn,
    start_server,
)
from peridotspoke.store.workers import (
    EndTasks,
    Exchange,
    HttpWorker,
    StartTask,
    TaskStop,
)

scenarios("workers.feature")

TASK = "4f1c.0/1"
START_BY = 5.0  # seconds by the worker's clock


class Harness:
    """A stand-in of a worker, its client and the last answer."""

    def __init__(self):
        self.clock = ManualClock()
        self.runner = TaskRunner("w0", incarnation=2)
        self.answer = None

    async def start(self):
        application = WorkerStandIn(self.runner, self.clock).make_application()
        self.server, address = await start_server(application)
        self.session = aiohttp.ClientSession()
        self.worker = HttpWorker(address, 0.3, self.session)

    async def close(self):
        await self.session.close()
        await self.server.cleanup()

    async def call(self, name):
        start = StartTask(TASK, 2, START_BY, 5.0, ("run", "2"), 1.0, 1, 0)
        end = EndTasks((TASK,), 2, TaskStop.STOP, START_BY)
        match name.split():
            case ["start"]:
                self.answer = await self.worker.start_task(start)
            case ["late", "start"]:
                self.clock.advance(START_BY + 1)
                self.answer = await self.worker.start_task(start)
            case ["stale", "start"]:
                stale = StartTask(TASK, 1, START_BY, 5.0, (), 1.0, 1, 0)
                self.answer = await self.worker.start_task(stale)
            case ["long", "start"]:
                long = StartTask(TASK, 2, START_BY, 5.0, ("run", "60"), 1.0, 1, 0)
                self.answer = await self.worker.start_task(long)
            case ["end"]:
                (self.answer,) = await self.worker.end_tasks(end)
            case ["checkpoint"]:
                checkpoint = EndTasks((TASK,), 2, TaskStop.CHECKPOINT, START_BY)
                (self.answer,) = await self.worker.end_tasks(checkpoint)
            case ["exchange"]:
                self.answer = await self.worker.exchange(Exchange((TASK,), (), 5.0))
            case ["confirm"]:
                await self.worker.exchange(Exchange((), (TASK,), 5.0))
            case ["wait", seconds]:
                self.clock.advance(float(seconds))
            case ["restart"]:
                self.runner.restart()
                self.runner.incarnation = 3
            case ["answer", "lost"]:
                self.runner.faults = WorkerFaults(lose_answers=1)
            case ["silent"]:
                self.runner.faults = WorkerFaults(silent=True)
            case ["stop", "worker"]:
                await self.server.cleanup()


@pytest.fixture
def harness(runner):
    created = Harness()
    yield created
    runner.run(created.close())


@given("a worker of incarnation 2")
def start(runner, harness):
    runner.run(harness.start())


@when(parsers.parse("the calls are {calls}"))
def call(runner, harness, calls):
    for name in calls.split(", "):
        try:
            runner.run(harness.call(name))
        except PlatformError as error:
            harness.answer = error


@then(parsers.parse("the last answer is {answer}"))
def check_answer(harness, answer):
    assert _describe(harness.answer) == answer


def _describe(answer):
    if answer is None:
        return "none"
    if isinstance(answer, PlatformError):
        return type(answer).__name__
    if not hasattr(answer, "ended"):
        return answer.outcome
    if answer.ended:
        return answer.ended[0].outcome
    return "running" if answer.running else "nothing"


@then(parsers.parse("the task has run {runs:d} times"))
def check_runs(harness, runs):
    assert harness.runner.runs[TASK] == runs
