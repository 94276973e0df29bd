"""Bounds on the memory that bodies and remembered answers take."""

from collections import OrderedDict

__all__ = ["BodyMemory", "ExpiringMap"]

REQUEST_SHARE = 0.5


class BodyMemory:
    """Counts the bytes of all bodies held at once.

    Bodies of requests take at most half, so that answers to requests that have run
    find room.

    Parameters
    ----------
    limit : int
        Bytes.
    """

    def __init__(self, limit):
        self.held = 0
        self._limit = limit

    def take_request(self, size):
        """Count a request's body; return False, counting none, if it doesn't fit."""
        return self._take(size, REQUEST_SHARE * self._limit)

    def take_answer(self, size):
        """Count an answer's body; return False, counting none, if it doesn't fit."""
        return self._take(size, self._limit)

    def _take(self, size, limit):
        if self.held + size > limit:
            return False
        self.held += size
        return True

    def hold(self, size):
        """Count `size` bytes more that are there already, whether or not they fit."""
        self.held += size

    def give_back(self, size):
        """Count `size` bytes less."""
        self.held -= size


class ExpiringMap:
    """A mapping bounded in entries, in bytes and in the life of its entries.

    The oldest entries are dropped first.

    Parameters
    ----------
    most_entries : int
    most_bytes : int
    """

    def __init__(self, most_entries, most_bytes):
        self._most_entries = most_entries
        self._most_bytes = most_bytes
        self._bytes = 0
        self._entries = OrderedDict()

    def put(self, key, value, size, expires_at, now):
        """Keep `value`, of `size` bytes, until the monotonic time `expires_at`."""
        self.drop(key)
        self._entries[key] = (value, size, expires_at)
        self._bytes += size
        self._drop_oldest(now)

    def get(self, key, now):
        """Return the value, or None where it is absent or has expired."""
        value, _, expires_at = self._entries.get(key, (None, 0, now))
        return value if now < expires_at else None

    def drop(self, key):
        """Remove the entry, if there is one."""
        _, size, _ = self._entries.pop(key, (None, 0, 0.0))
        self._bytes -= size

    def _drop_oldest(self, now):
        while self._entries:
            key, (_, _, expires_at) = next(iter(self._entries.items()))
            fits = self._bytes <= self._most_bytes
            fits = fits and len(self._entries) <= self._most_entries
            if fits and now < expires_at:
                return
            self.drop(key)
