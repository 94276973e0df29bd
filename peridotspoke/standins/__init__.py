"""Small stand-ins for the platform and the upstreams, with switchable faults."""

from peridotspoke.standins.faults import PlatformFaults, UpstreamFaults
from peridotspoke.standins.fleet import FleetStandIn, UsageReport
from peridotspoke.standins.local import FaultyKeyValueService
from peridotspoke.standins.memory import MemoryKeyValueService
from peridotspoke.standins.platform import PlatformStandIn
from peridotspoke.standins.servers import start_server
from peridotspoke.standins.store import StoreStandIn
from peridotspoke.standins.upstream import UpstreamStandIn

__all__ = [
    "FaultyKeyValueService",
    "FleetStandIn",
    "MemoryKeyValueService",
    "PlatformFaults",
    "PlatformStandIn",
    "StoreStandIn",
    "UpstreamFaults",
    "UpstreamStandIn",
    "UsageReport",
    "start_server",
]
