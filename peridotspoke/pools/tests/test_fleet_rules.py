"""Steps of fleet_rules.feature: permits, drains, windows and adoption."""

from collections import Counter
from dataclasses import replace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.declarations import MaintenanceDeclaration
from peridotspoke.pools import (
    Disruption,
    DisruptionLedger,
    DrainBounds,
    EntryView,
    InFlight,
    InstanceRecord,
    OperationKind,
    PermitRequest,
    Phase,
    Refusal,
    choose_adoptions,
    decide_drain,
    decide_permit,
    forecast_late,
    is_in_window,
    is_zone_responsive,
    next_opening,
    observe_pools,
)
from peridotspoke.pools.tests.sites import make_configuration
from peridotspoke.standins.site import list_machines

scenarios("fleet_rules.feature")

SECONDS_PER_HOUR = 3600.0
NOW = 1000.0
BOUNDS = DrainBounds(max_view_age=5.0, max_request_time=10.0, answer_timeout=3.0)


@pytest.fixture
def case():
    """Return a dict for the state that the steps of one scenario share."""
    return {}


@given(parsers.parse("a pool of 8 in {racks:d} racks that needs {need:d}"))
def make_pool(case, racks, need):
    case["machines"] = list_machines("x", racks, 8 // racks)
    case["need"] = need


@given(parsers.parse("the instances {out} are out by {cause}"))
def make_unavailable(case, out, cause):
    names = set() if out == "none" else set(out.split(","))
    records = [
        InstanceRecord(item.instance, "left", Phase.SERVING, 1, item.zone, item.rack)
        for item in case["machines"]
    ]
    if cause == "phase":
        records = [
            replace(item, phase=Phase.JOINING) if item.instance in names else item
            for item in records
        ]
    failed = names if cause == "failure" else ()
    case["listed"] = {
        item.instance: item for item in case["machines"] if item.instance not in failed
    }
    case["records"] = records
    held = names if cause == "permit" else ()
    case["ledger"] = DisruptionLedger("left", tuple(map(make_disruption, held)))


def make_disruption(name):
    return Disruption(name, f"op-{name}", OperationKind.MAINTENANCE, "test", 0.0, 1)


@when(parsers.parse("a permit for {wanted} is requested on a view of age {age:g}"))
def request_permit(case, wanted, age):
    condition = observe_pools(case["records"], case["listed"], age)["left"]
    request = PermitRequest(
        replace(make_disruption(wanted), operation="wanted"), 2, case["need"], 90.0
    )
    case["decision"] = decide_permit(case["ledger"], condition, request)


@then(parsers.parse("it is {decision}"))
def check_permit(case, decision):
    found = case["decision"]
    if decision == "granted":
        assert found.find("wanted") is not None, found
    else:
        assert isinstance(found, Refusal)
        assert decision.removeprefix("refused: ") in found.reason


@given(
    parsers.parse("an instance of zone x that has been draining for {since:g} seconds")
)
def make_draining_record(case, since):
    case["record"] = InstanceRecord("i", "left", Phase.DRAINING, 7, "x", "r")
    case["since"] = NOW - since


@given(
    parsers.parse("entry instances that report {near} in zone x and {far} in zone y")
)
def make_entries(case, near, far):
    case["entries"] = [
        make_entry(zone, answer, case["since"])
        for zone, answer in (("x", near), ("y", far))
        if answer != "none"
    ]


def make_entry(zone, answer, since):
    """Return the `EntryView` of an entry instance with the given report.

    A silent one stopped answering around the start of the drain.
    """
    answer, _, running = answer.partition(" ")
    if answer in ("silent", "vanished"):
        answered_call_at = since - (
            3.5 if answer == "vanished" or since == NOW else 0.5
        )
        return EntryView(zone, zone, answered_call_at, answer == "silent")
    if answer == "early":
        return EntryView(zone, zone, since - 0.1, True, {"i": InFlight(7, 0)})
    report = InFlight(7 if answer == "seen" else 6, int(running))
    return EntryView(zone, zone, NOW, True, {"i": report})


@when("the drain is decided")
def decide(case):
    case["verdict"] = decide_drain(
        case["record"], case["since"], case["entries"], NOW, BOUNDS
    )


@then(parsers.parse("the verdict is {verdict}"))
def check_verdict(case, verdict):
    assert case["verdict"] == verdict


@then(parsers.parse("zone x is {state}"))
def check_responsive(case, state):
    responsive = is_zone_responsive("x", case["entries"], NOW, BOUNDS)
    assert responsive is (state == "responsive")


def parse_time(text):
    if text in ("never", "none"):
        return float("inf")
    hours, minutes = text.split(":")
    return int(hours) * SECONDS_PER_HOUR + int(minutes) * 60


@then(
    parsers.parse(
        "the window {window} is {state} at {time} and opens next at {opening}"
    )
)
def check_window(window, state, time, opening):
    now = parse_time(time)
    assert is_in_window([window], now) is (state == "open")
    assert next_opening([window], now) == parse_time(opening)


@given(
    parsers.parse("{due:d} instances maintained {days:g} days ago, 600 seconds each")
)
def make_due(case, due, days):
    case["due"], case["days"] = due, days


@when(parsers.parse("the forecast is made at {time} for the window {window}"))
def forecast(case, time, window):
    now = parse_time(time) + 100 * 24 * SECONDS_PER_HOUR
    records = [
        InstanceRecord(
            f"i{n}", "left", Phase.SERVING, 1, maintained_at=now - case["days"] * 86400
        )
        for n in range(case["due"])
    ]
    maintenance = MaintenanceDeclaration(28, (window,))
    case["late"] = forecast_late(records, maintenance, 600.0, now, "")


@then(parsers.parse("{late:d} are late, the first at {earliest}"))
def check_late(case, late, earliest):
    assert len(case["late"]) == late
    if late:
        assert case["late"][0].earliest_at - 100 * 24 * SECONDS_PER_HOUR == parse_time(
            earliest
        )
        assert case["late"][0].reason


@when(parsers.parse("{count:d} instances in 2 zones with 2 racks each are adopted"))
def adopt(case, count):
    machines = list_machines("xy", 2, count // 4)
    services = make_configuration().services
    case["machines"] = {item.instance: item for item in machines}
    case["adoptions"] = choose_adoptions(machines, [], services)


@then("each pool has its declared size and 2 in each rack")
def check_spread(case):
    racks = Counter(
        (item.pool, case["machines"][item.instance].rack) for item in case["adoptions"]
    )
    assert set(racks.values()) == {2}
    assert len(racks) == 8


@then(parsers.parse("the spare pool has {count:d} instances"))
def check_spare(case, count):
    pools = Counter(item.pool for item in case["adoptions"])
    assert pools == {"left": 8, "right": count}
