"""Steps for end-to-end serving with separate processes."""

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
        'each entry instance answers a request to "{name}" with the answer to that '
        "request"
    )
)
def check_answers(fleet, published, name):
    assert published.returncode == 0, published.stderr
    for entry in fleet.entries:
        answer = fleet.call_until_served(entry, f"/{name}/plan/{entry}")
        echo = json.loads(answer.body)
        assert answer.outcome == "answered"
        assert echo["path"] == f"/plan/{entry}"
        assert echo["request"] == answer.headers["Peridotspoke-Request-Id"]


@then("the audit trail lists the publication and the controller's changes")
def check_audit(fleet):
    audit = run_program("audit", "list", platform=fleet.platform, output="json")
    rows = [json.loads(line) for line in audit.stdout.splitlines()]
    publications = [row for row in rows if row["key"] == "config/head"]
    assert [(row["author"], row["reason"]) for row in publications] == [
        ("ana", "first release")
    ]
    adopted = {row["key"] for row in rows if row["author"] == "control-0"}
    assert adopted >= {"instances/i0", "instances/i1"}


@then("the error names the file, the line, the value found and the expected form")
def check_rejection(published):
    assert published.returncode == 1
    assert "service.toml:1: service: found 'Feldkirch!'" in published.stderr
    assert "should match pattern" in published.stderr


@then("no version is published")
def check_no_version(fleet):
    status = run_program("publish", "status", platform=fleet.platform)
    assert status.stdout.strip() == "version 0"
