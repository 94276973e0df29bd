"""Sets of connections to one peer, and the requests that wait on them."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

__all__ = ["ConnectionSet", "is_stale"]

KEEPALIVE_TIMEOUT = 60.0  # seconds until an idle connection is closed
MAX_LINE = 2048  # bytes of a line of a response's head
MAX_FIELDS = 32  # of a response's head
SENT_TOGETHER = 0.1  # seconds; the first response may overtake earlier calls by this
# struct linger of socket(7): with a time of 0 s, close() resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def is_stale(sent_at, answered_sent_at):
    """Return whether a call without a response was sent before its peer came back.

    It answers the load of an outage's end: calls that nothing will answer, beside
    those that have just been sent. A peer that responds to a call was back when that
    call was sent, or earlier by at most `SENT_TOGETHER` seconds: otherwise one of the
    calls in between would have had the first response.

    Parameters
    ----------
    sent_at : float
        When the call was sent, in monotonic seconds.
    answered_sent_at : float
        When the call was sent that had the first response after the outage.

    Examples
    --------
    >>> is_stale(7.6, answered_sent_at=8.0), is_stale(7.95, answered_sent_at=8.0)
    (True, False)
    """
    return sent_at < answered_sent_at - SENT_TOGETHER


@dataclass(frozen=True, slots=True)
class _Sending:
    """When a request was sent, and whether its peer may wait before it responds."""

    sent_at: float
    waits: bool = False


class ConnectionSet:
    """Connections to one peer, opened between two replacements.

    Reads and other calls have separate sessions: when the set is retired, calls are
    cancelled while arriving reads may complete. `unanswered_calls` and
    `unanswered_reads` hold the requests whose response has not begun to arrive: by
    `asyncio.Timeout`, when they were sent and whether they wait on purpose.
    `stale_calls_cancelled` is set to retire replaced connections before their grace
    time ends.

    Parameters
    ----------
    buffer_size : int
        Bytes of a response that are read ahead.
    """

    def __init__(self, buffer_size):
        self._buffer_size = buffer_size
        self.stale_calls_cancelled = asyncio.Event()
        self.unanswered_calls = {}
        self.unanswered_reads = {}
        self._sessions = {}
        self._active_reads = 0
        self._is_retired = False

    @property
    def calls(self):
        """The session for calls that may have an effect."""
        return self._open("calls")

    @property
    def reads(self):
        """The session for reads."""
        return self._open("reads")

    def _open(self, kind):
        if kind not in self._sessions:
            self._sessions[kind] = _open_session(self._buffer_size)
        return self._sessions[kind]

    @asynccontextmanager
    async def track_call(self):
        """Yield an `asyncio.Timeout` without a time, by which the call is cancelled."""
        try:
            async with asyncio.timeout(None) as deadline:
                now = asyncio.get_running_loop().time()
                self.unanswered_calls[deadline] = _Sending(now)
                yield deadline
        finally:
            self.unanswered_calls.pop(deadline, None)

    @asynccontextmanager
    async def track_read(self, limits):
        """Count a read as active and yield its `asyncio.Timeout`.

        The timeout is at first `limits.first_byte` seconds from now; the reader
        extends it while the response arrives.
        """
        self._active_reads += 1
        try:
            async with asyncio.timeout(limits.first_byte) as deadline:
                now = asyncio.get_running_loop().time()
                self.unanswered_reads[deadline] = _Sending(now, limits.waits)
                yield deadline
        finally:
            self.unanswered_reads.pop(deadline, None)
            self._active_reads -= 1
            if self._is_retired and not self._active_reads:
                await self.close()

    def cancel_stale(self, answered_sent_at, spares_waiting):
        """Cancel the requests that `is_stale` names; each resets its connection.

        Parameters
        ----------
        answered_sent_at : float
            When the call was sent that had the first response, in the loop's time.
        spares_waiting : bool
            Whether reads that may wait on purpose are left alone.
        """
        for unanswered in (self.unanswered_calls, self.unanswered_reads):
            for deadline, sending in list(unanswered.items()):
                if sending.waits and spares_waiting:
                    continue
                if is_stale(sending.sent_at, answered_sent_at):
                    del unanswered[deadline]
                    _expire(deadline)

    def mark_begun(self, deadline):
        """Record that the response to a request has begun to arrive.

        It is no longer cancelled as stale, even if that was just about to happen.
        """
        self.unanswered_calls.pop(deadline, None)
        self.unanswered_reads.pop(deadline, None)
        if not deadline.expired():
            deadline.reschedule(None)

    def has_unanswered(self):
        """Return whether requests wait for a response and have not been cancelled."""
        return bool(self.unanswered_calls or self.unanswered_reads)

    async def retire(self):
        """Cancel all calls, and the reads whose response has not begun to arrive.

        The connections of reads are closed once the last active read has ended.
        """
        self._is_retired = True
        for deadline in self.unanswered_reads:
            _expire(deadline)
        if not self._active_reads:
            await self.close()
        elif "calls" in self._sessions:
            await self._sessions["calls"].close()

    async def close(self):
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()


def _expire(deadline):
    """Let an `asyncio.Timeout` expire now, unless it has."""
    if not deadline.expired():
        deadline.reschedule(asyncio.get_running_loop().time())


def _open_session(buffer_size):
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=KEEPALIVE_TIMEOUT,
        use_dns_cache=False,
        socket_factory=_make_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=buffer_size,
        max_line_size=MAX_LINE,
        max_field_size=MAX_LINE,
        max_headers=MAX_FIELDS,
    )


def _make_socket(address):
    """Return a socket that discards undelivered data and resets when it is closed.

    Otherwise the kernel would go on sending a request that a network partition held
    back, and the peer could receive an order after its sender had timed out.
    """
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return opened
