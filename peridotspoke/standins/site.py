"""Simulates the pools of a deployment on a manual clock, in one process."""

import itertools
import random
from dataclasses import dataclass

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import OperationConflictError, RecordError
from peridotspoke.identities import make_operation_id
from peridotspoke.peers import MemberRecord
from peridotspoke.pools import (
    INSTANCES_PREFIX,
    OWNERS_PREFIX,
    POOLS_PREFIX,
    DrainBounds,
    FleetController,
    FleetObserver,
    FleetWriter,
    InstanceRecord,
    ProcessIdentity,
    RoundBounds,
)
from peridotspoke.standins.entries import LEASE_TTL, EntriesStandIn
from peridotspoke.standins.fleet import FleetStandIn
from peridotspoke.standins.local import FaultyKeyValueService
from peridotspoke.standins.store import StoreStandIn
from peridotspoke.store import InstanceActions, ListedInstance, decode_record
from peridotspoke.store.keyvalue import Change

__all__ = [
    "FleetSite",
    "SiteController",
    "list_machines",
]

PREFIXES = (INSTANCES_PREFIX, POOLS_PREFIX, OWNERS_PREFIX)
BOUNDS = RoundBounds(
    DrainBounds(max_view_age=5.0, max_request_time=10.0, answer_timeout=3.0)
)


def list_machines(zones, racks, in_rack, prefix="i"):
    """Return live machines that are spread evenly over zones and racks.

    Parameters
    ----------
    zones : list of str
        Names of the availability zones.
    racks : int
        Number of racks in each zone.
    in_rack : int
        Number of machines in each rack.
    prefix : str, optional
        Prefix of the names of the instances.

    Returns
    -------
    list of ListedInstance
        The machines, numbered from 0.
    """
    positions = itertools.product(zones, range(racks), range(in_rack))
    return [
        ListedInstance(
            instance=f"{prefix}{number:04d}",
            zone=zone,
            rack=f"{zone}-r{rack}",
            state="live",
            incarnation=1,
            executor="127.0.0.1:1",
        )
        for number, (zone, rack, _) in enumerate(positions)
    ]


class _FleetActions(InstanceActions):
    """Drains and reboots the instances of a `FleetStandIn`."""

    def __init__(self, fleet, clock):
        self._fleet = fleet
        self._clock = clock

    async def drain(self, instance, incarnation):
        """Mark the instance as leaving."""
        self._apply(self._fleet.drain, instance, incarnation)

    async def reboot(self, instance, incarnation):
        """Start a reboot of the instance."""
        self._apply(self._fleet.reboot, instance, incarnation)

    def _apply(self, action, instance, incarnation):
        if not action(instance, incarnation, self._clock.read_monotonic()):
            raise OperationConflictError(
                f"incarnation {incarnation} is no longer current",
                step="act",
                peer=instance,
            )


class _SiteProcess(ProcessIdentity):
    def __init__(self, name, clock):
        self.name = name
        self.incarnation = 1
        self.lease = None
        self.clock = clock

    @property
    def lease_id(self):
        return self.lease.lease_id

    def is_held(self):
        return self.lease.is_held(self.clock.read_monotonic())


