"""Which headers pass between callers and upstreams."""

from multidict import CIMultiDict

from peridotspoke.requests.concluding import REQUEST_ID

__all__ = ["filter_answer_headers", "make_upstream_headers"]

OWN_PREFIX = "peridotspoke-"
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
    """Return the headers of a request to an upstream.

    Headers that describe one connection and those of this system stay behind, so
    that a caller can't set them. The upstream is told how many seconds are left.

    Parameters
    ----------
    request : AdmittedRequest
    seconds_left : float
    reusable : bool
        Whether the connection may carry another request afterwards.
    """
    headers = CIMultiDict(_filter_headers(request.incoming.headers))
    headers["Request-Timeout"] = f"{seconds_left:.3f}"
    headers[REQUEST_ID] = request.incoming.request_id
    if not reusable:
        headers["Connection"] = "close"
    return headers


def filter_answer_headers(headers):
    """Return the pairs of an upstream's headers that its caller may see."""
    return tuple(_filter_headers(headers))


def _filter_headers(headers):
    left_out = HOP_BY_HOP
    listed = headers.get("Connection")
    if listed:
        left_out = left_out | {name.strip().lower() for name in listed.split(",")}
    for name, value in headers.items():
        lowered = name.lower()
        if lowered not in left_out and not lowered.startswith(OWN_PREFIX):
            yield name, value
