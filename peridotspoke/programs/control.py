"""peridotspoke-control: keeps pools supplied."""

import asyncio
import random
from contextlib import AsyncExitStack

import aiohttp

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import ConfigurationFollower
from peridotspoke.exceptions import OperationConflictError, PlatformError
from peridotspoke.identities import make_operation_id
from peridotspoke.logs import log_event
from peridotspoke.peers import (
    GrpcLink,
    PeerClient,
    PeerHandlers,
    PeerNode,
    make_member,
)
from peridotspoke.platform import (
    ChangeNote,
    HttpInstanceList,
    Stored,
    open_service,
    swap_stored,
)
from peridotspoke.pools import INSTANCES_PREFIX, InstanceRecord, Phase, key_instance
from peridotspoke.programs.running import make_command, run_commands, watch_signals
from peridotspoke.programs.settings import ControlSettings

__all__ = ["Controller", "main"]


class Controller:
    """Gives each listed instance without a record to a pool.

    Parameters
    ----------
    settings : ControlSettings
    clock : Clock
    random : random.Random
    """

    def __init__(self, settings, clock, random):
        self._settings = settings
        self._clock = clock
        self._random = random
        self._configuration = None
        self.node = None
        self._tasks = []
        self._stack = AsyncExitStack()

    async def start(self):
        """Begin to follow the platform and to plan."""
        settings = self._settings
        session = await self._stack.enter_async_context(
            aiohttp.ClientSession(headers={"Peridotspoke-Zone": settings.zone})
        )
        service = open_service(settings, self._clock, session)
        instance_list = HttpInstanceList(
            settings.platform, settings.platform_timeout, session
        )
        follower = ConfigurationFollower(service)
        follower.configurations.subscribe(self._apply_configuration)
        self.node = PeerNode(
            make_member(settings, "control", self._clock),
            settings,
            service,
            follower,
            PeerClient(GrpcLink()),
            self._clock,
            self._random,
        )
        await self.node.start(PeerHandlers())
        self._stack.push_async_callback(self.node.stop)
        self._tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(self._plan(service, instance_list)),
        ]
        log_event("control-started")

    async def stop(self):
        """End all tasks and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        log_event("control-stopped")

    def _apply_configuration(self, configuration):
        self._configuration = configuration

    async def _plan(self, service, instance_list):
        while True:
            await asyncio.sleep(self._settings.plan_interval)
            if self._configuration is None or not self.node.lease.is_held():
                continue
            try:
                await self._adopt_instances(service, instance_list)
            except PlatformError as error:
                log_event("round-abandoned", "WARNING", error=error)

    async def _adopt_instances(self, service, instance_list):
        listed = await instance_list.read_instances()
        read_at = self._clock.read_monotonic()
        snapshot = await service.read_prefix(INSTANCES_PREFIX)
        self.node.take_snapshot(snapshot, read_at)
        known = {record.key for record in snapshot.records}
        fresh = [item for item in listed if key_instance(item.instance) not in known]
        sizes = {
            name: declaration.pool.instances
            for name, declaration in self._configuration.services.items()
        }
        pools = [name for name, size in sorted(sizes.items()) for _ in range(size)]
        for item, pool in zip(fresh, pools[len(known) :], strict=False):
            await self._adopt_instance(service, item, pool)

    async def _adopt_instance(self, service, item, pool):
        record = InstanceRecord(
            item.instance, pool, Phase.SERVING, 1, item.zone, item.rack
        )
        note = ChangeNote(
            operation=make_operation_id(self._random),
            author=self._settings.name,
            action=f"adopt into pool {pool}",
            reason="listed without a record",
            at=self._clock.read_wall(),
        )
        try:
            await swap_stored(
                service, key_instance(item.instance), Stored(record, (note,)), 0
            )
            log_event("instance-adopted", instance=item.instance, pool=pool)
        except OperationConflictError as error:
            log_event("adoption-lost", error=error)


async def _run(settings):
    stop = watch_signals()
    controller = Controller(settings, SystemClock(), random.SystemRandom())
    await controller.start()
    try:
        await stop.wait()
    finally:
        await controller.stop()


def main():
    """Run the command line."""
    run_commands(
        "peridotspoke-control",
        make_command("control", ControlSettings, _run, "Keep pools supplied."),
    )
