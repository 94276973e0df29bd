"""Callers' connections: how many there may be, how long unused, and what errors say."""

import asyncio

from aiohttp import web
from multidict import CIMultiDict

from peridotspoke.logs import log_event

__all__ = ["LimitedServer"]

FIRST_REQUEST_TIMEOUT = 10.0  # seconds from opening a connection


class LimitedServer(web.Server):
    """HTTP server that limits its connections and formats its error responses.

    Parameters
    ----------
    handler : callable
        Takes a request and returns its response.
    build_response : callable
        Takes the status and the reason of an error, and returns a `Response`.
    max_connections : int
    **options
        Those of `web.Server`.
    """

    def __init__(self, handler, *, build_response, max_connections, **options):
        super().__init__(handler, **options)
        self.build_response = build_response
        self._max_connections = max_connections
        self._options = options
        self._options.pop("handler_cancellation")

    def __call__(self):
        """Return the protocol of a new connection."""
        return _CallerProtocol(self, loop=asyncio.get_running_loop(), **self._options)

    def is_full(self):
        """Return whether the connection added last exceeds the limit."""
        return len(self.connections) > self._max_connections


class _CallerProtocol(web.RequestHandler):
    """A caller's connection.

    It is closed at once if the server has too many connections, and after
    `FIRST_REQUEST_TIMEOUT` if it has not sent a request.
    """

    __slots__ = ("_head_timer", "_server")

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self._server = server
        self._head_timer = None

    def connection_made(self, transport):
        super().connection_made(transport)
        if self._server.is_full():
            transport.abort()
            return
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(FIRST_REQUEST_TIMEOUT, self._close_if_unused)

    def connection_lost(self, exc):
        if self._head_timer is not None:
            self._head_timer.cancel()
        super().connection_lost(exc)

    def _close_if_unused(self):
        if not self._request_count and self.transport is not None:
            self.transport.abort()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to an error of the parser or the handler.

        Raises
        ------
        ConnectionError
            If part of an answer has been sent already.
        """
        if request.writer.output_size > 0:
            raise ConnectionError(
                "cannot send an error response: part of an answer has been sent"
            )
        reason = (message or repr(exc)).splitlines()[0]
        log_event("request-refused", "WARNING", status=status, reason=reason)
        response = self._server.build_response(status, reason)
        http_response = web.Response(
            status=response.status,
            headers=CIMultiDict(response.headers),
            body=response.body,
        )
        http_response.force_close()
        return http_response
