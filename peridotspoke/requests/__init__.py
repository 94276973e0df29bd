"""The callers' pipeline: admit, queue, choose, forward, conclude."""

from peridotspoke.requests.admission import admit_request
from peridotspoke.requests.choosing import choose_upstream
from peridotspoke.requests.concluding import conclude_answer, conclude_refusal
from peridotspoke.requests.forwarding import Forwarder
from peridotspoke.requests.messages import (
    AdmittedRequest,
    Conclusion,
    IncomingRequest,
    Outcome,
    Refusal,
    Upstream,
    UpstreamAnswer,
)
from peridotspoke.requests.pipeline import RequestPipeline
from peridotspoke.requests.routing import RoutingTable, build_routing_table
from peridotspoke.requests.shares import FixedShares, SlotShares

__all__ = [
    "AdmittedRequest",
    "Conclusion",
    "FixedShares",
    "Forwarder",
    "IncomingRequest",
    "Outcome",
    "Refusal",
    "RequestPipeline",
    "RoutingTable",
    "SlotShares",
    "Upstream",
    "UpstreamAnswer",
    "admit_request",
    "build_routing_table",
    "choose_upstream",
    "conclude_answer",
    "conclude_refusal",
]
