"""Stand-ins of the platform's store, executors and machines, over loopback HTTP.

Written from the platform's published protocol, with switchable faults, so that the
whole path runs and fails without the platform.
"""

import asyncio
import base64
import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

__all__ = ["ExecutorStandIn", "MachinesStandIn", "MetadataStandIn", "serve_standin"]

PREFIX = "/peridotspoke/"
MILLISECONDS = 1000
POLL = 0.005  # seconds


async def serve_standin(handler):
    """Serve a handler on a free port of loopback; return its runner and address."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


def _answer(body=None, status=200):
    data = b"" if body is None else msgspec.json.encode(body)
    return web.Response(status=status, body=data, content_type="application/json")


class MetadataStandIn:
    """The store: items, leases, transactions and watches with a history.

    `faults` holds, for the next writes in turn, "lost" (done, no answer) or "busy"
    (refused). While `away` is set, every call is refused.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.forgotten = 0
        self.leases = {}
        self.faults = []
        self.away = False
        self.calls = 0

    def put(self, key, value, lease=0):
        """Write an item as the operator or an executor does."""
        self.revision += 1
        known = self.items.get(key)
        created = known["createdRev"] if known else self.revision
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
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def compact(self):
        """Forget the history; watches from before it are refused."""
        self.history.clear()
        self.forgotten = self.revision

    async def handle(self, request):
        """Answer one call."""
        self.calls += 1
        self._expire()
        if self.away:
            return _answer(status=503)
        name, _, rest = request.path.removeprefix(PREFIX).partition("/")
        call = getattr(self, "_" + name.replace("-", "_"), None)
        if call is None:
            return _answer(status=404)
        fault = None
        if name == "kv-txn" and self.faults:
            fault = self.faults.pop(0)
        if fault == "busy":
            return _answer(status=503)
        response = await call(request, rest)
        if fault == "lost":
            request.transport.abort()
        return response

    def _expire(self):
        now = time.monotonic()
        for lease in [key for key, end in self.leases.items() if end[0] < now]:
            self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _kv_key(self, request, _):
        item = self.items.get(request.query["key"])
        if item is None:
            return _answer({"asOf": self.revision}, 404)
        return _answer({**item, "asOf": self.revision})

    async def _kv_range(self, request, _):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = [self.items[key] for key in keys[:500]]
        more = len(keys) > len(page)
        return _answer({"items": page, "hasMore": more, "asOf": self.revision})

    async def _kv_watch(self, request, _):
        prefix, after = request.query["prefix"], int(request.query["after"])
        end = time.monotonic() + int(request.query["waitMs"]) / MILLISECONDS
        while True:
            if after < self.forgotten:
                return _answer(status=410)
            events = [
                item
                for item in self.history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            if events or time.monotonic() > end or self.away:
                return _answer({"events": events, "asOf": self.revision})
            await asyncio.sleep(POLL)
            self._expire()

    async def _kv_txn(self, request, _):
        body = msgspec.json.decode(await request.read())
        for row in body["expectedRev"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                named = [row["key"] for row in body["expectedRev"]]
                found = [self.items[key] for key in named if key in self.items]
                return _answer({"items": found}, 412)
        if any(put["lease"] not in {0, *self.leases} for put in body["puts"]):
            return _answer(status=404)
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self.remove(key)
        return _answer({"revision": self.revision})

    async def _kv_lease(self, request, _):
        ttl = msgspec.json.decode(await request.read())["ttlMs"]
        lease = len(self.history) + len(self.leases) + self.calls + 1
        self.leases[lease] = (time.monotonic() + ttl / MILLISECONDS, ttl)
        return _answer({"lease": lease, "ttlMs": ttl})

    async def _kv_keep(self, request, rest):
        lease = int(rest)
        if lease not in self.leases:
            return _answer(status=404)
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / MILLISECONDS, ttl)
        return _answer({"ttlMs": ttl})

    async def _kv_lease_end(self, request, rest):
        self._end(int(rest))
        return _answer({})


@dataclass(slots=True)
class _Running:
    run: int
    ends_at: float
    kind: str


@dataclass(slots=True)
class ExecutorStandIn:
    """An executor whose tasks all take the same time.

    Parameters
    ----------
    executor_id, pool : str
    duration : float
        Seconds of each task.
    starts : list of (str, int)
        The task and the run of each start that was carried out.
    failing : set of str
        Tasks that fail.
    silent : bool
        Whether calls get no answer.
    lost_starts : int
        So many of the next starts are carried out without an answer.
    """

    executor_id: str
    pool: str
    duration: float = 0.05
    address: str = ""
    born: int = 1_700_000_000_000
    fence: int = 0
    starts: list = field(default_factory=list)
    failing: set = field(default_factory=set)
    silent: bool = False
    lost_starts: int = 0
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    latest: dict = field(default_factory=dict)
    number: int = 0
    lease_end: float = 0.0

    def describe(self):
        """Return what the executor says of itself."""
        return {
            "service": self.pool,
            "address": self.address,
            "zone": "zone",
            "state": "ready",
            "capacity": {"cpu": 8000, "memMb": 64000, "gpu": 0},
            "labels": ["a", "rack"],
            "seq": 1,
            "born": self.born,
        }

    async def handle(self, request):
        """Answer one call."""
        if self.silent:
            await asyncio.sleep(3600)
        if request.headers.get("X-Expect-Instance") != self.executor_id:
            return _answer(status=421)
        body = msgspec.json.decode(await request.read())
        if body.get("fence", 0) < self.fence:
            return self._reply(409, reason="fence")
        self.fence = body["fence"]
        self._advance()
        name = request.path.removeprefix(PREFIX)
        if name == "run-start":
            return self._start(body, request)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        return self._reply()

    def _clock(self):
        return int(time.monotonic() * MILLISECONDS)

    def _reply(self, status=200, **fields):
        return _answer({"clockMs": self._clock(), "born": self.born, **fields}, status)

    def _advance(self):
        now = time.monotonic()
        for task, item in list(self.running.items()):
            if item.ends_at <= now:
                self._finish(task, item.run, item.kind)
            elif self.lease_end < now:
                self._finish(task, item.run, "lapsed")

    def _finish(self, task, run, kind):
        del self.running[task]
        self.number += 1
        self.ended.append([self.number, task, run, kind, ""])

    def _start(self, body, request):
        task, run = body["task"], body["run"]
        if body["untilMs"] <= self._clock():
            return self._reply(409, reason="late")
        self.lease_end = max(self.lease_end, body["untilMs"] / MILLISECONDS)
        if run <= self.latest.get(task, 0):
            return self._reply(409, reason="old")
        self.latest[task] = run
        self.starts.append((task, run))
        kind = "failed" if task in self.failing else "done"
        self.running[task] = _Running(run, time.monotonic() + self.duration, kind)
        if self.lost_starts:
            self.lost_starts -= 1
            request.transport.abort()
        return self._reply()

    def _stop(self, body):
        task, run = body["task"], body["run"]
        self.latest[task] = max(run, self.latest.get(task, 0))
        if task in self.running and self.running[task].run == run:
            self._finish(task, run, "stopped")
        return self._reply()

    async def _hold(self, body):
        self.lease_end = max(self.lease_end, body.get("untilMs", 0) / MILLISECONDS)
        self.ended = [row for row in self.ended if row[0] > body["ackCursor"]]
        end = time.monotonic() + body.get("waitMs", 0) / MILLISECONDS
        while not self.ended and time.monotonic() < end:
            await asyncio.sleep(POLL)
            self._advance()
        running = [[task, item.run, "", 50] for task, item in self.running.items()]
        return self._reply(running=running, ended=self.ended)


class MachinesStandIn:
    """The machines' interface with no machines."""

    async def handle(self, request):
        """Answer one call."""
        return _answer({"machines": [], "nextToken": None})
