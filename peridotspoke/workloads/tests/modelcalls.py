"""Calls and writes under way in the histories of `ownershipmodel`."""

from dataclasses import dataclass

from peridotspoke.nodes.grants import LeasePublication
from peridotspoke.nodes.records import QueueCounts

__all__ = ["CALL_S", "LATE_CALL_S", "ModelOrder", "ModelPoll", "ModelPublication"]

CALL_S = 1.0  # limit of a call, after which its connection is closed
LATE_CALL_S = 12.0  # until when a call without an answer may still be carried out


@dataclass(eq=False)
class ModelOrder:
    """A start or a stop that is sent and not carried out yet.

    Parameters
    ----------
    owner : ModelOwner
    executor : str
    key : TaskKey
    number : int
        Number of the run.
    run : Run or None
        None for a stop.
    stop : StopOrder or None
        None for a start.
    lease_end : float
        When the lease of a start expires, seconds.
    timed_out : bool
        Whether the owner no longer waits for the answer.
    incarnation : int
        Incarnation of the executor as the owner knew it when it sent the order.
    sent_to : int
        Incarnation of the executor when the order was sent.
    sent_at : float
        Seconds.
    fence : int
        Fence that it carries.
    was_refused : bool
        Whether a life of the executor that has ended since would have refused it.
    """

    owner: object
    executor: str
    key: object
    number: int
    run: object = None
    stop: object = None
    lease_end: float = 0.0
    timed_out: bool = False
    incarnation: int = 0
    sent_to: int = 0
    sent_at: float = 0.0
    fence: int = 0
    was_refused: bool = False


@dataclass(eq=False)
class ModelPoll:
    """A poll that is sent and not carried out yet.

    Parameters
    ----------
    owner : ModelOwner
    executor : str
    fence : int
    cursor : int
        Number of the last ended run that the executor may forget.
    lease_end : float or None
        When the lease that it extends expires, seconds; None if it extends none.
    incarnation : int
        Incarnation of the executor as the owner knew it when it sent the poll.
    sent_at : float
        Seconds.
    """

    owner: object
    executor: str
    fence: int
    cursor: int
    lease_end: float | None
    incarnation: int
    sent_at: float


@dataclass(eq=False)
class ModelPublication:
    """A write of an owner's publication that is sent and not carried out yet.

    Parameters
    ----------
    owner : ModelOwner
    publication : LeasePublication
    counts : QueueCounts
    replaces : int
        Number of the publication in the store that it names as the one before.
    timed_out : bool
        Whether the owner no longer waits for the answer.
    """

    owner: object
    publication: LeasePublication
    counts: QueueCounts
    replaces: int
    timed_out: bool = False
