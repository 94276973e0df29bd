"""Operator configuration: queues, pools, workspaces, limits and maintenance waves."""

from dataclasses import dataclass, field

from peridotspoke.workloads.jobs import Need, QueueTerms

__all__ = [
    "Advice",
    "Configuration",
    "MaintenanceWave",
    "Queue",
    "WorkPool",
    "Workspace",
]


@dataclass(frozen=True, slots=True)
class Advice:
    """Timing of the advice service for one queue.

    Parameters
    ----------
    call_time : float, optional
        Fixed duration of a call, seconds.
    time_per_executor : float, optional
        Additional duration for each executor in a call, seconds.
    ticket_lifetime : float, optional
        Validity of a ticket, seconds.
    """

    call_time: float = 0.0
    time_per_executor: float = 0.0
    ticket_lifetime: float = 0.0


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue and the host and path prefix that route jobs to it.

    Parameters
    ----------
    name, host : str
    prefix : str
        Prefix of the request path.
    pool : str
        Pool that runs the jobs.
    terms : QueueTerms, optional
    advice : Advice or None, optional
        None if the queue does not use the advice service.
    anonymous : bool, optional
        Whether calls need no API key where the configuration has workspaces.
    """

    name: str
    host: str
    prefix: str
    pool: str
    terms: QueueTerms = field(default_factory=QueueTerms)
    advice: Advice | None = None
    anonymous: bool = False


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer whose callers share API keys, a share of the room and a quota.

    Parameters
    ----------
    name : str
    keys : frozenset of str, optional
        API keys that callers present; not part of the representation, so that no log
        line or error message shows one.
    weight : float, optional
        Share of the room, relative to other workspaces, while there is not enough.
    limit : Need, optional
        Maximum resources of all running tasks; 0 in a field for no limit.
    """

    name: str
    keys: frozenset[str] = field(default=frozenset(), repr=False)
    weight: float = 1.0
    limit: Need = field(default_factory=Need)

    @property
    def has_limit(self):
        """Whether the limit restricts any resource."""
        return any((self.limit.cpu, self.limit.memory, self.limit.accelerators))


@dataclass(frozen=True, slots=True)
class WorkPool:
    """A pool of executors.

    Parameters
    ----------
    name : str
    checks_admission : bool, optional
        Whether its executors check admission: they refuse a task that does not fit.
    spare : bool, optional
        Whether its instances are switched off and cost nothing.
    """

    name: str
    checks_admission: bool = True
    spare: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
    queues : tuple of Queue, optional
    pools : tuple of WorkPool, optional
    max_body_size : int, optional
        Maximum size of a submission, bytes.
    workspaces : tuple of Workspace, optional
        Empty if the operator uses none; callers then need no API key.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[WorkPool, ...] = ()
    max_body_size: int = 262_144
    workspaces: tuple[Workspace, ...] = ()

    def find_queue(self, host, path):
        """Return the `Queue` of a host with the longest prefix of `path`, or None.

        Examples
        --------
        >>> queues = (Queue("a", "h", "/x/", "p"), Queue("b", "h", "/x/y/", "p"))
        >>> Configuration(1, queues).find_queue("h", "/x/y/1").name
        'b'
        """
        found = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found

    def find_pool(self, name):
        """Return the `WorkPool` with the given name, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Machines that must all be maintained within a given time.

    Parameters
    ----------
    number : int
    machines : tuple of str
        Names of the machines.
    duration : float
        Time in which to maintain all of them, seconds.
    max_down : int
        Maximum number of machines that may be down for maintenance at once.
    """

    number: int
    machines: tuple[str, ...]
    duration: float
    max_down: int
