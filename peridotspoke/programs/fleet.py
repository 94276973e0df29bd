"""The tasks of a controller that follow the fleet and run its planning rounds."""

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

FOLLOWED_PREFIXES = (INSTANCES_PREFIX, POOLS_PREFIX, OWNERS_PREFIX)
ENTRY_ANSWER_TIMEOUT = 3.0  # seconds
# The age of the view that entries route by is measured from the checks of the
# instance records. Ledgers and owners may be checked less often: an action based on
# a stale one is refused by its compare-and-swap.
INSTANCE_RULES = FollowingRules()
OTHER_RULES = FollowingRules(check_interval=4.0)
USAGE_INTERVAL = 30.0  # seconds


class NodeIdentity(ProcessIdentity):
    """The name, the incarnation and the lease of this process.

    Parameters
    ----------
    node : PeerNode
    """

    def __init__(self, node):
        self._node = node

    @property
    def name(self):
        """Name of the process."""
        return self._node.own.name

    @property
    def incarnation(self):
        """Number that is different for each start of the process."""
        return self._node.own.incarnation

    @property
    def lease_id(self):
        """Identifier of the process's lease, or 0 if it has none."""
        lease = self._node.lease.lease
        return lease.lease_id if lease else 0

    def is_held(self):
        """Return whether the process holds its lease and may act under it."""
        return self._node.lease.is_held()


class FleetTasks:
    """Keeps the input of a `FleetController` up to date and runs its rounds.

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
        Reports what is still running on draining instances.
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
                max_view_age=0.0,
                max_request_time=0.0,
                answer_timeout=ENTRY_ANSWER_TIMEOUT,
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
        self._read_prefixes = set()

    def apply_configuration(self, configuration):
        """Apply a configuration and raise the time bounds of drains to its values.

        The bounds are never lowered. None changes nothing.

        Parameters
        ----------
        configuration : Configuration or None
        """
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
        """Follow the fleet and run rounds until cancelled."""
        follows = [self._follow_prefix(prefix) for prefix in FOLLOWED_PREFIXES]
        await asyncio.gather(
            *follows, self._poll_instance_list(), self._poll_usage(), self._run_rounds()
        )

    async def _follow_prefix(self, prefix):
        rules = INSTANCE_RULES if prefix == INSTANCES_PREFIX else OTHER_RULES
        async for followed in follow_prefix(self._service, prefix, rules=rules):
            self.controller.take_followed(followed)
            self._read_prefixes.add(prefix)
            if prefix == INSTANCES_PREFIX:
                self._node.take_followed(self.observer.records, followed)

    async def _poll_instance_list(self):
        while True:
            requested_at = self._clock.read_monotonic()
            try:
                listed = await self._instance_list.read_instances()
                self.observer.take_list(listed, requested_at)
            except PlatformError as error:
                self.observer.record_list_error(error)
            await asyncio.sleep(self._settings.plan_interval)

    async def _poll_usage(self):
        while True:
            try:
                self.observer.usage = await self._usage_reports.read_usage()
            except PlatformError as error:
                self.observer.record_list_error(error, "usage")
            await asyncio.sleep(USAGE_INTERVAL)

    async def _run_rounds(self):
        """Run a round in each interval, at an offset derived from the process's name.

        The first round waits until all followed prefixes have been read.
        """
        interval = self._settings.plan_interval
        offset = xxhash.xxh32_intdigest(self._settings.name.encode()) / 2**32
        await asyncio.sleep(offset * interval)
        while True:
            if len(self._read_prefixes) == len(FOLLOWED_PREFIXES):
                self._update_members()
                await self.controller.run_round()
            await asyncio.sleep(interval)

    def _update_members(self):
        now = self._clock.read_monotonic()
        members = self._node.membership.list_members(now)
        listed = [item.record for item in members if item.listed]
        self.controller.take_members([*listed, self._node.own])
