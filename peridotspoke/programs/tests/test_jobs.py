"""The interface for jobs towards callers."""

import asyncio
import json
import random
import time
from dataclasses import replace

import aiohttp
import pytest
from aiohttp import web
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import Configuration
from peridotspoke.declarations.schema import (
    DeploymentDeclaration,
    QuotaDeclaration,
    ServiceDeclaration,
)
from peridotspoke.identities import make_operation_id
from peridotspoke.jobs import JobAcceptor, JobBatch
from peridotspoke.jobs.lifecycle import JobFinished, JobStarting, apply_event
from peridotspoke.jobs.messages import Attempt
from peridotspoke.programs.jobs import JobRequests
from peridotspoke.requests import IncomingRequest, admit_request
from peridotspoke.standins import PlatformFaults, PlatformStandIn, start_server
from peridotspoke.store import (
    GatewayKeyValueService,
    ListedInstance,
    Stored,
    decode_record,
    encode_stored,
)

scenarios("jobs.feature")

JOB = {"name": "cutting-plan", "team": "feldkirch"}
LARGEST = ListedInstance("i0", "vlbg-a", "r0", "live", 1, "", cores=32)
FAULTS = {
    "has no fault": PlatformFaults(),
    "is down": PlatformFaults(down=True),
    "loses the answer of a write": PlatformFaults(lose_answers=1, lose_after="kv/txn"),
    "loses all answers": PlatformFaults(lose_answers=1000),
}
DEPLOYMENT = DeploymentDeclaration("vorarlberg")
DECLARATIONS = {
    name: ServiceDeclaration(name, quota={"feldkirch": QuotaDeclaration(cores=16)})
    for name in ("feldkirch", "hohenems")
}
CONFIGURATION = Configuration(1, DEPLOYMENT, DECLARATIONS)


def make_application(jobs, chance):
    """Return an application that passes each request on as the entry does."""

    async def handle(request):
        incoming = IncomingRequest(
            make_operation_id(chance),
            request.match_info["service"],
            request.method,
            "/" + request.match_info["path"],
            request.headers,
            await request.read(),
            time.monotonic(),
        )
        admitted = admit_request(incoming, CONFIGURATION)
        assert jobs.handles(admitted)
        found = await jobs.serve(admitted)
        return web.Response(status=found.status, headers=found.headers, body=found.body)

    application = web.Application()
    application.router.add_route("*", "/{service}/{path:.*}", handle)
    return application


class World:
    def __init__(self):
        self.platform = PlatformStandIn(SystemClock())
        self.entries = []
        self.runners = []
        self.acceptors = []
        self.answers = []

    async def start(self, count):
        self.session = aiohttp.ClientSession()
        runner, address = await start_server(self.platform.make_application())
        self.runners.append(runner)
        for number in range(count):
            service = GatewayKeyValueService(
                f"http://{address}", 2.0, SystemClock(), self.session
            )
            chance = random.Random(number)
            acceptor = JobAcceptor(service, f"entry-{number}", SystemClock(), chance)
            await acceptor.start()
            self.acceptors.append(acceptor)
            jobs = JobRequests(
                acceptor, SystemClock(), DECLARATIONS.get, lambda _: LARGEST
            )
            runner, entry = await start_server(make_application(jobs, chance))
            self.runners.append(runner)
            self.entries.append(f"http://{entry}")

    async def close(self):
        for acceptor in self.acceptors:
            await acceptor.stop()
        for runner in self.runners:
            await runner.cleanup()
        await self.session.close()

    async def call(self, method, path, entry=0, body=None, key=None):
        headers = {"Idempotency-Key": key} if key else {}
        url = self.entries[entry] + path
        async with self.session.request(
            method, url, data=body, headers=headers
        ) as answer:
            text = await answer.read()
            outcome = answer.headers.get("Peridotspoke-Outcome")
            found = (answer.status, outcome, json.loads(text))
        self.answers.append(found)
        return found

    async def submit(self, entry=0, job=None, key=None, service="feldkirch"):
        body = json.dumps(job or JOB)
        return await self.call("POST", f"/{service}/jobs", entry, body, key)

    def list_records(self):
        return self.platform.store.read_prefix("jobs/", 0.0).records

    def tell(self, event):
        """Let a controller write an event about each job."""
        for record in self.list_records():
            batch = decode_record(record, JobBatch).body
            jobs = tuple(apply_event(job, event) for job in batch.jobs)
            value = encode_stored(Stored(replace(batch, jobs=jobs)))
            self.platform.store.swap(record.key, value, record.revision, 0, 0.0)


@pytest.fixture
def world(runner):
    made = World()
    yield made
    runner.run(made.close())


@given(parsers.parse("the platform and {count:d} entry instances"))
def start(runner, world, count):
    runner.run(world.start(count))


