"""Refusals of callers' requests; each states that nothing of them was done."""

import msgspec
from aiohttp import web

from peridotspoke.callers import ResponseFormat

__all__ = ["KEY_HEADER", "PlatformResponses", "format_refusal", "make_refusal"]

KEY_HEADER = "X-Api-Key"
NOT_ACCEPTED = "the request was not accepted"


class PlatformResponses(ResponseFormat):
    """The form of the responses in the platform's protocol.

    Parameters
    ----------
    checks_keys : callable
        Returns whether calls are refused for their API keys; takes no arguments.
    """

    def __init__(self, checks_keys=lambda: False):
        self._checks_keys = checks_keys

    def refuse_head(self, status, message):
        """Return the response to a head that the HTTP library refused.

        The library refuses control characters in a key before the key is checked.
        """
        names_key = f"{KEY_HEADER.lower()}:" in (message or "").lower()
        if names_key and self._checks_keys():
            return make_refusal(401, "key is not text")
        return make_refusal(status, "malformed request")

    def report_failure(self):
        """Return the response to a request whose handler failed."""
        return web.Response(status=504, text="the outcome is unknown")


def format_refusal(error):
    """Return the response to a `CallerRefusedError`, which ends the connection."""
    response = make_refusal(error.status, error.reason)
    if error.retry_after:
        response.headers["Retry-After"] = str(error.retry_after)
    response.force_close()
    return response


def make_refusal(status, reason):
    """Return the response to a request of which nothing was done."""
    return web.Response(
        status=status,
        body=msgspec.json.encode({"error": f"{reason}; {NOT_ACCEPTED}"}),
        content_type="application/json",
    )
