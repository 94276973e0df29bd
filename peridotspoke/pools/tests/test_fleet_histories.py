"""Random races, losses and freezes over the records of a small fleet."""

import asyncio
from dataclasses import replace

from hypothesis import (
    settings,
    strategies as st,
)
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from peridotspoke.exceptions import PeerError
from peridotspoke.peers import InFlightReport
from peridotspoke.planning import PlannedMove
from peridotspoke.platform import decode_record
from peridotspoke.pools import INSTANCES_PREFIX, FixedPlanner, InstanceRecord
from peridotspoke.pools.tests.sites import make_configuration
from peridotspoke.standins.site import EntriesStandIn, FleetSite, list_machines

DAY = 86_400.0
FOLLOWERS = {
    "serving": {"serving", "draining"},
    "draining": {"serving", "empty"},
    "empty": {"rebooting", "joining"},
    "rebooting": {"joining"},
    "joining": {"serving"},
}
names = st.sampled_from(["c0", "c1"])
machines = st.sampled_from([f"i{number:04d}" for number in range(16)])
entries = st.sampled_from(["entry-x", "entry-y"])


class _Entries(EntriesStandIn):
    """Entry instances that use what they last saw, within the bounds."""

    def __init__(self, site):
        super().__init__(["x", "y"])
        self.site = site
        self.views = {name: {} for name in self.members}
        self.seen_at = dict.fromkeys(self.members, 0.0)
        self.cut_at = {}
        self.requests = []
        self.all_members = dict(self.members)

    def refresh(self):
        now = self.site.clock.read_monotonic()
        self.requests = [item for item in self.requests if item[2] > now]
        for name in self.views:
            if name not in self.cut_at:
                self.views[name] = read_records(self.site)
                self.seen_at[name] = now
            elif now - self.cut_at[name] > 6.0:
                self.members.pop(name, None)

    def start(self, name, instance, seconds):
        now = self.site.clock.read_monotonic()
        record = self.views[name].get(instance)
        if record is None or record.phase != "serving":
            return
        if record.zone == name[-1] or now - self.seen_at[name] <= 5.0:
            self.requests.append((name, instance, now + seconds))

    async def report_in_flight(self, address, epochs):
        if address in self.cut_at:
            raise PeerError("no answer", step="report", peer=address)
        running = [(name, instance) for name, instance, _ in self.requests]
        return {
            name: InFlightReport(
                running.count((address, name)),
                name in self.views[address]
                and self.views[address][name].epoch >= epoch,
            )
            for name, epoch in epochs.items()
        }


def read_records(site):
    found = site.store.read_prefix(INSTANCES_PREFIX, site.clock.read_monotonic())
    bodies = [decode_record(record, InstanceRecord).body for record in found.records]
    return {body.instance: body for body in bodies}


