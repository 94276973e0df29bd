"""peridotspoke-trial: the whole path in one process on loopback."""

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

BUILT_IN = 'service = "tiles"\n\n[pool]\ninstances = 4\n'
ZONES = 2
CONCURRENCY = 16
MICROSECONDS = 1_000_000
START_LIMIT = 15.0  # seconds
PROGRESS_STEPS = 5


async def _run(settings):
    texts = _read_texts(settings.example)
    async with AsyncExitStack() as stack:
        await _run_trial(settings, texts, stack)


def _read_texts(example):
    if example:
        return read_declarations(example)
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "tiles.toml").write_text(BUILT_IN, encoding="utf-8")
        return read_declarations(folder)


async def _run_trial(settings, texts, stack):
    clock = SystemClock()
    chance = random.Random(settings.seed)
    session = await stack.enter_async_context(aiohttp.ClientSession())
    platform = PlatformStandIn(clock)
    url = "http://" + await _start(stack, platform.make_application())
    service = GatewayKeyValueService(url, settings.platform_timeout, clock, session)
    publication = await publish_declarations(
        service, texts, "trial", "the trial's own declarations", clock, chance
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
    controller = Controller(control_settings, clock, chance)
    await controller.start()
    stack.push_async_callback(controller.stop)
    entry = EntryInstance(entry_settings, clock, chance)
    await entry.start()
    stack.push_async_callback(entry.stop)
    await _wait_for_routes(entry, services)
    await _send_requests(settings, session, entry.address, services, chance)


async def _start(stack, application):
    runner, address = await start_server(application)
    stack.push_async_callback(runner.cleanup)
    return address


async def _start_upstreams(stack, services):
    listed = []
    for number in range(services * 8):
        name = f"instance-{number}"
        address = await _start(stack, UpstreamStandIn(name).make_application())
        listed.append(
            ListedInstance(
                instance=name,
                zone=f"zone-{number % ZONES}",
                rack=f"rack-{number % ZONES}-{number // 8}",
                state="live",
                incarnation=1,
                executor=address,
            )
        )
    return listed


async def _wait_for_routes(entry, services):
    async with asyncio.timeout(START_LIMIT):
        while not all(  # noqa: ASYNC110
            entry.pipeline.routes.get_upstreams(name) for name in services
        ):
            await asyncio.sleep(0.05)


async def _send_requests(settings, session, address, services, chance):
    outcomes = Counter()
    latencies = HdrHistogram(1, 60 * MICROSECONDS, 3)
    gate = asyncio.Semaphore(CONCURRENCY)
    clock = SystemClock()
    step = max(1, settings.requests // PROGRESS_STEPS)

    async def send_one(number):
        service = chance.choice(services)
        async with gate:
            started = clock.read_monotonic()
            async with session.post(
                f"http://{address}/{service}/order/{number}", data=b"tile"
            ) as response:
                await response.read()
            taken = clock.read_monotonic() - started
        outcomes[response.headers.get("Peridotspoke-Outcome", "none")] += 1
        latencies.record_value(max(1, round(taken * MICROSECONDS)))
        done = outcomes.total()
        if done % step == 0:
            print(f"progress {done}/{settings.requests}", flush=True)

    await asyncio.gather(*(send_one(number) for number in range(settings.requests)))
    print(
        f"sent {settings.requests}, answered {outcomes['answered']}, "
        f"refused {outcomes['not-run']}, unknown {outcomes['unknown']}"
    )
    quantiles = [
        f"p{share:g} {latencies.get_value_at_percentile(share) / 1000:.2f} ms"
        for share in (50, 99, 99.9)
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
