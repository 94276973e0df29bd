"""gRPC between the system's own processes."""

from peridotspoke.peers.client import GrpcLink, InFlightSource, PeerClient, PeerLink
from peridotspoke.peers.lease import ProcessLease
from peridotspoke.peers.messages import (
    AnswerState,
    InFlightReport,
    LeavingNews,
    PeerAnswer,
    PeerView,
    SlotLoan,
    SlotsAnswer,
    SlotsRequest,
    SlotWish,
)
from peridotspoke.peers.records import MEMBERS_PREFIX, MemberRecord, key_member
from peridotspoke.peers.server import PeerHandlers, PeerServer

__all__ = [
    "MEMBERS_PREFIX",
    "AnswerState",
    "GrpcLink",
    "InFlightReport",
    "InFlightSource",
    "LeavingNews",
    "MemberRecord",
    "PeerAnswer",
    "PeerClient",
    "PeerHandlers",
    "PeerLink",
    "PeerServer",
    "PeerView",
    "ProcessLease",
    "SlotLoan",
    "SlotWish",
    "SlotsAnswer",
    "SlotsRequest",
    "key_member",
]
