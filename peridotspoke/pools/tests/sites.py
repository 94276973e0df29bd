"""A small fleet for the tests of pools, and a check of its store history."""

from peridotspoke.declarations import (
    BudgetDeclaration,
    Configuration,
    DeploymentDeclaration,
    MaintenanceDeclaration,
    NeedDeclaration,
    PoolDeclaration,
    ServiceDeclaration,
)
from peridotspoke.exceptions import RecordError
from peridotspoke.pools import INSTANCES_PREFIX, InstanceRecord
from peridotspoke.standins.site import FleetSite, list_machines
from peridotspoke.store import decode_record

MAX_UNAVAILABLE = 2
NEXT_PHASES = {
    "serving": {"serving", "draining"},
    "draining": {"serving", "empty"},
    "empty": {"rebooting", "joining"},
    "rebooting": {"joining"},
    "joining": {"serving"},
}


def make_service(name, instances=8, need=4, spare=False, windows=("00:00-23:59",)):
    """Return a declaration whose availability budget is `MAX_UNAVAILABLE`."""
    return ServiceDeclaration(
        service=name,
        pool=PoolDeclaration(instances=instances, spare=spare),
        need=NeedDeclaration(instances=need),
        budget=BudgetDeclaration(max_unavailable=MAX_UNAVAILABLE),
        maintenance=MaintenanceDeclaration(windows=windows),
    )


def make_configuration():
    """Return a configuration of two pools of eight, of which ``right`` is the spare."""
    services = {
        "left": make_service("left"),
        "right": make_service("right", spare=True),
    }
    return Configuration(1, DeploymentDeclaration(deployment="test"), services)


def make_site(reboot_time=60.0):
    """Return a site of 16 instances in 2 zones with 2 racks each."""
    return FleetSite(
        make_configuration(), list_machines("xy", 2, 4), reboot_time=reboot_time
    )


class HistoryCheck:
    """Checks every change in the store's history and every reboot of a site.

    The check does not use the code that it verifies. It asserts that each phase is
    followed only by an allowed one, that epochs increase by one, that the pool
    changes only from empty to joining, and that planned disruptions stay within the
    availability budget and one rack. On a reboot it asserts that the instance is in
    phase rebooting and has no request in flight.
    """

    def __init__(self, site):
        self.records = {}
        self.interrupted = []
        self._site = site
        self._checked = 0
        self._reboot = site.fleet.reboot
        site.fleet.reboot = self._check_reboot

    def _check_reboot(self, instance, incarnation, now):
        before = self._site.fleet.reboots.get(instance, 0)
        accepted = self._reboot(instance, incarnation, now)
        if self._site.fleet.reboots.get(instance, 0) > before:
            assert self._site.read_records()[instance].phase == "rebooting"
            running = [item.instance for item in self._site.entries.requests]
            assert instance not in running, "a request was interrupted"
        return accepted

    def check(self):
        """Check each change since the last call."""
        history = self._site.store.history
        for change in history[self._checked :]:
            if change.key.startswith(INSTANCES_PREFIX):
                self._check_change(change)
        self._checked = len(history)

    def _check_change(self, change):
        name = change.key.removeprefix(INSTANCES_PREFIX)
        before = self.records.get(name)
        if change.record is None:
            assert before.phase == "serving"
            del self.records[name]
            return
        try:
            after = decode_record(change.record, InstanceRecord).body
        except RecordError:
            return
        self.records[name] = after
        if before is not None:
            assert after.epoch == before.epoch + 1
            assert after.phase in NEXT_PHASES[before.phase]
            joins = (before.phase, after.phase) == ("empty", "joining")
            assert after.pool == before.pool or joins
        self._check_budget(after.pool)

    def _check_budget(self, pool):
        out = [
            record
            for record in self.records.values()
            if record.operation is not None and record.operation.source == pool
            if record.pool == pool
        ]
        assert len(out) <= MAX_UNAVAILABLE, out
        assert len({(record.zone, record.rack) for record in out}) <= 1, out
