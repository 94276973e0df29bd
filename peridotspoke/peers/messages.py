"""What the system's processes tell each other."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from peridotspoke.declarations import ConfigurationHead
from peridotspoke.peers.records import MemberRecord

__all__ = [
    "PROTOCOL",
    "AnswerState",
    "InFlightReport",
    "LeavingNews",
    "PeerAnswer",
    "PeerView",
    "SlotLoan",
    "SlotWish",
    "SlotsAnswer",
    "SlotsRequest",
]

PROTOCOL = 1


@dataclass(frozen=True, slots=True)
class LeavingNews:
    """An instance that leaves, or serves again, since `epoch`.

    `age` is the time in seconds since the news arose, by the teller's count.
    """

    instance: str
    epoch: int
    returned: bool = False
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerView:
    """What one process knows; lists that the other has already are left out.

    Parameters
    ----------
    sender : MemberRecord
    leaving_digest, members_digest : int
        Digests of all that the sender knows, whether sent along or not.
    leaving : tuple of LeavingNews, optional
    members : tuple of MemberRecord, optional
    head : ConfigurationHead or None, optional
        Only in an answer to a process with a lower version.
    view_age : float or None, optional
        Seconds since the sender's view of the instance records was confirmed.
    load : float, optional
        Requests in flight and waiting at the sender.
    protocol : int, optional
    """

    sender: MemberRecord
    leaving_digest: int
    members_digest: int
    leaving: tuple[LeavingNews, ...] = ()
    members: tuple[MemberRecord, ...] = ()
    head: ConfigurationHead | None = None
    view_age: float | None = None
    load: float = 0.0
    protocol: int = PROTOCOL


@dataclass(frozen=True, slots=True)
class InFlightReport:
    """Requests in flight to one instance, and whether its leaving has been seen."""

    in_flight: int
    seen: bool


class AnswerState(enum.IntEnum):
    """What a process knows of a keyed request."""

    UNKNOWN = 0
    RUNNING = 1
    FINISHED = 2
    NOT_RUN = 3


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """The remembered answer of a keyed request; empty unless it is finished."""

    state: AnswerState
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class SlotWish:
    """Slots of one executor that a borrower uses now, and those that it wants."""

    executor: str
    held: int
    wanted: int


@dataclass(frozen=True, slots=True)
class SlotLoan:
    """Slots of one executor that are lent; `recalled` asks for idle ones back."""

    executor: str
    lent: int
    recalled: bool = False


@dataclass(frozen=True, slots=True)
class SlotsRequest:
    """A borrower's wishes to the keeper of one availability zone.

    `epoch` and `keeper_time` are those of the keeper's last answer. `promises`
    says that the borrower won't take the keeper's right over for a while.
    """

    borrower: str
    incarnation: int
    zone: str
    wishes: tuple[SlotWish, ...]
    epoch: int = 0
    keeper_time: float = 0.0
    promises: bool = False


@dataclass(frozen=True, slots=True)
class SlotsAnswer:
    """Loans for `seconds`, counted from before the borrower asked."""

    keeper: str
    epoch: int
    keeper_time: float
    seconds: float
    loans: tuple[SlotLoan, ...]
