"""Latency and throughput of requests through an entry instance and without it.

The same client sends the same requests to an upstream directly and through an entry
instance, in alternation within one run. Client, entry instance and upstream are
separate processes::

    python benchmarks/latency.py --requests 4000 --concurrency 1
    python benchmarks/latency.py --requests 8000 --concurrency 32

Prints one line of key=value pairs for each method, direct and through the entry
instance.
"""

import asyncio
import multiprocessing
import time

import aiohttp
import fire
import psutil
import uvloop
from aiohttp import web
from hdrh.histogram import HdrHistogram

from peridotspoke.declarations import Configuration
from peridotspoke.declarations.schema import (
    DeploymentDeclaration,
    RequestsDeclaration,
    ServiceDeclaration,
)
from peridotspoke.programs.settings import EntrySettings
from peridotspoke.requests import RoutingTable, Upstream
from peridotspoke.requests.tests.entries import assemble_entry

MICROSECONDS = 1_000_000  # in a second
ROUNDS = 5
EXECUTORS = 8  # of 8 slots each
SERVICE = "feldkirch"
BODY = b"t" * 512
ANSWER = b"a" * 1024


async def _serve_upstream(ready):
    async def answer(request):
        await request.read()
        request_id = request.headers.get("Peridotspoke-Request-Id", "")
        headers = {"Peridotspoke-Request-Id": request_id}
        return web.Response(body=ANSWER, headers=headers)

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", answer)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    for _ in range(EXECUTORS):
        await web.TCPSite(runner, "127.0.0.1", 0, backlog=1024).start()
    ready.send([port for _, port in runner.addresses])
    await asyncio.Event().wait()


async def _serve_entry(ready, ports):
    settings = EntrySettings(name="entry", zone="z", listen="127.0.0.1:0")
    entry = assemble_entry(settings)
    rules = RequestsDeclaration(queue_limit=10_000)
    services = {SERVICE: ServiceDeclaration(service=SERVICE, requests=rules)}
    deployment = DeploymentDeclaration(deployment="vorarlberg")
    entry.pipeline.configuration = Configuration(1, deployment, services)
    upstreams = tuple(
        Upstream(f"i{port}", f"127.0.0.1:{port}", "z", "r", 8, 64) for port in ports
    )
    entry.pipeline.routes = RoutingTable({SERVICE: upstreams})
    await entry.callers.start()
    ready.send(int(entry.callers.address.rpartition(":")[2]))
    await asyncio.Event().wait()


def _run(loop, serve, ready, *arguments):
    runner = uvloop.run if loop == "uvloop" else asyncio.run
    runner(serve(ready, *arguments))


def _start(context, loop, serve, *arguments):
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=_run, args=(loop, serve, child_end, *arguments), daemon=True
    )
    process.start()
    return process, parent_end.recv()


async def _send(session, url, method, requests, concurrency, histogram):
    remaining = iter(range(requests))

    async def send_requests():
        for _ in remaining:
            started = time.perf_counter()
            data = BODY if method == "POST" else None
            async with session.request(method, url, data=data) as response:
                assert await response.read() == ANSWER, response.status
            elapsed = time.perf_counter() - started
            histogram.record_value(max(1, round(elapsed * MICROSECONDS)))

    await asyncio.gather(*(send_requests() for _ in range(concurrency)))


class _Target:
    """An address under test and what was measured there with one method."""

    def __init__(self, url, process):
        self.url = url
        self.process = psutil.Process(process.pid)
        self.histogram = HdrHistogram(1, 60 * MICROSECONDS, 4)
        self.seconds = 0.0
        self.server_seconds = 0.0

    def read_processor(self):
        times = self.process.cpu_times()
        return times.user + times.system


async def _measure(targets, method, requests, concurrency):
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for turn in range(ROUNDS + 1):
            for measured in targets:
                histogram = measured.histogram
                if turn == 0:  # Warms up connections and caches.
                    histogram = HdrHistogram(1, 60 * MICROSECONDS, 4)
                processor, started = measured.read_processor(), time.perf_counter()
                count = max(concurrency, requests // ROUNDS)
                await _send(
                    session, measured.url, method, count, concurrency, histogram
                )
                if turn:
                    measured.seconds += time.perf_counter() - started
                    measured.server_seconds += measured.read_processor() - processor


def _report(name, method, loop, concurrency, measured, direct):
    def read(quantile):
        return measured.histogram.get_value_at_percentile(quantile) / 1000

    added = read(50) - direct.histogram.get_value_at_percentile(50) / 1000
    count = measured.histogram.get_total_count()
    print(
        f"way={name} method={method} loop={loop} concurrency={concurrency} "
        f"requests={count} p50_ms={read(50):.3f} p99_ms={read(99):.3f} "
        f"p999_ms={read(99.9):.3f} added_p50_ms={added:.3f} "
        f"per_second={count / measured.seconds:.0f} "
        f"per_core_second={count / measured.server_seconds:.0f} "
        f"share_of_direct={direct.seconds / measured.seconds:.2f}",
        flush=True,
    )


def main(requests=4000, concurrency=1, loop="uvloop"):
    """Measure GET and POST, directly and through the entry instance.

    `loop` is the event loop of both servers: uvloop or asyncio. `requests` is the
    number for each line, `concurrency` how many are in flight at a time.
    """
    context = multiprocessing.get_context("spawn")
    upstream, ports = _start(context, loop, _serve_upstream)
    entry, entry_port = _start(context, loop, _serve_entry, ports)
    try:
        for method in ("GET", "POST"):
            direct = _Target(f"http://127.0.0.1:{ports[0]}/a", upstream)
            through_entry = _Target(f"http://127.0.0.1:{entry_port}/{SERVICE}/a", entry)
            uvloop.run(_measure((direct, through_entry), method, requests, concurrency))
            for name, measured in (("direct", direct), ("entry", through_entry)):
                _report(name, method, loop, concurrency, measured, direct)
    finally:
        for process in (entry, upstream):
            process.kill()
            process.join()


if __name__ == "__main__":
    fire.Fire(main)
