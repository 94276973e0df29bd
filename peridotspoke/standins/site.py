"""A deployment's pools in one process on a manual clock, for tests and benchmarks."""

import itertools
import random
from dataclasses import dataclass

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import OperationConflictError, PeerError
from peridotspoke.identities import make_operation_id
from peridotspoke.peers import InFlightReport, InFlightSource, MemberRecord
from peridotspoke.platform import InstanceActions, ListedInstance
from peridotspoke.platform.keyvalue import Change
from peridotspoke.pools import (
    INSTANCES_PREFIX,
    OWNERS_PREFIX,
    POOLS_PREFIX,
    DrainBounds,
    FleetController,
    FleetObserver,
    FleetWriter,
    RoundBounds,
)
from peridotspoke.standins.fleet import FleetStandIn
from peridotspoke.standins.local import FaultyKeyValueService
from peridotspoke.standins.store import StoreStandIn

__all__ = ["EntriesStandIn", "FleetSite", "SiteController", "list_machines"]

PREFIXES = (INSTANCES_PREFIX, POOLS_PREFIX, OWNERS_PREFIX)
BOUNDS = RoundBounds(DrainBounds(view=5.0, request=10.0, silence=3.0))
LEASE_TTL = 6.0  # seconds


def list_machines(zones, racks, in_rack, prefix="i"):
    """Return live `ListedInstance` machines: `in_rack` in each of `racks` by zone."""
    places = itertools.product(zones, range(racks), range(in_rack))
    return [
        ListedInstance(
            instance=f"{prefix}{number:04d}",
            zone=zone,
            rack=f"{zone}-r{rack}",
            state="live",
            incarnation=1,
            executor="127.0.0.1:1",
        )
        for number, (zone, rack, _) in enumerate(places)
    ]


class _FleetActions(InstanceActions):
    """The platform's actions on a `FleetStandIn`."""

    def __init__(self, fleet, clock):
        self._fleet = fleet
        self._clock = clock

    async def drain(self, instance, incarnation):
        """List the instance as leaving."""
        self._check(self._fleet.drain, instance, incarnation)

    async def reboot(self, instance, incarnation):
        """Restart the instance."""
        self._check(self._fleet.reboot, instance, incarnation)

    def _check(self, act, instance, incarnation):
        if not act(instance, incarnation, self._clock.read_monotonic()):
            raise OperationConflictError(
                f"incarnation {incarnation} has ended", step="act", peer=instance
            )


class EntriesStandIn(InFlightSource):
    """Entry instances that answer what is in flight.

    Attributes
    ----------
    members : dict of str to MemberRecord
    silent : set of str
        Those that don't answer.
    running : dict of tuple of (str, str) to int
        Requests in flight by entry instance and instance.
    """

    def __init__(self, zones):
        self.members = {
            f"entry-{zone}": MemberRecord(
                f"entry-{zone}", "entry", zone, f"entry-{zone}", 1
            )
            for zone in zones
        }
        self.silent = set()
        self.running = {}

    async def report_in_flight(self, address, epochs):
        """Return `InFlightReport` by instance."""
        if address in self.silent or address not in self.members:
            raise PeerError("no answer", step="report in flight", peer=address)
        return {
            name: InFlightReport(self.running.get((address, name), 0), True)
            for name in epochs
        }


@dataclass
class _Process:
    name: str
    incarnation: int
    lease: object
    clock: ManualClock

    @property
    def lease_id(self):
        return self.lease.lease_id

    def is_held(self):
        return self.lease.is_held(self.clock.read_monotonic())


class SiteController:
    """One controller of a `FleetSite`, with its own faults and its own view.

    Parameters
    ----------
    site : FleetSite
    name : str
    planner : MovePlanner
    """

    def __init__(self, site, name, planner):
        self.name = name
        self.service = FaultyKeyValueService(site.store, site.clock)
        self.blind = False
        self._site = site
        self._reached = 0
        lease_id = site.store.grant_lease(LEASE_TTL, site.clock.read_monotonic())
        self.process = _Process(name, 1, None, site.clock)
        self._renew(lease_id)
        self.observer = FleetObserver(name, site.bounds)
        self.observer.configuration = site.configuration
        self.controller = FleetController(
            observer=self.observer,
            writer=FleetWriter(
                self.service, site.actions, site.clock, name, site.make_id
            ),
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
            lease_id = self._site.store.grant_lease(LEASE_TTL, now)
        self.process.lease = _Lease(lease_id, now + LEASE_TTL)

    async def run_round(self, renews=True):
        """Renew the lease, take the news of the store and the list, run a round."""
        if renews:
            self._renew(self.process.lease_id)
        if not self.blind:
            self.take_news()
        await self.controller.run_round()

    def take_news(self):
        """Take what changed in the store, the list as it is shown, and the members."""
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
        fresh, self._reached = history[self._reached :], len(history)
        return fresh


@dataclass(frozen=True, slots=True)
class _Lease:
    lease_id: int
    ends_at: float

    def is_held(self, now):
        return now < self.ends_at


class FleetSite:
    """A store, a fleet, entry instances and controllers on one manual clock.

    Parameters
    ----------
    configuration : Configuration
    machines : list of ListedInstance
    seed : int, optional
    bounds : RoundBounds, optional
    reboot_time : float, optional
        Seconds.
    """

    def __init__(self, configuration, machines, seed=1, bounds=BOUNDS, reboot_time=60):
        self.clock = ManualClock()
        self.clock.advance(1.0)
        self.store = StoreStandIn()
        self.fleet = FleetStandIn(reboot_time)
        self.fleet.replace_instances(machines, 0.0)
        self.actions = _FleetActions(self.fleet, self.clock)
        self.entries = EntriesStandIn(sorted({item.zone for item in machines}))
        self.configuration = configuration
        self.bounds = bounds
        self.list_lag = 0.0
        self.list_is_up = True
        self.controllers = []
        self._random = random.Random(seed)

    def make_id(self):
        """Return a fresh operation id."""
        return make_operation_id(self._random)

    def add_controller(self, name, planner):
        """Start a `SiteController` and return it."""
        controller = SiteController(self, name, planner)
        self.controllers.append(controller)
        return controller

    def list_members(self):
        """Return the records of all live processes."""
        controllers = [
            MemberRecord(item.name, "control", "", item.name, 1)
            for item in self.controllers
        ]
        return [*self.entries.members.values(), *controllers]
