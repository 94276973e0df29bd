"""The whole path as separate processes."""

import json
import time
import urllib.error
import urllib.request

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.processes import ProgramProcess, run_program

scenarios("whole_path.feature")

TRIES = 100


@pytest.fixture
def processes():
    """Yield a list of processes that end with the test."""
    started = []
    yield started
    for process in started:
        process.close()


@pytest.fixture
def world():
    """Return what the steps share."""
    return {}


@given(parsers.parse("the platform and {count:d} executors"))
def start_platform(processes, world, count):
    platform = ProgramProcess("standin", "platform", listen="127.0.0.1:0")
    processes.append(platform)
    world["platform"] = "http://" + platform.wait_for_event("standin-started")["listen"]
    executors = [
        ProgramProcess("standin", "upstream", name=f"i{n}", listen="127.0.0.1:0")
        for n in range(count)
    ]
    processes += executors
    listed = [
        {
            "instance": f"i{number}",
            "zone": "vlbg-a",
            "rack": f"r{number}",
            "state": "live",
            "incarnation": 1,
            "executor": process.wait_for_event("standin-started")["listen"],
        }
        for number, process in enumerate(executors)
    ]
    _post(world["platform"] + "/standin/instances", json.dumps(listed).encode())


@given(parsers.parse("{count:d} entry instances and a controller"))
def start_entries(processes, world, count):
    flags = {"platform": world["platform"], "zone": "vlbg-a"}
    ports = {name: "127.0.0.1:0" for name in ("listen", "admin", "peer_listen")}
    entries = [
        ProgramProcess("entry", name=f"entry-{n}", **flags, **ports)
        for n in range(count)
    ]
    processes += entries
    processes.append(ProgramProcess("control", name="control-0", **flags))
    world["entries"] = [
        "http://" + entry.wait_for_event("entry-started")["listen"] for entry in entries
    ]


@when(
    parsers.parse(
        'an operator publishes a service named "{name}" with {size:d} instances'
    )
)
def publish_service(world, tmp_path, name, size):
    text = f'service = "{name}"\n\n[pool]\ninstances = {size}\n'
    (tmp_path / "service.toml").write_text(text, encoding="utf-8")
    world["publish"] = run_program(
        "publish",
        "publish",
        platform=world["platform"],
        directory=tmp_path,
        operator="ana",
        reason="first release",
    )


@then(
    parsers.parse(
        'each entry instance answers a request to "{name}" with its own answer'
    )
)
def check_answers(world, name):
    assert world["publish"].returncode == 0, world["publish"].stderr
    for number, entry in enumerate(world["entries"]):
        headers, body = _post_until_answered(f"{entry}/{name}/plan/{number}")
        assert headers["Peridotspoke-Outcome"] == "answered"
        assert json.loads(body)["path"] == f"/plan/{number}"
        assert json.loads(body)["request"] == headers["Peridotspoke-Request-Id"]


@then("the audit trail names the publication and the controller's decisions")
def check_audit(world):
    shown = run_program("audit", "list", platform=world["platform"], output="json")
    rows = [json.loads(line) for line in shown.stdout.splitlines()]
    assert [
        (row["author"], row["reason"]) for row in rows if row["key"] == "config/head"
    ] == [("ana", "first release")]
    adopted = [row for row in rows if row["author"] == "control-0"]
    assert {row["key"] for row in adopted} == {"instances/i0", "instances/i1"}


@then("the operator is told the file, the line, what was found and what is expected")
def check_fault(world):
    assert world["publish"].returncode == 1
    message = world["publish"].stderr
    assert "service.toml:1: service: found 'Feldkirch!'" in message
    assert "should match pattern" in message


@then("no version is published")
def check_no_version(world):
    shown = run_program("publish", "status", platform=world["platform"])
    assert shown.stdout.strip() == "version 0"


def _post_until_answered(url):
    """Return the headers and the body of the first answer that is not a refusal."""
    for _ in range(TRIES):
        status, headers, body = _post(url, b"")
        if status != 503:
            return headers, body
        time.sleep(0.1)
    raise AssertionError(f"no answer from {url}: {body}")


def _post(url, body):
    request = urllib.request.Request(url, data=body, method="POST")
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()
