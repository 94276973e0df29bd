"""The one HTTP client of the adapter: JSON calls to one peer."""

import asyncio
import socket
import struct
from contextlib import contextmanager
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
    uses a connection that was open when a call timed out.

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
        self._session = None
        self._closing = set()

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
        session = self._open_session()
        with self._name_losses(session, f"{method} {path}"):
            async with session.request(
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
        session = self._open_session()
        with self._name_losses(session, f"GET {path}"):
            async with (
                asyncio.timeout(limits.begin) as limit,
                session.get(
                    f"http://{self.address}{path}",
                    timeout=aiohttp.ClientTimeout(connect=self._connect_timeout),
                ) as response,
            ):
                return Answer(
                    response.status, await _read_body(response, limit, limits)
                )

    @contextmanager
    def _name_losses(self, session, step):
        try:
            yield
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError) as error:
            raise PlatformUnavailableError(
                f"no connection: {error!r}", step=step, peer=self.address
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._replace_session(session)
            raise AnswerLostError(
                f"no answer: {error!r}", step=step, peer=self.address
            ) from error

    async def close(self):
        """Close all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    def _open_session(self):
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=60.0,
                use_dns_cache=False,
                socket_factory=_make_socket,
            )
            self._session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar()
            )
        return self._session

    def drop_stale_calls(self):
        """Give up the calls on connections that were replaced.

        They may hang although the peer answers on new ones.
        """
        for task in list(self._closing):
            task.cancel()

    def _replace_session(self, failed):
        if self._session is not failed:
            return
        task = asyncio.ensure_future(_close_later(self._session))
        self._session = None
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


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


async def _close_later(session):
    try:
        await asyncio.sleep(OLD_SESSION_GRACE)
    finally:
        await session.close()


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
