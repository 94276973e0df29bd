"""Steps of fleet_faults.feature, run on a manual clock."""

from dataclasses import replace

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.exceptions import (
    PermitRefusedError,
    PlatformError,
)
from peridotspoke.planning import PlannedMove
from peridotspoke.pools import (
    DisruptionLedger,
    IncrementalPlanner,
    Phase,
    key_ledger,
    observe_pools,
)
from peridotspoke.pools.starting import start_planned_work
from peridotspoke.pools.tests.faultscenarios import FAULTS, MAX_SECONDS, FaultScenario
from peridotspoke.pools.tests.sites import make_service
from peridotspoke.store import UsageReport, decode_record, parse_instances

scenarios("fleet_faults.feature")

SECONDS_PER_DAY = 86_400.0
MOVED_INSTANCE = "i0000"


@pytest.fixture
def scenario(runner):
    """Return the state that the steps of one scenario share."""
    return FaultScenario(runner)


@given("two controllers, and every instance due for maintenance")
def make_due(scenario):
    scenario.site.clock.advance(25 * SECONDS_PER_DAY)


@given("two controllers, and a move of one instance from left to right")
def make_move(scenario):
    scenario.planner.moves = (PlannedMove(MOVED_INSTANCE, "left", "right", "wanted"),)


@given("two controllers, and an idle fleet")
def let_fleet_idle(scenario):
    scenario.pass_seconds(20)


@when(parsers.re(r"(?P<fault>.+) while an instance is (?P<phase>\w+)"))
def inject_fault(scenario, fault, phase):
    scenario.wait_for(phase)
    words, _, seconds = fault.partition(" for ")
    duration = float(seconds.removesuffix(" s").split(" ")[0]) if seconds else 0.0
    FAULTS[words](scenario, duration)


def all_serve(scenario):
    records = scenario.site.read_records().values()
    return all(item.phase is Phase.SERVING for item in records)


@then("every instance is maintained, all serve and no rule was violated")
def check_wave(scenario):
    def is_done():
        records = scenario.site.read_records().values()
        return (
            all_serve(scenario)
            and min(item.maintained_at for item in records) > SECONDS_PER_DAY
        )

    assert scenario.pass_seconds(MAX_SECONDS, is_done)
    scenario.pass_seconds(40)
    assert_ledgers_empty(scenario)


def assert_ledgers_empty(scenario):
    for pool in ("left", "right"):
        record = scenario.site.store.records.get(key_ledger(pool))
        ledger = decode_record(record, DisruptionLedger).body if record else None
        assert ledger is None or ledger.disruptions == ()


@then(parsers.parse("the instance serves in {pool} and no rule was violated"))
def check_move(scenario, pool):
    if pool == "left":
        scenario.planner.moves = ()
    scenario.pass_seconds(500)
    assert all_serve(scenario)
    assert scenario.site.read_records()[MOVED_INSTANCE].pool == pool
    assert_ledgers_empty(scenario)


@then("the instance serves again within 10 s and nothing starts in its pool")
def check_cancelled_drain(scenario):
    def serves():
        return scenario.site.read_records()[scenario.instance].phase is Phase.SERVING

    assert scenario.pass_seconds(10, serves)
    assert scenario.site.fleet.reboots.get(scenario.instance) is None
    for _ in range(200):
        scenario.pass_seconds(1)
        records = scenario.site.read_records().values()
        assert all(
            item.phase is Phase.SERVING for item in records if item.pool == "left"
        )


@given("two controllers that both believe that they own a pool")
def make_conflicting_owners(scenario):
    make_due(scenario)
    now = scenario.site.clock.read_monotonic()
    for controller in scenario.site.controllers:
        controller.take_news()
        for entry in scenario.site.entries.members:
            controller.observer.entries.record_report(entry, now, {})


