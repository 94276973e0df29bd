"""Messages between the filters of the callers' pipeline."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "AdmittedRequest",
    "AttemptFailure",
    "Conclusion",
    "FailureKind",
    "IncomingRequest",
    "Outcome",
    "Refusal",
    "Reject",
    "Start",
    "Ticket",
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
    """A caller's request as it arrived; `received_at` is monotonic seconds.

    `path` is the part of the target after the service, as sent, with the query.
    `headers` is a case-insensitive multidict.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    received_at: float


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that may be served; `deadline` is monotonic seconds.

    `rules` is the service's `RequestsDeclaration`. `key` is empty where the caller
    sent no Idempotency-Key.
    """

    incoming: IncomingRequest
    idempotent: bool
    deadline: float
    rules: object
    key: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request without an answer: the status, the outcome and the reason.

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
    """A whole answer from the upstream that ran the request.

    `headers` keeps the order and repetitions of the upstream's headers.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class FailureKind(enum.Enum):
    """Why an attempt brought no answer."""

    EXPIRED = "expired"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    SILENT = "silent"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt without a whole answer that belongs to the request.

    `upstream_busy` tells that the upstream probably still runs the request, so
    that its slot is free only at the request's deadline.
    """

    kind: FailureKind
    reason: str
    upstream_busy: bool = False

    @property
    def may_have_run(self):
        """Whether a byte of the request may have reached an upstream that acts."""
        return self.kind in {FailureKind.SILENT, FailureKind.BROKEN}


@dataclass(frozen=True, slots=True, eq=False)
class Ticket:
    """A request's place in the queue of its service.

    Parameters
    ----------
    number : int
        Unique within the entry instance.
    service : str
    idempotent : bool
    deadline : float
        Monotonic seconds.
    queue_limit : int
        Requests of the service that may wait.
    overflow : bool
        Whether the spare's executors may serve the request.
    excluded : frozenset of str
        Instances that have failed this request.

    Tickets are compared by identity, which keeps their removal from a queue cheap.
    """

    number: int
    service: str
    idempotent: bool
    deadline: float
    queue_limit: int
    overflow: bool = False
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Start:
    """The ticket's request is to be sent to `upstream`, whose slot it holds."""

    ticket: Ticket
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Reject:
    """The ticket's request can't start in time; `retry_after` is in seconds."""

    ticket: Ticket
    reason: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class Conclusion:
    """What is sent to the caller."""

    status: int
    outcome: Outcome
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
