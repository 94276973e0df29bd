"""Lent slots with whole processes."""

import re
import time

from pytest_bdd import given, parsers, scenarios, then, when

scenarios("lent_slots.feature")

LIMIT = 20.0  # seconds
NAMES = ("entry-0", "entry-1")


@given("2 entry instances with lent slots and a controller")
def start_entries(fleet):
    fleet.lending = {
        name: fleet.start_entry(name, slot_shares="lent", lease_ttl=1) for name in NAMES
    }
    fleet.start_control()


@given(parsers.parse('a service named "{name}" with a time limit of 1 second'))
def publish(fleet, name):
    text = f'service = "{name}"\n\n[pool]\ninstances = 2\n\n[requests]\n'
    assert fleet.publish(text + "time_limit = 1.0\n").returncode == 0
    for entry in NAMES:
        fleet.call_until_served(entry, f"/{name}/tile")


def list_lines(fleet, name, *parts):
    lines = fleet.lending[name].lines
    return [line for line in lines if all(part in line for part in parts)]


def wait_for_lines(fleet, name, *parts):
    ends_at = time.monotonic() + LIMIT
    while not list_lines(fleet, name, *parts):
        assert time.monotonic() < ends_at, fleet.lending[name].lines
        time.sleep(0.1)


def list_begun(fleet, name):
    return list_lines(fleet, name, "event=keeper-began")


@when("the keeper is killed")
def kill_keeper(fleet):
    (fleet.keeper,) = [name for name in NAMES if list_begun(fleet, name)]
    wait_for_lines(fleet, fleet.keeper, "event=right-written", "electors=2")
    fleet.lending[fleet.keeper].kill()


@then("the other entry instance serves again under a later epoch")
def check_served(fleet):
    (other,) = set(NAMES) - {fleet.keeper}
    wait_for_lines(fleet, other, "event=keeper-began")
    fleet.call_until_served(other, "/feldkirch/tile")
    (line,) = list_begun(fleet, other)
    assert "quiet=True" in line
    assert int(re.search(r"epoch=(\d+)", line).group(1)) > 1
