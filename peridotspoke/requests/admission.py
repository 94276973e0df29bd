"""Admission: validates a request before it is queued."""

import math
import re

from peridotspoke.requests.messages import AdmittedRequest, Outcome, Refusal

__all__ = ["IDEMPOTENT_METHODS", "admit_head", "admit_request", "split_target"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
MAX_IDEMPOTENCY_KEY_LENGTH = 128  # characters
MAX_TARGET_LENGTH = 8192  # bytes
MAX_HEADERS_SIZE = 16384  # bytes, with 4 bytes of separators for each field
MAX_QUOTED_LENGTH = 64  # characters of an invalid value quoted in a refusal

_TARGET = re.compile(r"/([^/?]*)([/?][!-~]*)?")
_INVALID_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_SERVICE = re.compile(r"[a-z0-9][a-z0-9-]*")
_SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?")


def split_target(target):
    """Split a request target into the service and the path for the upstream.

    Parameters
    ----------
    target : str
        Request target as received, such as ``/feldkirch/plan/7?copies=2``.

    Returns
    -------
    tuple of (str, str) or Refusal
        The service and the path with its query; a `Refusal` if the target is
        invalid.

    Examples
    --------
    >>> split_target("/feldkirch/plan/7?copies=2")
    ('feldkirch', '/plan/7?copies=2')
    >>> split_target("/feldkirch")
    ('feldkirch', '/')
    """
    if len(target) > MAX_TARGET_LENGTH:
        found = f"{len(target)}"
        return _refuse_invalid_value(
            414, "path", f"at most {MAX_TARGET_LENGTH} bytes", found
        )
    match = _TARGET.fullmatch(target)
    expected = "/<service>/<path> in printable ASCII with whole escapes"
    if match is None or _INVALID_ESCAPE.search(target):
        return _refuse_invalid_value(400, "path", expected, target)
    service, path = match[1], match[2] or "/"
    if not _SERVICE.fullmatch(service):
        return _refuse_invalid_value(404, "service", "a service's name", service)
    return service, path if path.startswith("/") else "/" + path


def admit_head(incoming, configuration, length):
    """Validate a request from its headers, before its body is read.

    Parameters
    ----------
    incoming : IncomingRequest
        The body may be missing.
    configuration : Configuration or None
        The configuration in force; None before the first one has been loaded.
    length : int or None
        Content length of the body in bytes; None if the caller didn't send one.

    Returns
    -------
    AdmittedRequest or Refusal

    Notes
    -----
    A request is idempotent if its method is (RFC 9110, section 9.2.2) or if the
    service declares its path as idempotent.
    """
    if configuration is None:
        detail = "no configuration is in force"
        return Refusal(503, Outcome.NOT_RUN, "Not ready", detail, 1)
    declaration = configuration.services.get(incoming.service)
    if declaration is None:
        known = ", ".join(sorted(configuration.services))
        return _refuse_invalid_value(
            404, "service", f"one of {known}", incoming.service
        )
    rules = declaration.requests
    headers = incoming.headers
    size = sum(len(name) + len(value) + 4 for name, value in headers.items())
    if size > MAX_HEADERS_SIZE:
        expected = f"at most {MAX_HEADERS_SIZE} bytes"
        return _refuse_invalid_value(431, "headers", expected, f"{size}")
    limit = _read_time_limit(headers.get("Request-Timeout"), rules.time_limit)
    if limit is None:
        found = headers["Request-Timeout"]
        return _refuse_invalid_value(400, "Request-Timeout", "seconds above 0", found)
    key = headers.get("Idempotency-Key")
    if key is not None and not _is_valid_key(key):
        expected = f"1 to {MAX_IDEMPOTENCY_KEY_LENGTH} printable ASCII characters"
        return _refuse_invalid_value(400, "Idempotency-Key", expected, key)
    if length is not None and length > rules.body_limit:
        expected = f"at most {rules.body_limit} bytes"
        return _refuse_invalid_value(413, "body", expected, f"{length} bytes")
    return AdmittedRequest(
        incoming=incoming,
        idempotent=_is_idempotent(incoming, rules),
        deadline=incoming.received_at + limit,
        rules=rules,
        key=key or "",
    )


def admit_request(incoming, configuration):
    """Validate a request whose body has been read.

    Parameters
    ----------
    incoming : IncomingRequest
    configuration : Configuration or None

    Returns
    -------
    AdmittedRequest or Refusal

    See Also
    --------
    admit_head : Validates a request before its body is read.
    """
    return admit_head(incoming, configuration, len(incoming.body))


def _refuse_invalid_value(status, field, expected, found):
    quoted = (
        found if len(found) <= MAX_QUOTED_LENGTH else found[:MAX_QUOTED_LENGTH] + "..."
    )
    detail = f"{field}: expected {expected}, found {quoted!r}"
    return Refusal(status, Outcome.NOT_RUN, f"Bad {field}", detail)


def _read_time_limit(text, max_seconds):
    """Parse a Request-Timeout header.

    Returns
    -------
    float or None
        Seconds, at most `max_seconds`; `max_seconds` if there is no header, and
        None if its value is invalid.
    """
    if text is None:
        return max_seconds
    if not _SECONDS.fullmatch(text.strip()):
        return None
    seconds = float(text)
    if not math.isfinite(seconds) or seconds <= 0:
        return None
    return min(seconds, max_seconds)


def _is_valid_key(key):
    return (
        1 <= len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH
        and key.isascii()
        and key.isprintable()
    )


def _is_idempotent(incoming, rules):
    if incoming.method in IDEMPOTENT_METHODS:
        return True
    path = incoming.path.partition("?")[0]
    return any(_is_path_under(path, prefix) for prefix in rules.idempotent_paths)


def _is_path_under(path, prefix):
    """Return whether `path` equals `prefix` or is below it.

    A path with escapes, dot segments or empty segments never matches, because an
    upstream may resolve it to a path outside `prefix`.
    """
    if "%" in path or "/." in path or "//" in path:
        return False
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
