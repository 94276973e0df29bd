"""Messages between the filters of the callers' pipeline."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "AdmittedRequest",
    "Conclusion",
    "IncomingRequest",
    "Outcome",
    "Refusal",
    "Upstream",
    "UpstreamAnswer",
]


class Outcome(enum.StrEnum):
    """What a caller is told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request as it arrived; `received_at` is monotonic seconds."""

    request_id: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    received_at: float


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that may be served; `deadline` is monotonic seconds."""

    incoming: IncomingRequest
    idempotent: bool
    deadline: float
    body_limit: int
    key: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was not served: the status, the outcome and the reason.

    `retry_after` is in seconds; 0 leaves the header out.
    """

    status: int
    outcome: Outcome
    title: str
    detail: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Upstream:
    """An executor that serves one service.

    `epoch` is that of the instance's pool record.
    """

    instance: str
    address: str
    zone: str
    rack: str
    slots: int
    connections: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """A whole answer from the upstream that ran the request."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Conclusion:
    """What is sent to the caller."""

    status: int
    outcome: Outcome
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