class SiteController:
    """A controller of a `FleetSite`, with its own faults and its own view.

    Parameters
    ----------
    site : FleetSite
        Site that the controller manages.
    name : str
        Name of the controller.
    planner : MovePlanner
        Planner of the moves between pools.

    Attributes
    ----------
    service : FaultyKeyValueService
        The controller's client of the store.
    blind : bool
        Whether rounds run without updates of the controller's view.
    """

    def __init__(self, site, name, planner):
        self.name = name
        self.service = FaultyKeyValueService(site.store, site.clock)
        self.blind = False
        self.planner = planner
        self._site = site
        self._changes_read = 0
        self.process = _SiteProcess(name, site.clock)
        self._renew(0)
        self.observer = FleetObserver(name, site.bounds)
        self.observer.configuration = site.configuration
        self.writer = FleetWriter(
            self.service, site.actions, site.clock, name, site.make_id
        )
        self.controller = FleetController(
            observer=self.observer,
            writer=self.writer,
            service=self.service,
            process=self.process,
            in_flight_source=site.entries,
            planner=planner,
            clock=site.clock,
            bounds=site.bounds,
            make_id=site.make_id,
        )

    def _renew(self, lease_id):
        now = self._site.clock.read_monotonic()
        if not lease_id or not self._site.store.renew_lease(lease_id, now):
            lease_id = self._site.store.grant_lease(self._site.lease_ttl, now)
        self.process.lease = _Lease(lease_id, now + self._site.lease_ttl)

    async def run_round(self, renews=True):
        """Renew the lease if `renews`, update the view and run a round."""
        if renews and not self.service.down:
            self._renew(self.process.lease_id)
        if not self.blind and not self.service.down:
            self.take_news()
        await self.controller.run_round()

    def take_news(self):
        """Read the changes of the store, the instance list and the members."""
        site, now = self._site, self._site.clock.read_monotonic()
        site.store.expire_leases(now)
        for change in self._list_changes():
            if change.key.startswith(PREFIXES):
                self.controller.take_record(change.key, change.record)
        if site.list_is_up:
            listed = site.fleet.read_list(now - site.list_lag)
            self.observer.take_list(listed, now)
        self.controller.take_members(site.list_members())

    def _list_changes(self) -> list[Change]:
        history = self._site.store.history
        changes, self._changes_read = history[self._changes_read :], len(history)
        return changes


@dataclass(frozen=True, slots=True)
class _Lease:
    lease_id: int
    ends_at: float

    def is_held(self, now):
        return now < self.ends_at


class FleetSite:
    """Simulates a store, instances, entry instances and controllers.

    All of them share one manual clock.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    machines : list of ListedInstance
        The instances at the start.
    seed : int, optional
        Seed of the operation IDs.
    bounds : RoundBounds, optional
        Time limits of the controllers.
    reboot_time : float, optional
        Duration of a reboot in seconds.
    lease_ttl : float, optional
        Time to live of the controllers' leases in seconds.

    Attributes
    ----------
    list_lag : float
        Age in seconds of the instance list that the controllers read.
    list_is_up : bool
        Whether the controllers can read the instance list.
    """

    def __init__(
        self,
        configuration,
        machines,
        seed=1,
        bounds=BOUNDS,
        reboot_time=60.0,
        lease_ttl=LEASE_TTL,
    ):
        self.clock = ManualClock()
        self.clock.advance(1.0)
        self.store = StoreStandIn()
        self.fleet = FleetStandIn(reboot_time)
        self.fleet.replace_instances(machines, 0.0)
        self.actions = _FleetActions(self.fleet, self.clock)
        self.entries = EntriesStandIn(
            sorted({item.zone for item in machines}), bounds.drain, self.read_records
        )
        self.configuration = configuration
        self.bounds = bounds
        self.lease_ttl = lease_ttl
        self.list_lag = 0.0
        self.list_is_up = True
        self.controllers = []
        self._random = random.Random(seed)
        self._records = {}
        self._records_revision = None

    def read_records(self):
        """Return the last readable `InstanceRecord` of each instance, by name."""
        if self._records_revision == self.store.revision:
            return self._records
        self._records_revision = self.store.revision
        records = {}
        for key, stored in self.store.records.items():
            if key.startswith(INSTANCES_PREFIX):
                name = key.removeprefix(INSTANCES_PREFIX)
                try:
                    records[name] = decode_record(stored, InstanceRecord).body
                except RecordError:
                    records[name] = self._records[name]
        self._records = records
        return self._records

    def make_id(self):
        """Return a new operation ID."""
        return make_operation_id(self._random)

    def add_controller(self, name, planner):
        """Add a `SiteController` and return it."""
        controller = SiteController(self, name, planner)
        self.controllers.append(controller)
        return controller

    async def run_second(self, controllers=None):
        """Advance the clock by 1 s, then run a round of each controller in turn."""
        self.clock.advance(1.0)
        self.entries.pass_time(self.clock.read_monotonic())
        for controller in self.controllers if controllers is None else controllers:
            await controller.run_round()

    def list_members(self):
        """Return the `MemberRecord` of each process whose lease is held."""
        controllers = [
            MemberRecord(item.name, "control", "", item.name, 1)
            for item in self.controllers
            if item.process.is_held()
        ]
        return [*self.entries.members.values(), *controllers]
