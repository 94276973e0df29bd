"""The tasks by which a controller follows, plans and acts on the fleet."""

import asyncio
from functools import partial

import xxhash

from peridotspoke.exceptions import PlatformError
from peridotspoke.identities import make_operation_id
from peridotspoke.pools import (
    INSTANCES_PREFIX,
    OWNERS_PREFIX,
    POOLS_PREFIX,
    DrainBounds,
    FleetController,
    FleetObserver,
    FleetWriter,
    IncrementalPlanner,
    ProcessIdentity,
    RoundBounds,
)
from peridotspoke.store import FollowingRules, follow_prefix

__all__ = ["FleetTasks"]

PREFIXES = (INSTANCES_PREFIX, POOLS_PREFIX, OWNERS_PREFIX)
ANSWER_TIMEOUT = 3.0  # seconds
# The checks of instances date the view by which entries route; what a stale ledger
# or owner would let a controller do, its swap refuses.
VIEW_RULES = FollowingRules()
OTHER_RULES = FollowingRules(check_interval=4.0)
USAGE_INTERVAL = 30.0  # seconds


class NodeIdentity(ProcessIdentity):
    """The identity of this process and its lease.

    Parameters
    ----------
    node : PeerNode
    """

    def __init__(self, node):
        self._node = node

    @property
    def name(self):
        """The process's name."""
        return self._node.own.name

    @property
    def incarnation(self):
        """Differs each time that the process starts."""
        return self._node.own.incarnation

    @property
    def lease_id(self):
        """Identity of the lease; 0 without one."""
        lease = self._node.lease.lease
        return lease.lease_id if lease else 0

    def is_held(self):
        """Return whether the process may act under its lease now."""
        return self._node.lease.is_held()


class FleetTasks:
    """Feeds a `FleetController` and lets it run a round at each interval.

    Parameters
    ----------
    settings : ControlSettings
    service : KeyValueService
    instance_list : InstanceList
    instance_actions : InstanceActions
    usage_reports : UsageReports
    node : PeerNode
    clock : Clock
    random : random.Random
    in_flight_source : InFlightSource
        Tells what still runs on instances that leave.
    """

    def __init__(
        self,
        settings,
        service,
        instance_list,
        instance_actions,
        usage_reports,
        node,
        clock,
        random,
        in_flight_source,
    ):
        make_id = partial(make_operation_id, random)
        self.bounds = RoundBounds(
            DrainBounds(
                max_view_age=0.0, max_request_time=0.0, answer_timeout=ANSWER_TIMEOUT
            ),
            pause_threshold=max(5.0, 3 * settings.plan_interval),
        )
        self.observer = FleetObserver(settings.name, self.bounds)
        self.controller = FleetController(
            observer=self.observer,
            writer=FleetWriter(
                service, instance_actions, clock, settings.name, make_id
            ),
            service=service,
            process=NodeIdentity(node),
            in_flight_source=in_flight_source,
            planner=IncrementalPlanner(),
            clock=clock,
            bounds=self.bounds,
            make_id=make_id,
        )
        self._settings = settings
        self._service = service
        self._instance_list = instance_list
        self._usage_reports = usage_reports
        self._node = node
        self._clock = clock
        self._followed = set()

    def apply_configuration(self, configuration):
        """Take a configuration; the bounds of drains never shrink."""
        if configuration is None:
            return
        drain = self.bounds.drain
        limits = [item.requests.time_limit for item in configuration.services.values()]
        drain = DrainBounds(
            max_view_age=max(drain.max_view_age, configuration.deployment.view_bound),
            max_request_time=max([drain.max_request_time, *limits]),
            answer_timeout=drain.answer_timeout,
        )
        self.bounds = self.controller.change_drain_bounds(drain)
        self.observer.configuration = configuration

    async def run(self):
        """Follow and run rounds until cancelled."""
        follows = [self._follow(prefix) for prefix in PREFIXES]
        await asyncio.gather(
            *follows, self._follow_list(), self._follow_usage(), self._run_rounds()
        )

    async def _follow(self, prefix):
        rules = VIEW_RULES if prefix == INSTANCES_PREFIX else OTHER_RULES
        async for followed in follow_prefix(self._service, prefix, rules=rules):
            self.controller.take_followed(followed)
            self._followed.add(prefix)
            if prefix == INSTANCES_PREFIX:
                self._node.take_followed(self.observer.records, followed)

    async def _follow_list(self):
        while True:
            asked_at = self._clock.read_monotonic()
            try:
                listed = await self._instance_list.read_instances()
                self.observer.take_list(listed, asked_at)
            except PlatformError as error:
                self.observer.record_list_error(error)
            await asyncio.sleep(self._settings.plan_interval)

    async def _follow_usage(self):
        while True:
            try:
                self.observer.usage = await self._usage_reports.read_usage()
            except PlatformError as error:
                self.observer.record_list_error(error, "usage")
            await asyncio.sleep(USAGE_INTERVAL)

    async def _run_rounds(self):
        """Run a round at each interval, each process at its own time within it."""
        interval = self._settings.plan_interval
        phase = xxhash.xxh32_intdigest(self._settings.name.encode()) / 2**32
        await asyncio.sleep(phase * interval)
        while True:
            if len(self._followed) == len(PREFIXES):
                self._take_members()
                await self.controller.run_round()
            await asyncio.sleep(interval)

    def _take_members(self):
        now = self._clock.read_monotonic()
        members = self._node.membership.list_members(now)
        listed = [item.record for item in members if item.listed]
        self.controller.take_members([*listed, self._node.own])
