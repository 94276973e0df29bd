"""The publish command against separate processes."""

import json

import pytest
from pytest_bdd import given, scenarios, then, when

from tests.fleet import Fleet
from tests.processes import run_program

scenarios("publishing.feature")


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet whose processes end with the test."""
    made = Fleet(tmp_path)
    yield made
    made.close()


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
    text = f'service = "common"\n[requests]\nqueue_limit = {queue_limit}\n'
    (fleet.directory / "common.toml").write_text(text, encoding="utf-8")
    return run_program(
        "publish", "publish", platform=fleet.platform, directory=fleet.directory,
        operator=operator, output="json", **flags,
    )  # fmt: skip


@when("ana publishes and waits", target_fixture="shown")
def publish_and_wait(fleet):
    return publish(fleet, "ana", 1, wait="true")


@when(
    "one entry instance is frozen and ana publishes and waits", target_fixture="shown"
)
def publish_past_frozen(fleet, entries):
    entries[1].freeze()
    return publish(fleet, "ana", 2, wait="true", wait_limit=2)


@when("beto publishes from version 1", target_fixture="shown")
def publish_late(fleet):
    return publish(fleet, "beto", 3, expected_version=1)


def read_last(shown):
    return json.loads(shown.stdout.splitlines()[-1])


@then("the command ends with 0 and shows both zones done")
def check_done(shown):
    assert shown.returncode == 0, shown.stderr
    zones = read_last(shown)["zones"]
    assert [(zone["zone"], zone["done"]) for zone in zones] == [
        ("vlbg-a", 1),
        ("vlbg-b", 1),
    ]


@then("the command ends with 3 and names the frozen one")
def check_incomplete(shown):
    assert shown.returncode == 3, shown.stderr
    lacking = {zone["zone"]: zone["lacking"] for zone in read_last(shown)["zones"]}
    assert lacking["vlbg-b"] == ["entry-vlbg-b"]


@then("the command ends with 4 and names ana")
def check_conflict(shown):
    assert shown.returncode == 4, shown.stderr
    assert "expected version 1, found 2; meanwhile: ana: publish version 2" in (
        shown.stderr
    )
