"""Steps for the publish command against separate processes."""

import json

import pytest
from pytest_bdd import given, scenarios, then, when

from tests.fleet import Fleet
from tests.processes import run_program

scenarios("publishing.feature")


@pytest.fixture
def fleet(tmp_path):
    """Yield a `Fleet` and stop its processes after the test."""
    running = Fleet(tmp_path)
    yield running
    running.close()


@given(
    "the platform and an entry instance in each of 2 zones", target_fixture="entries"
)
def start_entries(fleet):
    fleet.start_platform()
    return [
        fleet.start_entry(f"entry-{zone}", zone, lease_ttl=15)
        for zone in ("vlbg-a", "vlbg-b")
    ]


def publish(fleet, operator, queue_limit, **flags):
    declaration = f'service = "common"\n[requests]\nqueue_limit = {queue_limit}\n'
    (fleet.directory / "common.toml").write_text(declaration, encoding="utf-8")
    return run_program(
        "publish", "publish", platform=fleet.platform, directory=fleet.directory,
        operator=operator, output="json", **flags,
    )  # fmt: skip


@when("ana publishes and waits", target_fixture="command")
def publish_and_wait(fleet):
    return publish(fleet, "ana", 1, wait="true")


@when(
    "one entry instance is paused and ana publishes and waits", target_fixture="command"
)
def publish_with_paused_entry(fleet, entries):
    entries[1].pause()
    return publish(fleet, "ana", 2, wait="true", wait_limit=2)


@when("beto publishes and expects version 1", target_fixture="command")
def publish_outdated(fleet):
    return publish(fleet, "beto", 3, expected_version=1)


def read_last_line(command):
    return json.loads(command.stdout.splitlines()[-1])


@then("the command exits with 0 and shows the roll-out complete in both zones")
def check_complete(command):
    assert command.returncode == 0, command.stderr
    zones = read_last_line(command)["zones"]
    assert [(zone["zone"], zone["done"]) for zone in zones] == [
        ("vlbg-a", 1),
        ("vlbg-b", 1),
    ]


@then("the command exits with 3 and names the paused entry instance")
def check_incomplete(command):
    assert command.returncode == 3, command.stderr
    missing = {
        zone["zone"]: zone["lacking"] for zone in read_last_line(command)["zones"]
    }
    assert missing["vlbg-b"] == ["entry-vlbg-b"]


@then("the command exits with 4 and names ana")
def check_conflict(command):
    assert command.returncode == 4, command.stderr
    assert "expected version 1, found 2; meanwhile: ana: publish version 2" in (
        command.stderr
    )
