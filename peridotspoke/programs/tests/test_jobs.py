"""The HTTP interface for jobs."""

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


def make_application(jobs, rng):
    """Return an application that admits requests and serves them with `jobs`."""

    async def handle(request):
        incoming = IncomingRequest(
            make_operation_id(rng),
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


class JobEntries:
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
            rng = random.Random(number)
            acceptor = JobAcceptor(service, f"entry-{number}", SystemClock(), rng)
            await acceptor.start()
            self.acceptors.append(acceptor)
            jobs = JobRequests(
                acceptor, SystemClock(), DECLARATIONS.get, lambda _: LARGEST
            )
            runner, entry = await start_server(make_application(jobs, rng))
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
            result = (answer.status, outcome, json.loads(text))
        self.answers.append(result)
        return result

    async def submit(self, entry=0, job=None, key=None, service="feldkirch"):
        body = json.dumps(job or JOB)
        return await self.call("POST", f"/{service}/jobs", entry, body, key)

    def list_records(self):
        return self.platform.store.read_prefix("jobs/", 0.0).records

    def write_event(self, event):
        """Apply an event to each stored job, as a controller does."""
        for record in self.list_records():
            batch = decode_record(record, JobBatch).body
            jobs = tuple(apply_event(job, event) for job in batch.jobs)
            value = encode_stored(Stored(replace(batch, jobs=jobs)))
            self.platform.store.swap(record.key, value, record.revision, 0, 0.0)


@pytest.fixture
def system(runner):
    started = JobEntries()
    yield started
    runner.run(started.close())


@given(parsers.parse("the platform and {count:d} entry instances"))
def start(runner, system, count):
    runner.run(system.start(count))


@given(parsers.re("the platform (?P<fault>(has|is|loses) .*)"))
@when(parsers.re("the platform (?P<fault>(has|is|loses) .*)"))
def switch_faults(system, fault):
    system.platform.faults = FAULTS[fault]


@given("the platform refuses connections")
def stop_platform(runner, system):
    runner.run(system.runners[0].cleanup())


@when("a job is submitted")
def submit(runner, system):
    runner.run(system.submit())


@when(parsers.parse('a job is submitted with the key "{key}"'))
def submit_keyed(runner, system, key):
    runner.run(system.submit(key=key))


@when(parsers.parse("the job is submitted again {how}"))
def submit_again(runner, system, how):
    key = "order-7"

    async def repeat():
        first = system.answers[-1][2].get("jobs")
        if "both" in how:
            await asyncio.gather(*(system.submit(n % 2, key=key) for n in range(6)))
        elif "another body" in how:
            await system.submit(job={**JOB, "cores": 2}, key=key)
        elif "another service" in how:
            await system.submit(key=key, service="hohenems")
            return
        else:
            await system.submit(1 if "other" in how else 0, key=key)
        ids = {tuple(body["jobs"]) for _, _, body in system.answers if "jobs" in body}
        assert len(ids) == 1
        assert first is None or system.answers[-1][2].get("repeated", True)

    runner.run(repeat())


@when(parsers.parse("{count:d} callers submit a job at once"))
def submit_many(runner, system, count):
    async def act():
        await asyncio.gather(*(system.submit() for _ in range(count)))

    runner.run(act())
    assert len({body["jobs"][0] for _, _, body in system.answers}) == count


@when("all of them cancel while a job is submitted")
def cancel_all(runner, system):
    ids = [body["jobs"][0] for _, _, body in system.answers]

    async def act():
        cancels = (system.call("DELETE", f"/feldkirch/jobs/{job}") for job in ids)
        *found, submitted = await asyncio.gather(*cancels, system.submit())
        assert {status for status, _, _ in found} == {200}
        assert {body["phase"] for _, _, body in found} == {"cancelled"}
        assert submitted[0] == 202

    runner.run(act())


@when(parsers.parse("the body {body} is submitted"))
def submit_body(runner, system, body):
    data = "" if body == "nothing" else body
    runner.run(system.call("POST", "/feldkirch/jobs", body=data))


@when(parsers.parse("the events are {order}"))
def act_in_order(runner, system, order):
    job = system.answers[-1][2]["jobs"][0]
    start = JobStarting(Attempt(1, "w1", 1, 10.0))

    async def cancel():
        await system.call("DELETE", f"/feldkirch/jobs/{job}")

    def swap_after_start(*arguments):
        """Write the start between the cancellation's read and its compare-and-swap."""
        del system.platform.store.swap
        system.write_event(start)
        return system.platform.store.swap(*arguments)

    async def act():
        for event in order.split(", "):
            if event == "start":
                system.write_event(start)
            elif event == "finish":
                system.write_event(start)
                system.write_event(JobFinished(1))
            elif event == "cancel with start":
                system.platform.store.swap = swap_after_start
                await cancel()
            else:
                await cancel()

    runner.run(act())


@when(parsers.parse("the job {job_id} is requested"))
def request_job(runner, system, job_id):
    runner.run(system.call("GET", f"/feldkirch/jobs/{job_id}"))


@then(parsers.parse("the status is {status:d} and the outcome {outcome}"))
def check_outcome(system, status, outcome):
    assert system.answers[-1][:2] == (status, outcome), system.answers[-1]


@then(
    parsers.parse(
        "the status is {status:d} and the job is {phase}, cancel requested: {requested}"
    )
)
def check_job(runner, system, status, phase, requested):
    found, _, body = system.answers[-1]
    assert (found, body["phase"], str(body["cancel_asked"])) == (
        status,
        phase,
        requested,
    )
    path = f"/feldkirch/jobs/{body['job']}"
    assert runner.run(system.call("GET", path, entry=1)) == (200, "answered", body)


@then(parsers.parse("the status is {status:d}"))
def check_status(system, status):
    assert system.answers[-1][0] == status


@then(parsers.parse("the problem detail contains {found} and {expected}"))
def check_problem(system, found, expected):
    detail = system.answers[-1][2]["detail"]
    assert found in detail
    assert expected in detail


@then(parsers.parse("{count:d} jobs are stored"))
def count_jobs(system, count):
    batches = [decode_record(item, JobBatch).body for item in system.list_records()]
    assert sum(len(batch.jobs) for batch in batches) == count


@then(parsers.parse("{count:d} write was made"))
def count_writes(system, count):
    assert system.platform.store.calls["kv/txn"] == count


@then(parsers.parse("at most {count:d} writes were made"))
def bound_writes(system, count):
    assert system.platform.store.calls["kv/txn"] <= count
