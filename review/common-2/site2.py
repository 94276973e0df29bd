"""A small deployment of stand-ins and node processes, on loopback addresses."""

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

from peridotspoke.platform.standins import make_response
from peridotspoke.platform.storestandin import MetadataStandIn

__all__ = ["Executor", "Job", "Machines", "Record", "Site", "main"]

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
LISTED_HEARTBEATS = 3  # an entry is removed after as many intervals of silence
HOLD_MAX_S = 6.0
STOP_S = 0.4
GANG_S = 3.0
MOVE_S = 1.5
MS = 1000
HOST = "jobs.example"
SETTINGS = """\
node={name}
role=node
class=front
serves=front
ip={host}
zone=zone-a
region=region
listen.front={host}:8624
listen.ready={host}:8622
listen.control={host}:8623
internalPorts=7060,7075
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
heartbeatMs=1500
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configMs=2000
bounds.holdMaxMs=6000
bounds.stopMs=400
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.status_s=120
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.leaseMs=3000
orders=call
advice={advice}
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloud.address={machines}
cloud.ratePerS=64.0
cloud.dutyPerS=64.0
"""


class Record:
    """What was sent, answered and run, as lines with the time since the begin."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8", buffering=1)
        self._begun_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        print(f"{time.monotonic() - self._begun_at:8.3f} {text}", file=self._file)


class Job:
    """What the executors know of a job: its steps, and how long tasks take.

    Parameters
    ----------
    job_id : str
    steps : list of dict
        As the client sends them.
    seconds : float
        Work of each task.
    """

    def __init__(self, job_id, steps, seconds):
        self.job_id, self.steps, self.seconds = job_id, steps, seconds
        self.starts = []  # (time, task, run, executor)
        self.ends = []  # (time, task, run, how, executor)
        self.gangs = {}  # members by (occurrence, step, run)

    def find_step(self, task):
        """Return the step of a task's name."""
        return self.steps[int(task.split(".")[2])]


class _Run:
    def __init__(self, task, number, job, step):
        self.task, self.number, self.job, self.step = task, number, job, step
        self.began_at = time.monotonic()
        self.works_since = None if step.get("gang") else self.began_at
        self.stops_at = None
        self.gang = None


