"""Steps for exchanges between peers on loopback, with zones cut off at times."""

import asyncio
import random
from types import SimpleNamespace

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import ConfigurationFollower, publish_declarations
from peridotspoke.exceptions import PeerError
from peridotspoke.peers import (
    GrpcLink,
    MemberRecord,
    PeerClient,
    PeerHandlers,
    PeerLink,
    PeerNode,
)
from peridotspoke.pools import InstanceRecord, Phase
from peridotspoke.standins import PlatformFaults, PlatformStandIn, start_server
from peridotspoke.store import GatewayKeyValueService

scenarios("gossip.feature")

WAIT_TIMEOUT_S = 15.0
TEXT = 'service = "tiles"\n\n[pool]\ninstances = {}\n'


class CutLink(PeerLink):
    """Link that refuses calls between zones that are cut off from each other."""

    def __init__(self, zone, world):
        self._zone = zone
        self._world = world
        self._link = GrpcLink()

    async def call(self, address, method, message):
        other = self._world.zones[address]
        if frozenset({other, self._zone}) in self._world.cut:
            raise PeerError("cut off", step=method, peer=address)
        return await self._link.call(address, method, message)

    async def close(self):
        await self._link.close()


class World:
    """The platform's stand-in and the processes of one scenario."""

    def __init__(self):
        self.clock = SystemClock()
        self.platform = PlatformStandIn(self.clock)
        self.nodes = {}
        self.zones = {}
        self.cut = set()
        self.versions = {}
        self.closers = []

    async def open(self):
        runner, address = await start_server(self.platform.make_application())
        self.closers.append(runner.cleanup)
        self.url = f"http://{address}"
        self.operator = await self.connect("")

    async def connect(self, zone):
        session = aiohttp.ClientSession(headers={"Peridotspoke-Zone": zone})
        self.closers.append(session.close)
        return GatewayKeyValueService(self.url, 0.5, self.clock, session)

    async def publish(self, count):
        await publish_declarations(
            self.operator,
            {"service/tiles": TEXT.format(count)},
            "ana",
            "test",
            self.clock,
            random.Random(count),
        )

    async def start(self, name, zone, seeds=""):
        service = await self.connect(zone)
        follower = ConfigurationFollower(service)
        settings = SimpleNamespace(
            peer_listen="127.0.0.1:0", seed_peers=seeds, lease_ttl=6.0
        )
        node = PeerNode(
            MemberRecord(name, "entry", zone, "", 1),
            settings,
            service,
            follower,
            PeerClient(CutLink(zone, self)),
            self.clock,
            random.Random(1),
        )
        seen = self.versions[name] = []
        follower.configurations.subscribe(
            lambda configuration: seen.append(
                configuration.version if configuration else 0
            )
        )
        await node.start(PeerHandlers())
        self.zones[node.own.address] = zone
        self.nodes[name] = node
        task = asyncio.create_task(follower.run())
        self.closers += [node.stop, lambda: cancel(task)]

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def close(self):
        for closer in reversed(self.closers):
            await closer()


async def cancel(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@pytest.fixture
def world(runner):
    """Yield the scenario's `World` and close it after the test."""
    opened = World()
    yield opened
    runner.run(opened.close())


@given(
    parsers.parse(
        'entries "{one}" in "{zone}" and "{two}" in "{other}", both with version 1'
    )
)
def start_two(runner, world, one, zone, two, other):
    async def start():
        await world.open()
        await world.publish(1)
        await world.start(one, zone)
        await world.start(two, other)
        nodes = list(world.nodes.values())
        await world.wait_until(
            lambda: all(
                node.get_status().version == 1 and node.get_status().peers_heard == 1
                for node in nodes
            )
        )

    runner.run(start())


@when(parsers.parse('"{zone}" is cut off from the platform'))
def cut_platform(world, zone):
    world.platform.faults = PlatformFaults(cut_zones=(zone,))


@when(parsers.parse('"{zone}" is cut off from its peers'))
def cut_peers(world, zone):
    others = set(world.zones.values()) - {zone}
    world.cut = {frozenset({zone, other}) for other in others}


@when(
    parsers.parse('"{zone}" is cut off from {what} and version {number:d} is published')
)
def cut_and_publish(runner, world, zone, what, number):
    cut_platform(world, zone)
    if what == "all":
        cut_peers(world, zone)
    runner.run(asyncio.sleep(0.3))
    runner.run(world.publish(number))


@when(parsers.parse('"{zone}" reaches its peers again'))
def reconnect(world, zone):
    world.cut = set()


@when(
    parsers.parse('the platform goes down and "{name}" starts in "{zone}" with {seeds}')
)
def start_in_outage(runner, world, name, zone, seeds):
    world.platform.faults = PlatformFaults(down=True)
    addresses = ",".join(world.zones) if seeds == "both as seeds" else ""
    runner.run(world.start(name, zone, addresses))


@when(parsers.parse('"{name}" reads that "{instance}" leaves since epoch {epoch:d}'))
def read_leaving(world, name, instance, epoch):
    record = InstanceRecord(instance, "tiles", Phase.DRAINING, epoch, "a", "r1")
    read_at = world.clock.read_monotonic()
    world.nodes[name].take_instances({instance: record}, read_at)


@then(parsers.parse('"{name}" has version {version:d} in force'))
def check_version(runner, world, name, version):
    node = world.nodes[name]
    runner.run(world.wait_until(lambda: node.get_status().version == version))


@then(parsers.parse('"{name}" stays at version {version:d}'))
def check_stays(runner, world, name, version):
    runner.run(asyncio.sleep(1.0))
    assert world.nodes[name].get_status().version == version


@then(
    parsers.parse(
        '"{name}" reports that the platform is unreachable and {count:d} peer is alive'
    )
)
def check_status(runner, world, name, count):
    def status_matches():
        status = world.nodes[name].get_status()
        return not status.platform_reachable and status.peers_heard == count

    runner.run(world.wait_until(status_matches))


@then(parsers.parse('"{name}" has taken only version {version:d}'))
def check_only(world, name, version):
    assert world.versions[name] == [0, version]


@then("no process ever returned to an older version")
def check_versions_never_decrease(world):
    for versions in world.versions.values():
        assert versions == sorted(versions)


@then(parsers.parse('"{name}" knows that "{instance}" leaves since epoch {epoch:d}'))
def check_leaving(runner, world, name, instance, epoch):
    leaving = world.nodes[name].leaving
    runner.run(world.wait_until(lambda: leaving.knows_epoch(instance, epoch)))


@then(parsers.parse('"{name}" has a view confirmed by "{other}"'))
def check_confirmed(runner, world, name, other):
    node = world.nodes[name]
    runner.run(world.wait_until(lambda: node.get_status().view_age is not None))
