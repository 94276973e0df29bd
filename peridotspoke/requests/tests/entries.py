"""Entry instance with stand-in upstreams, for tests."""

import random
from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import Configuration
from peridotspoke.declarations.schema import (
    DeploymentDeclaration,
    PoolDeclaration,
    RequestsDeclaration,
    ServiceDeclaration,
)
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.programs.callers import CallerServer
from peridotspoke.programs.settings import EntrySettings
from peridotspoke.requests import (
    BodyMemory,
    ClaimRecord,
    FixedShares,
    Forwarder,
    IdempotentRunner,
    NoAnswerDirectory,
    RequestPipeline,
    RoutingTable,
    Upstream,
)
from peridotspoke.standins import UpstreamStandIn, start_server

SERVICE = "feldkirch"
HEADERS = {"Request-Timeout": "1"}


def make_configuration(**services):
    """Build a configuration from the `RequestsDeclaration` of each service.

    A service named ``common`` is the spare pool.
    """
    declared = {
        name: ServiceDeclaration(
            service=name, pool=PoolDeclaration(spare=name == "common"), requests=rules
        )
        for name, rules in services.items()
    }
    return Configuration(1, DeploymentDeclaration(deployment="vorarlberg"), declared)


def make_upstream(instance, address="127.0.0.1:1", zone="vlbg-a", slots=8):
    """Return an `Upstream` with 64 connections."""
    return Upstream(instance, address, zone, "r1", slots, 64)


@dataclass(frozen=True, slots=True)
class EntryParts:
    """Parts of an entry instance that are used after it is assembled."""

    forwarder: Forwarder
    pipeline: RequestPipeline
    callers: CallerServer


def assemble_entry(settings, store=None, directory=None, shares=None):
    """Assemble an entry instance that has no configuration and no routes yet.

    Parameters
    ----------
    settings : EntrySettings
    store : KeyValueService, optional
        Store of the claims on idempotency keys.
    directory : AnswerDirectory, optional
        By default one without answers.
    shares : SlotShares, optional
        By default those of the only entry instance.

    Returns
    -------
    EntryParts
    """
    clock = SystemClock()
    rng = random.Random(1)
    memory = BodyMemory(settings.body_memory)
    forwarder = Forwarder(settings, clock, memory)
    directory = directory or NoAnswerDirectory()
    identity = ClaimRecord(settings.name, 1, "127.0.0.1:1")
    keyed = IdempotentRunner(settings, clock, rng, store, directory, identity)
    shares = shares or FixedShares(1)
    pipeline = RequestPipeline(settings, clock, rng, forwarder, shares, keyed)
    callers = CallerServer(settings, clock, rng, pipeline, memory, MetricsRegistry())
    return EntryParts(forwarder, pipeline, callers)


class EntryUnderTest:
    """Entry instance that serves callers on loopback, with stand-in upstreams.

    It serves one service, `SERVICE`.

    Parameters
    ----------
    store : KeyValueService, optional
        Store of the claims on idempotency keys.
    directory : AnswerDirectory, optional
    shares : SlotShares, optional
    name : str, optional
    **flags
        Fields of `EntrySettings`.
    """

    def __init__(
        self, store=None, directory=None, shares=None, name="entry-1", **flags
    ):
        flags = {"attempt_limit": 0.2, "stop_notice": 0.0, **flags}
        self.settings = EntrySettings(
            name=name, zone="vlbg-a", listen="127.0.0.1:0", **flags
        )
        self.standins = []
        parts = assemble_entry(self.settings, store, directory, shares)
        self.forwarder, self.pipeline = parts.forwarder, parts.pipeline
        self.callers = parts.callers
        self._stack = AsyncExitStack()

    async def start(self, upstreams=1, **rules):
        """Start stand-in upstreams and serve callers.

        Parameters
        ----------
        upstreams : int, optional
            Number of upstreams.
        **rules
            Fields of the service's `RequestsDeclaration`.
        """
        rules = RequestsDeclaration(**{"retry_share": 1.0, **rules})
        self.pipeline.configuration = make_configuration(**{SERVICE: rules})
        routed = []
        for number in range(upstreams):
            standin = UpstreamStandIn(f"i{number}")
            runner, address = await start_server(standin.make_application())
            self._stack.push_async_callback(runner.cleanup)
            self.standins.append(standin)
            routed.append(make_upstream(standin.name, address))
        self.pipeline.routes = RoutingTable({SERVICE: tuple(routed)})
        await self.callers.start()
        self._stack.push_async_callback(self.forwarder.close)
        self._stack.push_async_callback(self.callers.stop)
        self.session = await self._stack.enter_async_context(aiohttp.ClientSession())

    async def request(self, method, path="/plan", headers=HEADERS, body=b""):
        """Send a request as a caller.

        Returns
        -------
        tuple of (int, CIMultiDictProxy, bytes)
            Status, headers and body of the answer.
        """
        url = f"http://{self.callers.address}/{SERVICE}{path}"
        async with self.session.request(
            method, url, headers=headers, data=body
        ) as response:
            return response.status, response.headers, await response.read()

    async def close(self):
        """Stop the entry instance and its upstreams."""
        await self._stack.aclose()

    def count_arrivals(self):
        """Return the number of requests that reached any upstream."""
        return sum(item.arrivals.total() for item in self.standins)
