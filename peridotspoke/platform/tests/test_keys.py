"""Tests of API keys at the HTTP server of a whole node, on the loopback interface."""

import asyncio

import msgspec
import pytest
from loguru import logger

from peridotspoke.platform.tests.platforms import CONFIG, JOB_ID, STEPS, FakePlatform

KEY, OTHER_KEY, NEW_KEY = b"SECRET-olive", b"SECRET-plum", b"SECRET-new"
BODY = msgspec.json.encode({"spec": "s", "steps": STEPS})
OPEN_ROUTE = {
    "name": "open",
    "host": "jobs.example",
    "prefix": "/open/",
    "service": "pool",
    "anonymous": True,
}
TENANTS = [
    {"name": "olive", "apiKeys": [KEY.decode()], "maxCount": {"cpu": 1000}},
    {"name": "plum", "apiKeys": [OTHER_KEY.decode()]},
]


def make_config(version, tenants=TENANTS):
    routes = [*CONFIG["routes"], OPEN_ROUTE]
    return {**CONFIG, "version": version, "routes": routes, "tenants": tenants}


@pytest.fixture
async def platform():
    fake = FakePlatform()
    await fake.open()
    fake.store.put("op/config", make_config(4))
    yield fake
    async with asyncio.timeout(20):
        await fake.close()


@pytest.fixture
def lines():
    """Collect the logged lines."""
    collected = []
    sink = logger.add(
        lambda message: collected.append(str(message)), format="{message}"
    )
    yield collected
    logger.remove(sink)


async def call(address, method, keys=(), body=b"", path=f"/q/{JOB_ID}", length=None):
    """Call a node; return the status, the headers and the body of the response.

    `length` is the length that is announced for the body, if it is another one.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = [f"{method} {path} HTTP/1.1".encode(), b"Host: jobs.example"]
        head += [b"X-Api-Key: " + key for key in keys]
        head.append(f"Content-Length: {length or len(body)}".encode())
        writer.write(b"\r\n".join(head) + b"\r\n\r\n" + body)
        async with asyncio.timeout(20):
            shown = await reader.readuntil(b"\r\n\r\n")
            status, *fields = shown.decode().strip().split("\r\n")
            headers = dict(field.lower().split(": ", 1) for field in fields)
            content = await reader.readexactly(int(headers["content-length"]))
        return int(status.split()[1]), headers, content
    finally:
        writer.close()


async def start_node(platform, name="n1"):
    """Start a node and wait until it has the configuration."""
    address = await platform.start_node(name)
    async with asyncio.timeout(20):
        while (await call(address, "GET", [KEY], path="/q/"))[0] != 200:
            await asyncio.sleep(0.02)
    return address


@pytest.mark.parametrize(
    "keys",
    [
        [],
        [b""],
        [b"SECRET-unknown"],
        [KEY, KEY],
        [KEY, OTHER_KEY],
        [b"SECRET-\xff\xfe\x80"],
        [b"SECRET-\x01\x02\x00"],
        [b"SECRET-" + b"x" * 4090],
        [b"SECRET-" + b"x" * 8185],
    ],
    ids=[
        "absent",
        "empty",
        "unknown",
        "doubled",
        "two",
        "not text",
        "control characters",
        "4097 bytes",
        "8192 bytes",
    ],
)
async def test_a_submission_without_a_valid_key_is_refused_before_its_body(
    platform, lines, caplog, keys
):
    # Guards against bodies of callers without a key that fill the memory, and against
    # keys in the log. None of the announced 200,000 bytes is sent.
    address = await start_node(platform)
    status, _, content = await call(address, "POST", keys, length=200_000)
    assert status == 401
    assert b"SECRET" not in content
    for method in ("GET", "DELETE"):
        assert (await call(address, method, keys))[0] == 401
    assert not [key for key in platform.store.items if key.startswith("ids/")]
    assert "SECRET" not in "".join(lines) + caplog.text


async def test_a_queue_that_does_not_exist_is_told_before_the_key_and_the_body(
    platform,
):
    # Guards against a 401 that sends the caller to look for the fault in its key.
    address = await start_node(platform)
    path = f"/absent/{JOB_ID}"
    assert (await call(address, "POST", path=path, length=200_000))[0] == 404


async def test_an_unknown_key_is_refused_for_now_before_its_body_without_the_store(
    platform,
):
    # Guards against 401 for a key that a newer configuration may have.
    address = await start_node(platform)
    platform.store.unavailable = True
    status, headers, _ = await call(address, "POST", [NEW_KEY], length=200_000)
    assert status == 503
    assert int(headers["retry-after"]) >= 1


async def test_a_key_is_accepted_as_soon_as_its_configuration_is_acknowledged(
    platform,
):
    # Guards against 401 until the node's watch has brought the newer configuration.
    address = await start_node(platform)
    assert (await call(address, "POST", [NEW_KEY], BODY))[0] == 401
    new = {"name": "new", "apiKeys": [NEW_KEY.decode()]}
    platform.store.put("op/config", make_config(5, [*TENANTS, new]))
    assert (await call(address, "POST", [NEW_KEY], BODY))[0] == 200


async def test_a_job_is_its_workspaces_own(platform):
    # Guards against a customer that reads, cancels or replaces another one's job.
    address = await start_node(platform)
    assert (await call(address, "POST", [KEY], BODY))[0] == 200
    assert (await call(address, "POST", [KEY], BODY))[0] == 200
    assert (await call(address, "POST", [OTHER_KEY], BODY))[0] == 409
    for keys, path in (([OTHER_KEY], f"/q/{JOB_ID}"), ([], f"/open/{JOB_ID}")):
        for method in ("GET", "DELETE"):
            assert (await call(address, method, keys, path=path))[0] == 410
    async with asyncio.timeout(20):
        while (await call(address, "GET", [KEY]))[2] != b'{"state":"completed"}':
            await asyncio.sleep(0.02)


async def test_an_anonymous_queue_is_served_without_a_key(platform):
    # Guards against operators' public queues that ask for keys.
    address = await start_node(platform)
    path = f"/open/{JOB_ID}"
    assert (await call(address, "POST", body=BODY, path=path))[0] == 200
    assert (await call(address, "GET", path=path))[0] == 200
    assert (await call(address, "GET", [OTHER_KEY]))[0] == 200


async def test_a_task_above_its_workspaces_limit_is_told_so(platform):
    # Guards against jobs that are accepted and can never start.
    address = await start_node(platform)
    body = msgspec.json.encode({"spec": "s", "steps": [{"count": 1, "cpu": 1001}]})
    status, _, content = await call(address, "POST", [KEY], body)
    assert status == 400
    assert b"1001" in content
    assert b"1000" in content
    assert (await call(address, "POST", [OTHER_KEY], body))[0] == 200


async def test_a_head_that_the_library_refuses_is_answered_as_before_without_workspaces(
    platform, lines, caplog
):
    # Guards against another response for operators that don't use workspaces, and
    # against the bytes of a malformed head in the log.
    platform.store.put("op/config", {**CONFIG, "version": 5})
    address = await platform.start_node("n1")
    async with asyncio.timeout(20):
        while (await call(address, "GET", path="/q/"))[0] != 200:
            await asyncio.sleep(0.02)
    assert (await call(address, "GET", [b"SECRET-\x01"]))[0] == 400
    assert (await call(address, "GET", [b"x" * 20_000]))[0] == 400
    async with asyncio.timeout(20):
        while not any("event=callers-refused limits=malformed:" in li for li in lines):
            await asyncio.sleep(0.02)
    logged = "".join(lines) + caplog.text
    assert "SECRET" not in logged
    assert "xxxx" not in logged
