"""Builds the response to the caller from an answer or a refusal."""

import msgspec

from peridotspoke.requests.messages import Conclusion, Outcome

__all__ = ["OUTCOME", "REQUEST_ID", "conclude_answer", "conclude_refusal"]

OUTCOME = "Peridotspoke-Outcome"
REQUEST_ID = "Peridotspoke-Request-Id"


def conclude_answer(request_id, answer):
    """Build the response from a complete answer.

    Parameters
    ----------
    request_id : str
    answer : UpstreamAnswer

    Returns
    -------
    Conclusion
    """
    headers = (
        *answer.headers,
        (OUTCOME, Outcome.ANSWERED.value),
        (REQUEST_ID, request_id),
    )
    return Conclusion(answer.status, Outcome.ANSWERED, headers, answer.body)


def conclude_refusal(request_id, refusal):
    """Build the response from a refusal, as a problem document (RFC 9457).

    Parameters
    ----------
    request_id : str
    refusal : Refusal

    Returns
    -------
    Conclusion
    """
    headers = [
        (OUTCOME, refusal.outcome.value),
        (REQUEST_ID, request_id),
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
    return Conclusion(
        refusal.status, refusal.outcome, tuple(headers), msgspec.json.encode(document)
    )
