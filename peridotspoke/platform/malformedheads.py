"""HTTP server that answers malformed heads without showing what they hold."""

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage

from peridotspoke.logs import log_event

__all__ = ["KEY_HEADER", "CallersServer"]

KEY_HEADER = "X-Api-Key"


class CallersServer(web.Server):
    """Server whose connections don't log the bytes of malformed heads.

    The library logs such a head with a traceback that quotes the line at fault, which
    may be an API key.

    Parameters
    ----------
    handler : callable
        Coroutine function from an `aiohttp.web.BaseRequest` to its response.
    checks_keys : callable
        Returns whether calls are refused for their API keys; takes no arguments.
    **options
        As for `aiohttp.web.Server`.
    """

    def __init__(self, handler, checks_keys, **options):
        super().__init__(handler, **options)
        self.checks_keys = checks_keys

    def __call__(self):
        """Return the protocol of a new connection."""
        return _CallerConnection(self, loop=self._loop, **self._kwargs)


class _CallerConnection(web.RequestHandler):
    __slots__ = ()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to a request that could not be handled."""
        if not isinstance(exc, BadHttpMessage):
            return super().handle_error(request, status, exc, message)
        log_event("head-malformed", error=type(exc).__name__)
        # The library refuses control characters in a key before the key is checked.
        quotes_key = f"{KEY_HEADER.lower()}:" in (message or "").lower()
        if quotes_key and self._manager and self._manager.checks_keys():
            status, message = 401, "key is not text"
        response = web.Response(status=status, text=message, content_type="text/plain")
        response.force_close()
        return response