class Executor:
    """A sound executor, as PROTOCOL.md describes it; it may be made unhealthy."""

    def __init__(self, site, executor_id, pool, labels, cpu=32000, mem_mb=65536):
        self.site, self.executor_id, self.pool = site, executor_id, pool
        self.labels, self.cpu, self.mem_mb = labels, cpu, mem_mb
        self.address, self._runner, self._beating = "", None, None
        self.noted = {}  # when and how an end was taken note of, by task and run
        self.leaves_next_start = False  # without an answer, to carry it out later
        self.late_starts = []
        self.is_cut_off = False  # from the nodes; it goes on reaching the store
        self.fails_all = False  # "an unhealthy executor may fail everything it runs"
        self._sequence = 0
        self._begin_life()

    def _begin_life(self):
        self.born = int(time.time() * MS)
        self._born_at = time.monotonic()
        self.fence, self.lease_end = 0, 0.0
        self.running, self.ended, self.highest = {}, [], {}
        self.end_count = 0

    async def open(self, beats=True):
        """Listen, and register in the store."""
        host, _, port = (self.address or f"{self.site.new_host()}:0").rpartition(":")
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None), shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        self._advancing = asyncio.ensure_future(self._advance_often())
        if beats:
            self._beating = asyncio.ensure_future(self._beat())

    async def close(self, how="crashed"):
        """End; everything that runs here ends with it."""
        for task in (self._beating, self._advancing):
            if task is not None:
                task.cancel()
        for run in list(self.running.values()):
            self._end(run, how, listed=False)
        await self._runner.cleanup()

    async def restart(self, labels=None, beats=True):
        """Start again under the same identity, at the same address."""
        self._begin_life()
        self.labels = labels or self.labels
        await self.open(beats)

    def remove_entry(self):
        """Remove the entry of an executor that has left."""
        self.site.store.remove(f"servers/{self.executor_id}")

    def count_beats(self):
        """Return how often it has reported to the store."""
        return self._sequence

    def resume_beats(self):
        """Report to the store again."""
        self._beating = asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            self._sequence += 1
            self.site.store.put(f"servers/{self.executor_id}", self._describe())
            await asyncio.sleep(HEARTBEAT_S)

    def _describe(self):
        return {
            "service": self.pool,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
            "labels": self.labels,
            "seq": self._sequence,
            "born": self.born,
        }

    def count_free(self):
        """Return the free thousandths of a core."""
        return self.cpu - sum(run.step.get("cpu", 0) for run in self.running.values())

    def _clock(self):
        return int((time.monotonic() - self._born_at) * MS)

    def _reply(self, status=200, **fields):
        return make_response(
            {"clockMs": self._clock(), "born": self.born, **fields}, status
        )

    async def _handle(self, request):
        if self.is_cut_off:
            return await self._lose(request)
        response = await self._answer(request)
        return await self._lose(request) if self.is_cut_off else response

    def carry_out_late_starts(self):
        """Carry out what was left unanswered, as if it came just now."""
        while self.late_starts:
            body = self.late_starts.pop(0)
            self.site.record.write(f"{self.executor_id} gets {body['task']} late")
            if body["fence"] >= self.fence:
                self._start(body)

    async def _lose(self, request, seconds=0.0):
        """Let a call, or its answer, be lost: nothing arrives."""
        await asyncio.sleep(seconds)
        await self.site.wait_until(lambda: not self.is_cut_off, 60)
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError

    async def _answer(self, request):
        if request.headers.get("X-Expect-Instance") != self.executor_id:
            return make_response(status=421)
        body = json.loads(await request.read())
        name = request.path.rpartition("/")[2]
        if body.get("fence", 0) < self.fence:
            return self._reply(409, reason="fence")
        self.fence = max(self.fence, body.get("fence", 0))
        self._advance()
        if name == "run-start" and self.leaves_next_start:
            self.leaves_next_start = False
            self.late_starts.append(body)
            self.site.record.write(
                f"{self.executor_id} leaves {body['task']} unanswered"
            )
            return await self._lose(request, 10.0)
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        return self._reply()

    def _extend(self, until_ms):
        self.lease_end = max(self.lease_end, min(until_ms / MS, self._now() + 6.0))

    def _now(self):
        return time.monotonic() - self._born_at

    def _start(self, body):
        task, number, until = body["task"], body["run"], body["untilMs"] / MS
        present = self.running.get(task)
        if present is not None and present.number == number:
            self._extend(body["untilMs"])
            return self._reply()
        if until <= self._now():
            return self._reply(409, reason="late")
        self._extend(body["untilMs"])
        if number <= self.highest.get(task, 0):
            return self._reply(409, reason="old")
        job = self.site.jobs[task.split(".")[0]]
        step = job.find_step(task)
        if step.get("cpu", 0) > self.count_free():
            return self._reply(409, reason="room")
        reason = self.site.check_ticket(self, task, body.get("ticket", ""))
        if reason:
            self.site.record.write(f"{self.executor_id} refuses {task}: {reason}")
            return self._reply(409, reason=reason)
        run = _Run(task, number, job, step)
        self.running[task] = run
        if step.get("requires", "") not in ("", *self.labels):
            self.site.wrong_kinds.append((task, number, self.executor_id))
            self.site.record.write(f"{task} requires {step['requires']}")
        job.starts.append((time.monotonic(), task, number, self))
        self.site.record.write(
            f"{self.executor_id} starts {task} run {number} labels {self.labels}"
        )
        if step.get("gang"):
            self._join(run)
        return self._reply()

    def _join(self, run):
        _, occurrence, step, _ = run.task.split(".")
        run.gang = run.job.gangs.setdefault((occurrence, step, run.number), [])
        run.gang.append((self, run))
        if len(run.gang) == run.step["count"]:
            for _, member in run.gang:
                member.works_since = time.monotonic()

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S / 4
        return self._reply()

    async def _hold(self, body):
        cursor = body.get("ackCursor", 0)
        for number, task, run, how, _ in self.ended:
            if number <= cursor:
                self.noted[task, run] = (time.monotonic(), how)
        self.ended = [row for row in self.ended if row[0] > cursor]
        if "untilMs" in body:
            self._extend(body["untilMs"])
        wait = min(body.get("waitMs", 0), 2000) / MS
        await self.site.wait_until(lambda: self.ended, wait)
        self._advance()
        running = [
            [run.task, run.number, "", self._find_percent(run), 0]
            for run in self.running.values()
        ]
        return self._reply(running=running, ended=self.ended[:500])

    def _find_percent(self, run):
        if run.works_since is None:
            return 0
        if run.step.get("longRunning"):
            return 100
        share = (time.monotonic() - run.works_since) / run.job.seconds
        return min(99, int(100 * share))

    async def _advance_often(self):
        while True:
            self._advance()
            await asyncio.sleep(0.01)

    def _advance(self):
        now = time.monotonic()
        if self.running and self._now() > self.lease_end:
            for run in list(self.running.values()):
                self._end(run, "lapsed")
        for run in list(self.running.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self._end(run, "stopped")
            elif run.works_since is None:
                if now - run.began_at > GANG_S:
                    self._end(run, "alone")
            elif self.fails_all and now - run.works_since > 0.1:
                self._end(run, "failed")
            elif self.site.is_poison(run) and (
                now - run.works_since > self.site.fails_after
            ):
                self._end(run, "failed")
            elif not run.step.get("longRunning") and (
                now - run.works_since >= run.job.seconds
            ):
                self._end(run, "done")

    def _end(self, run, how, listed=True):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        run.job.ends.append((time.monotonic(), run.task, run.number, how, self))
        self.site.record.write(
            f"{self.executor_id} ends {run.task} run {run.number}: {how}"
        )
        if listed:
            self.end_count += 1
            self.ended.append([self.end_count, run.task, run.number, how, ""])
        if run.gang is None:
            return
        # What fails by its executor's fault fails on that executor as a whole; the
        # members elsewhere end as broken, or as done together with this one.
        for executor, member in run.gang:
            if member is run:
                continue
            if how == "failed" and executor is self and self.fails_all:
                executor._end(member, "failed")
            else:
                executor._end(member, "done" if how == "done" else "broken")


class Machines:
    """The platform's interface for machines: a list, and moves between pools."""

    def __init__(self, site):
        self.site, self.machines, self._count = site, {}, 0

    def add(self, executor):
        """Add the machine of an executor."""
        name = f"m-{len(self.machines):02d}"
        self.machines[name] = {
            "executor": executor,
            "pool": executor.pool,
            "state": "up",
        }

    async def handle(self, request):
        """Handle one call."""
        name = request.path.rpartition("/")[2]
        if name == "machines":
            rows = [self._describe(key, row) for key, row in self.machines.items()]
            return make_response({"machines": rows, "nextToken": None})
        body = json.loads(await request.read())
        row = self.machines.get(body["machine"])
        if row is None or name != "machine-move":
            return make_response(status=400)
        if row["pool"] == body["pool"] and row["state"] == "up":
            return make_response({})
        if row["state"] != "up":
            return make_response({"reason": "busy"}, 409)
        self.site.record.write(f"machine {body['machine']} moves to {body['pool']}")
        row["state"] = "moving"
        self.site.spawn(self._move(body["machine"], row, body["pool"]))
        return make_response({})

    def _describe(self, name, row):
        executor = row["executor"]
        template = row.get("template", executor)
        return {
            "machine": name,
            "pool": row["pool"],
            "state": row["state"],
            "zone": "zone-a",
            "labels": template.labels,
            "capacity": {"cpu": template.cpu, "memMb": template.mem_mb, "gpu": 0},
            "id": executor.executor_id if executor is not None else "",
        }

    async def _move(self, name, row, pool):
        old = row["executor"] or row["template"]
        if row["executor"] is not None:
            await row["executor"].close("moved")
            row["executor"].remove_entry()
            self.site.executors.remove(row["executor"])
        await asyncio.sleep(MOVE_S)
        row["pool"], row["state"], row["template"] = pool, "up", old
        if pool == "spare":
            row["executor"] = None
            return
        self._count += 1
        row["executor"] = await self.site.add_executor(
            f"{old.executor_id}-{self._count}", pool, old.labels
        )


class _Node:
    """A node process, started by the command of the deploy file."""

    def __init__(self, site, name):
        self.site, self.name, self.host = site, name, site.new_host()
        self.process, self.is_wanted = None, True
        self.exits = []
        self.path = site.folder / f"{name}.conf"

    def write_settings(self, extra=""):
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            store=self.site.store_address,
            machines=self.site.machines_address,
            advice=self.site.advice_address,
        )
        changed = self.path.with_suffix(".new")
        changed.write_text(text + extra, encoding="utf-8")
        os.replace(changed, self.path)

    async def start(self):
        self.write_settings()
        await self._start()

    async def _start(self):
        log = _open_log(self.site.folder / f"{self.name}.log")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PERIDOTSPOKE_NODE_FILE": str(self.path),
        }
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "peridotspoke.programs.node",
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.site.record.write(f"{self.name} started")

    def send(self, number):
        self.site.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def _open_log(path):
    return open(path, "ab")


