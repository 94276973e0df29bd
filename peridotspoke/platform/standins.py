"""Stand-ins for the platform's executors and machines, over loopback HTTP.

They follow the platform's published protocol and can inject faults, so that tests
run whole nodes, also with failures, without the platform.
"""

import asyncio
import math
import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

__all__ = ["ExecutorStandIn", "MachinesStandIn", "make_response", "serve_standin"]

PATH_PREFIX = "/peridotspoke/"
MS_PER_SECOND = 1000
MAX_LISTED_ENDS = 500  # in one response
SHUTDOWN_TIMEOUT = 0.5  # seconds that calls without a response are waited for
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
    runner = web.ServerRunner(
        web.Server(handler, access_log=None), shutdown_timeout=SHUTDOWN_TIMEOUT
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


def make_response(body=None, status=200):
    """Return a response with a body that is encoded as JSON, or without one."""
    data = b"" if body is None else msgspec.json.encode(body)
    return web.Response(status=status, body=data, content_type="application/json")


@dataclass(slots=True)
class _RunningTask:
    run: int
    began_at: float
    ends_at: float
    kind: str
    is_stopping: bool = False

    def find_percent(self, now):
        """Return how much of the run is done, percent, at monotonic seconds."""
        if self.ends_at == math.inf:  # a task that lasts
            return 100
        share = (now - self.began_at) / (self.ends_at - self.began_at)
        return min(99, int(100 * share))


@dataclass(slots=True, eq=False)
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
            return make_response(status=421)
        body = msgspec.json.decode(await request.read())
        if body.get("fence", 0) < self.fence:
            return self._reply(409, reason="fence")
        self.fence = body["fence"]
        self._advance()
        name = request.path.removeprefix(PATH_PREFIX)
        if name == "run-start" and self.refuses_starts:
            self.refused_starts += 1
            return make_response(status=503)
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
        return make_response(
            {"clockMs": self._clock(), "born": self.born, **fields}, status
        )

    def _advance(self):
        now = time.monotonic()
        for task, item in list(self.running.items()):
            if item.ends_at <= min(now, self.lease_end):
                self._finish(task, item.kind, item.ends_at)
            elif self.lease_end < now:
                self._finish(task, "lapsed", self.lease_end)

    def _finish(self, task, kind, ended_at):
        item = self.running.pop(task)
        run = item.run
        self.intervals.append((task, item.began_at, ended_at))
        self.end_count += 1
        self.ended.append([self.end_count, task, run, kind, ""])

    def _start(self, body, request):
        task, run = body["task"], body["run"]
        if body["untilMs"] <= self._clock():
            return self._reply(409, reason="late")
        self._extend(body["untilMs"])
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

    def _extend(self, until_ms):
        self.lease_end = max(self.lease_end, until_ms / MS_PER_SECOND)

    def _acknowledge(self, cursor):
        self.ended = [row for row in self.ended if row[0] > cursor]

    async def _hold(self, body):
        self._extend(body.get("untilMs", 0))
        self._acknowledge(body["ackCursor"])
        end = time.monotonic() + body.get("waitMs", 0) / MS_PER_SECOND
        while not self.ended and time.monotonic() < end:
            await asyncio.sleep(POLL_INTERVAL)
            self._advance()
        now = time.monotonic()
        running = [
            [task, item.run, "", item.find_percent(now)]
            for task, item in self.running.items()
            if not item.is_stopping
        ]
        return self._reply(running=running, ended=self.ended[:MAX_LISTED_ENDS])


class MachinesStandIn:
    """Stand-in for the machines' interface.

    Attributes
    ----------
    machines : list of dict
        The machines as they are listed; none at first.
    """

    def __init__(self):
        self.machines = []

    async def handle(self, request):
        """Respond with the list of machines to any call."""
        return make_response({"machines": self.machines, "nextToken": None})
