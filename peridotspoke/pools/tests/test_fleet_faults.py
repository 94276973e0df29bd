"""A fleet under faults, case by case, on a manual clock."""

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

DAY = 86_400.0
MOST_SECONDS = 3000
MOVED = "i0000"
REQUEST = 9.5  # seconds


class Story:
    """A site, its checks, and the steps of a scenario."""

    def __init__(self, runner):
        self.run = runner.run
        self.site = make_site(reboot_time=10.0)
        self.history = HistoryCheck(self.site)
        self.planner = FixedPlanner()
        for name in ("c0", "c1"):
            self.site.add_controller(name, self.planner)
        self.owner = None
        self.instance = None
        self.ends = []
        self.pass_seconds(3)

    def pass_seconds(self, seconds, until=lambda: False):
        """Run on, with a request from each entry to some instance each second."""
        for _ in range(seconds):
            self.run(self.site.run_second())
            self.history.check()
            self._send_requests()
            now = self.site.clock.read_monotonic()
            for at, end in [item for item in self.ends if item[0] <= now]:
                self.ends.remove((at, end))
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
        """Run on until the owner's first instance is in a phase."""
        self.owner = self._find_owner()
        if phase == "permitted":
            self._stop_before("instances/")
        assert self.pass_seconds(MOST_SECONDS, lambda: self._reached(phase))

    def _find_owner(self):
        owners = self.site.controllers[0].controller.list_owned()
        return self.site.controllers[0 if "left" in owners else 1]

    def _reached(self, phase):
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
        """Stop the owner's next swap of a key; it fails there as if it were gone."""

        async def pause(key):
            if key.startswith(prefix):
                self.owner.service.pause = None
                self.instance = key.removeprefix(prefix)
                raise OperationConflictError("stopped by the test", peer=key)

        self.owner.service.pause = pause

    def later(self, seconds, end):
        """Undo a fault after some seconds."""
        self.ends.append((self.site.clock.read_monotonic() + seconds, end))


@pytest.fixture
def story(runner):
    """Return the story of one scenario."""
    return Story(runner)


@given("two controllers, and every instance due for maintenance")
def make_due(story):
    story.site.clock.advance(25 * DAY)


@given("two controllers, and a move of one instance from left to right")
def make_move(story):
    story.planner.moves = (PlannedMove(MOVED, "left", "right", "wanted"),)


@given("two controllers, and a fleet at rest")
def rest(story):
    story.pass_seconds(20)


@when(parsers.re(r"(?P<fault>.+) while an instance is (?P<phase>\w+)"))
def strike(story, fault, phase):
    story.wait_for(phase)
    words, _, seconds = fault.partition(" for ")
    length = float(seconds.removesuffix(" s").split(" ")[0]) if seconds else 0.0
    FAULTS[words](story, length)


def kill_owner(story, length):
    story.site.controllers.remove(story.owner)


def cut_owner(story, length):
    service = story.owner.service
    service.down = True
    story.later(length, lambda: setattr(service, "down", False))


def freeze_owner(story, length):
    others = [item for item in story.site.controllers if item is not story.owner]

    async def pause(key):
        story.owner.service.pause = None
        for _ in range(int(length)):
            await story.site.run_second(others)

    story.owner.service.pause = pause


def age_views(story, length):
    for controller in story.site.controllers:
        controller.blind = True
    story.pass_seconds(5)
    for controller in story.site.controllers:
        controller.blind = False


def lose_answers(story, length):
    for controller in story.site.controllers:
        controller.service.lose_answers = 2


def stop_service(story, length):
    for controller in story.site.controllers:
        cut_owner_of(story, controller, length)


def cut_owner_of(story, controller, length):
    controller.service.down = True
    story.later(length, lambda: setattr(controller.service, "down", False))


def lag_list(story, length):
    story.site.list_lag = 60.0


def hide_list(story, length):
    story.site.list_is_up = False
    story.later(length, lambda: setattr(story.site, "list_is_up", True))


