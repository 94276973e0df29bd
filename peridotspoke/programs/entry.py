"""peridotspoke-entry: answers callers and routes their requests to executors."""

import asyncio
import random
from contextlib import AsyncExitStack

import aiohttp
from aiohttp import web

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import ConfigurationFollower
from peridotspoke.exceptions import PlatformError, RecordError
from peridotspoke.identities import make_operation_id, split_address
from peridotspoke.logs import log_event
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.platform import (
    HttpInstanceList,
    decode_record,
    follow_prefix,
    open_service,
)
from peridotspoke.pools import INSTANCES_PREFIX, InstanceRecord
from peridotspoke.programs.admin import (
    Health,
    HealthSource,
    make_admin_application,
)
from peridotspoke.programs.running import make_command, run_commands, wait_for_stop
from peridotspoke.programs.settings import EntrySettings
from peridotspoke.requests import (
    FixedShares,
    Forwarder,
    IncomingRequest,
    RequestPipeline,
    build_routing_table,
)

__all__ = ["EntryInstance", "main"]

MAX_BODY = 16 * 1024 * 1024  # bytes
MAX_CONNECTIONS_PER_HOST = 8


class EntryInstance(HealthSource):
    """One entry instance: its sockets, its followers and the request pipeline.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock
    random : random.Random
    """

    def __init__(self, settings, clock, random):
        self.metrics = MetricsRegistry()
        self.address = ""
        self.admin_address = ""
        self.pipeline = None
        self._settings = settings
        self._clock = clock
        self._random = random
        self._listed = ()
        self._records = {}
        self._tasks = []
        self._stack = AsyncExitStack()

    async def start(self):
        """Open the sockets and begin to follow the platform."""
        session = await self._stack.enter_async_context(
            aiohttp.ClientSession(headers={"Peridotspoke-Zone": self._settings.zone})
        )
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0)
        upstream_session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=connector, auto_decompress=False)
        )
        settings = self._settings
        service = open_service(settings, self._clock, session)
        instance_list = HttpInstanceList(
            settings.platform, settings.platform_timeout, session
        )
        forwarder = Forwarder(self._clock, upstream_session)
        shares = FixedShares(settings.entry_instances)
        self.pipeline = RequestPipeline(settings, self._clock, forwarder, shares)
        follower = ConfigurationFollower(service)
        follower.configurations.subscribe(self._apply_configuration)
        self._tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(self._follow_records(service)),
            asyncio.create_task(self._follow_list(instance_list)),
        ]
        self.address = await self._serve(settings.listen, self._make_application())
        self.admin_address = await self._serve(
            settings.admin, make_admin_application(self.metrics, self)
        )
        log_event("entry-started", listen=self.address, admin=self.admin_address)

    async def stop(self):
        """End all tasks and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        log_event("entry-stopped")

    def read_health(self):
        """Return the `Health` at this moment."""
        configuration = self.pipeline.configuration
        ready = configuration is not None
        return Health(
            ready=ready,
            reasons=() if ready else ("no configuration is in force",),
            details={"version": configuration.version if ready else 0},
        )

    async def _serve(self, listen, application):
        host, port = split_address(listen)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, host, port).start()
        return f"{host}:{runner.addresses[0][1]}"

    def _make_application(self):
        application = web.Application(client_max_size=MAX_BODY)
        application.router.add_route("*", "/{service}", self._handle)
        application.router.add_route("*", "/{service}/{path:.*}", self._handle)
        return application

    async def _handle(self, request):
        service = request.match_info["service"]
        incoming = IncomingRequest(
            request_id=make_operation_id(self._random),
            service=service,
            method=request.method,
            path=request.raw_path.removeprefix(f"/{service}") or "/",
            headers=dict(request.headers),
            body=await request.read(),
            received_at=self._clock.read_monotonic(),
        )
        conclusion = await self.pipeline.serve(incoming)
        taken = self._clock.read_monotonic() - incoming.received_at
        known = self._label_service(service)
        self.metrics.count("requests", service=known, outcome=conclusion.outcome)
        self.metrics.observe("request_seconds", taken, outcome=conclusion.outcome)
        return web.Response(
            status=conclusion.status, headers=conclusion.headers, body=conclusion.body
        )

    def _label_service(self, service):
        """Return a label; callers can't make up further series of metrics."""
        configuration = self.pipeline.configuration
        known = configuration is not None and service in configuration.services
        return service if known else "unknown"

    def _apply_configuration(self, configuration):
        self.pipeline.configuration = configuration

    async def _follow_records(self, service):
        async for followed in follow_prefix(service, INSTANCES_PREFIX):
            for key in followed.changed:
                self._take_record(key, followed.records.get(key))
            self._apply_routes()

    def _take_record(self, key, record):
        instance = key.removeprefix(INSTANCES_PREFIX)
        if record is None:
            self._records.pop(instance, None)
            return
        try:
            self._records[instance] = decode_record(record, InstanceRecord).body
        except RecordError as error:
            log_event("record-rejected", "ERROR", error=error)

    async def _follow_list(self, instance_list):
        while True:
            try:
                self._listed = await instance_list.read_instances()
                self._apply_routes()
            except PlatformError as error:
                log_event("instance-list-unread", "WARNING", error=error)
            await asyncio.sleep(self._settings.list_interval)

    def _apply_routes(self):
        self.pipeline.routes = build_routing_table(self._listed, self._records)


async def _run(settings):
    entry = EntryInstance(settings, SystemClock(), random.SystemRandom())
    await entry.start()
    try:
        await wait_for_stop()
    finally:
        await entry.stop()


def main():
    """Run the command line."""
    run_commands(
        "peridotspoke-entry",
        make_command("entry", EntrySettings, _run, "Answer callers."),
    )
