"""peridotspoke-entry: answers callers and routes their requests to executors."""

import asyncio
import random
from contextlib import AsyncExitStack
from dataclasses import asdict

from peridotspoke.clock import SystemClock
from peridotspoke.exceptions import PeerError
from peridotspoke.jobs import JobAcceptor
from peridotspoke.logs import log_event
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.peers import (
    InFlightReport,
    LendingRules,
    LentShares,
    PeerAnswerDirectory,
    PeerHandlers,
    SlotLending,
)
from peridotspoke.programs.admin import (
    Health,
    HealthSource,
    serve_admin,
)
from peridotspoke.programs.callers import CallerServer
from peridotspoke.programs.connecting import connect_platform
from peridotspoke.programs.jobs import JobRequests
from peridotspoke.programs.running import (
    make_command,
    run_commands,
    wait_for_stop,
    watch_signals,
)
from peridotspoke.programs.settings import EntrySettings
from peridotspoke.programs.upstreams import UpstreamFollower
from peridotspoke.requests import (
    AnswerState,
    BodyMemory,
    ClaimRecord,
    FixedShares,
    Forwarder,
    IdempotentRunner,
    RememberedAnswer,
    RequestPipeline,
)

__all__ = ["EntryInstance", "main"]


class EntryInstance(HealthSource):
    """An entry instance: its sockets, its background tasks and the request pipeline.

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
        self._callers = None
        self._settings = settings
        self._clock = clock
        self._random = random
        self.node = None
        self._upstreams = None
        self._lending = None
        self._tasks = []
        self._stack = AsyncExitStack()

    async def start(self):
        """Open the sockets and start the background tasks."""
        settings = self._settings
        clients = await connect_platform(
            self._stack, settings, "entry", self._clock, self._random
        )
        service, follower = clients.service, clients.follower
        self.node = clients.node
        handlers = PeerHandlers(
            report_in_flight=self._report_in_flight,
            fetch_answer=self._recall_answer,
            lend_slots=self._lend_slots,
        )
        memory = BodyMemory(settings.body_memory)
        forwarder = Forwarder(settings, self._clock, memory)
        self._stack.push_async_callback(forwarder.close)
        await self.node.start(handlers)
        self._stack.push_async_callback(self.node.stop)
        self.pipeline = self._make_pipeline(service, forwarder)
        acceptor = JobAcceptor(service, settings.name, self._clock, self._random)
        await acceptor.start()
        self._stack.push_async_callback(acceptor.stop)
        jobs = JobRequests(
            acceptor, self._clock, self._find_service, self._find_largest
        )
        self._callers = CallerServer(
            settings,
            self._clock,
            self._random,
            self.pipeline,
            memory,
            self.metrics,
            jobs,
        )
        self._stack.push_async_callback(self._callers.stop)
        self._upstreams = UpstreamFollower(
            settings,
            service,
            clients.instance_list,
            self.node,
            self._clock,
            self._apply_routes,
        )
        follower.configurations.subscribe(self._apply_configuration)
        self._tasks = [
            asyncio.create_task(forwarder.run()),
            asyncio.create_task(follower.run()),
            asyncio.create_task(self._upstreams.run()),
        ]
        if self._lending is not None:
            self._tasks.append(asyncio.create_task(self._lending.run()))
        await self._callers.start()
        self.address = self._callers.address
        self.admin_address = await serve_admin(
            self._stack, settings.admin, self.metrics, self
        )
        log_event("entry-started", listen=self.address, admin=self.admin_address)

    def _make_pipeline(self, service, forwarder):
        settings = self._settings
        own = self.node.own
        identity = ClaimRecord(own.name, own.incarnation, own.address)
        keyed = IdempotentRunner(
            settings,
            self._clock,
            self._random,
            service,
            PeerAnswerDirectory(self.node.client),
            identity,
        )
        shares = self._make_shares(service)
        return RequestPipeline(
            settings, self._clock, self._random, forwarder, shares, keyed
        )

    def _make_shares(self, service):
        settings = self._settings
        if settings.slot_shares == "fixed":
            return FixedShares(settings.entry_instances)
        self._lending = SlotLending(
            self.node,
            service,
            self._get_slots,
            self._clock,
            self._random,
            LendingRules(longest_request=1.0),
        )
        return LentShares(self._lending)

    def _get_slots(self):
        return self._upstreams.get_slots()

    def _lend_slots(self, request):
        if self._lending is None:
            raise PeerError("slots are not lent here", step="lend slots")
        return self._lending.answer_request(request)

    @property
    def tasks(self):
        """The background tasks, which run until the program stops."""
        return tuple(self._tasks)

    async def drain(self):
        """Announce a planned stop and finish the requests in progress.

        It takes at most ``stop_limit`` seconds for callers; see `CallerServer.drain`.
        """
        await asyncio.gather(self.node.announce_stop(), self._callers.drain())

    async def stop(self):
        """Cancel all tasks and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        log_event("entry-stopped")

    def read_health(self):
        """Return the current `Health` of the process."""
        configuration = self.pipeline.configuration
        reasons = [] if configuration else ["no configuration is in force"]
        if not self._callers.is_serving():
            reasons.append("a stop was asked for")
        return Health(
            ready=not reasons,
            reasons=tuple(reasons),
            details={
                **asdict(self.node.get_status()),
                "running": self.pipeline.count_running(),
            },
        )

    def _apply_configuration(self, configuration):
        self.pipeline.configuration = configuration
        if configuration is not None:
            self._upstreams.view_bound = configuration.deployment.view_bound
        if configuration is not None and self._lending is not None:
            limits = [
                item.requests.time_limit for item in configuration.services.values()
            ]
            self._lending.set_longest_request(max(limits, default=1.0))

    def _apply_routes(self, routes):
        self.pipeline.routes = routes

    async def _recall_answer(self, answer_key):
        if self.pipeline is None:
            return RememberedAnswer(AnswerState.UNKNOWN)
        return self.pipeline.keyed.find_answer(answer_key)

    def _report_in_flight(self, epochs):
        if self.pipeline is None:
            return {name: InFlightReport(0, False) for name in epochs}
        # Pending drain announcements are applied first. Otherwise one could be
        # reported as seen while requests are still routed to its instance.
        if self.node.leaving_changed.is_set():
            self._upstreams.rebuild_routes()
        return {
            instance: InFlightReport(
                self.pipeline.count_in_flight(instance),
                self.node.leaving.knows_epoch(instance, epoch),
            )
            for instance, epoch in epochs.items()
        }

    def _find_service(self, name):
        return self.pipeline.configuration.services.get(name)

    def _find_largest(self, pool):
        return self._upstreams.find_largest(pool)


async def _run(settings):
    stop_requested = watch_signals()
    entry = EntryInstance(settings, SystemClock(), random.SystemRandom())
    await entry.start()
    try:
        await wait_for_stop(stop_requested, entry.tasks)
        await entry.drain()
    finally:
        await entry.stop()


def main():
    """Run the command line."""
    run_commands(
        "peridotspoke-entry",
        make_command("entry", EntrySettings, _run, "Answer callers."),
    )


if __name__ == "__main__":
    main()
