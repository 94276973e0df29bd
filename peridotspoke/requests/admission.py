"""Decides whether a request is well formed and may be served at all."""

import math
import re

from peridotspoke.requests.messages import AdmittedRequest, Outcome, Refusal

__all__ = ["IDEMPOTENT_METHODS", "admit_head", "admit_request", "split_target"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
MAX_KEY_LENGTH = 128  # characters
MAX_TARGET_LENGTH = 8192  # bytes
MAX_HEADERS_SIZE = 16384  # bytes
FOUND_LENGTH = 64  # characters of a bad value that are shown

_TARGET = re.compile(r"/([^/?]*)([/?][!-~]*)?")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_SERVICE = re.compile(r"[a-z0-9][a-z0-9-]*")
_SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?")


def split_target(target):
    """Return the service and the rest of a request target, or a `Refusal`.

    Parameters
    ----------
    target : str
        The target as sent, such as ``/feldkirch/plan/7?copies=2``.

    Examples
    --------
    >>> split_target("/feldkirch/plan/7?copies=2")
    ('feldkirch', '/plan/7?copies=2')
    >>> split_target("/feldkirch")
    ('feldkirch', '/')
    """
    if len(target) > MAX_TARGET_LENGTH:
        found = f"{len(target)}"
        return _refuse_value(414, "path", f"at most {MAX_TARGET_LENGTH} bytes", found)
    match = _TARGET.fullmatch(target)
    expected = "/<service>/<path> in printable ASCII with whole escapes"
    if match is None or _BAD_ESCAPE.search(target):
        return _refuse_value(400, "path", expected, target)
    service, path = match[1], match[2] or "/"
    if not _SERVICE.fullmatch(service):
        return _refuse_value(404, "service", "a service's name", service)
    return service, path if path.startswith("/") else "/" + path


def admit_head(incoming, configuration, length):
    """Return an `AdmittedRequest` without its body, or a `Refusal`.

    Parameters
    ----------
    incoming : IncomingRequest
        The body may still be unread.
    configuration : Configuration or None
        The configuration in force.
    length : int or None
        The announced length of the body in bytes; None where it is not announced.

    Notes
    -----
    Methods are idempotent as RFC 9110, section 9.2.2, says, or where the service
    declares the path to be so.
    """
    if configuration is None:
        detail = "no configuration is in force"
        return Refusal(503, Outcome.NOT_RUN, "Not ready", detail, 1)
    declaration = configuration.services.get(incoming.service)
    if declaration is None:
        known = ", ".join(sorted(configuration.services))
        return _refuse_value(404, "service", f"one of {known}", incoming.service)
    rules = declaration.requests
    headers = incoming.headers
    size = sum(len(name) + len(value) + 4 for name, value in headers.items())
    if size > MAX_HEADERS_SIZE:
        expected = f"at most {MAX_HEADERS_SIZE} bytes"
        return _refuse_value(431, "headers", expected, f"{size}")
    limit = _read_time_limit(headers.get("Request-Timeout"), rules.time_limit)
    if limit is None:
        found = headers["Request-Timeout"]
        return _refuse_value(400, "Request-Timeout", "seconds above 0", found)
    key = headers.get("Idempotency-Key")
    if key is not None and not _is_key(key):
        expected = f"1 to {MAX_KEY_LENGTH} printable ASCII characters"
        return _refuse_value(400, "Idempotency-Key", expected, key)
    if length is not None and length > rules.body_limit:
        expected = f"at most {rules.body_limit} bytes"
        return _refuse_value(413, "body", expected, f"{length} bytes")
    return AdmittedRequest(
        incoming=incoming,
        idempotent=_is_idempotent(incoming, rules),
        deadline=incoming.received_at + limit,
        rules=rules,
        key=key or "",
    )


def admit_request(incoming, configuration):
    """Return an `AdmittedRequest` with its body, or a `Refusal`.

    See Also
    --------
    admit_head : The same before the body is read.
    """
    return admit_head(incoming, configuration, len(incoming.body))


def _refuse_value(status, place, expected, found):
    shown = found if len(found) <= FOUND_LENGTH else found[:FOUND_LENGTH] + "..."
    detail = f"{place}: expected {expected}, found {shown!r}"
    return Refusal(status, Outcome.NOT_RUN, f"Bad {place}", detail)


def _read_time_limit(text, longest):
    """Return seconds, the declared limit where none is given, None where invalid."""
    if text is None:
        return longest
    if not _SECONDS.fullmatch(text.strip()):
        return None
    seconds = float(text)
    if not math.isfinite(seconds) or seconds <= 0:
        return None
    return min(seconds, longest)


def _is_key(key):
    return 1 <= len(key) <= MAX_KEY_LENGTH and key.isascii() and key.isprintable()


def _is_idempotent(incoming, rules):
    if incoming.method in IDEMPOTENT_METHODS:
        return True
    path = incoming.path.partition("?")[0]
    return any(_is_under(path, prefix) for prefix in rules.idempotent_paths)


def _is_under(path, prefix):
    """Return whether `path` is `prefix` or lies below it.

    Escapes and dot segments may name another path, so they are never under it.
    """
    if "%" in path or "/." in path or "//" in path:
        return False
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
