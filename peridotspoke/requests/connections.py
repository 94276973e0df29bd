"""Decides which open connections to upstreams may carry another request."""

from dataclasses import dataclass

__all__ = ["Connection", "IdleConnections"]

MOST_IDLE = 3  # connections for each upstream


@dataclass(frozen=True, slots=True, eq=False)
class Connection:
    """A connection to `address` opened at a monotonic time.

    `session` is the aiohttp session that owns the one socket.
    """

    address: str
    opened_at: float
    session: object


@dataclass(frozen=True, slots=True)
class _Idle:
    connection: Connection
    since: float


class IdleConnections:
    """The connections that wait for another request, by upstream address.

    Parameters
    ----------
    idle_life : float
        Seconds after which an idle connection is not used again.

    Notes
    -----
    When one connection to an address is found silent, every older one may have
    lost its state at the same place between the two ends, so none of them is used
    again.
    """

    def __init__(self, idle_life):
        self._idle_life = idle_life
        self._idle = {}
        self._suspect_until = {}

    def take(self, address, now):
        """Return the connection used last, or None."""
        waiting = self._idle.get(address)
        if not waiting or now - waiting[-1].since >= self._idle_life:
            return None
        return waiting.pop().connection

    def put(self, connection, now):
        """Keep a connection; return False where it is to be closed instead."""
        waiting = self._idle.setdefault(connection.address, [])
        if len(waiting) >= MOST_IDLE or self._is_suspect(connection):
            return False
        waiting.append(_Idle(connection, now))
        return True

    def suspect(self, address, now):
        """Return the idle connections to `address`, all to be closed.

        Those in use that were opened before `now` will not be kept either.
        """
        self._suspect_until[address] = now
        return [item.connection for item in self._idle.pop(address, ())]

    def drop_expired(self, now):
        """Return the idle connections whose life is over, all to be closed."""
        dropped = []
        for address, waiting in list(self._idle.items()):
            kept = [item for item in waiting if now - item.since < self._idle_life]
            dropped += [item.connection for item in waiting if item not in kept]
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
        return dropped

    def _is_suspect(self, connection):
        suspect_until = self._suspect_until.get(connection.address)
        return suspect_until is not None and connection.opened_at <= suspect_until
