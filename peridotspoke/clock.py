"""Clocks, injected so that tests can control the time."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """A source of monotonic and wall-clock time, both in seconds."""

    @abstractmethod
    def read_monotonic(self):
        """Return the seconds of a clock that never goes back, a float."""

    @abstractmethod
    def read_wall(self):
        """Return the seconds since the Unix epoch, a float."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def read_monotonic(self):
        """Return the seconds of a clock that never goes back, a float."""
        return time.monotonic()

    def read_wall(self):
        """Return the seconds since the Unix epoch, a float."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests, which moves only through `advance`.

    Monotonic and wall-clock time are the same.

    Parameters
    ----------
    start : float, optional
        Initial time, seconds.

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
        """Move the clock forward by `seconds`, a float."""
        self._now += seconds

    def read_monotonic(self):
        """Return the seconds of a clock that never goes back, a float."""
        return self._now

    def read_wall(self):
        """Return the seconds since the Unix epoch, a float."""
        return self._now
