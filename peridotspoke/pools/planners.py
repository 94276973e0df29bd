"""The interface between a controller's round and the planning of moves."""

from abc import ABC, abstractmethod

__all__ = ["FixedPlanner", "MovePlanner"]


class MovePlanner(ABC):
    """Chooses which instances should change pools."""

    @abstractmethod
    def plan(self, view):
        """Return a tuple of `PlannedMove` for a `FleetView`."""


class FixedPlanner(MovePlanner):
    """Always returns the same moves.

    Parameters
    ----------
    moves : tuple of PlannedMove, optional
    """

    def __init__(self, moves=()):
        self.moves = moves

    def plan(self, view):
        """Return the fixed moves."""
        return self.moves
