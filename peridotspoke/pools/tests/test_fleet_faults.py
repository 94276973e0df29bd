"""Steps of fleet_faults.feature, run on a manual clock."""

from dataclasses import replace

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.exceptions import (
    OperationConflictError,
    PermitRefusedError,
    PlatformError,
)
from peridotspoke.planning import PlannedMove
from peridotspoke.pools import (
    DisruptionLedger,
    FixedPlanner,
    IncrementalPlanner,
    Phase,
    key_ledger,
    observe_pools,
)
from peridotspoke.pools.starting import start_planned_work
from peridotspoke.pools.tests.sites import HistoryCheck, make_service, make_site
from peridotspoke.store import UsageReport, decode_record, parse_instances

scenarios("fleet_faults.feature")

SECONDS_PER_DAY = 86_400.0
MAX_SECONDS = 3000
MOVED_INSTANCE = "i0000"
LONGEST_REQUEST = 9.5  # seconds


class FaultScenario:
    """The state of a scenario: the site, its history check and pending recoveries."""

    def __init__(self, runner):
        self.run = runner.run
        self.site = make_site(reboot_time=10.0)
        self.history = HistoryCheck(self.site)
        self.planner = FixedPlanner()
        for name in ("c0", "c1"):
            self.site.add_controller(name, self.planner)
        self.owner = None
        self.instance = None
        self.scheduled = []
        self.pass_seconds(3)

    def pass_seconds(self, seconds, until=lambda: False):
        """Run the site and send requests from each entry instance every second.

        Parameters
        ----------
        seconds : int
        until : callable, optional
            Returns whether to stop early.

        Returns
        -------
        bool
            Whether `until` returned True.
        """
        for _ in range(seconds):
            self.run(self.site.run_second())
            self.history.check()
            self._send_requests()
            now = self.site.clock.read_monotonic()
            for at, end in [item for item in self.scheduled if item[0] <= now]:
                self.scheduled.remove((at, end))
                end()
            if until():
                return True
        return False

    def _send_requests(self):
        records = sorted(self.site.read_records())
        now = round(self.site.clock.read_monotonic())
        for number, entry in enumerate(["entry-x", "entry-y"]):
            for name in records[(now + number) % 3 :: 5]:
                self.site.entries.send(entry, name, 1.5)

    def wait_for(self, phase):
        """Run until an instance of the pool ``left`` is in a phase.

        The phase ``permitted`` stands for a permit taken but not yet used.
        """
        self.owner = self._find_owner()
        if phase == "permitted":
            self._stop_before("instances/")
        assert self.pass_seconds(MAX_SECONDS, lambda: self._has_reached(phase))

    def _find_owner(self):
        owners = self.site.controllers[0].controller.list_owned()
        return self.site.controllers[0 if "left" in owners else 1]

    def _has_reached(self, phase):
        if phase == "permitted":
            return self.instance is not None
        found = [
            item
            for item in self.site.read_records().values()
            if item.phase == phase and item.operation.source == "left"
        ]
        if found:
            self.instance = found[0].instance
        return bool(found)

    def _stop_before(self, prefix):
        """Make the owner's next swap of a key under `prefix` fail.

        The owner does not get past this swap, as if it had been killed there.
        """

        async def pause(key):
            if key.startswith(prefix):
                self.owner.service.pause = None
                self.instance = key.removeprefix(prefix)
                raise OperationConflictError("stopped by the test", peer=key)

        self.owner.service.pause = pause

    def schedule(self, seconds, end):
        """Call `end`, which ends a fault, after `seconds` seconds."""
        self.scheduled.append((self.site.clock.read_monotonic() + seconds, end))


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


def kill_owner(scenario, duration):
    scenario.site.controllers.remove(scenario.owner)


def partition_owner(scenario, duration):
    service = scenario.owner.service
    service.down = True
    scenario.schedule(duration, lambda: setattr(service, "down", False))


def pause_owner(scenario, duration):
    others = [item for item in scenario.site.controllers if item is not scenario.owner]

    async def pause(key):
        scenario.owner.service.pause = None
        for _ in range(int(duration)):
            await scenario.site.run_second(others)

    scenario.owner.service.pause = pause


def freeze_views(scenario, duration):
    for controller in scenario.site.controllers:
        controller.blind = True
    scenario.pass_seconds(5)
    for controller in scenario.site.controllers:
        controller.blind = False


def lose_answers(scenario, duration):
    for controller in scenario.site.controllers:
        controller.service.lose_answers = 2


def stop_service(scenario, duration):
    for controller in scenario.site.controllers:
        partition_controller(scenario, controller, duration)


def partition_controller(scenario, controller, duration):
    controller.service.down = True
    scenario.schedule(duration, lambda: setattr(controller.service, "down", False))


def delay_list(scenario, duration):
    scenario.site.list_lag = 60.0


def make_list_unreadable(scenario, duration):
    scenario.site.list_is_up = False
    scenario.schedule(duration, lambda: setattr(scenario.site, "list_is_up", True))


def get_entry_name(scenario, same_zone):
    zone = scenario.site.read_records()[scenario.instance].zone
    return f"entry-{zone if same_zone else 'xy'.replace(zone, '')}"


def partition_remote_entry(scenario, duration):
    partition_entry(scenario, get_entry_name(scenario, same_zone=False), duration)


def partition_local_entry(scenario, duration):
    partition_entry(scenario, get_entry_name(scenario, same_zone=True), duration)


def partition_entry(scenario, name, duration):
    scenario.site.entries.cut(name)
    scenario.schedule(duration, lambda: scenario.site.entries.join(name))


def kill_entry(scenario, duration):
    name = get_entry_name(scenario, same_zone=True)
    scenario.site.entries.kill(name)
    scenario.schedule(duration, lambda: scenario.site.entries.join(name))


def run_long_requests(scenario, duration):
    for name in scenario.site.read_records():
        for entry in ("entry-x", "entry-y"):
            scenario.site.entries.send(entry, name, LONGEST_REQUEST)


def lose_instance(scenario, duration):
    now = scenario.site.clock.read_monotonic()
    scenario.site.fleet.fail(scenario.instance, now)
    bring_back(scenario, [scenario.instance], duration)


def fail_rack(scenario, duration):
    """Fail a rack other than that of the instance."""
    here = scenario.site.read_records()[scenario.instance]
    racks = {(item.zone, item.rack) for item in scenario.site.read_records().values()}
    zone, rack = min(racks - {(here.zone, here.rack)})
    lost = scenario.site.fleet.fail_rack(
        zone, rack, scenario.site.clock.read_monotonic()
    )
    bring_back(scenario, lost, duration)


def bring_back(scenario, lost, duration):
    def end():
        now = scenario.site.clock.read_monotonic()
        for name in lost:
            scenario.site.fleet.bring_back(name, now)

    scenario.schedule(duration, end)


FAULTS = {
    "the owner is killed": kill_owner,
    "the owner is partitioned": partition_owner,
    "the owner is paused": pause_owner,
    "both controllers act on an old view": freeze_views,
    "the answers to the next 2 swaps are lost": lose_answers,
    "the service is down": stop_service,
    "the list lags by 60 s": delay_list,
    "the list cannot be read": make_list_unreadable,
    "an entry instance of another zone is partitioned": partition_remote_entry,
    "an entry instance of the same zone is partitioned": partition_local_entry,
    "an entry instance of the same zone is killed": kill_entry,
    "the longest requests are running": run_long_requests,
    "it vanishes": lose_instance,
    "a rack fails": fail_rack,
}


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
