"""What each process of an entry instance has: the platform's clients and its peers."""

from dataclasses import dataclass

import aiohttp

from peridotspoke.declarations import ConfigurationFollower
from peridotspoke.peers import GrpcLink, PeerClient, PeerNode, make_member
from peridotspoke.store import (
    HttpInstanceList,
    InstanceList,
    KeyValueService,
    open_service,
)

__all__ = ["PlatformClients", "connect_platform"]


@dataclass(frozen=True, slots=True)
class PlatformClients:
    """One process's clients; the node is not started yet."""

    session: aiohttp.ClientSession
    service: KeyValueService
    instance_list: InstanceList
    follower: ConfigurationFollower
    node: PeerNode


async def connect_platform(stack, settings, role, clock, random):
    """Return the `PlatformClients` of a process.

    Parameters
    ----------
    stack : contextlib.AsyncExitStack
        Closes the session.
    settings : ProcessSettings
    role : str
        ``entry`` or ``control``.
    clock : Clock
    random : random.Random
    """
    session = await stack.enter_async_context(
        aiohttp.ClientSession(headers={"Peridotspoke-Zone": settings.zone})
    )
    service = open_service(settings, clock, session)
    instance_list = HttpInstanceList(
        settings.platform, settings.platform_timeout, session
    )
    follower = ConfigurationFollower(service)
    node = PeerNode(
        make_member(settings, role, clock),
        settings,
        service,
        follower,
        PeerClient(GrpcLink()),
        clock,
        random,
    )
    return PlatformClients(session, service, instance_list, follower, node)
