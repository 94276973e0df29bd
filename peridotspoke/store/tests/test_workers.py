"""The interface of workers, over HTTP."""

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
START_BY = 5.0


class World:
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
            case ["old", "start"]:
                old = StartTask(TASK, 1, START_BY, 5.0, (), 1.0, 1, 0)
                self.answer = await self.worker.start_task(old)
            case ["long", "start"]:
                long = StartTask(TASK, 2, START_BY, 5.0, ("run", "60"), 1.0, 1, 0)
                self.answer = await self.worker.start_task(long)
            case ["end"]:
                (self.answer,) = await self.worker.end_tasks(end)
            case ["checkpoint"]:
                how = EndTasks((TASK,), 2, TaskStop.CHECKPOINT, START_BY)
                (self.answer,) = await self.worker.end_tasks(how)
            case ["exchange"]:
                self.answer = await self.worker.exchange(Exchange((TASK,), (), 5.0))
            case ["confirm"]:
                await self.worker.exchange(Exchange((), (TASK,), 5.0))
            case ["wait", seconds]:
                self.clock.advance(float(seconds))
            case ["restart"]:
                self.runner.restart()
                self.runner.incarnation = 3
            case ["lose", "answer"]:
                self.runner.faults = WorkerFaults(lose_answers=1)
            case ["silence"]:
                self.runner.faults = WorkerFaults(silent=True)
            case ["stop", "worker"]:
                await self.server.cleanup()


@pytest.fixture
def world(runner):
    made = World()
    yield made
    runner.run(made.close())


@given("a worker of incarnation 2")
def start(runner, world):
    runner.run(world.start())


@when(parsers.parse("the calls are {calls}"))
def call(runner, world, calls):
    for name in calls.split(", "):
        try:
            runner.run(world.call(name))
        except PlatformError as error:
            world.answer = error


@then(parsers.parse("the last answer is {answer}"))
def check_answer(world, answer):
    assert _describe(world.answer) == answer


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
def check_runs(world, runs):
    assert world.runner.runs[TASK] == runs