def name_entry(story, near):
    zone = story.site.read_records()[story.instance].zone
    return f"entry-{zone if near else 'xy'.replace(zone, '')}"


def cut_far_entry(story, length):
    cut_entry(story, name_entry(story, near=False), length)


def cut_near_entry(story, length):
    cut_entry(story, name_entry(story, near=True), length)


def cut_entry(story, name, length):
    story.site.entries.cut(name)
    story.later(length, lambda: story.site.entries.join(name))


def kill_entry(story, length):
    name = name_entry(story, near=True)
    story.site.entries.kill(name)
    story.later(length, lambda: story.site.entries.join(name))


def run_long_requests(story, length):
    for name in story.site.read_records():
        for entry in ("entry-x", "entry-y"):
            story.site.entries.send(entry, name, REQUEST)


def lose_instance(story, length):
    now = story.site.clock.read_monotonic()
    story.site.fleet.fail(story.instance, now)
    bring_back(story, [story.instance], length)


def fail_rack(story, length):
    """Let another rack fail than that of the instance."""
    here = story.site.read_records()[story.instance]
    racks = {(item.zone, item.rack) for item in story.site.read_records().values()}
    zone, rack = min(racks - {(here.zone, here.rack)})
    lost = story.site.fleet.fail_rack(zone, rack, story.site.clock.read_monotonic())
    bring_back(story, lost, length)


def bring_back(story, lost, length):
    def end():
        now = story.site.clock.read_monotonic()
        for name in lost:
            story.site.fleet.bring_back(name, now)

    story.later(length, end)


FAULTS = {
    "the owner is killed": kill_owner,
    "the owner is cut off": cut_owner,
    "the owner freezes": freeze_owner,
    "both controllers act on an old view": age_views,
    "the next 2 swaps lose their answers": lose_answers,
    "the service is down": stop_service,
    "the list lags by 60 s": lag_list,
    "the list can't be read": hide_list,
    "an entry of another zone is cut off": cut_far_entry,
    "an entry of the same zone is cut off": cut_near_entry,
    "an entry of the same zone is killed": kill_entry,
    "the longest requests are running": run_long_requests,
    "it vanishes": lose_instance,
    "a rack fails": fail_rack,
}


def all_serve(story):
    records = story.site.read_records().values()
    return all(item.phase is Phase.SERVING for item in records)


@then("every instance is maintained, all serve and nothing was violated")
def check_wave(story):
    def is_done():
        records = story.site.read_records().values()
        return all_serve(story) and min(item.maintained_at for item in records) > DAY

    assert story.pass_seconds(MOST_SECONDS, is_done)
    story.pass_seconds(40)
    assert_ledgers_empty(story)


def assert_ledgers_empty(story):
    for pool in ("left", "right"):
        record = story.site.store.records.get(key_ledger(pool))
        ledger = decode_record(record, DisruptionLedger).body if record else None
        assert ledger is None or ledger.disruptions == ()


@then(parsers.parse("the instance serves in {pool} and nothing was violated"))
def check_move(story, pool):
    if pool == "left":
        story.planner.moves = ()
    story.pass_seconds(500)
    assert all_serve(story)
    assert story.site.read_records()[MOVED].pool == pool
    assert_ledgers_empty(story)


@then("the instance serves again within 10 s and nothing starts in its pool")
def check_stop(story):
    def serves():
        return story.site.read_records()[story.instance].phase is Phase.SERVING

    assert story.pass_seconds(10, serves)
    assert story.site.fleet.reboots.get(story.instance) is None
    for _ in range(200):
        story.pass_seconds(1)
        records = story.site.read_records().values()
        assert all(
            item.phase is Phase.SERVING for item in records if item.pool == "left"
        )


@given("two controllers that both believe that they own a pool")
def make_rivals(story):
    make_due(story)
    now = story.site.clock.read_monotonic()
    for controller in story.site.controllers:
        controller.take_news()
        for entry in story.site.entries.members:
            controller.observer.entries.take_report(entry, now, {})


