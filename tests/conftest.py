"""Fixtures and steps that the tests of separate processes share."""

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
    """Yield a fleet whose processes end with the test."""
    started = Fleet(tmp_path)
    yield started
    started.close()


@given(parsers.parse("the platform and {count:d} executors"))
def start_platform(fleet, count):
    fleet.start_platform()
    fleet.start_executors(count)


@given(parsers.parse("{count:d} entry instances and a controller"))
def start_entries(fleet, count):
    for number in range(count):
        fleet.start_entry(f"entry-{number}")
    fleet.start_control()


@given(parsers.parse('a fleet of {entries:d} entry instances that serves "{name}"'))
def start_serving(fleet, entries, name):
    start_platform(fleet, 2)
    start_entries(fleet, entries)
    published = fleet.publish(DECLARATION.format(name=name, size=2))
    assert published.returncode == 0, published.stderr
    for entry in fleet.entries:
        fleet.call_until_served(entry, f"/{name}/ready")
