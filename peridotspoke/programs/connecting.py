"""Clients of the platform and of peers, as entries and controllers use them."""

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
    """The clients of a process. `node` has yet to be started."""

    session: aiohttp.ClientSession
    service: KeyValueService
    instance_list: InstanceList
    follower: ConfigurationFollower
    node: PeerNode


async def connect_platform(stack, settings, role, clock, random):
    """Open a session with the platform and return the `PlatformClients`.

    Parameters
    ----------
    stack : contextlib.AsyncExitStack
        Closes the session when it is closed itself.
    settings : ProcessSettings
    role : str
        Role that peers see: ``entry`` or ``control``.
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