@given(parsers.re("the platform (?P<fault>(has|is|loses) .*)"))
@when(parsers.re("the platform (?P<fault>(has|is|loses) .*)"))
def switch_faults(world, fault):
    world.platform.faults = FAULTS[fault]


@given("the platform refuses connections")
def stop_platform(runner, world):
    runner.run(world.runners[0].cleanup())


@when("a job is submitted")
def submit(runner, world):
    runner.run(world.submit())


@when(parsers.parse('a job is submitted with the key "{key}"'))
def submit_keyed(runner, world, key):
    runner.run(world.submit(key=key))


@when(parsers.parse("the job is submitted again {how}"))
def submit_again(runner, world, how):
    key = "order-7"

    async def repeat():
        first = world.answers[-1][2].get("jobs")
        if "both" in how:
            await asyncio.gather(*(world.submit(n % 2, key=key) for n in range(6)))
        elif "another body" in how:
            await world.submit(job={**JOB, "cores": 2}, key=key)
        elif "another service" in how:
            await world.submit(key=key, service="hohenems")
            return
        else:
            await world.submit(1 if "other" in how else 0, key=key)
        ids = {tuple(body["jobs"]) for _, _, body in world.answers if "jobs" in body}
        assert len(ids) == 1
        assert first is None or world.answers[-1][2].get("repeated", True)

    runner.run(repeat())


@when(parsers.parse("{count:d} callers submit a job at once"))
def submit_many(runner, world, count):
    async def act():
        await asyncio.gather(*(world.submit() for _ in range(count)))

    runner.run(act())
    assert len({body["jobs"][0] for _, _, body in world.answers}) == count


@when("all of them cancel while a job is submitted")
def cancel_all(runner, world):
    ids = [body["jobs"][0] for _, _, body in world.answers]

    async def act():
        cancels = (world.call("DELETE", f"/feldkirch/jobs/{job}") for job in ids)
        *found, submitted = await asyncio.gather(*cancels, world.submit())
        assert {status for status, _, _ in found} == {200}
        assert {body["phase"] for _, _, body in found} == {"cancelled"}
        assert submitted[0] == 202

    runner.run(act())


@when(parsers.parse("the body {body} is submitted"))
def submit_body(runner, world, body):
    data = "" if body == "nothing" else body
    runner.run(world.call("POST", "/feldkirch/jobs", body=data))


@when(parsers.parse("the events are {order}"))
def act_in_order(runner, world, order):
    job = world.answers[-1][2]["jobs"][0]
    start = JobStarting(Attempt(1, "w1", 1, 10.0))

    async def cancel():
        await world.call("DELETE", f"/feldkirch/jobs/{job}")

    def swap_after_start(*arguments):
        """Let the start win between the cancellation's read and its swap."""
        del world.platform.store.swap
        world.tell(start)
        return world.platform.store.swap(*arguments)

    async def act():
        for event in order.split(", "):
            if event == "start":
                world.tell(start)
            elif event == "finish":
                world.tell(start)
                world.tell(JobFinished(1))
            elif event == "cancel with start":
                world.platform.store.swap = swap_after_start
                await cancel()
            else:
                await cancel()

    runner.run(act())


@when(parsers.parse("the job {identity} is asked for"))
def ask(runner, world, identity):
    runner.run(world.call("GET", f"/feldkirch/jobs/{identity}"))


@then(parsers.parse("the status is {status:d} and the outcome {outcome}"))
def check_outcome(world, status, outcome):
    assert world.answers[-1][:2] == (status, outcome), world.answers[-1]


@then(
    parsers.parse(
        "the status is {status:d} and the job is {phase}, cancel asked: {asked}"
    )
)
def check_job(runner, world, status, phase, asked):
    found, _, body = world.answers[-1]
    assert (found, body["phase"], str(body["cancel_asked"])) == (status, phase, asked)
    path = f"/feldkirch/jobs/{body['job']}"
    assert runner.run(world.call("GET", path, entry=1)) == (200, "answered", body)


@then(parsers.parse("the status is {status:d}"))
def check_status(world, status):
    assert world.answers[-1][0] == status


@then(parsers.parse("the problem names {found} and {expected}"))
def check_problem(world, found, expected):
    detail = world.answers[-1][2]["detail"]
    assert found in detail
    assert expected in detail


@then(parsers.parse("{count:d} jobs stand in the service"))
def count_jobs(world, count):
    batches = [decode_record(item, JobBatch).body for item in world.list_records()]
    assert sum(len(batch.jobs) for batch in batches) == count


@then(parsers.parse("{count:d} write was made"))
def count_writes(world, count):
    assert world.platform.store.calls["kv/txn"] == count


@then(parsers.parse("at most {count:d} writes were made"))
def bound_writes(world, count):
    assert world.platform.store.calls["kv/txn"] <= count
