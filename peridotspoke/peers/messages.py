"""What the system's processes tell each other."""

from dataclasses import dataclass

from peridotspoke.declarations import ConfigurationHead
from peridotspoke.peers.records import MemberRecord

__all__ = [
    "PROTOCOL",
    "InFlightReport",
    "LeavingNews",
    "PeerView",
    "SlotLoan",
    "SlotWish",
    "SlotsAnswer",
    "SlotsRequest",
]

PROTOCOL = 1


@dataclass(frozen=True, slots=True)
class LeavingNews:
    """An instance that leaves, or serves `pool` again, since `epoch`.

    `age` is the time in seconds since the news arose, by the teller's count.
    """

    instance: str
    epoch: int
    returned: bool = False
    pool: str = ""
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


@dataclass(frozen=True, slots=True)
class SlotWish:
    """Slots of one executor that a borrower uses now, and those that it wants.

    `kept` is the most that it uses from the sending of the wish until an answer.
    """

    executor: str
    held: int
    wanted: int
    kept: int = 0


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
    `sequence` grows with each request of a borrower. An executor that is not named
    is not used and not wanted.
    """

    borrower: str
    incarnation: int
    zone: str
    wishes: tuple[SlotWish, ...]
    epoch: int = 0
    keeper_time: float = 0.0
    promises: bool = False
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class SlotsAnswer:
    """Loans for `seconds`, counted from before the borrower asked."""

    keeper: str
    epoch: int
    keeper_time: float
    seconds: float
    loans: tuple[SlotLoan, ...]
