"""Decides whether a request is well formed and may be served at all."""

import math

from peridotspoke.requests.messages import AdmittedRequest, Outcome, Refusal

__all__ = ["IDEMPOTENT_METHODS", "admit_request"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
MAX_KEY_LENGTH = 128  # characters


def admit_request(incoming, configuration):
    """Return an `AdmittedRequest` or a `Refusal`.

    Parameters
    ----------
    incoming : IncomingRequest
    configuration : Configuration or None
        The configuration in force.

    Notes
    -----
    Methods are idempotent as RFC 9110, section 9.2.2, says, or where the service
    declares the path to be so.
    """
    if configuration is None:
        return _refuse(503, "Not ready", "no configuration is in force", 1)
    declaration = configuration.services.get(incoming.service)
    if declaration is None:
        known = ", ".join(sorted(configuration.services))
        detail = f"expected one of {known}, found {incoming.service!r}"
        return _refuse(404, "Unknown service", detail)
    rules = declaration.requests
    if len(incoming.body) > rules.body_limit:
        detail = f"expected at most {rules.body_limit} bytes"
        return _refuse(413, "Body too large", detail)
    limit = _read_time_limit(incoming.headers.get("Request-Timeout"), rules.time_limit)
    if limit is None:
        found = incoming.headers["Request-Timeout"]
        detail = f"Request-Timeout: expected seconds above 0, found {found!r}"
        return _refuse(400, "Bad header", detail)
    key = incoming.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        detail = f"Idempotency-Key: expected at most {MAX_KEY_LENGTH} characters"
        return _refuse(400, "Bad header", detail)
    return AdmittedRequest(
        incoming=incoming,
        idempotent=_is_idempotent(incoming, rules),
        deadline=incoming.received_at + limit,
        body_limit=rules.body_limit,
        key=key,
    )


def _refuse(status, title, detail, retry_after=0):
    return Refusal(status, Outcome.NOT_RUN, title, detail, retry_after)


def _read_time_limit(text, longest):
    """Return seconds, the declared limit where none is given, None where invalid."""
    if text is None:
        return longest
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds <= 0:
        return None
    return min(seconds, longest)


def _is_idempotent(incoming, rules):
    if incoming.method in IDEMPOTENT_METHODS:
        return True
    return any(incoming.path.startswith(prefix) for prefix in rules.idempotent_paths)