@when(parsers.parse("both take a permit at once, the {order} swap first"))
def race(story, order):
    """Each wants another instance of one rack where only one may be out."""
    left, right = story.site.controllers
    actions = list(_wish_two(story.site, left))
    outcomes = []

    async def carry_out(controller, action):
        try:
            await controller.writer.carry_out(action)
            outcomes.append("granted")
        except PermitRefusedError:
            outcomes.append("refused")

    async def pause(key):
        left.service.pause = None
        await carry_out(right, actions[1])

    if order == "second":
        left.service.pause = pause
    story.run(carry_out(left, actions[0]))
    if order == "first":
        story.run(carry_out(right, actions[1]))
    story.outcomes = outcomes


def _wish_two(site, controller):
    """Yield the start of maintenance of two instances in one rack."""
    view = controller.observer.make_view(
        frozenset({"left"}), site.clock.read_monotonic(), site.clock.read_wall(), {}
    )
    view = replace(view, settled=True)
    ledger = DisruptionLedger("left")
    condition = observe_pools(view.records.values(), view.listed, 0.0)["left"]
    begin = start_planned_work(view, site.bounds, ledger, condition, site.make_id)[0]
    yield replace(begin, request=replace(begin.request, max_unavailable=1))
    first = begin.record
    mate = next(
        record
        for record in view.records.values()
        if (record.pool, record.rack) == ("left", first.rack) and record != first
    )
    disruption = replace(
        begin.request.disruption,
        instance=mate.instance,
        operation="second",
        record_epoch=mate.epoch,
    )
    yield replace(
        begin,
        record=mate,
        operation=replace(begin.operation, operation="second"),
        request=replace(begin.request, max_unavailable=1, disruption=disruption),
    )


@then("the pool has one disruption for each instance that is out, within its budget")
def check_race(story):
    assert sorted(story.outcomes) == ["granted", "refused"]
    ledger = read_ledger(story, "left")
    out = [
        item.instance
        for item in story.site.read_records().values()
        if item.phase is not Phase.SERVING
    ]
    assert [item.instance for item in ledger.disruptions] == out
    assert len(out) == 1


def read_ledger(story, pool):
    return decode_record(
        story.site.store.records[key_ledger(pool)], DisruptionLedger
    ).body


@when(
    parsers.parse(
        "the owner freezes for {seconds:d} s between the permit and the drain"
    )
)
def freeze_between(story, seconds):
    story.owner = story._find_owner()
    others = [item for item in story.site.controllers if item is not story.owner]

    async def pause(key):
        if not key.startswith("instances/"):
            return
        story.owner.service.pause = None
        story.instance = key.removeprefix("instances/")
        story.before = story.site.read_records()[story.instance]
        story.planner.moves = ()
        for _ in range(seconds):
            await story.site.run_second(others)
        story.others = story.site.read_records()[story.instance]

    story.owner.service.pause = pause
    assert story.pass_seconds(MOST_SECONDS, lambda: story.instance is not None)


@then(parsers.parse("the frozen controller's drain {outcome} and nothing was violated"))
def check_fence(story, outcome):
    record = story.site.read_records()[story.instance]
    if outcome == "takes effect":
        assert story.others == story.before
        assert record.operation.started_by == story.owner.name
    else:
        assert story.others.epoch > story.before.epoch
        assert record.operation is None or (
            record.operation.started_by != story.owner.name
        )
    story.pass_seconds(500)
    assert all_serve(story)
    assert_ledgers_empty(story)


