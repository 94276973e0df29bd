"""Cost that claims in the platform's key-value service add to keyed requests.

One entry instance, one upstream and the platform's stand-in run in one process on
loopback; the stand-in delays each answer::

    python benchmarks/claims.py --requests 300

Prints one line of key=value pairs for each delay: the median latencies of
requests without and with an idempotency key, and the calls to the key-value service.
"""

import statistics
import time
from contextlib import AsyncExitStack

import aiohttp
import fire
import uvloop

from peridotspoke.clock import SystemClock
from peridotspoke.requests.tests.entries import EntryUnderTest
from peridotspoke.standins import PlatformFaults, PlatformStandIn, start_server
from peridotspoke.store import GatewayKeyValueService

DELAYS = (0.0, 0.002, 0.005)  # seconds


async def _time_requests(entry, requests, keyed):
    latencies = []
    for number in range(requests):
        headers = {"Idempotency-Key": f"{time.monotonic_ns()}"} if keyed else {}
        started = time.perf_counter()
        status, _, body = await entry.request("POST", f"/{number}", headers=headers)
        latencies.append(time.perf_counter() - started)
        assert status == 200, body
    return statistics.median(latencies) * 1000


async def _measure(delay, requests):
    clock = SystemClock()
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        platform = PlatformStandIn(clock)
        platform.faults = PlatformFaults(delay=delay)
        runner, address = await start_server(platform.make_application())
        stack.push_async_callback(runner.cleanup)
        service = GatewayKeyValueService(f"http://{address}", 1.0, clock, session)
        entry = EntryUnderTest(service)
        await entry.start()
        stack.push_async_callback(entry.close)
        plain = await _time_requests(entry, requests, keyed=False)
        keyed = await _time_requests(entry, requests, keyed=True)
    calls = platform.store.calls
    print(
        f"delay_ms={delay * 1000:g} requests={requests} plain_p50_ms={plain:.3f} "
        f"keyed_p50_ms={keyed:.3f} added_p50_ms={keyed - plain:.3f} "
        f"swaps_each={calls['kv/txn'] / requests:.3f} "
        f"grants={calls['lease/grant']} calls={calls.total()}",
        flush=True,
    )


def main(requests=300):
    """Print one line for each delay.

    `requests` requests are sent with an idempotency key, and as many without.
    """
    for delay in DELAYS:
        uvloop.run(_measure(delay, requests))


if __name__ == "__main__":
    fire.Fire(main)
