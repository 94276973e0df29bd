"""The typed answers to the requests of callers about jobs."""

import enum
from dataclasses import dataclass

from peridotspoke.workloads.access import KeyFault

__all__ = [
    "Accepted",
    "Conflict",
    "Counted",
    "Invalid",
    "KeyRefused",
    "RefusalCause",
    "Refused",
    "Shown",
    "Unknown",
    "UnknownJob",
    "UnknownQueue",
]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored and will run once, or its cancellation is stored.

    `was_stored` is true if a job with this ID was found where a new one was expected.
    """

    was_stored: bool = False


class RefusalCause(enum.StrEnum):
    """Why a request was refused, as counted in the metrics."""

    STORE_AWAY = "store-away"
    STORE_FAILED = "store-failed"
    CONFIGURATION = "configuration"
    NO_ROOM = "no-room"
    UNPROVED = "unproved"


@dataclass(frozen=True, slots=True)
class Refused:
    """The request had no effect and may be repeated after `retry_after` seconds.

    `overloaded` is true if the pool lacks the capacity to run the job in time, and
    `outage` is the time since the store last served this node, in seconds.
    """

    reason: str
    retry_after: float
    overloaded: bool = False
    cause: RefusalCause = RefusalCause.STORE_FAILED
    outage: float | None = None


@dataclass(frozen=True, slots=True)
class Invalid:
    """The request is malformed or not allowed; it had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The caller has no valid API key; the request had no effect."""

    fault: KeyFault


@dataclass(frozen=True, slots=True)
class Conflict:
    """The ID is that of another workspace's job; the request had no effect."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The outcome is unknown: the request may have an effect, now or later."""

    reason: str


@dataclass(frozen=True, slots=True)
class UnknownQueue:
    """No queue has the host and the prefix of the request."""


@dataclass(frozen=True, slots=True)
class UnknownJob:
    """The job does not exist."""


@dataclass(frozen=True, slots=True)
class Shown:
    """The state of a job."""

    state: str


@dataclass(frozen=True, slots=True)
class Counted:
    """The number of jobs of a queue that wait for their first start."""

    waiting: int
