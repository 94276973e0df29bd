"""Fixtures and steps shared by the tests that run programs as processes."""

import pytest
from pytest_bdd import given, parsers

from tests.fleet import Fleet

DECLARATION = """service = "{name}"

[pool]
instances = {size}

[need]
instances = 1

[requests]
time_limit = 10.0
"""


@pytest.fixture
def fleet(tmp_path):
    """Yield a `Fleet` and stop its processes after the test."""
    running = Fleet(tmp_path)
    yield running
    running.close()


@given(parsers.parse("the platform and {count:d} executors"))
def start_platform_and_executors(fleet, count):
    fleet.start_platform()
    fleet.start_executors(count)


@given(parsers.parse("{count:d} entry instances and a controller"))
def start_entries_and_controller(fleet, count):
    for number in range(count):
        fleet.start_entry(f"entry-{number}")
    fleet.start_control()


@given(parsers.parse('a fleet of {entries:d} entry instances that serves "{name}"'))
def start_serving_fleet(fleet, entries, name):
    start_platform_and_executors(fleet, 2)
    start_entries_and_controller(fleet, entries)
    publication = fleet.publish(DECLARATION.format(name=name, size=2))
    assert publication.returncode == 0, publication.stderr
    for entry in fleet.entries:
        fleet.call_until_served(entry, f"/{name}/ready")
