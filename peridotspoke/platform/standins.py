"""Stand-ins for the platform's store, executors and machines, over loopback HTTP.

They follow the platform's published protocol and can inject faults, so that tests
run whole nodes, also with failures, without the platform.
"""

import asyncio
import base64
import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

__all__ = ["ExecutorStandIn", "MachinesStandIn", "MetadataStandIn", "serve_standin"]

PATH_PREFIX = "/peridotspoke/"
MS_PER_SECOND = 1000
MAX_LISTED_ENDS = 500  # in one response
POLL_INTERVAL = 0.005  # seconds between checks of a waiting call


async def serve_standin(handler):
    """Serve a handler on a free port of the loopback interface.

    Parameters
    ----------
    handler : callable
        Coroutine function from an `aiohttp.web.BaseRequest` to its response.

    Returns
    -------
    runner : aiohttp.web.ServerRunner
        Its ``cleanup()`` stops the server.
    address : str
        In the form ``host:port``.
    """
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


def _make_response(body=None, status=200):
    data = b"" if body is None else msgspec.json.encode(body)
    return web.Response(status=status, body=data, content_type="application/json")


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
        if self.items.pop(key, None) is not None:
            self.revision += 1
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
            return _make_response(status=503)
        name, _, rest = request.path.removeprefix(PATH_PREFIX).partition("/")
        call = getattr(self, "_" + name.replace("-", "_"), None)
        if call is None:
            return _make_response(status=404)
        fault = None
        if name == "kv-txn" and self.faults:
            fault = self.faults.pop(0)
        if fault == "busy":
            return _make_response(status=503)
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
            return _make_response({"asOf": self.revision}, 404)
        return _make_response({**item, "asOf": self.revision})

    async def _kv_range(self, request, _):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = [self.items[key] for key in keys[:500]]
        more = len(keys) > len(page)
        return _make_response({"items": page, "hasMore": more, "asOf": self.revision})

    async def _kv_watch(self, request, _):
        prefix, after = request.query["prefix"], int(request.query["after"])
        end = time.monotonic() + int(request.query["waitMs"]) / MS_PER_SECOND
        while True:
            if after < self.compacted_revision:
                return _make_response(status=410)
            events = [
                item
                for item in self.history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            if events or time.monotonic() > end or self.unavailable:
                return _make_response({"events": events, "asOf": self.revision})
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
                return _make_response({"items": current_items}, 412)
        if any(put["lease"] not in {0, *self.leases} for put in body["puts"]):
            return _make_response(status=404)
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self.remove(key)
        return _make_response({"revision": self.revision})

    async def _kv_lease(self, request, _):
        ttl = msgspec.json.decode(await request.read())["ttlMs"]
        lease = len(self.history) + len(self.leases) + self.calls + 1
        self.leases[lease] = (time.monotonic() + ttl / MS_PER_SECOND, ttl)
        return _make_response({"lease": lease, "ttlMs": ttl})

    async def _kv_keep(self, request, rest):
        lease = int(rest)
        if lease not in self.leases:
            return _make_response(status=404)
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / MS_PER_SECOND, ttl)
        return _make_response({"ttlMs": ttl})

    async def _kv_lease_end(self, request, rest):
        self._end_lease(int(rest))
        return _make_response({})


@dataclass(slots=True)
class _RunningTask:
    run: int
    began_at: float
    ends_at: float
    kind: str
    is_stopping: bool = False