class Site:
    """The stand-ins of one small deployment, and its nodes.

    Parameters
    ----------
    record : Record
    routes : list of dict
        Of the first configuration.
    """

    def __init__(self, record, routes, services=("pool",), spare=False):
        self.record = record
        self.store = MetadataStandIn()
        self.machines = Machines(self)
        self.executors, self.nodes, self.jobs = [], [], {}
        self.poison, self.wrong_kinds = set(), []
        self.fails_after = 0.2  # seconds until a poison task fails
        self.tickets = {}
        self.routes, self.version = routes, 1
        self.services = [{"name": name, "admissionCheck": True} for name in services]
        if spare:
            self.services.append(
                {"name": "spare", "admissionCheck": True, "spare": True}
            )
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self._tasks, self._runners = set(), []
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._hosts = 0
        self.store_address = self.machines_address = self.advice_address = ""
        self.advise = None

    def new_host(self):
        """Return a loopback address that nothing else here uses."""
        self._hosts += 1
        return f"{self._net}.{self._hosts}"

    def spawn(self, coroutine):
        """Run a coroutine as a task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def check_ticket(self, executor, task, ticket):
        """Return why an executor rejects a ticket, or an empty string."""
        return ""

    def count_wrong_kind(self):
        """Return the number of starts on executors without the label required."""
        return len(self.wrong_kinds)

    def is_poison(self, run):
        """Return whether a run fails by its own fault."""
        return run.job.job_id in self.poison

    async def open(self):
        """Serve the stand-ins, and write the first configuration."""
        self.store_address = await self._serve(self.store.handle)
        self.machines_address = await self._serve(self.machines.handle)
        if self.advise is not None:
            self.advice_address = await self._serve(self.advise)
        self.configure()

    async def _serve(self, handler):
        runner = web.ServerRunner(
            web.Server(handler, access_log=None), shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, self.new_host(), 0).start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    def configure(self, routes=None):
        """Write the next version of the configuration, as the operator does."""
        self.routes = self.routes if routes is None else routes
        self.version += 3
        value = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", value)
        names = [route["name"] for route in self.routes]
        self.record.write(f"configuration {self.version}: routes {names}")

    async def add_executor(self, executor_id, pool="pool", labels=("a", "rack-1")):
        """Start an executor."""
        executor = Executor(self, executor_id, pool, list(labels))
        await executor.open()
        self.executors.append(executor)
        return executor

    async def start_node(self, name):
        """Start a node process."""
        node = _Node(self, name)
        self.nodes.append(node)
        await node.start()
        return node

    async def call(self, node, method, path, body=None, wait=3.0):
        """Call a node as a client; return the status, or 0, and the body."""
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(
                    method,
                    f"http://{node.host}:8624{path}",
                    json=body,
                    headers={"Host": HOST, "X-Deadline-Ms": str(int(wait * MS))},
                    timeout=aiohttp.ClientTimeout(total=wait),
                ) as response,
            ):
                text = await response.read()
                return response.status, json.loads(text) if text else None
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return 0, repr(error)

    async def submit(self, node, path, job):
        """Hand a job in until it is accepted."""
        self.jobs[job.job_id] = job
        body = {"spec": "s", "steps": job.steps}
        async with asyncio.timeout(30):
            while True:
                status, _ = await self.call(node, "POST", path + job.job_id, body)
                self.record.write(f"client hands {job.job_id} in: {status}")
                if status == 200:
                    return
                await asyncio.sleep(0.3)

    async def show(self, node, path, job):
        """Return the state that a node shows of a job, or the status."""
        status, body = await self.call(node, "GET", path + job.job_id)
        state = body["state"] if status == 200 else status
        self.record.write(f"client asks for {job.job_id}: {state}")
        return state

    async def wait_until(self, condition, limit):
        """Wait until a condition holds; return whether it did in time."""
        end = time.monotonic() + limit
        while not condition():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.01)
        return True

    async def close(self):
        """End all processes and stand-ins."""
        for node in self.nodes:
            await node.end()
        for task in list(self._tasks):
            task.cancel()
        for executor in list(self.executors):
            await executor.close("closed")
        for runner in self._runners:
            await runner.cleanup()
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self._folder.cleanup()


def main(play, folder):
    """Play a case and exit with its result.

    Parameters
    ----------
    play : callable
        Coroutine function from a `Record` and whether to disrupt, to 0, 1 or 2.
    folder : pathlib.Path
        Gets the record.
    """
    record = Record(folder / "record.txt")
    disrupt = os.environ.get("TROUBLE", "1") != "0"
    record.write("with the disruption" if disrupt else "without the disruption")

    async def play_limited():
        async with asyncio.timeout(115):
            return await play(record, disrupt)

    try:
        result = asyncio.run(play_limited())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        result = 2
    record.write(f"exit {result}")
    sys.exit(result)
