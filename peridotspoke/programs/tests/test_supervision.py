"""Jobs from submission to their end, over sockets."""

import asyncio
import json
import random
from contextlib import AsyncExitStack

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import publish_declarations
from peridotspoke.programs.control import Controller
from peridotspoke.programs.entry import EntryInstance
from peridotspoke.programs.settings import ControlSettings, EntrySettings
from peridotspoke.standins import (
    PlatformStandIn,
    TaskRunner,
    WorkerFaults,
    WorkerStandIn,
    start_server,
)
from peridotspoke.store import GatewayKeyValueService, ListedInstance

scenarios("supervision.feature")

TIME_LIMIT = 20.0  # seconds
FAULTS = {
    "loses two answers": WorkerFaults(lose_answers=2),
    "fails all tasks": WorkerFaults(fail_all=True),
    "reports negative run times": WorkerFaults(run_time_factor=-5.0),
}
LISTEN_ADDRESSES = {name: "127.0.0.1:0" for name in ("admin", "peer_listen")}


class Deployment:
    def __init__(self):
        self.stack = AsyncExitStack()
        self.runners = []
        self.jobs = []

    async def start(self, workers):
        clock, rng = SystemClock(), random.Random(1)
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())
        platform = PlatformStandIn(clock)
        url = "http://" + await self.serve(platform.make_application())
        service = GatewayKeyValueService(url, 2.0, clock, self.session)
        text = f'service = "tiles"\n[pool]\ninstances = {workers}\n'
        await publish_declarations(
            service, {"service/tiles": text}, "ana", "test", clock, rng
        )
        listed = []
        for number in range(workers):
            runner = TaskRunner(f"i{number}")
            self.runners.append(runner)
            address = await self.serve(WorkerStandIn(runner, clock).make_application())
            listed.append(
                ListedInstance(
                    f"i{number}", "z", f"r{number}", "live", 1, address, address
                )
            )
        platform.list_instances(listed)
        common = {"zone": "z", "platform": url, "platform_timeout": 2.0}
        for program, settings in (
            (
                Controller,
                ControlSettings(
                    name="c", plan_interval=0.2, **LISTEN_ADDRESSES, **common
                ),
            ),
            (
                EntryInstance,
                EntrySettings(
                    name="e",
                    listen=LISTEN_ADDRESSES["admin"],
                    **LISTEN_ADDRESSES,
                    **common,
                ),
            ),
        ):
            self.program = program(settings, clock, rng)
            await self.program.start()
            self.stack.push_async_callback(self.program.stop)
        self.url = f"http://{self.program.address}/tiles/jobs"

    async def serve(self, application):
        runner, address = await start_server(application)
        self.stack.push_async_callback(runner.cleanup)
        return address

    async def submit(self, seconds):
        body = {"name": "plan", "team": "tiles", "command": ["run", seconds]}
        async with asyncio.timeout(TIME_LIMIT):
            while True:
                async with self.session.post(self.url, json=body) as answer:
                    if answer.status == 202:
                        self.jobs += json.loads(await answer.read())["jobs"]
                        return
                await asyncio.sleep(0.1)

    async def wait_for_end(self, job):
        async with asyncio.timeout(TIME_LIMIT):
            while True:
                async with self.session.get(f"{self.url}/{job}") as answer:
                    found = json.loads(await answer.read())
                if found["phase"] not in ("queued", "starting", "running"):
                    return found
                await asyncio.sleep(0.1)


@pytest.fixture
def deployment(runner):
    started = Deployment()
    yield started
    runner.run(started.stack.aclose())


@given(parsers.parse("a deployment with {workers:d} workers"))
def start(runner, deployment, workers):
    runner.run(deployment.start(workers))


@given(parsers.parse("each worker {fault}"))
def switch_faults(deployment, fault):
    for worker in deployment.runners:
        worker.faults = FAULTS[fault]


@when(parsers.parse("{count:d} jobs that run {seconds} seconds are submitted"))
def submit(runner, deployment, count, seconds):
    for _ in range(count):
        runner.run(deployment.submit(seconds))


@then(parsers.parse("each job ends as {phase} after one run"))
def check_jobs(runner, deployment, phase):
    for job in deployment.jobs:
        found = runner.run(deployment.wait_for_end(job))
        assert (found["phase"], found["ran"]) == (phase, "yes"), found
    runs = [count for worker in deployment.runners for count in worker.runs.values()]
    assert runs == [1] * len(deployment.jobs)
