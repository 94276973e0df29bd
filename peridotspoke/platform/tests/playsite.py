"""Stand-ins for a fleet of several pools, with node processes on loopback."""

import asyncio
import contextlib
import os
import random
import signal
import subprocess
import sys
import time

import aiohttp

from peridotspoke.platform.standins import MS_PER_SECOND, serve_standin
from peridotspoke.platform.tests.playexecutors import Gangs, PlayExecutor
from peridotspoke.platform.tests.playservices import (
    Listener,
    PlayMachines,
    PlayStore,
)

__all__ = ["HOST", "POOLS", "PlaySite"]

HOST = "jobs.example"
POOLS = ("north", "south", "spare")
SPARE = "spare"
MACHINES_OF_POOL = 4
MOVE_DURATION = 1.5  # seconds, as moveS
UPKEEP_DURATION = 2.0  # seconds, as upkeepS
TICK = 0.01  # seconds
AGES = (20.0, 600.0)  # seconds for which executors have run before the play
READY_TIMEOUT = 40  # seconds
# The bounds of the users' sites.
SETTINGS = """\
zone=lima-a
heartbeatMs=1500
limits.cpuShare=0.537
limits.cores=2
limits.linkMbps=1000.0
bounds.drainMs=2000
bounds.graceS=6
bounds.stopMs=400
bounds.gangMs=3000
bounds.status_s=120
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.leaseMs=3000
bounds.configMs=2000
platform.writesPerS=400
platform.readsPerS=2000
platform.ttlMinMs=1000
"""


