"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import itertools
import time

import msgspec
from aiohttp import web

ANSWER_TIME = 0.004  # seconds
PAGE_ITEMS = 500
POLL_INTERVAL = 0.005  # seconds between two checks of a waiting watch


def respond(body=None, status=200):
    """Return a response with a JSON body."""
    data = b"" if body is None else msgspec.json.encode(body)
    return web.Response(status=status, body=data, content_type="application/json")


class Store:
    """Items, leases, transactions and watches; `silent` makes it answer nothing.

    While it is silent it does nothing either, and leases pause.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.silent = False
        self._lease_ids = itertools.count(1)

    def put(self, key, value, lease=0):
        """Write one item as the operator, an executor or another writer."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), lease)

    def remove(self, key):
        """Remove one item."""
        if key in self.items:
            self.revision += 1
            self._delete(key)

    def _write(self, key, text, lease):
        known = self.items.get(key)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "createdRev": known["createdRev"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    async def be_silent(self, seconds):
        """Answer nothing for some seconds; leases pause meanwhile."""
        self.silent = True
        await asyncio.sleep(seconds)
        self.leases = {
            lease: (end + seconds, ttl) for lease, (end, ttl) in self.leases.items()
        }
        self.silent = False

    async def handle(self, request):
        """Answer one call."""
        body = await request.read()
        await asyncio.sleep(ANSWER_TIME)
        if self.silent:
            await asyncio.sleep(3600)
        self._expire()
        name, _, rest = request.path.removeprefix("/peridotspoke/").partition("/")
        call = getattr(self, "_" + name.replace("-", "_"), None)
        if call is None:
            return respond(status=404)
        return await call(request.query, body, rest)

    def _expire(self):
        now = time.monotonic()
        for lease in [item for item, (end, _) in self.leases.items() if end < now]:
            self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._delete(key)

    async def _kv_key(self, query, body, rest):
        item = self.items.get(query["key"])
        if item is None:
            return respond({"asOf": self.revision}, 404)
        return respond({**item, "asOf": self.revision})

    async def _kv_range(self, query, body, rest):
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > len(page)
        return respond({"items": page, "hasMore": more, "asOf": self.revision})

    async def _kv_watch(self, query, body, rest):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.silent:
                await asyncio.sleep(3600)
            self._expire()
            events = self._find_events(prefix, after)
            if events or time.monotonic() > end:
                return respond({"events": events, "asOf": self.revision})
            await asyncio.sleep(POLL_INTERVAL)

    def _find_events(self, prefix, after):
        found = []
        for item in reversed(self.history):
            if item["revision"] <= after:
                break
            if item["key"].startswith(prefix):
                found.append(item)
        return found[::-1]

    async def _kv_txn(self, query, body, rest):
        call = msgspec.json.decode(body)
        entries = call["expectedRev"], call["puts"], call["remove"]
        if sum(map(len, entries)) > 32:
            return respond(status=400)
        for row in call["expectedRev"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [other["key"] for other in call["expectedRev"]]
                found = [self.items[key] for key in keys if key in self.items]
                return respond({"items": found}, 412)
        keys = [put["key"] for put in call["puts"]] + call["remove"]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return respond(status=403)
        if any(put["lease"] not in {0, *self.leases} for put in call["puts"]):
            return respond(status=404)
        self.revision += 1
        for put in call["puts"]:
            self._write(put["key"], put["value"], put["lease"])
        for key in call["remove"]:
            self._delete(key)
        return respond({"revision": self.revision})

    async def _kv_lease(self, query, body, rest):
        ttl = max(1000, msgspec.json.decode(body)["ttlMs"])
        lease = next(self._lease_ids)
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return respond({"lease": lease, "ttlMs": ttl})

    async def _kv_keep(self, query, body, rest):
        lease = int(rest)
        if lease not in self.leases:
            return respond(status=404)
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return respond({"lease": lease, "ttlMs": ttl})

    async def _kv_lease_end(self, query, body, rest):
        self._end(int(rest))
        return respond({})
