"""Builds the response to the caller from an answer or a refusal."""

import msgspec

from peridotspoke.requests.messages import Outcome, Response

__all__ = [
    "OUTCOME_HEADER",
    "REQUEST_ID_HEADER",
    "build_answer_response",
    "build_refusal_response",
]

OUTCOME_HEADER = "Peridotspoke-Outcome"
REQUEST_ID_HEADER = "Peridotspoke-Request-Id"


def build_answer_response(request_id, answer):
    """Build the response from a complete answer.

    Parameters
    ----------
    request_id : str
    answer : UpstreamAnswer

    Returns
    -------
    Response
    """
    headers = (
        *answer.headers,
        (OUTCOME_HEADER, Outcome.ANSWERED.value),
        (REQUEST_ID_HEADER, request_id),
    )
    return Response(answer.status, Outcome.ANSWERED, headers, answer.body)


def build_refusal_response(request_id, refusal):
    """Build the response from a refusal, as a problem document (RFC 9457).

    Parameters
    ----------
    request_id : str
    refusal : Refusal

    Returns
    -------
    Response
    """
    headers = [
        (OUTCOME_HEADER, refusal.outcome.value),
        (REQUEST_ID_HEADER, request_id),
        ("Content-Type", "application/problem+json"),
    ]
    if refusal.retry_after:
        headers.append(("Retry-After", str(refusal.retry_after)))
    document = {
        "type": "about:blank",
        "title": refusal.title,
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": refusal.outcome,
        "instance": request_id,
    }
    return Response(
        refusal.status, refusal.outcome, tuple(headers), msgspec.json.encode(document)
    )
