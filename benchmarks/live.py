"""Processor time, memory and bytes of real idle processes, by the fleet's size.

Run: ``python -m benchmarks.live [SECONDS]``. Each size starts the platform's
stand-in, one entry instance and one controller as separate processes; a counting
relay stands between each of them and the platform.
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
from peridotspoke.platform import GatewayKeyValueService
from tests.processes import ProgramProcess

__all__ = ["LiveFigures", "measure_fleet"]

SIZES = ((40, 8), (275, 50), (550, 100), (1100, 199))
WARM_UP = 12.0  # seconds
MEASURED = 20.0  # seconds
MEBIBYTE = 1 << 20


@dataclass(frozen=True, slots=True)
class LiveFigures:
    """What one idle process costs at one size of the fleet.

    `core_share` is processor time per second; `bytes_rate` is both directions to
    and from the platform, bytes a second;
    """

    program: str
    instances: int
    pools: int
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


async def measure_fleet(instances, pools, seconds=MEASURED):
    """Return the `LiveFigures` of an entry instance and of a controller."""
    platform = ProgramProcess("standin", "platform", listen="127.0.0.1:0")
    address = platform.wait_for_event("standin-started")["listen"]
    await _load_platform(f"http://{address}", instances, pools)
    started = []
    ports = {name: "127.0.0.1:0" for name in ("listen", "admin", "peer_listen")}
    control_ports = {name: ports[name] for name in ("admin", "peer_listen")}
    try:
        for program, flags in (("entry", ports), ("control", control_ports)):
            relay = CountingRelay(address)
            url = "http://" + await relay.start()
            process = ProgramProcess(
                program, name=program, zone="zone-0", platform=url, **flags
            )
            started.append((program, relay, process))
        await asyncio.sleep(WARM_UP)
        before = [_read_usage(relay, process) for _, relay, process in started]
        await asyncio.sleep(seconds)
        after = [_read_usage(relay, process) for _, relay, process in started]
        return [
            LiveFigures(
                program=program,
                instances=instances,
                pools=pools,
                core_share=(later[0] - earlier[0]) / seconds,
                memory=later[1] / MEBIBYTE,
                bytes_rate=(later[2] - earlier[2]) / seconds,
                start_bytes=earlier[2],
            )
            for (program, _, _), earlier, later in zip(
                started, before, after, strict=True
            )
        ]
    finally:
        for _, relay, process in started:
            process.close()
            await relay.stop()
        platform.close()


def _read_usage(relay, process):
    found = psutil.Process(process.pid)
    times = found.cpu_times()
    moved = relay.sent + relay.received
    return times.user + times.system, found.memory_info().rss, moved


def main():
    """Print one line for each process and size."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else MEASURED
    print(f"cores={os.cpu_count()} seconds={seconds:g}")
    for instances, pools in SIZES:
        for item in asyncio.run(measure_fleet(instances, pools, seconds)):
            print(
                f"program={item.program} instances={item.instances} "
                f"pools={item.pools} core_share={item.core_share:.4f} "
                f"memory_mib={item.memory:.1f} bytes_rate={item.bytes_rate:.0f} "
                f"start_bytes={item.start_bytes}",
                flush=True,
            )


if __name__ == "__main__":
    main()
