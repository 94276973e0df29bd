"""Limits on the memory for bodies and remembered answers."""

from collections import OrderedDict

__all__ = ["BodyMemory", "ExpiringMap"]

MAX_REQUEST_FRACTION = 0.5  # fraction of the limit


class BodyMemory:
    """Counter of the bytes of all bodies in memory.

    A request body is accepted only while all bodies together take at most
    `MAX_REQUEST_FRACTION` of the limit, so that there is memory left for the answers
    to requests that have already run.

    Parameters
    ----------
    limit : int
        Maximum total size of the bodies in bytes.
    """

    def __init__(self, limit):
        self.held = 0
        self._limit = limit

    def reserve_request(self, size):
        """Reserve `size` bytes for a request body.

        Returns
        -------
        bool
            False, without a reservation, if they exceed the limit.
        """
        return self._reserve(size, MAX_REQUEST_FRACTION * self._limit)

    def reserve_answer(self, size):
        """Reserve `size` bytes for an answer's body.

        Returns
        -------
        bool
            False, without a reservation, if they exceed the limit.
        """
        return self._reserve(size, self._limit)

    def _reserve(self, size, limit):
        if self.held + size > limit:
            return False
        self.held += size
        return True

    def hold(self, size):
        """Count `size` bytes that are already in memory, even beyond the limit."""
        self.held += size

    def release(self, size):
        """Release `size` bytes."""
        self.held -= size


class ExpiringMap:
    """Mapping with limits on the number, the total size and the age of its entries.

    When a limit is exceeded, the oldest entries are evicted first.

    Parameters
    ----------
    max_entries : int
        Maximum number of entries.
    max_bytes : int
        Maximum total size of the entries in bytes.
    """

    def __init__(self, max_entries, max_bytes):
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._bytes = 0
        self._entries = OrderedDict()

    def put(self, key, value, size, expires_at, now):
        """Add or replace an entry, and evict entries beyond the limits.

        Parameters
        ----------
        key : hashable
        value : object
        size : int
            Size of the entry in bytes.
        expires_at : float
            Monotonic time in seconds until which the entry is valid.
        now : float
            Monotonic time in seconds.
        """
        self.drop(key)
        self._entries[key] = (value, size, expires_at)
        self._bytes += size
        self._evict_oldest(now)

    def get(self, key, now):
        """Return the value, or None if it is absent or has expired."""
        value, _, expires_at = self._entries.get(key, (None, 0, now))
        return value if now < expires_at else None

    def drop(self, key):
        """Remove the entry of `key`, if there is one."""
        _, size, _ = self._entries.pop(key, (None, 0, 0.0))
        self._bytes -= size

    def _evict_oldest(self, now):
        while self._entries:
            key, (_, _, expires_at) = next(iter(self._entries.items()))
            fits = self._bytes <= self._max_bytes
            fits = fits and len(self._entries) <= self._max_entries
            if fits and now < expires_at:
                return
            self.drop(key)