class PlaySite:
    """The stand-ins of one play and the node processes that use them.

    Parameters
    ----------
    folder : pathlib.Path
        Gets ``record.txt`` and the log of each node.
    node_count : int
    longest_lease : float, optional
        Seconds, as holdMaxMs.
    extra_settings : str, optional
        More lines of the nodes' settings.

    Attributes
    ----------
    executors : list of PlayExecutor
        The present executor of each machine.
    listeners : dict of PlayExecutor to Listener
        The address that each of them has.
    runs : list of RunRecord
        All runs so far.
    waves : dict of int to dict
        The maintenance waves that were asked for, by number.
    processes : dict of str to subprocess.Popen
        The latest process of each node.
    fronts : dict of str to str
        Address of each node for callers.
    lines : list of str
        The record so far.
    life_count : int
        Number of executors that a move or an upkeep has started.
    runners : list of ServerRunner
        Servers of the stand-ins.
    tasks : set of asyncio.Task
        What runs beside the play.
    """

    def __init__(self, folder, node_count, longest_lease=6.0, extra_settings=""):
        self.folder, self.node_count = folder, node_count
        self.longest_lease, self.extra_settings = longest_lease, extra_settings
        self.store, self.machines = PlayStore(self), PlayMachines(self)
        self.gangs = Gangs()
        self.runs, self.lines, self.waves, self.processes = [], [], {}, {}
        self.fronts, self.runners, self.tasks, self.listeners = {}, [], set(), {}
        self.begun_at, self.life_count = time.monotonic(), 0
        self.is_closing = False
        self.executors = []
        for pool in POOLS:
            for number in range(MACHINES_OF_POOL):
                rack = f"r-{number // 2}"
                machine, name = f"m-{pool}-{number}", f"i-{pool}-{number}"
                age = random.uniform(*AGES)
                executor = PlayExecutor(name, pool, self, machine, rack, age)
                self.executors.append(executor)

    def record(self, who, text):
        """Add a line to the record."""
        age = time.monotonic() - self.begun_at
        self.lines.append(f"{age:8.3f} {who}: {text}")

    def spawn(self, coroutine):
        """Run a coroutine beside the play."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self, config):
        """Start the stand-ins and the nodes, until all nodes are ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for executor in self.executors:
            self.listeners[executor] = listener = Listener(executor)
            await listener.open()
            self.runners.append(listener.runner)
            if executor.pool == SPARE:  # "its machines are off" (PROTOCOL.md)
                executor.is_off = executor.down = True
            executor.beat()
        self.store.put("op/config", config)
        self.spawn(self._advance())
        machines = await self._serve(self.machines.handle)
        subnet = f"127.{os.getpid() % 200 + 10}.{os.getpid() // 200 % 250}"
        for number in range(1, self.node_count + 1):
            await self._prepare_node(f"node-{number}", f"{subnet}.{number}", machines)
        await asyncio.gather(*(self._wait_until_ready(name) for name in self.fronts))

    async def _serve(self, handler):
        runner, address = await serve_standin(handler)
        self.runners.append(runner)
        return address

    async def _prepare_node(self, name, host, machines):
        store = await self._serve(self.store.make_handler(name))
        settings = SETTINGS + (
            f"bounds.holdMaxMs={round(self.longest_lease * MS_PER_SECOND)}\n"
            f"node={name}\nlisten.front={host}:8624\nlisten.ready={host}:8622\n"
            f"platform.address={store}\ncloud.address={machines}\n"
            f"{self.extra_settings}"
        )
        (self.folder / f"{name}.conf").write_text(settings, encoding="utf-8")
        self.fronts[name] = f"{host}:8624"
        self.start_node(name)

    def start_node(self, name):
        """Start the process of a node, maybe once more."""
        if self.is_closing:
            return
        variables = {"PERIDOTSPOKE_NODE_FILE": str(self.folder / f"{name}.conf")}
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-B", "-m", "peridotspoke.programs.node"],
                env=os.environ | variables,
                stdout=log,
                stderr=log,
            )
        self.record("operator", f"starts {name} pid={self.processes[name].pid}")

    def signal_node(self, name, number):
        """Send a signal to a node that runs."""
        process = self.processes[name]
        if process.poll() is None:
            self.record("operator", f"{signal.Signals(number).name} to {name}")
            process.send_signal(number)

    async def _wait_until_ready(self, name):
        url = f"http://{self.fronts[name].rpartition(':')[0]}:8622/peridotspoke/ready"
        async with (
            asyncio.timeout(READY_TIMEOUT),
            aiohttp.ClientSession() as session,
        ):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.1)

    async def _advance(self):
        while True:
            for executor in list(self.executors):
                executor.advance()
            await asyncio.sleep(TICK)

    def find_machine(self, machine):
        """Return the last executor of a machine, or None."""
        return next((e for e in self.executors if e.machine == machine), None)

    def replace_executor(self, executor, pool, in_upkeep):
        """End an executor by a move or an upkeep; its machine gets another one."""
        executor.crash()
        executor.has_left, executor.in_upkeep = True, in_upkeep
        if random.random() < 0.5:
            self.store.remove(f"servers/{executor.executor_id}")
        else:  # "or after three heartbeat intervals of silence"
            self.spawn(self._remove_entry_late(executor))
        executor.pool = pool
        self.spawn(self._add_successor(executor, pool))

    async def _remove_entry_late(self, executor):
        await asyncio.sleep(4.5)
        self.store.remove(f"servers/{executor.executor_id}")

    async def _add_successor(self, executor, pool):
        await asyncio.sleep(UPKEEP_DURATION if executor.in_upkeep else MOVE_DURATION)
        self.life_count += 1
        name = f"i-{pool}-x{self.life_count}"
        successor = PlayExecutor(name, pool, self, executor.machine, executor.rack)
        successor.is_off = successor.down = pool == SPARE
        listener = self.listeners.pop(executor)
        listener.executor, successor.address = successor, listener.address
        self.listeners[successor] = listener
        self.executors[self.executors.index(executor)] = successor
        self.record(name, f"joins {pool} as {executor.machine}")
        successor.beat()

    def swap_addresses(self, one, other):
        """Give each of two executors the address of the other."""
        first, second = self.listeners[one], self.listeners[other]
        self.listeners[one], self.listeners[other] = second, first
        for executor, listener in ((one, second), (other, first)):
            listener.executor, executor.address = executor, listener.address

    async def close(self):
        """End the nodes and the stand-ins and write the record."""
        self.is_closing = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()
        text = "\n".join(self.lines) + "\n"
        (self.folder / "record.txt").write_text(text, encoding="utf-8")
