"""The periods in which a node owns a unit."""

from dataclasses import dataclass, field

from peridotspoke.nodes.predecessors import Predecessor

__all__ = ["Holding"]


@dataclass(frozen=True, slots=True)
class Holding:
    """One period in which this node owns a unit.

    Parameters
    ----------
    unit : str
    fence : int
        The fencing token: the revision at which the owner record was created.
    since : float
        When the ownership was gained, in monotonic seconds.
    previous : str, optional
        Name of the last known owner before this node.
    lease_ends : dict of str to float, optional
        When the leases of executors have ended, in monotonic seconds, as the owner
        before this node stated when it stopped.
    predecessor : Predecessor, optional
        The owner before this node, if it has not stopped by itself.
    """

    unit: str
    fence: int
    since: float
    previous: str = ""
    lease_ends: dict[str, float] = field(default_factory=dict)
    predecessor: Predecessor | None = None
