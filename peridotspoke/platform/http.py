"""HTTP client for JSON calls to one peer; the whole adapter uses it."""

import asyncio
from contextlib import contextmanager, suppress
from dataclasses import dataclass

import aiohttp
import msgspec

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import (
    AnswerLostError,
    MalformedDataError,
    PlatformUnavailableError,
)
from peridotspoke.logs import log_event
from peridotspoke.platform.connections import ConnectionSet

__all__ = [
    "STORE_RESPONSES",
    "HttpPeer",
    "HttpResponse",
    "ReadLimits",
    "ResponseLimits",
    "ResponseMemory",
    "decode_body",
]

OLD_SESSION_GRACE = 5.0  # seconds until calls on replaced connections are cancelled
MAX_RESPONSE_BYTES = 1_500_000  # a page of 1 MiB as base64 text, with its keys
MAX_ERROR_TEXT = 200  # characters
MIN_LINK_RATE = 125_000  # bytes per second that a node's link spares for a response
MAX_BODY_TIME = MAX_RESPONSE_BYTES / MIN_LINK_RATE  # seconds
HTTP_OK = 200
# Raised before anything is sent, also for addresses that nothing can be sent to.
_NOT_CONNECTED_ERRORS = (
    aiohttp.ConnectionTimeoutError,
    aiohttp.ClientConnectorError,
    aiohttp.InvalidURL,
    UnicodeError,
    OverflowError,
)


@dataclass(slots=True)
class HttpResponse:
    """Status code and body of an HTTP response.

    The body of an unreadable response is emptied: the error keeps the frames that it
    passed, and these the response, for as long as anything keeps the error.
    """

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Time limits of the response to a read, in seconds.

    A slow link delivers a large response late but steadily, and a broken link
    delivers nothing. The idle limit is therefore short, and the limit of the whole
    body allows for the largest response over the slowest link.

    Parameters
    ----------
    first_byte : float
        From the start of the read to the response's headers.
    idle : float
        From one chunk of the body to the next.
    body : float, optional
        From the response's headers to the end of its body.
    waits : bool, optional
        Whether the peer may wait on purpose before it responds.
    """

    first_byte: float
    idle: float
    body: float = MAX_BODY_TIME
    waits: bool = False


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits on what responses hold while they arrive, in bytes.

    It answers peers that send responses without an end, and many that do so at once.

    Parameters
    ----------
    longest : int
        Of the body of one response; a longer one counts as endless.
    together : int
        Of the bodies of all responses that share a `ResponseMemory`.
    buffer : int
        Of one response that the HTTP library reads ahead.
    """

    longest: int
    together: int
    buffer: int


# The longest has several of the largest pages, for a watch that returns many changes at
# once.
STORE_RESPONSES = ResponseLimits(6_000_000, 9_000_000, 65_536)


class ResponseMemory:
    """Counts the bytes of the responses of some peers that are arriving.

    Parameters
    ----------
    limits : ResponseLimits

    Attributes
    ----------
    held : int
        Bytes of all these responses.
    """

    def __init__(self, limits):
        self.limits = limits
        self.held = 0

    async def read_body(self, response, on_chunk=lambda: None):
        """Return the body of a response as bytes.

        Parameters
        ----------
        response : aiohttp.ClientResponse
        on_chunk : callable, optional
            Called after each piece of it; takes no arguments.

        Raises
        ------
        aiohttp.ClientPayloadError
            If it is too long, or all responses together are.
        """
        size, chunks = 0, []
        try:
            async for chunk in response.content.iter_any():
                chunks.append(chunk)
                size += len(chunk)
                self.held += len(chunk)
                self._check(size)
                on_chunk()
            return b"".join(chunks)
        finally:
            self.held -= size
            chunks.clear()  # an error keeps this frame

    def _check(self, size):
        if size > self.limits.longest:
            raise aiohttp.ClientPayloadError(f"longer than {self.limits.longest} bytes")
        if self.held > self.limits.together:
            raise aiohttp.ClientPayloadError(
                f"responses at once are longer than {self.limits.together} bytes"
            )


