"""Stand-in for an executor, as PROTOCOL.md describes it.

The ``spec`` of a job is a JSON text that tells the stand-in what a task needs and how
long it takes, since an order to start names neither.
"""

import asyncio
import random
import socket
import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from review.common.store import respond

HEARTBEAT = 1.5  # seconds, as heartbeatMs
LISTED_ENDS = 500  # ends in one answer
HOLD_MAX_MS = 6000  # as bounds.holdMaxMs
GANG_WAIT = 3.0  # seconds, as gangMs
TICK = 0.01  # seconds
NEVER = 3600.0  # seconds; longer than any play
QUEUE_FILLERS = 4  # connections that fill the queue of a listener which accepts none


class Spec(msgspec.Struct):
    """What a job's spec says of each task: needs, duration, and gang size."""

    ms: int
    cpu: int = 0
    mem: int = 0
    gang: int = 0


@dataclass(slots=True)
class Work:
    """One run at an executor; a gang's run works once all its members are there."""

    run: int
    spec: Spec
    present_at: float
    begun_at: float | None = None
    percent: int = 0


@dataclass(slots=True)
class End:
    """One end, and whether the system has taken note of it."""

    number: int
    task: str
    run: int
    how: str
    at: float
    noted: bool = False
    lapsed: bool = False


@dataclass(slots=True)
class Life:
    """All that an executor knows in one life."""

    born: int
    started: float
    fence: int = 0
    cursor: int = 0
    lease_ms: int = 0
    running: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    latest: dict = field(default_factory=dict)


class Gangs:
    """The runs of gangs over all executors, as far as their members are present."""

    def __init__(self):
        self._members = {}

    def _find(self, task, run):
        return self._members.setdefault((task.rpartition(".")[0], run), {})

    def join(self, task, run, executor):
        """Note a member; the work of all begins once the last one is there."""
        members = self._find(task, run)
        members[task] = executor
        works = [item.life.running[name] for name, item in members.items()]
        if len(members) == works[0].spec.gang:
            for work in works:
                work.begun_at = time.monotonic()

    def leave(self, task, run, how):
        """End the other members as well, once one has ended."""
        others = self._find(task, run)
        others.pop(task, None)
        rest, copies = dict(others), "done" if how == "done" else "broken"
        others.clear()
        for name, executor in rest.items():
            work = executor.life.running.get(name)
            if work is not None and work.run == run:
                if executor.fails_all and how == "failed":
                    executor.end(name, "failed")
                else:
                    executor.end(name, copies)


