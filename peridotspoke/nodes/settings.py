"""Settings of a node: what the platform prescribes, and the node's own timing."""

from dataclasses import dataclass, field

__all__ = [
    "DEFAULT_LINK",
    "DEFAULT_PROCESSORS",
    "Bounds",
    "CallerSettings",
    "NodeSettings",
    "Timing",
]

DEFAULT_PROCESSORS = 1.0  # processors, if the settings or record state none
DEFAULT_LINK = 100.0  # Mbit/s, if the settings or record state none


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits that the platform observes or expects, in seconds.

    Parameters
    ----------
    drain : float
        How long a draining executor continues to serve.
    grace : float
        How long a process may run after it was asked to stop.
    max_run_lease : float
        Longest lease that an executor grants.
    stop : float
        Longest time that stopping a run takes.
    gang : float
        How long a member of a gang waits for the other members.
    notice : float
        How long a long-running task counts as unavailable after an order that ended it.
    move : float
        How long a machine is unavailable during a move to another pool.
    maintenance : float
        How long a machine is unavailable during maintenance.
    status : float
        How long the state of an ended job is kept.
    holder_change : float
        Minimum time between orders of two different holders for the same machine.
    rollout : float
        Longest time from the acknowledgement of a configuration to its taking effect.
    revocation : float
        Time after the acknowledgement of a configuration from which no call succeeds
        with an API key that it revokes, on any node; 0 if no such bound holds.
    """

    drain: float = 2.0
    grace: float = 6.0
    max_run_lease: float = 6.0
    stop: float = 0.4
    gang: float = 3.0
    notice: float = 4.5
    move: float = 1.5
    maintenance: float = 2.0
    status: float = 120.0
    holder_change: float = 3.0
    rollout: float = 2.0
    revocation: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Limits on callers' connections.

    Parameters
    ----------
    memory : float
        Memory that they may hold together, in MB; 0 to derive it from the memory of
        the instance.
    connections : int
        How many may be open at once; 0 to derive it from the file descriptors.
    arrival : float
        Seconds in which a head or a body has to arrive, beside the time at `rate`.
    rate : float
        Bytes per second that a caller is expected to send at least. The default is a
        link of 5 Mbit/s that 300 callers share.
    pause : float
        Longest time, in seconds, between two pieces of a body, and for which a
        response is not read.
    """

    memory: float = 0.0
    connections: int = 0
    arrival: float = 10.0
    rate: float = 2000.0
    pause: float = 20.0


@dataclass(frozen=True, slots=True)
class Timing:
    """The node's own durations and timeouts, in seconds.

    Parameters
    ----------
    lease : float
        Time to live of the node's lease in the store.
    run_lease : float
        Duration of the leases on the runs of an executor.
    lease_horizon : float
        Longest time for which these leases last after their owner's last publication
        that the store has acknowledged.
    unstated_lease : float
        How long leases may last after a takeover from an owner that published no
        horizon, as owners of earlier builds don't.
    poll_wait : float
        Longest wait of a long poll for an executor's report.
    call : float
        Timeout of a call to an executor.
    store_call : float
        Timeout of a call to the store.
    """

    lease: float = 1.6
    run_lease: float = 5.0
    lease_horizon: float = 9.5
    unstated_lease: float = 12.5
    poll_wait: float = 1.0
    call: float = 0.7
    store_call: float = 0.8


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of a node. Each address is an IP address and a port.

    Parameters
    ----------
    name, zone : str
    front : str
        Address at which the node serves callers.
    ready : str
        Address at which the node serves readiness checks.
    store : str
        Address of the store.
    metrics : str
        Address at which the node serves its metrics, empty for none.
    machines : str
        Address of the interface of the machines, empty for none.
    advice : str
        Address of the advice service, empty for none.
    writes, reads : float
        Calls per second that the store accepts from all nodes together.
    heartbeat : float
        Interval of the heartbeats, in seconds.
    shortest_lease : float
        Shortest time to live that the store grants to a lease, in seconds.
    processors : float
        Processors of the instance.
    link : float
        Bandwidth of the instance's network link, in Mbit/s.
    memory : float
        Memory that the process may use, in MB.
    descriptors : int
        File descriptors that the process may have open.
    bounds : Bounds
    timing : Timing
    callers : CallerSettings
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
    heartbeat: float = 1.5
    shortest_lease: float = 1.0
    processors: float = DEFAULT_PROCESSORS
    link: float = DEFAULT_LINK
    memory: float = 300.0
    descriptors: int = 4100
    bounds: Bounds = field(default_factory=Bounds)
    timing: Timing = field(default_factory=Timing)
    callers: CallerSettings = field(default_factory=CallerSettings)

    @property
    def run_lease(self):
        """Duration of the leases on the runs of an executor, in seconds."""
        return min(self.timing.run_lease, self.bounds.max_run_lease)

    @property
    def lease(self):
        """Time to live of the node's lease in the store, in seconds."""
        return max(self.timing.lease, self.shortest_lease)