class HttpPeer:
    """Calls one peer, and replaces all its connections after a lost response.

    An open connection may stay silent for ever while new connections work. After a
    call times out, later calls therefore use none of the connections that were open
    at that time. A read whose response is already arriving on such a connection
    shows that the connection works, so it is allowed to complete.

    Parameters
    ----------
    address : str
        IP address and port, as ``host:port``.
    connect_timeout : float, optional
        Limit for opening a connection, in seconds.
    memory : ResponseMemory, optional
        Shared with other peers; by default this peer's own, for `STORE_RESPONSES`.
    """

    def __init__(self, address, connect_timeout=0.6, memory=None):
        self.address = address
        self._connect_timeout = connect_timeout
        self._memory = memory or ResponseMemory(STORE_RESPONSES)
        self._connections = None
        self._closing = {}

    async def call(self, method, path, timeout, body=None, headers=None):
        """Send a request that may have an effect, and return its `HttpResponse`.

        Parameters
        ----------
        method, path : str
            HTTP method, and path with its query.
        timeout : float
            Limit of the whole call, in seconds.
        body : object, optional
            Encoded as JSON.
        headers : dict of str to str, optional
            Headers in addition to the content type.

        Returns
        -------
        HttpResponse

        Raises
        ------
        PlatformUnavailableError
            If no connection could be opened, so that the peer received nothing.
        AnswerLostError
            If the peer may have received the request but no response arrived.
        """
        data = None if body is None else msgspec.json.encode(body)
        content_type = {"Content-Type": "application/json"} if data else {}
        connections = self._open_connections()
        with self._translate_errors(connections, f"{method} {path}"):
            async with (
                connections.track_call() as deadline,
                connections.calls.request(
                    method,
                    f"http://{self.address}{path}",
                    data=data,
                    headers={**content_type, **(headers or {})},
                    timeout=aiohttp.ClientTimeout(
                        total=timeout, connect=self._connect_timeout
                    ),
                ) as response,
            ):
                connections.mark_begun(deadline)
                body = await self._memory.read_body(response)
                return HttpResponse(response.status, body)

    async def read(self, path, limits):
        """Send a GET request, which has no effect, and return its `HttpResponse`.

        Parameters
        ----------
        path : str
            Path with its query.
        limits : ReadLimits
            Time limits of the response.

        Returns
        -------
        HttpResponse

        Raises
        ------
        PlatformUnavailableError
            If no connection could be opened, so that the peer received nothing.
        AnswerLostError
            If the peer may have received the request but the response did not
            arrive in full within the limits.
        """
        connections = self._open_connections()
        with self._translate_errors(connections, f"GET {path}"):
            async with (
                connections.track_read(limits) as deadline,
                connections.reads.get(
                    f"http://{self.address}{path}",
                    timeout=aiohttp.ClientTimeout(connect=self._connect_timeout),
                ) as response,
            ):
                connections.mark_begun(deadline)
                body = await self._read_body(response, deadline, limits)
                return HttpResponse(response.status, body)

    async def _read_body(self, response, deadline, limits):
        """Return the body as bytes; extend `deadline` with each chunk that arrives."""
        loop = asyncio.get_running_loop()
        latest = loop.time() + limits.body

        def extend():
            deadline.reschedule(min(latest, loop.time() + limits.idle))

        extend()
        return await self._memory.read_body(response, extend)

    @contextmanager
    def _translate_errors(self, connections, step):
        try:
            yield
        except _NOT_CONNECTED_ERRORS as error:
            raise PlatformUnavailableError(
                f"could not connect: {_describe(error)}", step=step, peer=self.address
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._replace(connections)
            raise AnswerLostError(
                f"no complete response: {_describe(error)}",
                step=step,
                peer=self.address,
            ) from error

    async def close(self):
        """Close all connections, those that were replaced as well."""
        connections, self._connections = self._connections, None
        if connections is not None:
            await connections.close()
        for replaced in list(self._closing.values()):
            await replaced.close()

    def _open_connections(self):
        if self._connections is None:
            self._connections = ConnectionSet(self._memory.limits.buffer)
        return self._connections

    def cancel_stale_calls(self, seconds=0.0):
        """Cancel the calls without a response that were sent before the peer was back.

        They may wait until they time out although the peer responds to later calls.
        A read that the peer may answer late on purpose is cancelled on replaced
        connections only.

        Parameters
        ----------
        seconds : float, optional
            Duration of the call that had the first response, and has just ended.
        """
        answered_sent_at = asyncio.get_running_loop().time() - seconds
        if self._connections is not None:
            self._connections.cancel_stale(answered_sent_at, spares_waiting=True)
        for connections in self._closing.values():
            connections.cancel_stale(answered_sent_at, spares_waiting=False)
            if not connections.has_unanswered():
                connections.stale_calls_cancelled.set()

    def _replace(self, failed):
        if self._connections is not failed:
            return
        self._connections = None
        task = asyncio.ensure_future(_close_later(failed))
        self._closing[task] = failed
        task.add_done_callback(self._closing.pop)


def _describe(error):
    """Return an error's text; the HTTP library's quotes what a peer sent."""
    return repr(error)[:MAX_ERROR_TEXT]


async def _close_later(connections):
    with suppress(TimeoutError):
        async with asyncio.timeout(OLD_SESSION_GRACE):
            await connections.stale_calls_cancelled.wait()
    await connections.retire()


def decode_body(response, body_class, step, peer):
    """Decode the JSON body of a response.

    Parameters
    ----------
    response : HttpResponse
    body_class : type
        The `msgspec.Struct` to decode into.
    step : str
        Name of the call, for the log and the error.
    peer : str
        Address of the peer, for the log and the error.

    Returns
    -------
    object
        An instance of `body_class`.

    Raises
    ------
    AnswerLostError
        If the body is not JSON of that form. The call may have had an effect.
    """
    try:
        return decode_json(response.body, body_class)
    except MalformedDataError as error:
        reason = str(error)
    response.body = b""
    log_event("answer-unreadable", "WARNING", step=step, peer=peer, error=reason)
    raise AnswerLostError(
        f"unreadable body of a {response.status} response: {reason}",
        step=step,
        peer=peer,
    )
