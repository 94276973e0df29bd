"""Sends a request to an upstream and reads the complete answer."""

import asyncio

import aiohttp
from yarl import URL

from peridotspoke.requests.connections import Connection, IdleConnections
from peridotspoke.requests.headers import filter_answer_headers, make_upstream_headers
from peridotspoke.requests.messages import (
    AttemptFailure,
    FailureKind,
    Outcome,
    UpstreamAnswer,
)
from peridotspoke.requests.responses import OUTCOME_HEADER, REQUEST_ID_HEADER

__all__ = ["Forwarder"]

# Headers that aiohttp would add to a request.
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
CONNECT_FRACTION = 0.8  # fraction of an attempt's time limit
MIN_FINAL_STATUS = 200  # lower ones are interim responses
HTTP_UNAVAILABLE = 503
BODILESS_STATUSES = frozenset({204, 304})


class ConnectionLostError(aiohttp.ClientError):
    """The connection was lost after bytes of the request may have been sent.

    Callers see the name of this class in the detail of a refusal.
    """


async def _prevent_automatic_resend(request, handler):
    """Replace the errors after which aiohttp would resend a request on its own."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(repr(error)) from error


class DirectConnector(aiohttp.BaseConnector):
    """Connector for plain HTTP to IP addresses, without DNS, proxies or TLS.

    The addresses of upstreams are IP addresses, so neither name resolution nor
    racing of several addresses is needed. With uvloop, a request over a new
    connection takes three quarters of the CPU time that it takes with
    `aiohttp.TCPConnector`.
    """

    allowed_protocol_schema_set = frozenset({"http"})

    async def _create_connection(self, req, traces, timeout):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout.sock_connect):
                _, protocol = await loop.create_connection(
                    self._factory, req.url.raw_host, req.url.port
                )
        except TimeoutError:
            raise
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        return protocol


class Forwarder:
    """Sends requests to upstreams and manages the connections to them.

    An idempotent request may reuse an idle connection. Any other request uses a new
    connection, because an idle one may be closing or may have become unresponsive.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock
    memory : BodyMemory
        Limits the total size of the answers that are being read.
    """

    def __init__(self, settings, clock, memory):
        self._settings = settings
        self._clock = clock
        self._memory = memory
        self._idle = IdleConnections(settings.idle_life)
        self._single_use_session = None
        self._closing = set()

    async def run(self):
        """Close expired idle connections periodically, until cancelled."""
        while True:
            await asyncio.sleep(self._settings.idle_life / 2)
            expired = self._idle.drop_expired(self._clock.read_monotonic())
            self._close_connections(expired)

    async def close(self):
        """Close all connections and wait until they are closed."""
        self._close_connections(self._idle.drop_expired(float("inf")))
        if self._single_use_session is not None:
            await self._single_use_session.close()
        await asyncio.gather(*self._closing, return_exceptions=True)

    async def forward(self, request, upstream, limit):
        """Make one attempt to send a request and read its answer.

        Parameters
        ----------
        request : AdmittedRequest
        upstream : Upstream
        limit : float
            Time limit of the attempt in seconds.

        Returns
        -------
        UpstreamAnswer or AttemptFailure
        """
        now = self._clock.read_monotonic()
        if now >= request.deadline or limit <= 0:
            return AttemptFailure(FailureKind.EXPIRED, "the time limit has passed")
        if not request.idempotent:
            if self._single_use_session is None:
                connector = DirectConnector(limit=0, force_close=True)
                self._single_use_session = _open_session(connector)
            return await self._send_and_read(
                request, upstream, limit, self._single_use_session, False
            )
        connection = self._idle.take(upstream.address, now)
        reused = connection is not None
        if connection is None:
            session = _open_session(DirectConnector(limit=1))
            connection = Connection(upstream.address, now, session)
        result = None
        try:
            result = await self._send_and_read(
                request, upstream, limit, connection.session, True
            )
        finally:
            self._release_connection(connection, result)
        if reused and _is_kind(result, FailureKind.SILENT):
            return AttemptFailure(result.kind, result.reason, upstream_busy=False)
        return result

    def _release_connection(self, connection, result):
        now = self._clock.read_monotonic()
        if isinstance(result, UpstreamAnswer) and self._idle.put(connection, now):
            return
        self._close_connections([connection])
        if _is_kind(result, FailureKind.SILENT) or _is_kind(result, FailureKind.BROKEN):
            self._close_connections(self._idle.suspect(connection.address, now))

    def _close_connections(self, connections):
        for connection in connections:
            task = asyncio.ensure_future(connection.session.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def _send_and_read(self, request, upstream, limit, session, reusable):
        incoming = request.incoming
        remaining = request.deadline - self._clock.read_monotonic()
        connect_timeout = min(self._settings.connect_timeout, CONNECT_FRACTION * limit)
        try:
            async with (
                asyncio.timeout(limit),
                session.request(
                    incoming.method,
                    URL(f"http://{upstream.address}{incoming.path}", encoded=True),
                    headers=make_upstream_headers(request, remaining, reusable),
                    data=incoming.body or None,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(
                        total=None, sock_connect=connect_timeout
                    ),
                ) as response,
            ):
                result = await self._read_answer(request, response)
                if isinstance(result, AttemptFailure):
                    response.close()
                return result
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return AttemptFailure(FailureKind.UNREACHABLE, repr(error))
        except TimeoutError:
            return AttemptFailure(
                FailureKind.SILENT, f"no answer within {limit:.3f} s", True
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return AttemptFailure(FailureKind.BROKEN, repr(error))

    async def _read_answer(self, request, response):
        echoed_ids = response.headers.getall(REQUEST_ID_HEADER, ())
        if list(echoed_ids) != [request.incoming.request_id]:
            return _fail_broken(f"the answer is for another request: {echoed_ids!r}")
        if response.status < MIN_FINAL_STATUS or not _has_known_end(response):
            return _fail_broken("the answer's end can't be known")
        body = await self._read_body(response, request.rules.body_limit)
        if body is None:
            return _fail_broken("the answer is larger than the limit")
        if _is_refusal(response):
            return AttemptFailure(FailureKind.REFUSED, "the upstream refused")
        headers = filter_answer_headers(response.headers)
        return UpstreamAnswer(response.status, headers, body)

    async def _read_body(self, response, limit):
        """Return the body, or None if it exceeds `limit` bytes or the memory."""
        length = response.content_length
        if length is None or response.method == "HEAD":
            return await self._read_chunks(response, limit)
        if length > limit or not self._memory.reserve_answer(length):
            return None
        try:
            return await response.read()
        finally:
            self._memory.release(length)

    async def _read_chunks(self, response, limit):
        chunks = []
        size = 0
        try:
            async for chunk in response.content.iter_any():
                if size + len(chunk) > limit or not self._memory.reserve_answer(
                    len(chunk)
                ):
                    return None
                size += len(chunk)
                chunks.append(chunk)
        finally:
            self._memory.release(size)
        return b"".join(chunks)


def _open_session(connector):
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(_prevent_automatic_resend,),
        skip_auto_headers=AUTOMATIC_HEADERS,
    )


def _fail_broken(reason):
    return AttemptFailure(FailureKind.BROKEN, reason)


def _is_refusal(response):
    """Return whether the upstream states that it did not run the request."""
    outcome = response.headers.get(OUTCOME_HEADER)
    return response.status == HTTP_UNAVAILABLE and outcome == Outcome.NOT_RUN


def _is_kind(result, kind):
    return isinstance(result, AttemptFailure) and result.kind is kind


def _has_known_end(response):
    """Return whether the end of the answer is marked.

    Otherwise a truncated answer couldn't be told from a complete one.
    """
    headers = response.headers
    return (
        "Content-Length" in headers
        or "chunked" in headers.get("Transfer-Encoding", "").lower()
        or response.method == "HEAD"
        or response.status in BODILESS_STATUSES
    )
