"""The one HTTP client of the adapter: JSON calls to one peer."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass

import aiohttp
import msgspec

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.logs import log_event

__all__ = ["Answer", "HttpPeer", "ReadLimits", "decode_body"]

OLD_SESSION_GRACE = 5.0  # seconds that calls on replaced connections may still take
LARGEST_ANSWER = 1_500_000  # bytes: a page of 1 MiB as base64 text, with its keys
LEAST_LINK_RATE = 125_000  # bytes a second that a node's link spares for one answer
LONGEST_ARRIVAL = LARGEST_ANSWER / LEAST_LINK_RATE  # seconds
HTTP_OK = 200
DISCARD_AT_CLOSE = struct.pack("ii", 1, 0)  # struct linger, socket(7)


@dataclass(frozen=True, slots=True)
class Answer:
    """The status and the body of an answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """How long the answer to a read may take, in seconds.

    A slow link brings a large answer late but steadily, and one that is lost brings
    nothing. Silence is limited closely, the whole answer by what its link must carry.

    Parameters
    ----------
    begin : float
        Until the answer begins.
    silence : float
        Between two pieces of it.
    arrival : float, optional
        From its beginning to its end.
    """

    begin: float
    silence: float
    arrival: float = LONGEST_ARRIVAL


class HttpPeer:
    """Calls one peer over connections that are replaced after each time-out.

    A connection may go silent for good while new ones work, so that no later call
    uses a connection that was open when a call timed out. An answer to a read that
    arrives on one shows that it works, and may end.

    Parameters
    ----------
    address : str
        IP number and port.
    connect_timeout : float
        Limit of opening a connection, seconds.
    """

    def __init__(self, address, connect_timeout=0.6):
        self.address = address
        self._connect_timeout = connect_timeout
        self._connections = None
        self._closing = {}

    async def call(self, method, path, timeout, body=None, headers=None):
        """Return the `Answer` to one call.

        Parameters
        ----------
        method, path : str
        timeout : float
            Limit of the call, seconds.
        body : object, optional
            Sent as JSON.
        headers : dict, optional

        Raises
        ------
        PlatformUnavailableError
            If the call was certainly not received.
        AnswerLostError
            If it may have been received.
        """
        data = None if body is None else msgspec.json.encode(body)
        sent = {"Content-Type": "application/json"} if data else {}
        connections = self._open_connections()
        with self._name_losses(connections, f"{method} {path}"):
            async with connections.calls.request(
                method,
                f"http://{self.address}{path}",
                data=data,
                headers={**sent, **(headers or {})},
                timeout=aiohttp.ClientTimeout(
                    total=timeout, connect=self._connect_timeout
                ),
            ) as response:
                return Answer(response.status, await response.read())

    async def read(self, path, limits):
        """Return the `Answer` to a call that has no effect.

        Parameters
        ----------
        path : str
        limits : ReadLimits

        Raises
        ------
        PlatformUnavailableError
            If the call was certainly not received.
        AnswerLostError
            If it may have been received.
        """
        connections = self._open_connections()
        with self._name_losses(connections, f"GET {path}"):
            async with (
                connections.admit_read(limits.begin) as limit,
                connections.reads.get(
                    f"http://{self.address}{path}",
                    timeout=aiohttp.ClientTimeout(connect=self._connect_timeout),
                ) as response,
            ):
                connections.hanging.discard(limit)
                return Answer(
                    response.status, await _read_body(response, limit, limits)
                )

    @contextmanager
    def _name_losses(self, connections, step):
        try:
            yield
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError) as error:
            raise PlatformUnavailableError(
                f"no connection: {error!r}", step=step, peer=self.address
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._replace(connections)
            raise AnswerLostError(
                f"no answer: {error!r}", step=step, peer=self.address
            ) from error

    async def close(self):
        """Close all connections."""
        connections, self._connections = self._connections, None
        if connections is not None:
            await connections.close()

    def _open_connections(self):
        if self._connections is None:
            self._connections = _Connections()
        return self._connections

    def drop_stale_calls(self):
        """Give up the calls that hang on connections that were replaced.

        They may hang although the peer answers on new ones.
        """
        for connections in self._closing.values():
            connections.is_stale.set()

    def _replace(self, failed):
        if self._connections is not failed:
            return
        self._connections = None
        task = asyncio.ensure_future(_close_later(failed))
        self._closing[task] = failed
        task.add_done_callback(self._closing.pop)


class _Connections:
    """The connections of one time, those of reads apart from the others.

    `hanging` holds the limits of the reads whose answer has not begun.
    """

    def __init__(self):
        self.is_stale = asyncio.Event()
        self.hanging = set()
        self._sessions = {}
        self._reads_under_way = 0
        self._is_retired = False

    @property
    def calls(self):
        """The session of the calls that may have an effect."""
        return self._open("calls")

    @property
    def reads(self):
        """The session of the reads."""
        return self._open("reads")

    def _open(self, kind):
        if kind not in self._sessions:
            self._sessions[kind] = _open_session()
        return self._sessions[kind]

    @asynccontextmanager
    async def admit_read(self, begin):
        """Yield the `asyncio.Timeout` of one read, `begin` seconds at first."""
        self._reads_under_way += 1
        try:
            async with asyncio.timeout(begin) as limit:
                self.hanging.add(limit)
                yield limit
        finally:
            self.hanging.discard(limit)
            self._reads_under_way -= 1
            if self._is_retired and not self._reads_under_way:
                await self.close()

    async def retire(self):
        """End the calls and the reads that hang; close with the last answer."""
        self._is_retired = True
        now = asyncio.get_running_loop().time()
        for limit in self.hanging:
            if not limit.expired():
                limit.reschedule(now)
        if not self._reads_under_way:
            await self.close()
        elif "calls" in self._sessions:
            await self._sessions["calls"].close()

    async def close(self):
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()


def _open_session():
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=60.0,
        use_dns_cache=False,
        socket_factory=_make_socket,
    )
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )


async def _read_body(response, limit, limits):
    """Return the body, moving the `limit` on with each piece that arrives."""
    loop = asyncio.get_running_loop()
    latest = loop.time() + limits.arrival
    pieces = []
    limit.reschedule(min(latest, loop.time() + limits.silence))
    async for piece in response.content.iter_any():
        pieces.append(piece)
        limit.reschedule(min(latest, loop.time() + limits.silence))
    return b"".join(pieces)


def _make_socket(address):
    """Return a socket whose close discards what has not been delivered.

    An order held up by a partition must not arrive after its sender gave it up.
    """
    family, kind, protocol, *_ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_AT_CLOSE)
    return opened


async def _close_later(connections):
    with suppress(TimeoutError):
        async with asyncio.timeout(OLD_SESSION_GRACE):
            await connections.is_stale.wait()
    await connections.retire()


def decode_body(answer, body_class, step, peer):
    """Return the answer's body as `body_class`.

    Raises
    ------
    AnswerLostError
        If the body does not have that form: the call may have had an effect.
    """
    try:
        return msgspec.json.decode(answer.body, type=body_class)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        log_event("answer-unreadable", "WARNING", step=step, peer=peer, error=error)
        raise AnswerLostError(
            f"unexpected answer {answer.status}: {error}", step=step, peer=peer
        ) from error
