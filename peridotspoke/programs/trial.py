"""peridotspoke-trial: runs all parts of a deployment in one process on loopback.

Requests are sent through an entry instance to stand-ins of upstreams; a controller and
a stand-in of the platform run beside them.
"""

import asyncio
import random
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import publish_declarations, read_declarations
from peridotspoke.programs.control import Controller
from peridotspoke.programs.entry import EntryInstance
from peridotspoke.programs.running import make_command, run_commands
from peridotspoke.programs.settings import (
    ControlSettings,
    EntrySettings,
    TrialSettings,
)
from peridotspoke.standins import PlatformStandIn, UpstreamStandIn, start_server
from peridotspoke.store import GatewayKeyValueService, ListedInstance

__all__ = ["main"]

EXAMPLE_DECLARATION = 'service = "tiles"\n\n[pool]\ninstances = 4\n'
ZONE_COUNT = 2
CONCURRENCY = 16  # requests at once
MICROSECONDS_PER_SECOND = 1_000_000
START_TIMEOUT = 15.0  # seconds
PROGRESS_LINES = 5


async def _run(settings):
    texts = _read_texts(settings.example)
    async with AsyncExitStack() as stack:
        await _run_trial(settings, texts, stack)


def _read_texts(example):
    if example:
        return read_declarations(example)
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "tiles.toml").write_text(EXAMPLE_DECLARATION, encoding="utf-8")
        return read_declarations(folder)


async def _run_trial(settings, texts, stack):
    clock = SystemClock()
    rng = random.Random(settings.seed)
    session = await stack.enter_async_context(aiohttp.ClientSession())
    platform = PlatformStandIn(clock)
    url = "http://" + await _serve(stack, platform.make_application())
    service = GatewayKeyValueService(url, settings.platform_timeout, clock, session)
    publication = await publish_declarations(
        service, texts, "trial", "the trial's own declarations", clock, rng
    )
    print(f"published version {publication.version}")
    services = sorted(
        name.removeprefix("service/") for name in texts if name != "deployment"
    )
    platform.list_instances(await _start_upstreams(stack, len(services)))
    entry_settings = EntrySettings(
        name="entry-1",
        zone="zone-0",
        platform=url,
        listen="127.0.0.1:0",
        admin="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        entry_instances=1,
        list_interval=0.2,
    )
    control_settings = ControlSettings(
        name="control-1",
        zone="zone-0",
        platform=url,
        admin="127.0.0.1:0",
        plan_interval=0.2,
        peer_listen="127.0.0.1:0",
    )
    controller = Controller(control_settings, clock, rng)
    await controller.start()
    stack.push_async_callback(controller.stop)
    entry = EntryInstance(entry_settings, clock, rng)
    await entry.start()
    stack.push_async_callback(entry.stop)
    await _wait_for_routes(entry, services)
    await _send_requests(settings, session, entry.address, services, rng)


async def _serve(stack, application):
    runner, address = await start_server(application)
    stack.push_async_callback(runner.cleanup)
    return address


async def _start_upstreams(stack, service_count):
    listed = []
    for number in range(service_count * 8):
        name = f"instance-{number}"
        address = await _serve(stack, UpstreamStandIn(name).make_application())
        listed.append(
            ListedInstance(
                instance=name,
                zone=f"zone-{number % ZONE_COUNT}",
                rack=f"rack-{number % ZONE_COUNT}-{number // 8}",
                state="live",
                incarnation=1,
                executor=address,
            )
        )
    return listed


async def _wait_for_routes(entry, services):
    async with asyncio.timeout(START_TIMEOUT):
        while not all(  # noqa: ASYNC110
            entry.pipeline.routes.get_upstreams(name) for name in services
        ):
            await asyncio.sleep(0.05)


async def _send_requests(settings, session, address, services, rng):
    outcomes = Counter()
    latencies = HdrHistogram(1, 60 * MICROSECONDS_PER_SECOND, 3)
    concurrency_limit = asyncio.Semaphore(CONCURRENCY)
    clock = SystemClock()
    step = max(1, settings.requests // PROGRESS_LINES)

    async def send_one(number):
        service = rng.choice(services)
        async with concurrency_limit:
            started_at = clock.read_monotonic()
            async with session.post(
                f"http://{address}/{service}/order/{number}", data=b"tile"
            ) as response:
                await response.read()
            latency = clock.read_monotonic() - started_at
        outcomes[response.headers.get("Peridotspoke-Outcome", "none")] += 1
        latencies.record_value(max(1, round(latency * MICROSECONDS_PER_SECOND)))
        done = outcomes.total()
        if done % step == 0:
            print(f"progress {done}/{settings.requests}", flush=True)

    await asyncio.gather(*(send_one(number) for number in range(settings.requests)))
    print(
        f"sent {settings.requests}, answered {outcomes['answered']}, "
        f"refused {outcomes['not-run']}, unknown {outcomes['unknown']}"
    )
    quantiles = [
        f"p{percent:g} {latencies.get_value_at_percentile(percent) / 1000:.2f} ms"
        for percent in (50, 99, 99.9)
    ]
    print("latency " + ", ".join(quantiles))


def main():
    """Run the command line."""
    run_commands(
        "peridotspoke-trial",
        {
            "run": make_command(
                "trial", TrialSettings, _run, "Send requests through the whole path."
            )
        },
    )


if __name__ == "__main__":
    main()
