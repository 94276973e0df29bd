"""Tests of the client of the platform's instance list."""

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import PlatformError, PlatformUnavailableError
from peridotspoke.standins import PlatformFaults, PlatformStandIn, start_server
from peridotspoke.store import HttpInstanceList, ListedInstance

scenarios("instance_list.feature")

FAULTS = {
    "healthy": PlatformFaults(),
    "lagging": PlatformFaults(list_lag=30.0),
    "down": PlatformFaults(down=True),
}


def _make_instance(number):
    return ListedInstance(f"i{number}", "a", "r", "live", 1, f"127.0.0.1:{number + 1}")


@pytest.fixture
def platform(runner):
    """Yield the platform's stand-in, its clock and a client of its list."""
    clock = ManualClock(start=100.0)
    stand_in = PlatformStandIn(clock)

    async def start():
        server, address = await start_server(stand_in.make_application())
        session = aiohttp.ClientSession()
        return server, session, HttpInstanceList(f"http://{address}", 1.0, session)

    server, session, client = runner.run(start())
    yield stand_in, clock, client
    runner.run(session.close())
    runner.run(server.cleanup())


@given("a list of 3 instances that was read once", target_fixture="first")
def read_first(platform, runner):
    stand_in, clock, client = platform
    stand_in.list_instances(_make_instance(number) for number in range(3))
    clock.advance(60.0)
    return runner.run(client.read_instances())


@when(parsers.parse("the list is {change} and the platform is {fault}"))
def change_list(platform, change, fault):
    stand_in, _, _ = platform
    if change == "reduced to 1":
        stand_in.list_instances([_make_instance(0)])
    elif change == "with a duplicate":
        stand_in.list_instances([_make_instance(0), _make_instance(0)])
    stand_in.faults = FAULTS[fault]


@then("the next read gives the same object")
def check_same_object(platform, runner, first):
    assert runner.run(platform[2].read_instances()) is first


@then("the next read gives 1 instance")
def check_one_instance(platform, runner):
    assert len(runner.run(platform[2].read_instances())) == 1


@then(parsers.parse("the next read gives a {error}"))
def check_error(platform, runner, error):
    expected = {
        "PlatformError": PlatformError,
        "PlatformUnavailableError": PlatformUnavailableError,
    }[error]
    with pytest.raises(expected) as caught:
        runner.run(platform[2].read_instances())
    assert type(caught.value) is expected
    assert caught.value.step == "read instance list"
