"""Random races, lost answers, pauses and failures in a small fleet."""

import asyncio

from hypothesis import (
    settings,
    strategies as st,
)
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from peridotspoke.planning import PlannedMove
from peridotspoke.pools import FixedPlanner
from peridotspoke.pools.tests.sites import HistoryCheck, make_site

SECONDS_PER_DAY = 86_400.0
names = st.sampled_from(["c0", "c1"])
machines = st.sampled_from([f"i{number:04d}" for number in range(16)])
entries = st.sampled_from(["entry-x", "entry-y"])


class FleetHistories(RuleBasedStateMachine):
    """A fleet of two controllers, two entry instances, two pools and 16 instances."""

    @initialize(lag=st.sampled_from([0.0, 30.0]))
    def start(self, lag):
        self.site = make_site()
        self.planners = [FixedPlanner(), FixedPlanner()]
        self.controllers = {
            f"c{number}": self.site.add_controller(f"c{number}", planner)
            for number, planner in enumerate(self.planners)
        }
        self.history = HistoryCheck(self.site)
        self.run_all(3)
        self.site.clock.advance(25 * SECONDS_PER_DAY)
        self.run_all(40)
        self.site.list_lag = lag
        self.history.check()

    def run_all(self, rounds):
        for _ in range(rounds):
            asyncio.run(self.site.run_second())

    @rule(rounds=st.integers(1, 40))
    def run_rounds(self, rounds):
        self.run_all(rounds)
        self.history.check()

    @rule(name=names, lost=st.integers(0, 3), blind=st.booleans())
    def run_one(self, name, lost, blind):
        controller = self.controllers[name]
        controller.blind = blind
        controller.service.lose_answers = lost
        asyncio.run(self.site.run_second([controller]))
        controller.blind = False
        controller.service.lose_answers = 0
        self.history.check()

    @rule(
        name=names,
        prefix=st.sampled_from(["instances/", "pools/"]),
        rounds=st.integers(1, 60),
        steps=st.integers(1, 5),
    )
    def pause_before_swap(self, name, prefix, rounds, steps):
        """One controller is paused just before a swap while the other continues."""
        controller = self.controllers[name]
        others = [item for item in self.controllers.values() if item is not controller]

        async def pause(key):
            if key.startswith(prefix):
                controller.service.pause = None
                for _ in range(rounds):
                    await self.site.run_second(others)

        controller.service.pause = pause
        self.run_all(steps)
        controller.service.pause = None
        self.history.check()

    @rule(name=names, down=st.booleans())
    def partition_controller(self, name, down):
        self.controllers[name].service.down = down

    @rule(name=entries, cut=st.booleans())
    def cut_entry(self, name, cut):
        act = self.site.entries.cut if cut else self.site.entries.join
        act(name)

    @rule(name=entries, instance=machines, seconds=st.floats(0.1, 10.0))
    def send_request(self, name, instance, seconds):
        self.site.entries.send(name, instance, seconds)

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
    def plan_move(self, instance, pool, planner):
        """The controllers may plan to move one instance to different pools."""
        source = "right" if pool == "left" else "left"
        move = PlannedMove(instance, source, pool, "wanted by the test")
        self.planners[planner].moves = (move,)


FleetHistories.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
TestFleetHistories = FleetHistories.TestCase
