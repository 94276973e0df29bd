"""Shares of the executors' slots between the entry instances."""

from abc import ABC, abstractmethod

__all__ = ["FixedShares", "SlotShares"]


class SlotShares(ABC):
    """Number of slots of each executor that this entry instance may use.

    The dispatcher starts a request only while fewer slots are in use than the share
    allows, and reports each change of use or demand. A share may fall below the
    number of slots in use. Running requests are not interrupted then, so an
    implementation that lends slots must treat the reported `in_use` as held until a
    lower number is reported.
    """

    def __init__(self):
        self._listeners = []

    @abstractmethod
    def get_share(self, upstream, now):
        """Return the number of slots of `upstream` that may be used at `now`.

        Parameters
        ----------
        upstream : Upstream
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
        """

    @abstractmethod
    def record_use(self, upstream, in_use, wanted, now):
        """Record the slots in use and the demand for slots.

        Parameters
        ----------
        upstream : Upstream
        in_use : int
            Number of slots that hold a request of this entry instance.
        wanted : int
            `in_use` plus the number of queued requests that could run on this
            upstream; may exceed the upstream's slots.
        now : float
            Monotonic time in seconds.
        """

    def subscribe(self, listener):
        """Register a callback for growing shares.

        Parameters
        ----------
        listener : callable
            Called without arguments each time a share has grown.
        """
        self._listeners.append(listener)

    def notify_listeners(self):
        """Call all listeners after a share has grown."""
        for listener in self._listeners:
            listener()


class FixedShares(SlotShares):
    """Equal and constant shares for all entry instances.

    Parameters
    ----------
    entry_instances : int
        Maximum number of entry instances alive at once. If an executor has fewer
        slots than that, every share of it is 0: staying within the executor's limit
        has priority over using the executor.

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

    def record_use(self, upstream, in_use, wanted, now):
        """Do nothing, because fixed shares don't depend on use."""
