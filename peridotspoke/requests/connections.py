"""Reuse of open connections to upstreams."""

from dataclasses import dataclass

__all__ = ["Connection", "IdleConnections"]

MAX_IDLE = 3  # connections to each address


@dataclass(frozen=True, slots=True, eq=False)
class Connection:
    """Connection to an upstream.

    Parameters
    ----------
    address : str
        Address of the upstream.
    opened_at : float
        Monotonic time in seconds.
    session : aiohttp.ClientSession
        Session with this single connection.
    """

    address: str
    opened_at: float
    session: object


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: Connection
    idle_since: float  # monotonic time in seconds


class IdleConnections:
    """Pool of idle connections, by upstream address.

    Parameters
    ----------
    idle_life : float
        Seconds after which an idle connection is not reused.

    Notes
    -----
    If a connection is found to be unresponsive, every older connection to the same
    address may have lost its state at the same point of the network path. None of
    them is reused.
    """

    def __init__(self, idle_life):
        self._idle_life = idle_life
        self._idle = {}
        self._last_suspected_at = {}

    def take(self, address, now):
        """Remove and return the most recently used connection, or None.

        Parameters
        ----------
        address : str
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Connection or None
        """
        entries = self._idle.get(address)
        if not entries or now - entries[-1].idle_since >= self._idle_life:
            return None
        return entries.pop().connection

    def put(self, connection, now):
        """Add a connection that has become idle.

        Parameters
        ----------
        connection : Connection
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if the caller must close the connection instead.
        """
        entries = self._idle.setdefault(connection.address, [])
        if len(entries) >= MAX_IDLE or self._is_suspect(connection):
            return False
        entries.append(_IdleConnection(connection, now))
        return True

    def suspect(self, address, now):
        """Stop the reuse of all connections to an address that were opened until now.

        Those that are in use are refused by `put` later.

        Parameters
        ----------
        address : str
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Connection
            Idle connections, which the caller must close.
        """
        self._last_suspected_at[address] = now
        return [item.connection for item in self._idle.pop(address, ())]

    def drop_expired(self, now):
        """Remove the connections that have been idle for too long.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Connection
            Removed connections, which the caller must close.
        """
        expired = []
        for address, entries in list(self._idle.items()):
            valid = [
                item for item in entries if now - item.idle_since < self._idle_life
            ]
            expired += [item.connection for item in entries if item not in valid]
            if valid:
                self._idle[address] = valid
            else:
                del self._idle[address]
        return expired

    def _is_suspect(self, connection):
        last_suspected_at = self._last_suspected_at.get(connection.address)
        return (
            last_suspected_at is not None and connection.opened_at <= last_suspected_at
        )
