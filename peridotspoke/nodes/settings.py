"""Settings of a node: what the platform says of it, and its own times."""

from dataclasses import dataclass, field

__all__ = ["LINK", "PROCESSORS", "Bounds", "NodeSettings", "Timing"]

PROCESSORS = 1.0  # of a node that does not know its own
LINK = 100.0  # Mbit/s, likewise


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that the platform keeps or expects, in seconds.

    Parameters
    ----------
    drain, grace : float
        How long a draining executor still serves; how long a stopped process lives.
    hold_most : float
        Longest lease that an executor grants.
    stop, gang : float
        Longest stop of a run; how long a gang's member waits for the others.
    notice : float
        How long a lasting task counts as away after an order that ended it.
    move, maintenance : float
        How long a machine is away for a move or for maintenance.
    status : float
        How long the state of an ended job is kept.
    holder_change : float
        Least time between two holders' orders for one machine.
    roll_out : float
        How long after its acknowledgement a configuration may not be in force.
    """

    drain: float = 2.0
    grace: float = 6.0
    hold_most: float = 6.0
    stop: float = 0.4
    gang: float = 3.0
    notice: float = 4.5
    move: float = 1.5
    maintenance: float = 2.0
    status: float = 120.0
    holder_change: float = 3.0
    roll_out: float = 2.0


@dataclass(frozen=True, slots=True)
class Timing:
    """The node's own times, in seconds.

    Parameters
    ----------
    lease : float
        Time to live of the node's lease.
    hold : float
        Lease on what runs on an executor.
    hold_alone : float
        How long an owner goes on holding after its last contact with the store.
    look : float
        How long an executor may wait with its lists.
    call : float
        Limit of a call to an executor.
    store_call : float
        Limit of a call to the store.
    """

    lease: float = 1.6
    hold: float = 5.0
    hold_alone: float = 7.5
    look: float = 1.0
    call: float = 0.7
    store_call: float = 0.8


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of a node. Addresses are an IP number and a port.

    `writes` and `reads` are the calls a second that the store takes from all nodes
    together, `duties` and `listings` those that the machines' interface takes.
    `processors` and `link`, Mbit/s, are the instance's own.
    """

    name: str
    zone: str
    front: str
    ready: str
    store: str
    metrics: str = ""
    machines: str = ""
    advice: str = ""
    writes: float = 400.0
    reads: float = 2000.0
    listings: float = 10.0
    duties: float = 10.0
    heartbeat: float = 1.5
    shortest_lease: float = 1.0
    most_value: int = 1024 * 1024
    processors: float = PROCESSORS
    link: float = LINK
    bounds: Bounds = field(default_factory=Bounds)
    timing: Timing = field(default_factory=Timing)

    @property
    def hold(self):
        """The lease on what runs on an executor, seconds."""
        return min(self.timing.hold, self.bounds.hold_most)

    @property
    def lease(self):
        """The time to live of the node's lease, seconds."""
        return max(self.timing.lease, self.shortest_lease)