@when(parsers.parse("both request a permit at once, the {order} swap first"))
def take_both_permits(scenario, order):
    """Request permits for two instances of a rack of which only one may be out."""
    left, right = scenario.site.controllers
    actions = list(_begin_two_operations(scenario.site, left))
    outcomes = []

    async def execute(controller, action):
        try:
            await controller.writer.execute(action)
            outcomes.append("granted")
        except PermitRefusedError:
            outcomes.append("refused")

    async def pause(key):
        left.service.pause = None
        await execute(right, actions[1])

    if order == "second":
        left.service.pause = pause
    scenario.run(execute(left, actions[0]))
    if order == "first":
        scenario.run(execute(right, actions[1]))
    scenario.outcomes = outcomes


def _begin_two_operations(site, controller):
    """Yield a `BeginOperation` for each of two instances in one rack."""
    view = controller.observer.make_view(
        frozenset({"left"}), site.clock.read_monotonic(), site.clock.read_wall(), {}
    )
    view = replace(view, warmed_up=True)
    ledger = DisruptionLedger("left")
    condition = observe_pools(view.records.values(), view.listed, 0.0)["left"]
    begin = start_planned_work(view, site.bounds, ledger, condition, site.make_id)[0]
    yield replace(begin, request=replace(begin.request, max_unavailable=1))
    first = begin.record
    rack_peer = next(
        record
        for record in view.records.values()
        if (record.pool, record.rack) == ("left", first.rack) and record != first
    )
    disruption = replace(
        begin.request.disruption,
        instance=rack_peer.instance,
        operation="second",
        record_epoch=rack_peer.epoch,
    )
    yield replace(
        begin,
        record=rack_peer,
        operation=replace(begin.operation, operation="second"),
        request=replace(begin.request, max_unavailable=1, disruption=disruption),
    )


@then("the pool has one disruption for each instance that is out, within its budget")
def check_permits(scenario):
    assert sorted(scenario.outcomes) == ["granted", "refused"]
    ledger = read_ledger(scenario, "left")
    out = [
        item.instance
        for item in scenario.site.read_records().values()
        if item.phase is not Phase.SERVING
    ]
    assert [item.instance for item in ledger.disruptions] == out
    assert len(out) == 1


def read_ledger(scenario, pool):
    return decode_record(
        scenario.site.store.records[key_ledger(pool)], DisruptionLedger
    ).body


@when(
    parsers.parse(
        "the owner is paused for {seconds:d} s between the permit and the drain"
    )
)
def pause_after_permit(scenario, seconds):
    scenario.owner = scenario._find_owner()
    others = [item for item in scenario.site.controllers if item is not scenario.owner]

    async def pause(key):
        if not key.startswith("instances/"):
            return
        scenario.owner.service.pause = None
        scenario.instance = key.removeprefix("instances/")
        scenario.before = scenario.site.read_records()[scenario.instance]
        scenario.planner.moves = ()
        for _ in range(seconds):
            await scenario.site.run_second(others)
        scenario.others = scenario.site.read_records()[scenario.instance]

    scenario.owner.service.pause = pause
    assert scenario.pass_seconds(MAX_SECONDS, lambda: scenario.instance is not None)


@then(parsers.parse("the paused controller's drain {outcome} and no rule was violated"))
def check_fencing(scenario, outcome):
    record = scenario.site.read_records()[scenario.instance]
    if outcome == "takes effect":
        assert scenario.others == scenario.before
        assert record.operation.started_by == scenario.owner.name
    else:
        assert scenario.others.epoch > scenario.before.epoch
        assert record.operation is None or (
            record.operation.started_by != scenario.owner.name
        )
    scenario.pass_seconds(500)
    assert all_serve(scenario)
    assert_ledgers_empty(scenario)


@when(parsers.parse("the controllers receive {given_input} for 60 s"))
def send_invalid_input(scenario, given_input):
    scenario.kept = dict(scenario.site.read_records())
    listed = list(scenario.site.fleet.instances.values())
    invalid_lists = {
        "a list with a duplicate instance": msgspec.json.encode([*listed, listed[0]]),
        "a list that is not JSON": b"[{",
    }
    invalid_records = {
        "an instance record without a pool": (
            f"instances/{MOVED_INSTANCE}",
            b'{"body": {}}',
        ),
        "a ledger that is not JSON": (key_ledger("left"), b"{"),
    }
    if given_input in invalid_lists:
        with pytest.raises(PlatformError) as caught:
            parse_instances(invalid_lists[given_input])
        scenario.site.list_is_up = False
        for controller in scenario.site.controllers:
            for _ in range(3):
                controller.observer.record_list_error(caught.value)
    else:
        key, value = invalid_records[given_input]
        found = scenario.site.store.records.get(key)
        revision = found.revision if found else 0
        scenario.site.store.swap(key, value, revision, 0, 0.0)
    make_due(scenario)
    scenario.changes = len(scenario.site.store.history)
    scenario.pass_seconds(60)


