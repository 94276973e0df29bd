"""A deployment's pools in one process on a manual clock, for tests and benchmarks."""

import itertools
import random
from dataclasses import dataclass

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import OperationConflictError, PeerError, RecordError
from peridotspoke.identities import make_operation_id
from peridotspoke.peers import InFlightReport, InFlightSource, MemberRecord
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
from peridotspoke.standins.fleet import FleetStandIn
from peridotspoke.standins.local import FaultyKeyValueService
from peridotspoke.standins.store import StoreStandIn
from peridotspoke.store import InstanceActions, ListedInstance, decode_record
from peridotspoke.store.keyvalue import Change

__all__ = [
    "EntriesStandIn",
    "FleetSite",
    "RunningRequest",
    "SiteController",
    "list_machines",
]

PREFIXES = (INSTANCES_PREFIX, POOLS_PREFIX, OWNERS_PREFIX)
BOUNDS = RoundBounds(
    DrainBounds(max_view_age=5.0, max_request_time=10.0, answer_timeout=3.0)
)
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


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request in flight from an entry instance to an instance."""

    entry: str
    instance: str
    ends_at: float


class EntriesStandIn(InFlightSource):
    """Entry instances that use the instances of their view, one in each zone.

    One that is cut off keeps its view. It uses the instances of its own zone
    whatever the view's age, and others while it is younger than the bound.

    Parameters
    ----------
    zones : list of str
    bounds : DrainBounds
    read_records : callable
        Returns the `InstanceRecord` by instance, as they stand in the store.

    Attributes
    ----------
    members : dict of str to MemberRecord
        Those whose lease is held.
    requests : list of RunningRequest
    """

    def __init__(self, zones, bounds, read_records):
        self.members = {}
        self.requests = []
        self._bounds = bounds
        self._read_records = read_records
        self._views = {}
        self._seen_at = {}
        self._cut_at = {}
        self._known = {}
        self._now = 0.0
        for zone in zones:
            name = f"entry-{zone}"
            self._known[name] = MemberRecord(name, "entry", zone, name, 1)
        self.members.update(self._known)

    def cut(self, name):
        """Cut an entry instance off from the platform and from the controllers."""
        self._cut_at.setdefault(name, self._now)

    def join(self, name):
        """End the cut."""
        self._cut_at.pop(name, None)
        self.members[name] = self._known[name]
        self.pass_time(self._now)

    def kill(self, name):
        """End an entry instance with its requests."""
        self.cut(name)
        self._views[name] = {}
        self.requests = [item for item in self.requests if item.entry != name]

    def pass_time(self, now):
        """End requests that are done, refresh the views, let leases lapse."""
        self._now = now
        self.requests = [item for item in self.requests if item.ends_at > now]
        for name in self._known:
            if name not in self._cut_at:
                self._views[name] = self._read_records()
                self._seen_at[name] = now
            elif now - self._cut_at[name] > LEASE_TTL:
                self.members.pop(name, None)

    def send(self, name, instance, seconds):
        """Send a request of `seconds` if the entry instance's view allows it."""
        record = self._views.get(name, {}).get(instance)
        if record is None or record.phase != "serving":
            return
        near = record.zone == self._known[name].zone
        if near or self._now - self._seen_at[name] <= self._bounds.max_view_age:
            ends_at = self._now + min(seconds, self._bounds.max_request_time)
            self.requests.append(RunningRequest(name, instance, ends_at))

    async def report_in_flight(self, address, epochs):
        """Return `InFlightReport` by instance."""
        if address in self._cut_at or address not in self.members:
            raise PeerError("no answer", step="report in flight", peer=address)
        view = self._views[address]
        running = [item.instance for item in self.requests if item.entry == address]
        return {
            name: InFlightReport(
                running.count(name), name in view and view[name].epoch >= epoch
            )
            for name, epoch in epochs.items()
        }


class _Process(ProcessIdentity):
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
        self.planner = planner
        self._site = site
        self._reached = 0
        self.process = _Process(name, site.clock)
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
        """Renew the lease, take the news of the store and the list, run a round."""
        if renews and not self.service.down:
            self._renew(self.process.lease_id)
        if not self.blind and not self.service.down:
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
    reboot_time, lease_ttl : float, optional
        Seconds.
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
        self._records_at = None

    def read_records(self):
        """Return the last `InstanceRecord` of each that could be read."""
        if self._records_at == self.store.revision:
            return self._records
        self._records_at = self.store.revision
        found = {}
        for key, record in self.store.records.items():
            if key.startswith(INSTANCES_PREFIX):
                name = key.removeprefix(INSTANCES_PREFIX)
                try:
                    found[name] = decode_record(record, InstanceRecord).body
                except RecordError:
                    found[name] = self._records[name]
        self._records = found
        return self._records

    def make_id(self):
        """Return a fresh operation id."""
        return make_operation_id(self._random)

    def add_controller(self, name, planner):
        """Start a `SiteController` and return it."""
        controller = SiteController(self, name, planner)
        self.controllers.append(controller)
        return controller

    async def run_second(self, controllers=None):
        """Let a second pass, then run a round of each controller in turn."""
        self.clock.advance(1.0)
        self.entries.pass_time(self.clock.read_monotonic())
        for controller in self.controllers if controllers is None else controllers:
            await controller.run_round()

    def list_members(self):
        """Return the records of all live processes."""
        controllers = [
            MemberRecord(item.name, "control", "", item.name, 1)
            for item in self.controllers
            if item.process.is_held()
        ]
        return [*self.entries.members.values(), *controllers]
