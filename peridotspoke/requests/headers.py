"""Headers that are forwarded between callers and upstreams."""

from multidict import CIMultiDict

from peridotspoke.requests.responses import REQUEST_ID_HEADER

__all__ = ["filter_answer_headers", "make_upstream_headers"]

OWN_HEADER_PREFIX = "peridotspoke-"
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def make_upstream_headers(request, seconds_left, reusable):
    """Build the headers of a request to an upstream.

    Hop-by-hop headers and headers with the prefix `OWN_HEADER_PREFIX` are not
    forwarded, so that a caller can't forge them.

    Parameters
    ----------
    request : AdmittedRequest
    seconds_left : float
        Time until the request's deadline in seconds, sent as Request-Timeout.
    reusable : bool
        Whether the connection may be used for another request afterwards.

    Returns
    -------
    CIMultiDict of str
    """
    headers = CIMultiDict(_filter_headers(request.incoming.headers))
    headers["Request-Timeout"] = f"{seconds_left:.3f}"
    headers[REQUEST_ID_HEADER] = request.incoming.request_id
    if not reusable:
        headers["Connection"] = "close"
    return headers


def filter_answer_headers(headers):
    """Return the headers of an upstream's answer that are forwarded to the caller.

    Parameters
    ----------
    headers : multidict of str

    Returns
    -------
    tuple of (str, str) pairs
    """
    return tuple(_filter_headers(headers))


def _filter_headers(headers):
    excluded = HOP_BY_HOP
    connection_options = headers.get("Connection")
    if connection_options:
        excluded = excluded | {
            name.strip().lower() for name in connection_options.split(",")
        }
    for name, value in headers.items():
        lower_name = name.lower()
        if lower_name not in excluded and not lower_name.startswith(OWN_HEADER_PREFIX):
            yield name, value
