"""Keeps the routing table of an entry instance up to date with its upstreams."""

import asyncio

from peridotspoke.exceptions import PlatformError, RecordError
from peridotspoke.logs import log_event
from peridotspoke.pools import INSTANCES_PREFIX, InstanceRecord
from peridotspoke.requests import build_routing_table
from peridotspoke.store import decode_record, follow_prefix

__all__ = ["UpstreamFollower"]

VIEW_AGE_CHECK_INTERVAL = 0.25  # seconds
DEFAULT_VIEW_BOUND = 5.0  # seconds; used until a configuration is in force


class UpstreamFollower:
    """Builds the routing table from records, the instance list and peers' messages.

    The table is rebuilt at once when any of them changes. The age of the view counts
    from the last check of the followed records; the cost of a check doesn't depend on
    the size of the fleet.

    Parameters
    ----------
    settings : EntrySettings
    service : KeyValueService
    instance_list : InstanceList
    node : PeerNode
    clock : Clock
    apply_routes : callable
        Called with each new `RoutingTable`.

    Attributes
    ----------
    view_bound : float
        Age of the view, in seconds, from which it counts as outdated.
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
        """Return the `ListedInstance` of a pool with the most cores, or None.

        Among equals, the one with the most memory is returned.
        """
        candidates = [
            item
            for item in self._listed
            if item.instance in self._records
            and self._records[item.instance].pool == pool
        ]
        return max(candidates, key=lambda item: (item.cores, item.memory), default=None)

    async def run(self):
        """Follow all sources until cancelled."""
        await asyncio.gather(
            self._follow_records(),
            self._poll_instance_list(),
            self._follow_peers(),
        )

    async def _follow_records(self):
        async for followed in follow_prefix(self._service, INSTANCES_PREFIX):
            for key in followed.changed:
                self._update_record(key, followed.records.get(key))
            self._node.take_followed(self._records, followed)

    def _update_record(self, key, record):
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

    async def _poll_instance_list(self):
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

    async def _follow_peers(self):
        """Rebuild the table on peers' messages and when the view's age changes it."""
        state = None
        while True:
            changed = True
            try:
                async with asyncio.timeout(VIEW_AGE_CHECK_INTERVAL):
                    await self._node.leaving_changed.wait()
            except TimeoutError:
                changed = False
            self._node.leaving_changed.clear()
            now = self._clock.read_monotonic()
            previous = state
            state = self._node.leaving.compute_time_dependent_state(
                self.view_bound, now
            )
            if changed or state != previous:
                self.rebuild_routes()

    def get_slots(self):
        """Return a dict of instance to slots for the executors of this zone."""
        zone = self._settings.zone
        return {item.instance: item.slots for item in self._listed if item.zone == zone}

    def rebuild_routes(self):
        """Build the routing table from the current view and apply it if it changed."""
        leaving = self._node.leaving
        now = self._clock.read_monotonic()
        listed = leaving.select_listed(
            self._listed, self._settings.zone, self.view_bound, now
        )
        routes = build_routing_table(listed, leaving.select_records())
        if routes != self._routes:
            self._routes = routes
            self._apply_routes(routes)