@when(parsers.parse("the controllers meet {given_input} for 60 s"))
def meet_bad_input(story, given_input):
    story.kept = dict(story.site.read_records())
    listed = list(story.site.fleet.instances.values())
    bad_lists = {
        "a list with a doubled instance": msgspec.json.encode([*listed, listed[0]]),
        "a list that is not JSON": b"[{",
    }
    bad_records = {
        "an instance record without a pool": (f"instances/{MOVED}", b'{"body": {}}'),
        "a ledger that is not JSON": (key_ledger("left"), b"{"),
    }
    if given_input in bad_lists:
        with pytest.raises(PlatformError) as caught:
            parse_instances(bad_lists[given_input])
        story.site.list_is_up = False
        for controller in story.site.controllers:
            for _ in range(3):
                controller.observer.reject_list(caught.value)
    else:
        key, value = bad_records[given_input]
        found = story.site.store.records.get(key)
        revision = found.revision if found else 0
        story.site.store.swap(key, value, revision, 0, 0.0)
    make_due(story)
    story.changes = len(story.site.store.history)
    story.pass_seconds(60)


@then(
    parsers.parse(
        "it is counted as {kind}, no instance changes and the last good value is kept"
    )
)
def check_bad_input(story, kind):
    for controller in story.site.controllers:
        assert controller.observer.rejected[kind] >= 1
        assert controller.observer.records.keys() == story.kept.keys()
    changed = {
        change.key
        for change in story.site.store.history[story.changes :]
        if change.key.startswith("instances/")
    }
    bad = f"instances/{MOVED}" if kind == "record" else ""
    assert bad not in changed
    if kind == "list":
        assert not changed


@when(parsers.parse("the owner of a pool is {fault}"))
def lose_owner(story, fault):
    story.owner = story._find_owner()
    if fault == "killed":
        story.site.controllers.remove(story.owner)
    story.owner.service.down = fault == "cut off"
    story.running = [
        item
        for item in story.site.controllers
        if item is not story.owner or fault == "cut off"
    ]


@then(
    parsers.parse("the other one owns it within {limit:d} s, and never do both own it")
)
def check_takeover(story, limit):
    other = next(item for item in story.running if item is not story.owner)
    for _ in range(limit):
        story.run(story.site.run_second(story.running))
        held = story.owner.process.is_held()
        owned = story.owner.controller.list_owned() if held else frozenset()
        assert not owned & other.controller.list_owned()
    assert "left" in other.controller.list_owned()


@when(parsers.parse("{seconds:d} s pass"))
def let_pass(story, seconds):
    story.site.store.calls.clear()
    story.pass_seconds(seconds)


@then(parsers.parse("the controllers have called the service {count:d} times"))
def check_calls(story, count):
    assert story.site.store.calls.total() == count


@given("two controllers that plan, and a pool that needs all its instances")
def start_planning(story):
    services = dict(story.site.configuration.services)
    services["left"] = make_service("left", need=8)
    story.site.configuration = replace(story.site.configuration, services=services)
    story.site.controllers.clear()
    for name in ("c2", "c3"):
        story.site.add_controller(name, IncrementalPlanner())
    story.pass_seconds(20)


@when("every instance is due for maintenance")
def become_due(story):
    make_due(story)


@when(parsers.parse("each instance reports usage that is {fault} for {seconds:d} s"))
def report_usage(story, fault, seconds):
    story.pass_seconds(300)
    story.changes = len(story.site.store.history)
    busy = {"negative": -1.0, "missing": None}.get(fault, 0.1)
    age = 3 * 3600 if fault == "three hours old" else 0
    for _ in range(seconds // 30):
        at = story.site.clock.read_wall() - age
        reports = tuple(
            UsageReport(name, busy, at) for name in story.site.read_records()
        )
        for controller in story.site.controllers:
            controller.observer.usage = reports
        story.pass_seconds(30)


@then(
    parsers.parse(
        'it is counted as "{reason}" and told once, and no instance has moved'
    )
)
def check_usage(story, reason):
    owners = [item for item in story.site.controllers if item.controller.list_owned()]
    assert owners
    for controller in owners:
        counts = controller.planner.get_rejected()
        assert set(counts) == {reason}
        assert counts[reason] == 2 * 30
    history = story.site.store.history[story.changes :]
    assert not [item for item in history if item.key.startswith("instances/")]
