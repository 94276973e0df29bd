"""Sources of time, passed to whatever needs to know the time."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """A source of monotonic and wall-clock time, both in seconds."""

    @abstractmethod
    def read_monotonic(self):
        """Return seconds on a clock that never goes back."""

    @abstractmethod
    def read_wall(self):
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def read_monotonic(self):
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def read_wall(self):
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(2.5)
    >>> clock.read_monotonic()
    2.5
    """

    def __init__(self, start=0.0):
        self._now = start

    def advance(self, seconds):
        """Move the clock forward by `seconds`."""
        self._now += seconds

    def read_monotonic(self):
        """Return seconds on a clock that never goes back."""
        return self._now

    def read_wall(self):
        """Return seconds since the Unix epoch."""
        return self._now
