"""The operator's configuration: queues, pools, limits and maintenance waves."""

from dataclasses import dataclass, field

from peridotspoke.workloads.jobs import QueueTerms

__all__ = ["Advice", "Configuration", "MaintenanceWave", "Queue", "WorkPool"]


@dataclass(frozen=True, slots=True)
class Advice:
    """Times of a queue's advice, in seconds: a call, each executor, a ticket's life."""

    decide: float = 0.0
    each: float = 0.0
    life: float = 0.0


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue with the host and the prefix that select it."""

    name: str
    host: str
    prefix: str
    pool: str
    terms: QueueTerms = field(default_factory=QueueTerms)
    advice: Advice | None = None


@dataclass(frozen=True, slots=True)
class WorkPool:
    """A pool of executors.

    `guarded` tells that its executors refuse what does not fit, `spare` that its
    instances are off and not paid for.
    """

    name: str
    guarded: bool = True
    spare: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[WorkPool, ...] = ()
    most_body: int = 262_144  # bytes

    def find_queue(self, host, path):
        """Return the `Queue` with the longest prefix that `path` begins with.

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
        """Return the `WorkPool` of that name, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Machines that are due for maintenance within `duration` seconds.

    At most `most_down` of them may be down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    duration: float
    most_down: int
