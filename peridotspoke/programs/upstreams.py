"""Keeps an entry's routing table in step with all news of the upstreams."""

import asyncio

from peridotspoke.exceptions import PlatformError, RecordError
from peridotspoke.logs import log_event
from peridotspoke.pools import INSTANCES_PREFIX, InstanceRecord
from peridotspoke.requests import build_routing_table
from peridotspoke.store import decode_record, follow_prefix

__all__ = ["UpstreamFollower"]

TICK = 0.25  # seconds between two looks at the age of the view
DEFAULT_VIEW_BOUND = 5.0  # seconds, until a configuration declares it


class UpstreamFollower:
    """Joins records, the platform's list and peers' news to a routing table.

    The table is rebuilt at once when any of them changes. The view is dated by the
    checks of the followed records, which cost the same whatever the fleet's size.

    Parameters
    ----------
    settings : EntrySettings
    service : KeyValueService
    instance_list : InstanceList
    node : PeerNode
    clock : Clock
    apply_routes : callable
        Takes each new `RoutingTable`.
    """

    def __init__(self, settings, service, instance_list, node, clock, apply_routes):
        self.view_bound = DEFAULT_VIEW_BOUND
        self._settings = settings
        self._service = service
        self._instance_list = instance_list
        self._node = node
        self._clock = clock
        self._apply_routes = apply_routes
        self._records = {}
        self._revisions = {}
        self._listed = ()
        self._routes = None

    def find_largest(self, pool):
        """Return the largest `ListedInstance` of a pool, or None."""
        members = [
            item
            for item in self._listed
            if item.instance in self._records
            and self._records[item.instance].pool == pool
        ]
        return max(members, key=lambda item: (item.cores, item.memory), default=None)

    async def run(self):
        """Follow until cancelled."""
        await asyncio.gather(
            self._follow_records(),
            self._follow_list(),
            self._follow_news(),
        )

    async def _follow_records(self):
        async for followed in follow_prefix(self._service, INSTANCES_PREFIX):
            for key in followed.changed:
                self._take_record(key, followed.records.get(key))
            self._node.take_followed(self._records, followed)

    def _take_record(self, key, record):
        instance = key.removeprefix(INSTANCES_PREFIX)
        if record is None:
            self._records.pop(instance, None)
            return
        if record.revision < self._revisions.get(instance, 0):
            return
        self._revisions[instance] = record.revision
        try:
            self._records[instance] = decode_record(record, InstanceRecord).body
        except RecordError as error:
            log_event("record-rejected", "ERROR", error=error)

    async def _follow_list(self):
        while True:
            try:
                listed = await self._instance_list.read_instances()
                if listed is not self._listed:
                    self._listed = listed
                    self._node.leaving.take_list(listed)
                    self.rebuild_routes()
            except PlatformError as error:
                log_event("instance-list-unread", "WARNING", error=error)
            await asyncio.sleep(self._settings.list_interval)

    async def _follow_news(self):
        """Rebuild after each news, and when the view's age changes the routes."""
        state = None
        while True:
            changed = True
            try:
                async with asyncio.timeout(TICK):
                    await self._node.leaving_changed.wait()
            except TimeoutError:
                changed = False
            self._node.leaving_changed.clear()
            now = self._clock.read_monotonic()
            before = state
            state = self._node.leaving.compute_time_dependent_state(
                self.view_bound, now
            )
            if changed or state != before:
                self.rebuild_routes()

    def get_slots(self):
        """Return the slots by instance of the own zone's listed executors."""
        zone = self._settings.zone
        return {item.instance: item.slots for item in self._listed if item.zone == zone}

    def rebuild_routes(self):
        """Put all news so far into the routing table."""
        leaving = self._node.leaving
        now = self._clock.read_monotonic()
        listed = leaving.select_listed(
            self._listed, self._settings.zone, self.view_bound, now
        )
        routes = build_routing_table(listed, leaving.select_records())
        if routes != self._routes:
            self._routes = routes
            self._apply_routes(routes)