@then(
    parsers.parse(
        "it is counted as {kind}, no instance changes and the last valid value is kept"
    )
)
def check_invalid_input(scenario, kind):
    for controller in scenario.site.controllers:
        assert controller.observer.rejected[kind] >= 1
        assert controller.observer.records.keys() == scenario.kept.keys()
    changed = {
        change.key
        for change in scenario.site.store.history[scenario.changes :]
        if change.key.startswith("instances/")
    }
    invalid_key = f"instances/{MOVED_INSTANCE}" if kind == "record" else ""
    assert invalid_key not in changed
    if kind == "list":
        assert not changed


@when(parsers.parse("the owner of a pool is {fault}"))
def stop_owner(scenario, fault):
    scenario.owner = scenario._find_owner()
    if fault == "killed":
        scenario.site.controllers.remove(scenario.owner)
    scenario.owner.service.down = fault == "partitioned"
    scenario.running = [
        item
        for item in scenario.site.controllers
        if item is not scenario.owner or fault == "partitioned"
    ]


@then(
    parsers.parse(
        "the other controller owns it within {limit:d} s, and both never own it at once"
    )
)
def check_takeover(scenario, limit):
    other = next(item for item in scenario.running if item is not scenario.owner)
    for _ in range(limit):
        scenario.run(scenario.site.run_second(scenario.running))
        held = scenario.owner.process.is_held()
        owned = scenario.owner.controller.list_owned() if held else frozenset()
        assert not owned & other.controller.list_owned()
    assert "left" in other.controller.list_owned()


@when(parsers.parse("{seconds:d} s pass"))
def run_seconds(scenario, seconds):
    scenario.site.store.calls.clear()
    scenario.pass_seconds(seconds)


@then(parsers.parse("the controllers have called the service {count:d} times"))
def check_calls(scenario, count):
    assert scenario.site.store.calls.total() == count


@given("two controllers that plan, and a pool that needs all its instances")
def add_planning_controllers(scenario):
    services = dict(scenario.site.configuration.services)
    services["left"] = make_service("left", need=8)
    scenario.site.configuration = replace(
        scenario.site.configuration, services=services
    )
    scenario.site.controllers.clear()
    for name in ("c2", "c3"):
        scenario.site.add_controller(name, IncrementalPlanner())
    scenario.pass_seconds(20)


@when("every instance is due for maintenance")
def make_due_after_planning(scenario):
    make_due(scenario)


@when(parsers.parse("each instance reports usage that is {fault} for {seconds:d} s"))
def report_usage(scenario, fault, seconds):
    scenario.pass_seconds(300)
    scenario.changes = len(scenario.site.store.history)
    busy = {"negative": -1.0, "missing": None}.get(fault, 0.1)
    age = 3 * 3600 if fault == "three hours old" else 0
    for _ in range(seconds // 30):
        at = scenario.site.clock.read_wall() - age
        reports = tuple(
            UsageReport(name, busy, at) for name in scenario.site.read_records()
        )
        for controller in scenario.site.controllers:
            controller.observer.usage = reports
        scenario.pass_seconds(30)


@then(
    parsers.parse(
        'it is counted as "{reason}" per pool and report, and no instance has moved'
    )
)
def check_usage(scenario, reason):
    owners = [
        item for item in scenario.site.controllers if item.controller.list_owned()
    ]
    assert owners
    for controller in owners:
        counts = controller.planner.get_rejected()
        assert set(counts) == {reason}
        assert counts[reason] == 2 * 30
    history = scenario.site.store.history[scenario.changes :]
    assert not [item for item in history if item.key.startswith("instances/")]