@dataclass(slots=True)
class ExecutorStandIn:
    """Stand-in for an executor; all its tasks take the same time.

    Parameters
    ----------
    executor_id, pool : str
    duration : float, optional
        Run time of each task, in seconds.
    address : str, optional
        Address in the executor's heartbeat, in the form ``host:port``.
    born : int, optional
        Start of the executor's incarnation, in Unix milliseconds.
    fence : int, optional
        Highest fencing token received; calls with a lower one are refused.
    starts : list of (str, int), optional
        Task and run number of each start that was carried out.
    failing : set of str, optional
        Tasks that fail.
    silent : bool, optional
        Whether calls get no response.
    refuses_starts : bool, optional
        Whether each start is answered 503, as by an unhealthy executor.
    refused_starts : int, optional
        Number of starts that were so answered.
    stop_duration : float, optional
        Time that a stop takes, in seconds. Meanwhile the run is in neither list.
    intervals : list of (str, float, float), optional
        Each run that has ended: its task, and the monotonic times in seconds at which
        it began and ended.
    lost_start_responses : int, optional
        Number of next starts that are carried out without a response.
    running : dict of str to _RunningTask, optional
        The running tasks by name.
    ended : list of list, optional
        Ends of runs that have not been acknowledged, as sent: number, task, run, kind
        and checkpoint.
    latest_runs : dict of str to int, optional
        Highest run number that was started or stopped, by task.
    end_count : int, optional
        Number of the last end.
    lease_end : float, optional
        Time on the monotonic clock, in seconds, at which the lease on all runs ends.
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
    refuses_starts: bool = False
    refused_starts: int = 0
    stop_duration: float = 0.0
    intervals: list = field(default_factory=list)
    lost_start_responses: int = 0
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    latest_runs: dict = field(default_factory=dict)
    end_count: int = 0
    lease_end: float = 0.0

    def describe(self):
        """Return the heartbeat that the executor stores, as a dict."""
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
        """Handle one call."""
        if self.silent:
            await asyncio.sleep(3600)
        if request.headers.get("X-Expect-Instance") != self.executor_id:
            return _make_response(status=421)
        body = msgspec.json.decode(await request.read())
        if body.get("fence", 0) < self.fence:
            return self._reply(409, reason="fence")
        self.fence = body["fence"]
        self._advance()
        name = request.path.removeprefix(PATH_PREFIX)
        if name == "run-start" and self.refuses_starts:
            self.refused_starts += 1
            return _make_response(status=503)
        if name == "run-start":
            return self._start(body, request)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        return self._reply()

    def _clock(self):
        return int(time.monotonic() * MS_PER_SECOND)

    def _reply(self, status=200, **fields):
        return _make_response(
            {"clockMs": self._clock(), "born": self.born, **fields}, status
        )

    def _advance(self):
        now = time.monotonic()
        for task, item in list(self.running.items()):
            if item.ends_at <= now:
                self._finish(task, item.run, item.kind)
            elif self.lease_end < now:
                self._finish(task, item.run, "lapsed")

    def _finish(self, task, run, kind):
        began_at = self.running.pop(task).began_at
        self.intervals.append((task, began_at, time.monotonic()))
        self.end_count += 1
        self.ended.append([self.end_count, task, run, kind, ""])

    def _start(self, body, request):
        task, run = body["task"], body["run"]
        if body["untilMs"] <= self._clock():
            return self._reply(409, reason="late")
        self.lease_end = max(self.lease_end, body["untilMs"] / MS_PER_SECOND)
        if run <= self.latest_runs.get(task, 0):
            return self._reply(409, reason="old")
        self.latest_runs[task] = run
        self.starts.append((task, run))
        kind = "failed" if task in self.failing else "done"
        now = time.monotonic()
        self.running[task] = _RunningTask(run, now, now + self.duration, kind)
        if self.lost_start_responses:
            self.lost_start_responses -= 1
            request.transport.abort()
        return self._reply()

    def _stop(self, body):
        task, run = body["task"], body["run"]
        self.latest_runs[task] = max(run, self.latest_runs.get(task, 0))
        item = self.running.get(task)
        if item is not None and item.run == run and not item.is_stopping:
            item.ends_at = time.monotonic() + self.stop_duration
            item.kind, item.is_stopping = "stopped", True
            self._advance()
        return self._reply()

    async def _hold(self, body):
        self.lease_end = max(self.lease_end, body.get("untilMs", 0) / MS_PER_SECOND)
        self.ended = [row for row in self.ended if row[0] > body["ackCursor"]]
        end = time.monotonic() + body.get("waitMs", 0) / MS_PER_SECOND
        while not self.ended and time.monotonic() < end:
            await asyncio.sleep(POLL_INTERVAL)
            self._advance()
        running = [
            [task, item.run, "", 50]
            for task, item in self.running.items()
            if not item.is_stopping
        ]
        return self._reply(running=running, ended=self.ended[:MAX_LISTED_ENDS])


class MachinesStandIn:
    """Stand-in for the machines' interface; its list is empty."""

    async def handle(self, request):
        """Respond with the empty list of machines to any call."""
        return _make_response({"machines": [], "nextToken": None})
