"""Messages between the stages of the request pipeline."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "AdmittedRequest",
    "AttemptFailure",
    "FailureKind",
    "IncomingRequest",
    "Outcome",
    "Refusal",
    "Reject",
    "Response",
    "Start",
    "Ticket",
    "Upstream",
    "UpstreamAnswer",
]


class Outcome(enum.StrEnum):
    """Outcome of a request, as stated to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """Request as received from a caller.

    Parameters
    ----------
    request_id : str
    service : str
    method : str
    path : str
        Part of the target after the service, as sent, with the query.
    headers : CIMultiDict of str
    body : bytes
    received_at : float
        Monotonic time in seconds.
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
    """Valid request to a known service.

    Parameters
    ----------
    incoming : IncomingRequest
    idempotent : bool
        Whether the request may be run more than once.
    deadline : float
        Monotonic time in seconds.
    rules : RequestsDeclaration
        Declaration of the service.
    key : str
        Idempotency-Key of the caller; empty if there is none.
    """

    incoming: IncomingRequest
    idempotent: bool
    deadline: float
    rules: object
    key: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Error response to a request without an answer from an upstream.

    Parameters
    ----------
    status : int
        HTTP status.
    outcome : Outcome
    title : str
    detail : str
    retry_after : int
        Seconds for the Retry-After header; 0 omits the header.
    """

    status: int
    outcome: Outcome
    title: str
    detail: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Upstream:
    """Executor that serves one service.

    Parameters
    ----------
    instance : str
    address : str
        IP address and port.
    zone : str
        Availability zone.
    rack : str
    slots : int
        Maximum number of requests that the executor runs at once.
    connections : int
        Maximum number of open connections.
    epoch : int
        Epoch of the instance's pool record.
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
    """Complete answer from the upstream that ran the request.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str) pairs
        Headers in the order of the upstream, with repeated ones.
    body : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class FailureKind(enum.Enum):
    """Reason why an attempt failed.

    `EXPIRED`: the request was not sent, since its time limit had passed or its
    caller had left. `UNREACHABLE`: no connection was made. `REFUSED`: the upstream
    stated that it did not run the request. `SILENT`: there was no complete answer
    within the attempt's time limit. `BROKEN`: the connection was lost, or the answer
    was invalid.
    """

    EXPIRED = "expired"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    SILENT = "silent"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Attempt without a complete and valid answer.

    Parameters
    ----------
    kind : FailureKind
    reason : str
        Reason that is stated to the caller.
    upstream_busy : bool
        Whether the upstream probably still runs the request, so that the slot must
        be held until the request's deadline.
    """

    kind: FailureKind
    reason: str
    upstream_busy: bool = False

    @property
    def may_have_run(self):
        """Whether the upstream may have run the request."""
        return self.kind in {FailureKind.SILENT, FailureKind.BROKEN}


@dataclass(frozen=True, slots=True, eq=False)
class Ticket:
    """Entry for one attempt of a request in the queue of its service.

    Tickets are compared by identity, so that removing one from a queue is cheap.

    Parameters
    ----------
    number : int
        Number of the ticket, unique within the entry instance.
    service : str
    idempotent : bool
    deadline : float
        Monotonic time in seconds.
    queue_limit : int
        Maximum number of waiting requests of the service.
    overflow : bool
        Whether executors of the spare pools may serve the request.
    excluded : frozenset of str
        Instances that have failed this request.
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
    """Decision to send a request to `upstream`, where it holds a slot."""

    ticket: Ticket
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Reject:
    """Decision not to run a request.

    Parameters
    ----------
    ticket : Ticket
    reason : str
        Reason that is stated to the caller.
    retry_after : int
        Seconds for the Retry-After header; 0 omits the header.
    """

    ticket: Ticket
    reason: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class Response:
    """Response to the caller."""

    status: int
    outcome: Outcome
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
