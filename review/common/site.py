"""A small deployment on loopback: stand-ins, the project's nodes, and clients."""

import asyncio
import contextlib
import os
import random
import re
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from review.common.executor import Executor, Gangs
from review.common.store import Store, respond

ROOT = Path(__file__).parents[2]
HOST = "cuzi25.example"
# The bounds of kit/more/system/sites/fichas-lima.toml, as `fleetbench wire` shows them.
SETTINGS = """\
role=node
class=front
serves=front
zone=lima-a
region=lima
zones.lima-a=lima
internalPorts=7060,7075
seeds=
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoverS=12
bounds.holdMaxMs=6000
bounds.stopMs=400
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.fencingRequired=false
bounds.leaseMs=3000
bounds.thawMs=300
bounds.paceMs=100
bounds.harmMs=4000
orders=call
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


def has_trouble():
    """Return whether this play has its disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Site:
    """One play of a case; what happens in it is recorded in `record.txt`.

    `pools` maps the name of a service to its executors' keyword arguments.
    """

    def __init__(self, folder, pools, nodes=3, max_attempts=4):
        self._folder = Path(folder)
        self._begun = time.monotonic()
        self._lines = []
        self._tasks, self._runners, self._processes = [], [], []
        self._node_count, self._max_attempts = nodes, max_attempts
        self._session = self._temporary = None
        self._settings_files = []
        self._is_closing = False
        self.store = Store()
        self.fronts = []
        gangs = Gangs()
        self.executors = [
            Executor(
                f"i-{pool}-{number}", pool, self.store, self.record, gangs, **fields
            )
            for pool, all_fields in pools.items()
            for number, fields in enumerate(all_fields)
        ]
        self._pools = list(pools)

    def record(self, who, text):
        """Add a line to the record."""
        age = time.monotonic() - self._begun
        self._lines.append(f"{age:8.3f} {who}: {text}")

    async def __aenter__(self):
        self._temporary = tempfile.TemporaryDirectory()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=3.0),
        )
        for number, executor in enumerate(self.executors):
            await executor.open(number / len(self.executors))
            self._tasks.append(asyncio.ensure_future(executor.run()))
        self.store.put("op/config", msgspec.json.encode(self._make_config()))
        return self

    async def __aexit__(self, *_):
        self._is_closing = True
        for process in self._processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
                await process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()
        for runner in [*self._runners, *(item._runner for item in self.executors)]:
            await runner.cleanup()
        self._temporary.cleanup()
        text = "\n".join(self._lines) + "\n"
        (self._folder / "record.txt").write_text(text, encoding="utf-8")

    def _make_config(self):
        routes = [
            {
                "name": f"r-{pool}",
                "host": HOST,
                "prefix": f"/{pool}/",
                "kind": "unsafe",
                "timeoutMs": 3000,
                "targetLatencyMs": 2500,
                "priority": 0,
                "service": pool,
                "maxAttempts": self._max_attempts,
                "stretch": 2.2,
            }
            for pool in self._pools
        ]
        services = [
            {"name": pool, "admissionCheck": True, "spare": False}
            for pool in self._pools
        ]
        return {
            "version": 7,
            "routes": routes,
            "services": services,
            "limits": {"maxBodyBytes": 262144},
        }

    async def start_nodes(self):
        """Start the nodes by the command of the deploy file, until all are ready."""
        store = await self._serve(self.store.handle)
        cloud = await self._serve(self._list_machines)
        subnet = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"
        for number in range(1, self._node_count + 1):
            host = f"{subnet}.{number}"
            settings = SETTINGS + (
                f"node=front-lima-a-{number}\nip={host}\n"
                f"listen.front={host}:8624\nlisten.ready={host}:8622\n"
                f"platform.address={store}\ncloud.address={cloud}\n"
            )
            path = Path(self._temporary.name) / f"node-{number}.conf"
            path.write_text(settings, encoding="utf-8")
            self._processes.append(None)
            self.fronts.append(f"{host}:8624")
            self._settings_files.append(path)
            await self.start_node(number)
        await asyncio.gather(*(self._wait_until_ready(item) for item in self.fronts))

    async def start_node(self, number):
        """Start the process of a node, counted from 1, maybe once more.

        Nothing is started any more once the site is closing.
        """
        if self._is_closing:
            return
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        process = await asyncio.create_subprocess_exec(
            sys.executable if command[0] == "python3" else command[0],
            *command[1:],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "PERIDOTSPOKE_NODE_FILE": str(self._settings_files[number - 1]),
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        if self._is_closing:
            process.kill()
            await process.wait()
            return
        self._processes[number - 1] = process
        self._tasks.append(
            asyncio.ensure_future(self._read_log(f"node {number}", process))
        )

    async def _read_log(self, name, process):
        async for line in process.stdout:
            text = line.decode(errors="replace").rstrip()
            if not re.search(r"event=(demand-|prefix-|run-(ordered|ended))", text):
                self.record(name, text[:300])
        self.record(name, "its output has ended")

    async def _wait_until_ready(self, front):
        url = f"http://{front.rpartition(':')[0]}:8622/peridotspoke/ready"
        async with asyncio.timeout(30):
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with self._session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.1)

    async def _serve(self, handler):
        runner = web.ServerRunner(
            web.Server(handler, access_log=None), shutdown_timeout=0.5
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def _list_machines(self, request):
        if request.method != "GET":
            self.record("platform", f"an order for a machine: {request.path}")
            return respond({"reason": "busy"}, 409)
        machines = [
            {
                "machine": f"m-{item.name}",
                "pool": item.pool,
                "state": "up",
                "zone": "lima-a",
                "labels": [item.kind, item.rack],
                "capacity": item.capacity,
                "id": item.name,
            }
            for item in self.executors
        ]
        return respond({"machines": machines, "nextToken": None})

    async def wait_for_exit(self, number):
        """Wait until the process of a node has ended; return its exit status."""
        return await self._processes[number - 1].wait()

    def signal_node(self, number, which):
        """Send a signal to a node, counted from 1."""
        self.record("operator", f"{signal.Signals(which).name} to node {number}")
        self._processes[number - 1].send_signal(which)

    async def wait_until(self, is_reached, limit=20.0):
        """Wait until a condition holds; raise `TimeoutError` if it never does."""
        async with asyncio.timeout(limit):
            while True:
                if is_reached():
                    return
                await asyncio.sleep(0.02)

    async def call(self, method, pool, job_id="", body=None, node=None):
        """Call a node as a client; return the status and the decoded body."""
        front = self.fronts[node] if node is not None else random.choice(self.fronts)
        data = msgspec.json.encode(body) if body is not None else None
        url = f"http://{front}/{pool}/{job_id}"
        try:
            async with self._session.request(
                method,
                url,
                data=data,
                headers={
                    "Host": HOST,
                    "Content-Type": "application/json",
                    "X-Deadline-Ms": "3000",
                },
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            self.record("client", f"{method} /{pool}/{job_id} -> {error!r}")
            return 0, None
        answer = msgspec.json.decode(content) if content else None
        self.record("client", f"{method} /{pool}/{job_id} -> {status} {answer}")
        return status, answer

    async def submit(self, pool, steps, spec):
        """Hand a job in until it is accepted, at most 4 times again; return its ID."""
        job_id = f"{random.getrandbits(64):016x}"
        body = {"spec": msgspec.json.encode(spec).decode(), "steps": steps}
        for _ in range(5):
            status, _ = await self.call("POST", pool, job_id, body)
            if status == 200:
                return job_id
            await asyncio.sleep(0.5)
        return None

    async def wait_for(self, pool, job_id, states, limit):
        """Ask for a job each 0.25 s until it has one of the states; return the last."""
        end = time.monotonic() + limit
        state = None
        while time.monotonic() < end:
            status, answer = await self.call("GET", pool, job_id)
            state = answer["state"] if status == 200 else status
            if state in states:
                break
            await asyncio.sleep(0.25)
        return state

    def list_runs(self):
        """Return (task, run, executor, begin, end, how) of each run, by its record."""
        runs, open_runs = [], {}
        pattern = re.compile(
            r"\s*(\S+) executor (\S+): (start|end \d+) task=(\S+) run=(\d+)"
            r"(?: how=(\S+))?"
        )
        for line in self._lines:
            found = pattern.match(line)
            if found is None:
                continue
            at, name, what, task, run, how = found.groups()
            if what == "start":
                open_runs[name, task] = (float(at), int(run))
            elif (name, task) in open_runs:
                begin, number = open_runs.pop((name, task))
                runs.append((task, number, name, begin, float(at), how))
        now = time.monotonic() - self._begun
        for (name, task), (begin, number) in open_runs.items():
            runs.append((task, number, name, begin, now, "running"))
        return sorted(runs, key=lambda item: item[3])

    def find_twice(self):
        """Yield what breaks TWICE: runs of a task at once, or one after its `done`.

        An end `done` counts if it was taken note of while its lease had not run out.
        """
        noted = {
            (item.name, end.task, end.run)
            for item in self.executors
            for end in [*item.past_ends, *item.life.ends]
            if end.noted and not end.lapsed
        }
        by_task = {}
        for run in self.list_runs():
            by_task.setdefault(run[0], []).append(run)
        for task, runs in by_task.items():
            for number, (_, run, name, _, end, how) in enumerate(runs):
                for _, later, other, begin, _, _ in runs[number + 1 :]:
                    if begin < end:
                        yield (
                            f"{task}: run {later} began on {other} {end - begin:.2f} s "
                            f"before run {run} ended on {name} ({how})"
                        )
                    elif how == "done" and (name, task, run) in noted:
                        yield (
                            f"{task}: run {later} began on {other} {begin - end:.2f} s "
                            f"after run {run} had ended done on {name}, of which note "
                            "was taken"
                        )

    def conclude(self, rule, faults):
        """Record the outcome and return the exit status of the script."""
        for fault in faults:
            self.record("judge", f"{rule}: {fault}")
        self.record("judge", f"{rule} {'broken' if faults else 'held'}")
        print(f"{rule} {'broken' if faults else 'held'}: {len(faults)} findings")
        for fault in faults[:5]:
            print(f"  {fault}")
        return 1 if faults else 0


def play(main):
    """Run a case; the exit status is 2 if it couldn't run."""

    async def limited():
        async with asyncio.timeout(115):
            return await main()

    try:
        status = asyncio.run(limited())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        status = 2
    sys.exit(status)
