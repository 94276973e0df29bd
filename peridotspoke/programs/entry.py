"""peridotspoke-entry: answers callers and routes their requests to executors."""

import asyncio
import random
from contextlib import AsyncExitStack

import aiohttp
from aiohttp import web

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import ConfigurationFollower
from peridotspoke.exceptions import PlatformError, RecordError
from peridotspoke.identities import split_address
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
from peridotspoke.programs.callers import CallerServer
from peridotspoke.programs.running import make_command, run_commands, wait_for_stop
from peridotspoke.programs.settings import EntrySettings
from peridotspoke.requests import (
    BodyMemory,
    ClaimRecord,
    FixedShares,
    Forwarder,
    KeyedRunner,
    NoAnswerDirectory,
    RequestPipeline,
    build_routing_table,
)

__all__ = ["EntryInstance", "main"]

INCARNATION_BITS = 48


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
        self.incarnation = random.getrandbits(INCARNATION_BITS)
        self.pipeline = None
        self._callers = None
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
        settings = self._settings
        service = open_service(settings, self._clock, session)
        instance_list = HttpInstanceList(
            settings.platform, settings.platform_timeout, session
        )
        memory = BodyMemory(settings.body_memory)
        forwarder = Forwarder(settings, self._clock, memory)
        self._stack.push_async_callback(forwarder.close)
        self.pipeline = self._make_pipeline(service, forwarder)
        self._callers = CallerServer(
            settings, self._clock, self._random, self.pipeline, memory, self.metrics
        )
        self._stack.push_async_callback(self._callers.stop)
        follower = ConfigurationFollower(service)
        follower.configurations.subscribe(self._apply_configuration)
        self._tasks = [
            asyncio.create_task(forwarder.run()),
            asyncio.create_task(follower.run()),
            asyncio.create_task(self._follow_records(service)),
            asyncio.create_task(self._follow_list(instance_list)),
        ]
        await self._callers.start()
        self.address = self._callers.address
        self.admin_address = await self._serve(
            settings.admin, make_admin_application(self.metrics, self)
        )
        log_event("entry-started", listen=self.address, admin=self.admin_address)

    def _make_pipeline(self, service, forwarder):
        settings = self._settings
        identity = ClaimRecord(settings.name, self.incarnation, settings.peer_listen)
        keyed = KeyedRunner(
            settings,
            self._clock,
            self._random,
            service,
            NoAnswerDirectory(),
            identity,
        )
        shares = FixedShares(settings.entry_instances)
        return RequestPipeline(
            settings, self._clock, self._random, forwarder, shares, keyed
        )

    async def drain(self):
        """Stop to be ready, refuse, and finish what runs within ``stop_limit``."""
        await self._callers.drain()

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
        reasons = [] if configuration else ["no configuration is in force"]
        if not self._callers.is_serving():
            reasons.append("a stop was asked for")
        return Health(
            ready=not reasons,
            reasons=tuple(reasons),
            details={
                "version": configuration.version if configuration else 0,
                "running": self.pipeline.count_running(),
            },
        )

    async def _serve(self, listen, application):
        host, port = split_address(listen)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, host, port).start()
        return f"{host}:{runner.addresses[0][1]}"

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
        await entry.drain()
    finally:
        await entry.stop()


def main():
    """Run the command line."""
    run_commands(
        "peridotspoke-entry",
        make_command("entry", EntrySettings, _run, "Answer callers."),
    )
