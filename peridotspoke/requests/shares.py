"""The slots of each executor that this entry instance may use."""

from abc import ABC, abstractmethod

__all__ = ["FixedShares", "SlotShares"]


class SlotShares(ABC):
    """Tells how many slots of an executor this entry instance may use now.

    The queue starts a request only while the slots in use are below the share, and
    reports each change of use or demand. A share may fall below the slots in use:
    running requests then end undisturbed, and an implementation that lends slots
    must count the reported `in_use` as held until it is reported lower.
    """

    def __init__(self):
        self._listeners = []

    @abstractmethod
    def get_share(self, upstream, now):
        """Return the slots of `upstream` that may be used at the time `now`.

        Parameters
        ----------
        upstream : Upstream
        now : float
            Monotonic seconds.
        """

    @abstractmethod
    def note_use(self, upstream, in_use, wanted, now):
        """Take note of the slots in use and of those that would be used if lent.

        Parameters
        ----------
        upstream : Upstream
        in_use : int
            Slots that carry a request of this entry instance.
        wanted : int
            `in_use` and the queued requests that could run on this upstream; may
            be larger than the upstream's slots.
        now : float
            Monotonic seconds.
        """

    def subscribe(self, listener):
        """Call `listener`, a callable without parameters, after shares have grown."""
        self._listeners.append(listener)

    def announce_change(self):
        """Tell all listeners that shares have grown."""
        for listener in self._listeners:
            listener()


class FixedShares(SlotShares):
    """Every entry instance holds the same share at all times.

    Parameters
    ----------
    entry_instances : int
        Most entry instances alive at once. With more of them than slots, each has
        no share at all: the limit of the executor goes before its use.

    Examples
    --------
    >>> from peridotspoke.requests import Upstream
    >>> upstream = Upstream("i1", "127.0.0.1:80", "lima-a", "r1", 8, 64)
    >>> FixedShares(4).get_share(upstream, now=0.0)
    2
    """

    def __init__(self, entry_instances):
        super().__init__()
        self._entry_instances = entry_instances

    def get_share(self, upstream, now):
        """Return an equal share of the upstream's slots, rounded down."""
        return upstream.slots // self._entry_instances

    def note_use(self, upstream, in_use, wanted, now):
        """Do nothing: fixed shares don't depend on use."""
