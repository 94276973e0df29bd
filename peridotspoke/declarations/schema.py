"""The form of the operators' declarations.

A file declares one service (it has the key ``service``) or the deployment (it has
the key ``deployment``). Unknown keys are errors.
"""

from dataclasses import field
from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

__all__ = [
    "BudgetDeclaration",
    "DeploymentDeclaration",
    "JobsDeclaration",
    "MaintenanceDeclaration",
    "NeedDeclaration",
    "PoolDeclaration",
    "QuotaDeclaration",
    "RequestsDeclaration",
    "ServiceDeclaration",
    "WeightsDeclaration",
]

_STRICT = ConfigDict(extra="forbid")

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Count = Annotated[int, Field(ge=0, strict=True)]
PositiveCount = Annotated[int, Field(ge=1, strict=True)]
Seconds = Annotated[float, Field(gt=0, le=3600)]
Share = Annotated[float, Field(gt=0, le=1)]
Window = Annotated[
    str, Field(pattern=r"^([01]\d|2[0-3]):[0-5]\d-([01]\d|2[0-3]):[0-5]\d$")
]


@dataclass(frozen=True, config=_STRICT)
class PoolDeclaration:
    """The pool's size at the start and whether it is the spare."""

    instances: PositiveCount = 8
    spare: bool = False


@dataclass(frozen=True, config=_STRICT)
class NeedDeclaration:
    """The declared need, in instances, and the quantile of use that must fit."""

    instances: PositiveCount = 4
    quantile: Share = 0.95


@dataclass(frozen=True, config=_STRICT)
class BudgetDeclaration:
    """The availability budget: how many instances may be out at once."""

    max_unavailable: PositiveCount = 1


@dataclass(frozen=True, config=_STRICT)
class MaintenanceDeclaration:
    """How often each instance is maintained, and when, in UTC times of day.

    `duration_minutes` is the longest time that one instance is out.
    """

    period_days: PositiveCount = 28
    windows: tuple[Window, ...] = ("00:00-23:59",)
    duration_minutes: PositiveCount = 30


@dataclass(frozen=True, config=_STRICT)
class RequestsDeclaration:
    """How requests are served.

    Parameters
    ----------
    time_limit : float
        The longest time limit that a caller may ask for, seconds.
    queue_limit : int
        Requests that may wait in one entry instance.
    idempotent_paths : tuple of str
        Path prefixes whose requests may run more than once whatever the method.
    overflow : bool
        Whether the spare's executors may serve this service.
    retry_share : float
        Retries allowed as a share of first tries.
    body_limit : int
        Largest body of a request or an answer, bytes.
    key_lifetime : float
        Time for which an Idempotency-Key names one request, seconds.
    """

    time_limit: Seconds = 10.0
    queue_limit: PositiveCount = 256
    idempotent_paths: tuple[str, ...] = ()
    overflow: bool = False
    retry_share: Share = 0.1
    body_limit: PositiveCount = 1 << 20
    key_lifetime: Seconds = 600.0


JobClass = Literal["urgent", "normal", "may-wait"]


@dataclass(frozen=True, config=_STRICT)
class JobsDeclaration:
    """Which classes of jobs a service takes.

    Parameters
    ----------
    classes : tuple of str
        ``urgent``, ``normal`` and ``may-wait``; urgent jobs start first.
    default_class : str
        The class of a job that names none.
    most_attempts : int
        Starts on different workers after which a failing job is set aside.
    time_limit : float
        Longest run of one attempt, seconds.
    """

    classes: tuple[JobClass, ...] = ("urgent", "normal", "may-wait")
    default_class: JobClass = "normal"
    most_attempts: PositiveCount = 3
    time_limit: Annotated[float, Field(gt=0, le=7 * 86400)] = 86400.0


@dataclass(frozen=True, config=_STRICT)
class QuotaDeclaration:
    """What one team may hold at once of the service's workers."""

    cores: Count = 0
    accelerators: Count = 0


@dataclass(frozen=True, config=_STRICT)
class ServiceDeclaration:
    """One service: its pool, need, budget, maintenance, requests, jobs and quotas."""

    service: Name
    pool: PoolDeclaration = field(default_factory=PoolDeclaration)
    need: NeedDeclaration = field(default_factory=NeedDeclaration)
    budget: BudgetDeclaration = field(default_factory=BudgetDeclaration)
    maintenance: MaintenanceDeclaration = field(default_factory=MaintenanceDeclaration)
    requests: RequestsDeclaration = field(default_factory=RequestsDeclaration)
    jobs: JobsDeclaration = field(default_factory=JobsDeclaration)
    quota: dict[Name, QuotaDeclaration] = field(default_factory=dict)


@dataclass(frozen=True, config=_STRICT)
class WeightsDeclaration:
    """What an idle instance-hour and a move cost, relative to each other."""

    buffer: Annotated[float, Field(ge=0)] = 1.0
    move: Annotated[float, Field(ge=0)] = 0.25


@dataclass(frozen=True, config=_STRICT)
class DeploymentDeclaration:
    """What holds for the whole deployment.

    `view_bound` is how old a view may be on which another zone's upstreams are
    used, seconds. A view is checked about each 1.5 s; the least bound leaves room
    for one lost check.
    """

    deployment: Name
    weights: WeightsDeclaration = field(default_factory=WeightsDeclaration)
    view_bound: Annotated[float, Field(ge=4, le=3600)] = 5.0
