"""Processor time and bytes that a controller spends on exchanges with idle workers.

Run: ``python -m benchmarks.workers [SECONDS]``. The platform's stand-in and one
controller run as separate processes. Idle worker stand-ins listen in this process,
each behind a counting relay.
"""

import asyncio
import random
import sys
from dataclasses import replace

import aiohttp
import msgspec
import psutil

from benchmarks.fleets import make_instances, make_records, make_texts
from benchmarks.relay import CountingRelay
from peridotspoke.clock import SystemClock
from peridotspoke.declarations import publish_declarations
from peridotspoke.standins import TaskRunner, WorkerStandIn, start_server
from peridotspoke.store import GatewayKeyValueService
from tests.processes import ProgramProcess

__all__ = ["measure_workers"]

SIZES = ((12, 2), (24, 4), (48, 8))  # (workers, pools)
WARM_UP = 20.0  # seconds
MEASURED = 20.0  # seconds


async def _start_workers(listed, clock):
    relays = []
    servers = []
    reachable = []
    for item in listed:
        runner = TaskRunner(item.instance, 1)
        stand_in = WorkerStandIn(runner, clock)
        server, address = await start_server(stand_in.make_application())
        relay = CountingRelay(address)
        reachable.append(replace(item, worker=await relay.start()))
        relays.append(relay)
        servers.append(server)
    return reachable, relays, servers


async def measure_workers(workers, pools, seconds):
    """Return the controller's cost over `seconds`, as two figures.

    The first is its processor time per second, the second the bytes per second to
    and from all workers.
    """
    clock = SystemClock()
    platform = ProgramProcess("standin", "platform", listen="127.0.0.1:0")
    url = "http://" + platform.wait_for_event("standin-started")["listen"]
    listed, relays, servers = await _start_workers(make_instances(workers), clock)
    async with aiohttp.ClientSession() as session:
        body = msgspec.json.encode(listed)
        async with session.post(f"{url}/standin/instances", data=body) as answer:
            answer.raise_for_status()
        service = GatewayKeyValueService(url, 10.0, clock, session)
        for key, value in make_records(listed, pools, clock.read_wall()):
            await service.swap(key, value, 0)
        texts = make_texts(workers, pools)
        await publish_declarations(
            service, texts, "benchmark", "workers", clock, random.Random(1)
        )
    ports = {name: "127.0.0.1:0" for name in ("admin", "peer_listen")}
    control = ProgramProcess(
        "control", name="control", zone="zone-0", platform=url, **ports
    )
    try:
        await asyncio.sleep(WARM_UP)
        before = _read_usage(control, relays)
        await asyncio.sleep(seconds)
        after = _read_usage(control, relays)
    finally:
        control.close()
        platform.close()
        for relay in relays:
            await relay.stop()
        for server in servers:
            await server.cleanup()
    return tuple((b - a) / seconds for a, b in zip(before, after, strict=True))


def _read_usage(process, relays):
    times = psutil.Process(process.pid).cpu_times()
    relayed = sum(relay.sent + relay.received for relay in relays)
    return times.user + times.system, relayed


def main():
    """Print one line for each size."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else MEASURED
    for workers, pools in SIZES:
        share, rate = asyncio.run(measure_workers(workers, pools, seconds))
        print(
            f"workers={workers} pools={pools} core_share={share:.4f} "
            f"bytes_rate={rate:.0f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
