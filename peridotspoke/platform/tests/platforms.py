"""A platform of stand-ins with whole nodes on it, in one process, for tests."""

import asyncio
from itertools import pairwise

import aiohttp
import msgspec

from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.settings import NodeSettings, Timing
from peridotspoke.platform import Ingress, assemble_node, decode_submission
from peridotspoke.platform.standins import (
    ExecutorStandIn,
    MachinesStandIn,
    serve_standin,
)
from peridotspoke.platform.storestandin import MetadataStandIn

JOB_ID = "5c0e7a21d94b36f8"
TIMING = Timing(
    lease=1.0,
    run_lease=2.0,
    lease_horizon=4.0,
    unstated_lease=4.0,
    poll_wait=0.3,
    call=0.4,
)
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "jobs.example",
            "prefix": "/q/",
            "service": "pool",
            "maxAttempts": 2,
        }
    ],
    "services": [{"name": "pool", "admissionCheck": True, "spare": False}],
}
STEPS = [{"count": 3, "cpu": 500}, {"count": 2, "cpu": 500, "after": [0]}]


class FakePlatform:
    """The stand-ins for one platform, and the nodes that use them."""

    def __init__(self):
        self.store = MetadataStandIn()
        self.executors = [ExecutorStandIn(f"i-{n}", "pool") for n in range(2)]
        self.runners, self.nodes = [], {}

    async def open(self):
        """Serve the stand-ins, and write the configuration and the entries."""
        self.store.put("op/config", CONFIG)
        self.store_address = await self._serve(self.store.handle)
        self.machines_address = await self._serve(MachinesStandIn().handle)
        for executor in self.executors:
            executor.address = await self._serve(executor.handle)
            self.store.put(f"servers/{executor.executor_id}", executor.describe())

    async def _serve(self, handler):
        runner, address = await serve_standin(handler)
        self.runners.append(runner)
        return address

    async def start_node(self, name):
        """Start a node in this process and return its address for callers."""
        settings = NodeSettings(
            name,
            "zone",
            "127.0.0.1:0",
            "127.0.0.1:0",
            self.store_address,
            machines=self.machines_address,
            timing=TIMING,
        )
        parts, node = assemble_node(settings)
        ingress = Ingress(settings, JobRequestHandler(parts, decode_submission), bytes)
        await ingress.open()
        node.start()
        self.nodes[name] = (node, ingress, parts)
        return ingress.addresses[0]

    async def kill_node(self, name):
        """Stop a node without handing its units over."""
        node, ingress, parts = self.nodes.pop(name)
        await node.stop()
        await parts.store.close()
        await ingress.close()

    async def close(self):
        """Stop the nodes and the stand-ins."""
        for name in list(self.nodes):
            await self.kill_node(name)
        for runner in self.runners:
            await runner.cleanup()


async def call(address, method, job_id=JOB_ID, steps=None, spec="s", key=None):
    """Call a node as a client; return the status and the decoded answer, or None."""
    body = msgspec.json.encode({"spec": spec, "steps": steps}) if steps else None
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method,
            f"http://{address}/q/{job_id}",
            data=body,
            headers={"Host": "jobs.example"} | ({"X-Api-Key": key} if key else {}),
        ) as response,
    ):
        content = await response.read()
        return response.status, msgspec.json.decode(content) if content else None


async def submit(address, steps=STEPS):
    """Submit a job until the node accepts it, which needs a configuration."""
    async with asyncio.timeout(20):
        while (await call(address, "POST", steps=steps))[0] != 200:
            await asyncio.sleep(0.05)


async def wait_for_state(address, state):
    """Wait until the node at an address shows the job `JOB_ID` in a state."""
    async with asyncio.timeout(20):
        while (await call(address, "GET"))[1] != {"state": state}:
            await asyncio.sleep(0.02)


def find_overlaps(executors):
    """Return the tasks of which two runs went on at once, each with both begins.

    Parameters
    ----------
    executors : list of ExecutorStandIn

    Returns
    -------
    list of (str, float, float)
        Monotonic times in seconds.
    """
    runs = {}
    for executor in executors:
        for task, began_at, ended_at in executor.intervals:
            runs.setdefault(task, []).append((began_at, ended_at))
        for task, item in executor.running.items():
            runs.setdefault(task, []).append((item.began_at, executor.lease_end))
    return [
        (task, began_at, next_began_at)
        for task, intervals in runs.items()
        for (began_at, ended_at), (next_began_at, _) in pairwise(sorted(intervals))
        if next_began_at < ended_at
    ]
