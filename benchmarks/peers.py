"""Bytes and processor time of peer membership, by the number of processes.

Run: ``python -m benchmarks.peers [SECONDS]``. The peers of a size run as tasks of
this one process on loopback, half of them entries and half controllers. A relay in
front of each peer counts bytes. Processor time is taken in a second run without
relays; it includes the platform's stand-in and is divided by the number of peers.
"""

import asyncio
import random
import sys
import time
from types import SimpleNamespace

import aiohttp

from benchmarks.relay import CountingRelay
from peridotspoke.clock import SystemClock
from peridotspoke.declarations import ConfigurationFollower
from peridotspoke.logs import configure_logs
from peridotspoke.peers import (
    GrpcLink,
    MemberRecord,
    PeerClient,
    PeerHandlers,
    PeerNode,
)
from peridotspoke.standins import PlatformStandIn, start_server
from peridotspoke.store import GatewayKeyValueService

__all__ = ["measure_members"]

SIZES = (2, 4, 8, 16)  # peers
WARM_UP = 12.0  # seconds
MEASURED = 20.0  # seconds
ZONES = 4


async def _start_node(number, url, session, clock):
    service = GatewayKeyValueService(url, 1.0, clock, session)
    settings = SimpleNamespace(peer_listen="127.0.0.1:0", seed_peers="", lease_ttl=6.0)
    role = "entry" if number % 2 else "control"
    node = PeerNode(
        MemberRecord(f"{role}-{number}", role, f"zone-{number % ZONES}", "", 1),
        settings,
        service,
        ConfigurationFollower(service),
        PeerClient(GrpcLink()),
        clock,
        random.Random(number),
    )
    await node.start(PeerHandlers())
    return node


async def measure_members(count, seconds, with_relays):
    """Run `count` peers and return the mean bytes per second and core share of a peer.

    The third value is the smallest number of peers that any of them has heard.
    Without relays the bytes are 0.
    """
    clock = SystemClock()
    runner, address = await start_server(PlatformStandIn(clock).make_application())
    relays = []
    async with aiohttp.ClientSession() as session:
        nodes = [
            await _start_node(number, f"http://{address}", session, clock)
            for number in range(count)
        ]
        for node in nodes if with_relays else ():
            relay = CountingRelay(node.own.address)
            node.advertise(await relay.start())
            relays.append(relay)
        await asyncio.sleep(WARM_UP)
        bytes_before = sum(relay.sent + relay.received for relay in relays)
        time_before = time.process_time()
        await asyncio.sleep(seconds)
        relayed = sum(relay.sent + relay.received for relay in relays) - bytes_before
        processor_time = time.process_time() - time_before
        heard = min(node.get_status().peers_heard for node in nodes)
        for closing in [*nodes, *relays]:
            await closing.stop()
    await runner.cleanup()
    # Each byte is sent by one process and received by another.
    return 2 * relayed / count / seconds, processor_time / count / seconds, heard


def main():
    """Print one line for each size."""
    configure_logs("benchmark", "", level="ERROR")
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else MEASURED
    for count in SIZES:
        rate, _, heard = asyncio.run(measure_members(count, seconds, True))
        _, share, _ = asyncio.run(measure_members(count, seconds, False))
        print(
            f"members={count} heard={heard} bytes_per_second={rate:.0f} "
            f"core_share={share:.5f} seconds={seconds:g}",
            flush=True,
        )


if __name__ == "__main__":
    main()