class Executor:
    """An executor at a loopback address that beats into the store."""

    def __init__(
        self, name, pool, store, record, gangs, kind="a", rack="r1-1", cpu=32000
    ):
        self.name, self.pool, self.kind, self.rack = name, pool, kind, rack
        self._gangs = gangs
        self.capacity = {"cpu": cpu, "memMb": 65536, "gpu": 0}
        self.state, self.remaining_ms = "ready", None
        self.cut, self.unhealthy, self.fails_all = False, False, False
        self.address = ""
        self.life = self._new_life()
        self.past_ends = []
        self.down = False
        self._store, self._record = store, record
        self._seq, self._beaten_at = 0, 0.0
        self._runner = self._site = None
        self._transports = set()
        self._cut_sockets = []
        self.late_share, self._late = 0.0, []

    def _new_life(self):
        return Life(time.time_ns() // 1_000_000, time.monotonic())

    def log(self, text):
        """Record what happened here."""
        self._record(f"executor {self.name}", text)

    async def open(self, phase=0.0):
        """Listen on a free port and enter the store; a beat follows at a phase."""
        server = web.Server(self.handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.5)
        await self._runner.setup()
        await self._listen(0)
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self.beat()
        self._beaten_at -= phase * HEARTBEAT

    async def _listen(self, port):
        self._site = web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True)
        await self._site.start()

    async def close(self):
        """Stop listening."""
        await self._runner.cleanup()

    def beat(self):
        """Write the entry, as every heartbeat interval and at each change."""
        self._seq += 1
        self._beaten_at = time.monotonic()
        entry = {
            "service": self.pool,
            "address": self.address,
            "zone": "lima-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": [self.kind, self.rack],
            "clockMs": self._clock(),
            "seq": self._seq,
            "born": self.life.born,
        }
        if self.remaining_ms is not None:
            entry["remainingMs"] = self.remaining_ms
        self._store.put(f"servers/{self.name}", msgspec.json.encode(entry))

    def drain(self, remaining_ms):
        """Report `draining` to the store, as before a planned shutdown."""
        self.state, self.remaining_ms = "draining", remaining_ms
        self.log(f"reports draining, remainingMs={remaining_ms}")
        self.beat()

    async def cut_off(self):
        """Begin a silent cut: nothing is answered, and new connections hang.

        A listener whose queue is full drops the opening packets of new connections,
        as a partition does.
        """
        self.cut = True
        self.log("cut off: no answers, no new connections, no beats")
        await self._site.stop()
        port = int(self.address.rpartition(":")[2])
        listener = socket.create_server(("127.0.0.1", port), backlog=0)
        self._cut_sockets = [listener]
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
            self._cut_sockets.append(filler)

    async def heal(self):
        """End the cut; what was sent during it is lost."""
        for item in self._cut_sockets:
            item.close()
        self.cut = False
        self.log("the cut has healed")
        await self._listen(int(self.address.rpartition(":")[2]))
        self.beat()

    async def crash(self):
        """Lose all that runs here, and answer nothing until the restart."""
        self.log("crashes")
        self.down = self.cut = True
        for task in list(self.life.running):
            if task in self.life.running:
                self.end(task, "crashed")
        await self._site.stop()
        for transport in list(self._transports):
            transport.abort()

    async def restart(self, kind=None):
        """Begin a new life under the same identity, maybe of another kind."""
        self.past_ends += self.life.ends
        self.life = self._new_life()
        self.kind = kind or self.kind
        self.down = self.cut = False
        self.log(f"is back in a new life, kind {self.kind}")
        self.beat()
        await self._listen(int(self.address.rpartition(":")[2]))

    async def run(self):
        """Advance tasks, leases and beats until cancelled."""
        while True:
            self._advance()
            now = time.monotonic()
            if not self.cut and not self._store.silent:
                if now - self._beaten_at >= HEARTBEAT:
                    self.beat()
            elif self.cut and now - self._beaten_at >= 3 * HEARTBEAT:
                if f"servers/{self.name}" in self._store.items:
                    self.log("entry removed after three heartbeat intervals")
                self._store.remove(f"servers/{self.name}")
            await asyncio.sleep(TICK)

    def _clock(self):
        return int((time.monotonic() - self.life.started) * 1000)

    def _advance(self):
        now, life = time.monotonic(), self.life
        if self._clock() > life.lease_ms:
            for end in life.ends:
                end.lapsed = end.lapsed or not end.noted
            if life.running:
                self.log("the lease has run out")
            for task in list(life.running):
                if task in life.running:
                    self.end(task, "lapsed")
        for task, work in list(life.running.items()):
            if task not in life.running:
                continue
            if work.begun_at is None:
                if now - work.present_at > GANG_WAIT:
                    self.end(task, "alone")
                continue
            share = (now - work.begun_at) * 1000 / work.spec.ms
            work.percent = min(99, int(share * 100))
            if self.fails_all:
                self.end(task, "failed")
            elif share >= 1:
                self.end(task, "done")

    def end(self, task, how):
        """End a run that is here; a gang ends as a whole."""
        work = self.life.running.pop(task)
        number = self.life.ends[-1].number + 1 if self.life.ends else 1
        end = End(number, task, work.run, how, time.monotonic())
        self.life.ends.append(end)
        self.log(f"end {number} task={task} run={work.run} how={how}")
        if work.spec.gang:
            self._gangs.leave(task, work.run, how)

    async def handle(self, request):
        """Answer one call."""
        if self.cut:
            await asyncio.sleep(NEVER)
        self._transports.add(request.transport)
        body = msgspec.json.decode(await request.read())
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return respond(status=421)
        self._advance()
        if body.get("fence", 0) < self.life.fence:
            return self._reply(409, reason="fence")
        name = request.path.removeprefix("/peridotspoke/")
        if name in ("run-start", "run-stop") and random.random() < self.late_share:
            self._late.append(asyncio.ensure_future(self._carry_out_late(name, body)))
            await asyncio.sleep(NEVER)
        self.life.fence = body.get("fence", 0)
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        return self._reply()

    async def _carry_out_late(self, name, body):
        """Carry out an order that got no answer, unless this life has ended."""
        life = self.life
        await asyncio.sleep(random.uniform(2.0, 5.0))
        if self.life is not life or self.cut or body["fence"] < life.fence:
            return
        life.fence = body["fence"]
        self.log(f"carries out late: {name} task={body['task']}")
        (self._start if name == "run-start" else self._stop)(body)

    def _reply(self, status=200, **fields):
        return respond(
            {"clockMs": self._clock(), "born": self.life.born, **fields}, status
        )

    def _extend(self, until_ms):
        if until_ms is not None:
            until_ms = min(until_ms, self._clock() + HOLD_MAX_MS)
            self.life.lease_ms = max(self.life.lease_ms, until_ms)

    def _start(self, body):
        task, run, life = body["task"], body["run"], self.life
        if self.unhealthy:
            self.log(f"start refused with 503 task={task} run={run}")
            return respond(status=503)
        if body["untilMs"] <= self._clock():
            return self._reply(409, reason="late")
        known = life.running.get(task)
        if known is not None and known.run == run:
            return self._reply()
        self._extend(body["untilMs"])
        if run <= life.latest.get(task, 0):
            return self._reply(409, reason="old")
        spec = msgspec.json.decode(body["spec"].encode(), type=Spec)
        works = life.running.values()
        if (
            sum(work.spec.cpu for work in works) + spec.cpu > self.capacity["cpu"]
            or sum(work.spec.mem for work in works) + spec.mem > self.capacity["memMb"]
        ):
            return self._reply(409, reason="room")
        life.latest[task] = run
        now = time.monotonic()
        life.running[task] = Work(run, spec, now, None if spec.gang else now)
        self.log(f"start task={task} run={run} fence={body['fence']}")
        if spec.gang:
            self._gangs.join(task, run, self)
        return self._reply()

    def _stop(self, body):
        task, run, life = body["task"], body["run"], self.life
        life.latest[task] = max(run, life.latest.get(task, 0))
        work = life.running.get(task)
        if work is not None and work.run == run:
            self.end(task, "stopped")
        return self._reply()

    async def _hold(self, body):
        life, cursor = self.life, body["ackCursor"]
        self._extend(body.get("untilMs"))
        for end in life.ends:
            if not end.noted and end.number <= cursor and not end.lapsed:
                end.noted = True
        life.cursor = max(life.cursor, cursor)
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self._list_ends() and time.monotonic() < until:
            await asyncio.sleep(TICK / 2)
            self._advance()
        if self.cut:
            await asyncio.sleep(NEVER)
        running = [
            [task, work.run, "", work.percent, work.spec.cpu]
            for task, work in life.running.items()
        ]
        ended = [
            [end.number, end.task, end.run, end.how, ""] for end in self._list_ends()
        ]
        return self._reply(running=running, ended=ended)

    def _list_ends(self):
        life = self.life
        return life.ends[life.cursor : life.cursor + LISTED_ENDS]