class FleetHistories(RuleBasedStateMachine):
    """Two controllers, two entry instances, two pools, sixteen instances."""

    @initialize(lag=st.sampled_from([0.0, 30.0]))
    def start(self, lag):
        self.site = FleetSite(make_configuration(), list_machines("xy", 2, 4))
        self.site.entries = _Entries(self.site)
        self.planners = [FixedPlanner(), FixedPlanner()]
        self.controllers = {
            f"c{number}": self.site.add_controller(f"c{number}", planner)
            for number, planner in enumerate(self.planners)
        }
        self.checked = 0
        self.records = {}
        reboot = self.site.fleet.reboot

        def check_reboot(instance, incarnation, now):
            restarts = instance not in self.site.fleet._returns
            if reboot(instance, incarnation, now) and restarts:
                assert read_records(self.site)[instance].phase == "rebooting"
                running = [item[1] for item in self.site.entries.requests]
                assert instance not in running, "a request was interrupted"
            return True

        self.site.fleet.reboot = check_reboot
        self.run_all(3)
        self.site.clock.advance(25 * DAY)
        self.run_all(40)
        self.site.list_lag = lag
        self.check()

    def run_all(self, rounds):
        for _ in range(rounds):
            self.site.clock.advance(1.0)
            self.site.entries.refresh()
            for controller in self.controllers.values():
                asyncio.run(controller.run_round())

    @rule(rounds=st.integers(1, 40))
    def go_on(self, rounds):
        self.run_all(rounds)
        self.check()

    @rule(name=names, lost=st.integers(0, 3), blind=st.booleans())
    def run_one(self, name, lost, blind):
        controller = self.controllers[name]
        controller.blind = blind
        controller.service.lose_answers = lost
        self.site.clock.advance(1.0)
        self.site.entries.refresh()
        asyncio.run(controller.run_round())
        controller.blind = False
        controller.service.lose_answers = 0
        self.check()

    @rule(
        name=names,
        prefix=st.sampled_from(["instances/", "pools/"]),
        rounds=st.integers(1, 60),
        steps=st.integers(1, 5),
    )
    def freeze_before_swap(self, name, prefix, rounds, steps):
        """One controller is paused right before a swap; the other goes on."""
        controller = self.controllers[name]
        others = [item for item in self.controllers.values() if item is not controller]

        async def pause(key):
            if not key.startswith(prefix):
                return
            controller.service.pause = None
            for _ in range(rounds):
                self.site.clock.advance(1.0)
                self.site.entries.refresh()
                for other in others:
                    await other.run_round()

        controller.service.pause = pause
        for _ in range(steps):
            self.run_all(1)
        controller.service.pause = None
        self.check()

    @rule(name=names, down=st.booleans())
    def cut_controller(self, name, down):
        self.controllers[name].service.down = down
        self.controllers[name].blind = down

    @rule(name=entries, cut=st.booleans())
    def cut_entry(self, name, cut):
        stand_in = self.site.entries
        if cut:
            stand_in.cut_at.setdefault(name, self.site.clock.read_monotonic())
        else:
            stand_in.cut_at.pop(name, None)
            stand_in.members[name] = stand_in.all_members[name]
            stand_in.refresh()

    @rule(name=entries, instance=machines, seconds=st.floats(0.1, 10.0))
    def send_request(self, name, instance, seconds):
        self.site.entries.start(name, instance, seconds)

    @rule(instance=machines)
    def fail(self, instance):
        self.site.fleet.fail(instance, self.site.clock.read_monotonic())

    @rule(instance=machines)
    def bring_back(self, instance):
        self.site.fleet.bring_back(instance, self.site.clock.read_monotonic())

    @rule(zone=st.sampled_from("xy"), rack=st.integers(0, 1))
    def fail_rack(self, zone, rack):
        now = self.site.clock.read_monotonic()
        self.site.fleet.fail_rack(zone, f"{zone}-r{rack}", now)

    @rule(
        instance=machines,
        pool=st.sampled_from(["left", "right"]),
        planner=st.integers(0, 1),
    )
    def want_move(self, instance, pool, planner):
        """The two controllers may want the same instance in different pools."""
        source = "right" if pool == "left" else "left"
        move = PlannedMove(instance, source, pool, "wanted by the test")
        self.planners[planner]._moves = (move,)

    def check(self):
        """Check each change of the history that has not been checked."""
        history = self.site.store.history
        for change in history[self.checked :]:
            if change.key.startswith(INSTANCES_PREFIX):
                self.check_change(change)
        self.checked = len(history)

    def check_change(self, change):
        name = change.key.removeprefix(INSTANCES_PREFIX)
        before = self.records.get(name)
        if change.record is None:
            assert before.phase == "serving"
            del self.records[name]
            return
        after = decode_record(change.record, InstanceRecord).body
        self.records[name] = after
        if before is not None:
            assert after.epoch == before.epoch + 1
            assert after.phase in FOLLOWERS[before.phase]
            joins = (before.phase, after.phase) == ("empty", "joining")
            assert after.pool == before.pool or joins
        else:
            assert after.epoch >= self.site.store.history[0].revision
        self.check_budgets(after.pool)

    def check_budgets(self, pool):
        """The planned disruptions of a pool are within its budget and one rack."""
        out = [
            record
            for record in self.records.values()
            if record.operation is not None
            and record.operation.source == pool
            and (record.pool == pool)
        ]
        assert len(out) <= 2, [replace(record) for record in out]
        assert len({(record.zone, record.rack) for record in out}) <= 1


FleetHistories.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
TestFleetHistories = FleetHistories.TestCase
