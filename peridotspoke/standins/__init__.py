"""Stand-ins for the platform, upstreams and workers, with fault injection."""

from peridotspoke.standins.faults import PlatformFaults, UpstreamFaults, WorkerFaults
from peridotspoke.standins.fleet import FleetStandIn
from peridotspoke.standins.local import FaultyKeyValueService
from peridotspoke.standins.memory import MemoryKeyValueService
from peridotspoke.standins.platform import PlatformStandIn
from peridotspoke.standins.servers import start_server
from peridotspoke.standins.store import StoreStandIn
from peridotspoke.standins.upstream import UpstreamStandIn
from peridotspoke.standins.worker import TaskRunner, WorkerStandIn

__all__ = [
    "FaultyKeyValueService",
    "FleetStandIn",
    "MemoryKeyValueService",
    "PlatformFaults",
    "PlatformStandIn",
    "StoreStandIn",
    "TaskRunner",
    "UpstreamFaults",
    "UpstreamStandIn",
    "WorkerFaults",
    "WorkerStandIn",
    "start_server",
]
