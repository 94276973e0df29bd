"""A site of two controllers, and the faults that the fleet's scenarios inject."""

from peridotspoke.exceptions import OperationConflictError
from peridotspoke.pools import FixedPlanner
from peridotspoke.pools.tests.sites import HistoryCheck, make_site

__all__ = ["FAULTS", "MAX_SECONDS", "FaultScenario"]

MAX_SECONDS = 3000
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
