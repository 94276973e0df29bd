"""What planning is told and what it returns."""

from dataclasses import dataclass

__all__ = ["InstanceView", "PastMove", "Plan", "PlannedMove", "PoolView"]


@dataclass(frozen=True, slots=True)
class InstanceView:
    """An instance of a pool.

    `available` where it serves now; `returning` where it doesn't but will before a
    move would pay, such as during maintenance. A returning instance meets the need,
    counts as out in the availability budget and isn't moved.
    """

    instance: str
    zone: str
    rack: str
    available: bool = True
    returning: bool = False

    def is_counted(self):
        """Return whether the instance meets a part of the pool's need."""
        return self.available or self.returning


@dataclass(frozen=True, slots=True)
class PoolView:
    """A pool as planning sees it.

    Parameters
    ----------
    pool : str
    need : int
        Instances that the pool needs to serve.
    max_unavailable : int
        The availability budget: most instances out at once.
    instances : tuple of InstanceView
    spare : bool
        Whether the pool holds the shared spare.
    """

    pool: str
    need: int
    max_unavailable: int
    instances: tuple[InstanceView, ...]
    spare: bool = False


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """An instance to move, with the reason in figures."""

    instance: str
    source: str
    target: str
    reason: str


@dataclass(frozen=True, slots=True)
class PastMove:
    """A move that was made; `at` is in seconds on the caller's clock."""

    instance: str
    source: str
    target: str
    at: float


@dataclass(frozen=True, slots=True)
class Plan:
    """The planned moves and what stays missing.

    Parameters
    ----------
    moves : tuple of PlannedMove
    shortage : int
        Instances missing now over all pools.
    exposure : int
        Instances that would be missing after the loss of the worst rack.
    releasable : int
        Instances of the spare beyond what the loss of any one rack needs.
    """

    moves: tuple[PlannedMove, ...]
    shortage: int
    exposure: int
    releasable: int
