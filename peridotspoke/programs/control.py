"""peridotspoke-control: assigns instances to pools and supervises jobs."""

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import asdict

from peridotspoke.clock import SystemClock
from peridotspoke.logs import log_event
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.peers import (
    PeerHandlers,
)
from peridotspoke.programs.admin import Health, HealthSource, serve_admin
from peridotspoke.programs.connecting import connect_platform
from peridotspoke.programs.fleet import FleetTasks
from peridotspoke.programs.fleetjobs import FleetJobs, JobInFlightSource
from peridotspoke.programs.running import (
    make_command,
    run_commands,
    wait_for_stop,
    watch_signals,
)
from peridotspoke.programs.settings import ControlSettings
from peridotspoke.store import (
    HttpInstanceActions,
    HttpUsageReports,
)

__all__ = ["Controller", "main"]


class Controller(HealthSource):
    """A controller process: its sockets, its peers and its background tasks.

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
        self.node = None
        self.metrics = MetricsRegistry()
        self.admin_address = ""
        self._tasks = []
        self._stack = AsyncExitStack()

    async def start(self):
        """Open the sockets and start the background tasks."""
        settings = self._settings
        clients = await connect_platform(
            self._stack, settings, "control", self._clock, self._random
        )
        service, follower = clients.service, clients.follower
        self.node = clients.node
        await self.node.start(PeerHandlers())
        self._stack.push_async_callback(self.node.stop)
        in_flight_source = JobInFlightSource(self.node.client)
        fleet = FleetTasks(
            settings,
            service,
            clients.instance_list,
            HttpInstanceActions(
                settings.platform, settings.platform_timeout, clients.session
            ),
            HttpUsageReports(
                settings.platform, settings.platform_timeout, clients.session
            ),
            self.node,
            self._clock,
            self._random,
            in_flight_source,
        )
        follower.configurations.subscribe(fleet.apply_configuration)
        jobs = FleetJobs(settings, service, fleet, self.node, self._clock, self._random)
        in_flight_source.jobs = jobs
        self._tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(fleet.run()),
            asyncio.create_task(jobs.run()),
        ]
        self.admin_address = await serve_admin(
            self._stack, settings.admin, self.metrics, self
        )
        log_event("control-started", admin=self.admin_address)

    def read_health(self):
        """Return the current `Health` of the process."""
        status = self.node.get_status()
        reasons = []
        if not status.version:
            reasons.append("no configuration is in force")
        if not self.node.lease.is_held():
            reasons.append("the process's lease is not held")
        return Health(not reasons, tuple(reasons), asdict(status))

    @property
    def tasks(self):
        """The background tasks, which run until the program stops."""
        return tuple(self._tasks)

    async def stop(self):
        """Cancel all tasks and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        log_event("control-stopped")


async def _run(settings):
    stop_requested = watch_signals()
    controller = Controller(settings, SystemClock(), random.SystemRandom())
    await controller.start()
    try:
        await wait_for_stop(stop_requested, controller.tasks)
    finally:
        await controller.stop()


def main():
    """Run the command line."""
    run_commands(
        "peridotspoke-control",
        make_command("control", ControlSettings, _run, "Keep pools supplied."),
    )


if __name__ == "__main__":
    main()
