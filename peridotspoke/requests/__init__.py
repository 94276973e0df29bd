"""Request pipeline: admission, key claims, queueing, forwarding and responses."""

from peridotspoke.requests.admission import admit_head, admit_request, split_target
from peridotspoke.requests.choosing import choose_upstream
from peridotspoke.requests.claiming import IdempotentRunner
from peridotspoke.requests.claims import (
    CLAIMS_PREFIX,
    AnswerDirectory,
    AnswerState,
    ClaimRecord,
    LeaseBucket,
    NoAnswerDirectory,
    RememberedAnswer,
    RequestHistory,
    fingerprint_request,
    make_answer_key,
    make_claim_key,
)
from peridotspoke.requests.connections import Connection, IdleConnections
from peridotspoke.requests.fairness import FairQueue
from peridotspoke.requests.forwarding import Forwarder
from peridotspoke.requests.headers import filter_answer_headers, make_upstream_headers
from peridotspoke.requests.health import UpstreamHealth
from peridotspoke.requests.memory import BodyMemory, ExpiringMap
from peridotspoke.requests.messages import (
    AdmittedRequest,
    AttemptFailure,
    FailureKind,
    IncomingRequest,
    Outcome,
    Refusal,
    Reject,
    Response,
    Start,
    Ticket,
    Upstream,
    UpstreamAnswer,
)
from peridotspoke.requests.pipeline import RequestPipeline
from peridotspoke.requests.queueing import Dispatcher
from peridotspoke.requests.responses import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    build_answer_response,
    build_refusal_response,
)
from peridotspoke.requests.retrying import (
    Retry,
    RetryBudget,
    compute_attempt_timeout,
    decide_retry,
)
from peridotspoke.requests.routing import RoutingTable, build_routing_table
from peridotspoke.requests.runtimes import RunTimes
from peridotspoke.requests.shares import FixedShares, SlotShares

__all__ = [
    "CLAIMS_PREFIX",
    "OUTCOME_HEADER",
    "REQUEST_ID_HEADER",
    "AdmittedRequest",
    "AnswerDirectory",
    "AnswerState",
    "AttemptFailure",
    "BodyMemory",
    "ClaimRecord",
    "Connection",
    "Dispatcher",
    "ExpiringMap",
    "FailureKind",
    "FairQueue",
    "FixedShares",
    "Forwarder",
    "IdempotentRunner",
    "IdleConnections",
    "IncomingRequest",
    "LeaseBucket",
    "NoAnswerDirectory",
    "Outcome",
    "Refusal",
    "Reject",
    "RememberedAnswer",
    "RequestHistory",
    "RequestPipeline",
    "Response",
    "Retry",
    "RetryBudget",
    "RoutingTable",
    "RunTimes",
    "SlotShares",
    "Start",
    "Ticket",
    "Upstream",
    "UpstreamAnswer",
    "UpstreamHealth",
    "admit_head",
    "admit_request",
    "build_answer_response",
    "build_refusal_response",
    "build_routing_table",
    "choose_upstream",
    "compute_attempt_timeout",
    "decide_retry",
    "filter_answer_headers",
    "fingerprint_request",
    "make_answer_key",
    "make_claim_key",
    "make_upstream_headers",
    "split_target",
]
