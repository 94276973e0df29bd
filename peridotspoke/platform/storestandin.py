"""Stand-in for the platform's metadata store, over loopback HTTP."""

import asyncio
import base64
import time
from itertools import takewhile

import msgspec

from peridotspoke.platform.standins import (
    MS_PER_SECOND,
    PATH_PREFIX,
    POLL_INTERVAL,
    make_response,
)

__all__ = ["MetadataStandIn"]


class MetadataStandIn:
    """Stand-in for the metadata store: items, leases, transactions and watches.

    Attributes
    ----------
    items : dict of str to dict
        The current items by key, in the form of the platform's protocol.
    history : list of dict
        All changes since the last compaction, in order.
    revision : int
        Revision of the latest change.
    compacted_revision : int
        Watches from before this revision are refused.
    leases : dict of int to (float, int)
        The expiry of each lease, on the monotonic clock in seconds, and its time to
        live in milliseconds.
    faults : list of str
        Faults of the next transactions in turn: "lost" applies the transaction and
        sends no response, "busy" refuses it.
    unavailable : bool
        Whether all calls are refused.
    calls : int
        Number of calls received.
    lease_count : int
        Number of leases given so far; a lease's number is not given again.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.compacted_revision = 0
        self.leases = {}
        self.faults = []
        self.unavailable = False
        self.calls = 0
        self.lease_count = 0

    def put(self, key, value, lease=0):
        """Write an item, as the operator or an executor does.

        Parameters
        ----------
        key : str
        value : bytes or object
            Stored as it is if bytes, else encoded as JSON.
        lease : int, optional
            The lease that the item is attached to; 0 for none.
        """
        self.revision += 1
        self._write(key, value, lease)

    def _write(self, key, value, lease):
        existing = self.items.get(key)
        created = existing["createdRev"] if existing else self.revision
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "createdRev": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def remove(self, key):
        """Delete the item of `key`, if there is one."""
        if key in self.items:
            self.revision += 1
            self._delete(key)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def compact(self):
        """Discard the history; watches from before the present revision are refused."""
        self.history.clear()
        self.compacted_revision = self.revision

    async def handle(self, request):
        """Handle one call; the method is looked up by the name in the call's path."""
        self.calls += 1
        self._expire()
        if self.unavailable:
            return make_response(status=503)
        name, _, rest = request.path.removeprefix(PATH_PREFIX).partition("/")
        call = getattr(self, "_" + name.replace("-", "_"), None)
        if call is None:
            return make_response(status=404)
        fault = None
        if name == "kv-txn" and self.faults:
            fault = self.faults.pop(0)
        if fault == "busy":
            return make_response(status=503)
        response = await call(request, rest)
        if fault == "lost":
            request.transport.abort()
        return response

    def _expire(self):
        now = time.monotonic()
        for lease in [key for key, times in self.leases.items() if times[0] < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _kv_key(self, request, _):
        item = self.items.get(request.query["key"])
        if item is None:
            return make_response({"asOf": self.revision}, 404)
        return make_response({**item, "asOf": self.revision})

    async def _kv_range(self, request, _):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = [self.items[key] for key in keys[:500]]
        more = len(keys) > len(page)
        return make_response({"items": page, "hasMore": more, "asOf": self.revision})

    async def _kv_watch(self, request, _):
        prefix, after = request.query["prefix"], int(request.query["after"])
        end = time.monotonic() + int(request.query["waitMs"]) / MS_PER_SECOND
        while True:
            if after < self.compacted_revision:
                return make_response(status=410)
            newer = takewhile(lambda e: e["revision"] > after, reversed(self.history))
            events = [item for item in newer if item["key"].startswith(prefix)][::-1]
            if events or time.monotonic() > end or self.unavailable:
                return make_response({"events": events, "asOf": self.revision})
            await asyncio.sleep(POLL_INTERVAL)
            self._expire()

    async def _kv_txn(self, request, _):
        body = msgspec.json.decode(await request.read())
        for row in body["expectedRev"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                condition_keys = [row["key"] for row in body["expectedRev"]]
                current_items = [
                    self.items[key] for key in condition_keys if key in self.items
                ]
                return make_response({"items": current_items}, 412)
        if any(put["lease"] not in {0, *self.leases} for put in body["puts"]):
            return make_response(status=404)
        self.revision += 1  # one for all changes of a transaction
        for put in body["puts"]:
            self._write(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self._delete(key)
        return make_response({"revision": self.revision})

    async def _kv_lease(self, request, _):
        ttl = msgspec.json.decode(await request.read())["ttlMs"]
        self.lease_count += 1
        lease = self.lease_count
        self.leases[lease] = (time.monotonic() + ttl / MS_PER_SECOND, ttl)
        return make_response({"lease": lease, "ttlMs": ttl})

    async def _kv_keep(self, request, rest):
        lease = int(rest)
        if lease not in self.leases:
            return make_response(status=404)
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / MS_PER_SECOND, ttl)
        return make_response({"ttlMs": ttl})

    async def _kv_lease_end(self, request, rest):
        self._end_lease(int(rest))
        return make_response({})
