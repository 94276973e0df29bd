"""Steps for slot lending between entry instances in separate processes."""

import re
import time

from pytest_bdd import given, parsers, scenarios, then, when

scenarios("lent_slots.feature")

LOG_TIMEOUT = 20.0  # seconds
ENTRIES = ("entry-0", "entry-1")


@given("2 entry instances that lend slots and a controller")
def start_lending_entries(fleet):
    fleet.lending = {
        name: fleet.start_entry(name, slot_shares="lent", lease_ttl=1)
        for name in ENTRIES
    }
    fleet.start_control()


@given(parsers.parse('a service named "{name}" with a time limit of 1 second'))
def publish_service(fleet, name):
    text = f'service = "{name}"\n\n[pool]\ninstances = 2\n\n[requests]\n'
    assert fleet.publish(text + "time_limit = 1.0\n").returncode == 0
    for entry in ENTRIES:
        fleet.call_until_served(entry, f"/{name}/tile")


def find_lines(fleet, name, *parts):
    lines = fleet.lending[name].lines
    return [line for line in lines if all(part in line for part in parts)]


def wait_for_lines(fleet, name, *parts):
    deadline = time.monotonic() + LOG_TIMEOUT
    while not find_lines(fleet, name, *parts):
        assert time.monotonic() < deadline, fleet.lending[name].lines
        time.sleep(0.1)


def find_keeper_starts(fleet, name):
    return find_lines(fleet, name, "event=keeper-began")


@when("the keeper is killed")
def kill_keeper(fleet):
    (fleet.keeper,) = [name for name in ENTRIES if find_keeper_starts(fleet, name)]
    wait_for_lines(fleet, fleet.keeper, "event=right-written", "electors=2")
    fleet.lending[fleet.keeper].kill()


@then("the other entry instance serves requests as keeper with a higher epoch")
def check_new_keeper(fleet):
    (other,) = set(ENTRIES) - {fleet.keeper}
    wait_for_lines(fleet, other, "event=keeper-began")
    fleet.call_until_served(other, "/feldkirch/tile")
    (line,) = find_keeper_starts(fleet, other)
    assert "quiet=True" in line
    assert int(re.search(r"epoch=(\d+)", line).group(1)) > 1
