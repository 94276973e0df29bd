"""Communication between the system's own processes: membership, leases, slot loans."""

from peridotspoke.peers.answers import PeerAnswerDirectory
from peridotspoke.peers.borrowedslots import SlotBorrower
from peridotspoke.peers.client import GrpcLink, InFlightSource, PeerClient, PeerLink
from peridotspoke.peers.lease import ProcessLease
from peridotspoke.peers.leaving import LeavingRules, LeavingView
from peridotspoke.peers.lending import LentShares, SlotLending
from peridotspoke.peers.membership import (
    Membership,
    MembershipRules,
    MemberState,
    MemberView,
)
from peridotspoke.peers.messages import (
    InFlightReport,
    LeavingNews,
    PeerView,
    SlotLoan,
    SlotsAnswer,
    SlotsRequest,
    SlotWish,
)
from peridotspoke.peers.node import PeerNode, PeerStatus
from peridotspoke.peers.records import (
    MEMBERS_PREFIX,
    MemberRecord,
    key_member,
    make_member,
)
from peridotspoke.peers.rights import (
    KEEPERS_PREFIX,
    KeeperRecord,
    LendingRight,
    LendingRightRules,
    key_keeper,
)
from peridotspoke.peers.server import PeerHandlers, PeerServer
from peridotspoke.peers.slots import LendingRules, SlotKeeper, divide_slots

__all__ = [
    "MEMBERS_PREFIX",
    "GrpcLink",
    "InFlightReport",
    "InFlightSource",
    "KEEPERS_PREFIX",
    "KeeperRecord",
    "LendingRight",
    "LeavingRules",
    "LeavingView",
    "LendingRules",
    "LentShares",
    "LeavingNews",
    "MemberRecord",
    "MemberState",
    "MemberView",
    "Membership",
    "MembershipRules",
    "PeerAnswerDirectory",
    "PeerClient",
    "PeerHandlers",
    "PeerLink",
    "PeerNode",
    "PeerServer",
    "PeerStatus",
    "PeerView",
    "ProcessLease",
    "LendingRightRules",
    "SlotBorrower",
    "SlotKeeper",
    "SlotLending",
    "SlotLoan",
    "SlotWish",
    "SlotsAnswer",
    "SlotsRequest",
    "divide_slots",
    "key_keeper",
    "key_member",
    "make_member",
]
