"""Messages exchanged between the system's processes."""

from dataclasses import dataclass

from peridotspoke.declarations import ConfigurationHead
from peridotspoke.peers.records import MemberRecord

__all__ = [
    "PROTOCOL_VERSION",
    "InFlightReport",
    "LeavingNews",
    "PeerView",
    "SlotLoan",
    "SlotWish",
    "SlotsAnswer",
    "SlotsRequest",
]

PROTOCOL_VERSION = 1  # version of the message format


@dataclass(frozen=True, slots=True)
class LeavingNews:
    """News that an instance is leaving, or serves again, since an epoch.

    Parameters
    ----------
    instance : str
    epoch : int
        Epoch of the instance record from which this holds.
    returned : bool, optional
        True if the instance serves again, False if it is leaving.
    pool : str, optional
        Pool of the instance; required if it serves again.
    age : float, optional
        Seconds since the news originated, as counted by the sender.
    """

    instance: str
    epoch: int
    returned: bool = False
    pool: str = ""
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerView:
    """What one process knows, without the lists that the receiver already has.

    Parameters
    ----------
    sender : MemberRecord
    leaving_digest, members_digest : int
        Digests of all leaving news and members that the sender knows, whether they
        are included in this message or not.
    leaving : tuple of LeavingNews, optional
    members : tuple of MemberRecord, optional
    head : ConfigurationHead or None, optional
        Included only in an answer to a process with a lower configuration version.
    view_age : float or None, optional
        Seconds since the sender's view of the instance records was confirmed.
    load : float, optional
        Number of requests in flight and waiting at the sender.
    protocol : int, optional
        Version of the message format.
    """

    sender: MemberRecord
    leaving_digest: int
    members_digest: int
    leaving: tuple[LeavingNews, ...] = ()
    members: tuple[MemberRecord, ...] = ()
    head: ConfigurationHead | None = None
    view_age: float | None = None
    load: float = 0.0
    protocol: int = PROTOCOL_VERSION


@dataclass(frozen=True, slots=True)
class InFlightReport:
    """Report of an entry instance on its requests to one leaving instance.

    Parameters
    ----------
    in_flight : int
        Number of requests in flight to the instance.
    seen : bool
        Whether the entry instance knows that the instance is leaving.
    """

    in_flight: int
    seen: bool


@dataclass(frozen=True, slots=True)
class SlotWish:
    """A borrower's use of and demand for the slots of one executor.

    Parameters
    ----------
    executor : str
    held : int
        Number of slots in use now.
    wanted : int
        Number of slots that the borrower wants to have lent.
    kept : int, optional
        Largest number of slots that the borrower uses from sending the wish until it
        receives the answer.
    """

    executor: str
    held: int
    wanted: int
    kept: int = 0


@dataclass(frozen=True, slots=True)
class SlotLoan:
    """Slots of one executor that are lent to a borrower.

    Parameters
    ----------
    executor : str
    lent : int
        Number of slots lent.
    recalled : bool, optional
        Whether the borrower must return idle slots, since others want them.
    """

    executor: str
    lent: int
    recalled: bool = False


@dataclass(frozen=True, slots=True)
class SlotsRequest:
    """A borrower's request to the keeper of one availability zone.

    Parameters
    ----------
    borrower : str
        Name of the borrower.
    incarnation : int
        Incarnation of the borrower.
    zone : str
    wishes : tuple of SlotWish
        An executor that is not named here is neither used nor wanted.
    epoch, keeper_time : int and float, optional
        Values of the keeper's last answer, sent back to it.
    promises : bool, optional
        Whether the borrower promises not to replace the keeper for a limited time.
    sequence : int, optional
        Number that increases with each request of a borrower.
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
    """A keeper's answer to a `SlotsRequest`.

    Parameters
    ----------
    keeper : str
        Identity of the keeper.
    epoch : int
        Epoch of the keeper record.
    keeper_time : float
        Monotonic time of the keeper in seconds.
    seconds : float
        Validity of the loans, counted from before the borrower sent its request.
    loans : tuple of SlotLoan
    """

    keeper: str
    epoch: int
    keeper_time: float
    seconds: float
    loans: tuple[SlotLoan, ...]
