"""Refusals of callers' requests; each states that nothing of them was done."""

from abc import ABC, abstractmethod

__all__ = ["CallerRefusedError", "ResponseFormat", "make_dismissal"]

RETRY_AFTER = 1  # seconds


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

    @property
    def retry_after(self):
        """Seconds after which the caller may try again; 0 for no such time."""
        return RETRY_AFTER if self.status in {429, 503} else 0


class ResponseFormat(ABC):
    """The form of the responses that a server makes without its handler."""

    @abstractmethod
    def refuse_head(self, status, message):
        """Return the response to a head that the HTTP library refused.

        Parameters
        ----------
        status : int
            HTTP status by the library.
        message : str or None
            The library's message. It quotes the line at fault, which may hold a key.

        Returns
        -------
        web.Response
        """

    @abstractmethod
    def report_failure(self):
        """Return the response to a request whose handler failed: a `web.Response`."""


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
