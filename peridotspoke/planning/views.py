"""Input and output types of capacity planning."""

from dataclasses import dataclass

__all__ = ["InstanceView", "PastMove", "Plan", "PlannedMove", "PoolView"]


@dataclass(frozen=True, slots=True)
class InstanceView:
    """An instance of a pool.

    Parameters
    ----------
    instance, zone, rack : str
        Names of the instance, its availability zone and its rack.
    available : bool
        Whether the instance serves now.
    returning : bool
        Whether an unavailable instance is expected back before a move to replace
        it would be worth its cost, for example after maintenance. Such an instance
        counts towards the need, counts against the availability budget, and is
        not moved.
    """

    instance: str
    zone: str
    rack: str
    available: bool = True
    returning: bool = False

    def is_counted(self):
        """Return whether the instance counts towards the pool's need."""
        return self.available or self.returning


@dataclass(frozen=True, slots=True)
class PoolView:
    """A pool with its instances, need and availability budget.

    Parameters
    ----------
    pool : str
        Name of the pool.
    need : int
        Number of instances that the pool needs in order to serve its load.
    max_unavailable : int
        Availability budget: the largest number of instances that may be
        unavailable at once.
    instances : tuple of InstanceView
    spare : bool
        Whether the pool holds the shared spare instances.
    """

    pool: str
    need: int
    max_unavailable: int
    instances: tuple[InstanceView, ...]
    spare: bool = False


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """A move of an instance from pool `source` to pool `target`, with its reason."""

    instance: str
    source: str
    target: str
    reason: str


@dataclass(frozen=True, slots=True)
class PastMove:
    """A move made at the time `at`, in seconds on the caller's clock."""

    instance: str
    source: str
    target: str
    at: float


@dataclass(frozen=True, slots=True)
class Plan:
    """The planned moves and the capacity missing after them.

    Parameters
    ----------
    moves : tuple of PlannedMove
    shortage : int
        Number of instances that are missing, summed over all pools.
    exposure : int
        Number of instances that would be missing after the loss of the rack whose
        loss is worst.
    releasable : int
        Number of spare instances that are not required to cover the loss of any
        one rack.
    """

    moves: tuple[PlannedMove, ...]
    shortage: int
    exposure: int
    releasable: int
