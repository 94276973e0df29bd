"""Processor time, memory and bytes of idle processes, by fleet size.

Run: ``python -m benchmarks.live [SECONDS]``. Each size starts the platform's
stand-in, one entry instance, and a controller for about every eight pools, all as
separate processes. A counting relay stands between each of them and the platform. A
controller's figures are the mean over all controllers. Bytes between
peers are measured by ``benchmarks.peers``, those to workers by ``benchmarks.workers``.
"""

import asyncio
import os
import random
import sys
from dataclasses import dataclass

import aiohttp
import msgspec
import psutil

from benchmarks.fleets import make_instances, make_records, make_texts
from benchmarks.relay import CountingRelay
from peridotspoke.clock import SystemClock
from peridotspoke.declarations import publish_declarations
from peridotspoke.store import GatewayKeyValueService
from tests.processes import ProgramProcess

__all__ = ["LiveFigures", "measure_fleet"]

# (instances, pools, controllers)
SIZES = ((40, 8, 1), (275, 50, 6), (550, 100, 12), (1100, 199, 24))
WARM_UP = 25.0  # seconds
MEASURED = 20.0  # seconds
MEBIBYTE = 1 << 20


@dataclass(frozen=True, slots=True)
class LiveFigures:
    """What one idle process costs at one size of the fleet, on average.

    `core_share` is processor time per second, and `memory` the resident memory in
    MiB. `bytes_rate` counts both directions to and from the platform, in bytes per
    second. `start_bytes` is the same traffic in bytes, from the start to the end of
    the warm-up.
    """

    program: str
    instances: int
    pools: int
    core_share: float
    memory: float
    bytes_rate: float
    start_bytes: int


@dataclass(frozen=True, slots=True)
class _Usage:
    core_share: float
    memory: float
    bytes_rate: float
    start_bytes: int


async def _load_platform(url, instances, pools):
    clock = SystemClock()
    listed = make_instances(instances)
    async with aiohttp.ClientSession() as session:
        body = msgspec.json.encode(listed)
        async with session.post(f"{url}/standin/instances", data=body) as answer:
            answer.raise_for_status()
        service = GatewayKeyValueService(url, 10.0, clock, session)
        for key, value in make_records(listed, pools, clock.read_wall()):
            await service.swap(key, value, 0)
        await publish_declarations(
            service,
            make_texts(instances, pools),
            "benchmark",
            "a fleet of this size",
            clock,
            random.Random(1),
        )


async def measure_fleet(instances, pools, controllers, seconds=MEASURED):
    """Return the `LiveFigures` of an entry instance and of the mean controller."""
    platform = ProgramProcess("standin", "platform", listen="127.0.0.1:0")
    address = platform.wait_for_event("standin-started")["listen"]
    await _load_platform(f"http://{address}", instances, pools)
    started = []
    try:
        started.append(await _start_program("entry", 0, address))
        for number in range(controllers):
            started.append(await _start_program("control", number, address))
        await asyncio.sleep(WARM_UP)
        before = [_read_usage(relay, process) for relay, process in started]
        await asyncio.sleep(seconds)
        after = [_read_usage(relay, process) for relay, process in started]
        figures = [
            _Usage(
                (later[0] - earlier[0]) / seconds,
                later[1] / MEBIBYTE,
                (later[2] - earlier[2]) / seconds,
                earlier[2],
            )
            for earlier, later in zip(before, after, strict=True)
        ]
        return [
            _average("entry", instances, pools, figures[:1]),
            _average("control", instances, pools, figures[1:]),
        ]
    finally:
        for relay, process in started:
            process.close()
            await relay.stop()
        platform.close()


async def _start_program(program, number, address):
    ports = {name: "127.0.0.1:0" for name in ("admin", "peer_listen")}
    if program == "entry":
        ports["listen"] = "127.0.0.1:0"
    relay = CountingRelay(address)
    url = "http://" + await relay.start()
    zone = f"zone-{number % 6}"
    name = f"{program}-{number}"
    process = ProgramProcess(
        program, name=name, zone=zone, platform=url, platform_timeout=5.0, **ports
    )
    return relay, process


def _average(program, instances, pools, figures):
    count = len(figures)
    return LiveFigures(
        program,
        instances,
        pools,
        core_share=sum(item.core_share for item in figures) / count,
        memory=sum(item.memory for item in figures) / count,
        bytes_rate=sum(item.bytes_rate for item in figures) / count,
        start_bytes=round(sum(item.start_bytes for item in figures) / count),
    )


def _read_usage(relay, process):
    process_info = psutil.Process(process.pid)
    times = process_info.cpu_times()
    relayed = relay.sent + relay.received
    return times.user + times.system, process_info.memory_info().rss, relayed


def main():
    """Print one line for each kind of process and size."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else MEASURED
    print(f"cores={os.cpu_count()} seconds={seconds:g}")
    for instances, pools, controllers in SIZES:
        for item in asyncio.run(measure_fleet(instances, pools, controllers, seconds)):
            print(
                f"program={item.program} instances={item.instances} "
                f"pools={item.pools} core_share={item.core_share:.4f} "
                f"memory_mib={item.memory:.1f} bytes_rate={item.bytes_rate:.0f} "
                f"start_bytes={item.start_bytes}",
                flush=True,
            )


if __name__ == "__main__":
    main()
