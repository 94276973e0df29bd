"""The whole path as separate processes."""

import json

from pytest_bdd import parsers, scenarios, then, when

from tests.conftest import DECLARATION
from tests.processes import run_program

scenarios("whole_path.feature")


@when(
    parsers.parse(
        'an operator publishes a service named "{name}" with {size:d} instances'
    ),
    target_fixture="published",
)
def publish_service(fleet, name, size):
    return fleet.publish(DECLARATION.format(name=name, size=size))


@then(
    parsers.parse(
        'each entry instance answers a request to "{name}" with its own answer'
    )
)
def check_answers(fleet, published, name):
    assert published.returncode == 0, published.stderr
    for entry in fleet.entries:
        answer = fleet.call_until_served(entry, f"/{name}/plan/{entry}")
        shown = json.loads(answer.body)
        assert answer.outcome == "answered"
        assert shown["path"] == f"/plan/{entry}"
        assert shown["request"] == answer.headers["Peridotspoke-Request-Id"]


@then("the audit trail names the publication and the controller's decisions")
def check_audit(fleet):
    shown = run_program("audit", "list", platform=fleet.platform, output="json")
    rows = [json.loads(line) for line in shown.stdout.splitlines()]
    published = [row for row in rows if row["key"] == "config/head"]
    assert [(row["author"], row["reason"]) for row in published] == [
        ("ana", "first release")
    ]
    adopted = {row["key"] for row in rows if row["author"] == "control-0"}
    assert adopted >= {"instances/i0", "instances/i1"}


@then("the operator is told the file, the line, what was found and what is expected")
def check_fault(published):
    assert published.returncode == 1
    assert "service.toml:1: service: found 'Feldkirch!'" in published.stderr
    assert "should match pattern" in published.stderr


@then("no version is published")
def check_no_version(fleet):
    shown = run_program("publish", "status", platform=fleet.platform)
    assert shown.stdout.strip() == "version 0"
