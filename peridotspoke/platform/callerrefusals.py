"""Refusals of callers' requests; each states that nothing of them was done."""

import msgspec
from aiohttp import web

__all__ = [
    "KEY_HEADER",
    "CallerRefusedError",
    "make_dismissal",
    "make_head_refusal",
    "make_refusal",
]

KEY_HEADER = "X-Api-Key"
RETRY_AFTER = 1  # seconds
NOT_ACCEPTED = "the request was not accepted"


class CallerRefusedError(Exception):
    """A request that is refused while its body arrives; nothing of it was done.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    reason : str
    """

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason

    def make_response(self):
        """Return the `web.Response`, after which the connection is closed."""
        response = make_refusal(self.status, self.reason)
        if self.status in {429, 503}:
            response.headers["Retry-After"] = str(RETRY_AFTER)
        response.force_close()
        return response


def make_dismissal(limit):
    """Return the `CallerRefusedError` of a body that gives way or is too slow.

    Parameters
    ----------
    limit : str
        The limit because of which its caller was chosen.
    """
    if limit == "body":
        return CallerRefusedError(408, "the body arrives too slowly")
    if limit == "trailer-size":
        return CallerRefusedError(431, "the body's trailer is too long")
    return CallerRefusedError(503, "too many requests at once")


def make_head_refusal(status, message, checks_keys):
    """Return the response to a head that the HTTP library refused.

    The response doesn't repeat the library's message, which quotes the line at fault
    and so may quote an API key.

    Parameters
    ----------
    status : int
        HTTP status by the library.
    message : str or None
        The library's message.
    checks_keys : bool
        Whether calls are refused for their API keys. The library refuses control
        characters in a key before the key is checked.
    """
    if checks_keys and f"{KEY_HEADER.lower()}:" in (message or "").lower():
        return make_refusal(401, "key is not text")
    return make_refusal(status, "malformed request")


def make_refusal(status, reason):
    """Return the response to a request of which nothing was done."""
    return web.Response(
        status=status,
        body=msgspec.json.encode({"error": f"{reason}; {NOT_ACCEPTED}"}),
        content_type="application/json",
    )
