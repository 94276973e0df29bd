"""Bytes of the first and of a repeated poll of the instance list, by fleet size.

Run: ``python -m benchmarks.list_bytes``.
"""

import asyncio

import aiohttp

from benchmarks.fleets import make_instances
from peridotspoke.clock import SystemClock
from peridotspoke.standins import PlatformStandIn, start_server
from peridotspoke.store import HttpInstanceList

SIZES = (40, 275, 550, 1100)  # instances


async def measure_polls(count):
    """Return the bytes of headers and body of the first and of a repeated answer."""
    stand_in = PlatformStandIn(SystemClock())
    stand_in.list_instances(make_instances(count))
    server, address = await start_server(stand_in.make_application())
    sizes = []
    trace = aiohttp.TraceConfig()

    async def record_size(session, context, params):
        body = await params.response.read()
        header_size = sum(
            len(name) + len(value) + 4 for name, value in params.response.raw_headers
        )
        sizes.append(len(body) + header_size)

    trace.on_request_end.append(record_size)
    async with aiohttp.ClientSession(trace_configs=[trace]) as session:
        reader = HttpInstanceList(f"http://{address}", 5.0, session)
        for _ in range(2):
            await reader.read_instances()
    await server.cleanup()
    return sizes


def main():
    """Print one line for each size."""
    for count in SIZES:
        first, repeated = asyncio.run(measure_polls(count))
        print(f"instances={count} first_bytes={first} repeated_bytes={repeated}")


if __name__ == "__main__":
    main()
