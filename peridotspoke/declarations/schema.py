"""The schema of the declarations that operators write.

A file with the key ``service`` declares one service; a file with the key
``deployment`` declares the settings of the deployment. Unknown keys are errors.
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
    """A service's pool.

    Parameters
    ----------
    instances : int
        Initial size of the pool.
    spare : bool
        Whether this is a spare pool, whose executors may serve other services.
    """

    instances: PositiveCount = 8
    spare: bool = False


@dataclass(frozen=True, config=_STRICT)
class NeedDeclaration:
    """The capacity that a service needs.

    Parameters
    ----------
    instances : int
        The declared need.
    quantile : float
        The quantile of the usage that the pool must be able to carry.
    """

    instances: PositiveCount = 4
    quantile: Share = 0.95


@dataclass(frozen=True, config=_STRICT)
class BudgetDeclaration:
    """The availability budget.

    Parameters
    ----------
    max_unavailable : int
        Instances of the pool that may be out of service at once.
    """

    max_unavailable: PositiveCount = 1


@dataclass(frozen=True, config=_STRICT)
class MaintenanceDeclaration:
    """How often and when instances are maintained.

    Parameters
    ----------
    period_days : int
        Days within which each instance is maintained once.
    windows : tuple of str
        Daily periods in which maintenance may run, such as ``20:00-04:00``, UTC.
    duration_minutes : int
        Longest time that one instance is out of service.
    """

    period_days: PositiveCount = 28
    windows: tuple[Window, ...] = ("00:00-23:59",)
    duration_minutes: PositiveCount = 30


@dataclass(frozen=True, config=_STRICT)
class RequestsDeclaration:
    """How a service's requests are handled.

    Parameters
    ----------
    time_limit : float
        The longest time limit that a caller may ask for, seconds.
    queue_limit : int
        Most requests that may wait in one entry instance.
    idempotent_paths : tuple of str
        Path prefixes whose requests are idempotent, whatever their method, and may
        therefore be retried.
    overflow : bool
        Whether executors of a spare pool may serve this service.
    retry_share : float
        Most retries, as a share of the first attempts.
    body_limit : int
        Largest body of a request or a response, bytes.
    key_lifetime : float
        Time for which an Idempotency-Key identifies one request, seconds.
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
    """Which jobs a service accepts and how they run.

    Parameters
    ----------
    classes : tuple of str
        Accepted classes, of ``urgent``, ``normal`` and ``may-wait``; urgent jobs
        start first.
    default_class : str
        The class of a job that doesn't name one.
    most_attempts : int
        Attempts on different workers after which a failing job is set aside and not
        retried.
    time_limit : float
        Longest run time of one attempt, seconds; at most a week.
    """

    classes: tuple[JobClass, ...] = ("urgent", "normal", "may-wait")
    default_class: JobClass = "normal"
    most_attempts: PositiveCount = 3
    time_limit: Annotated[float, Field(gt=0, le=7 * 86400)] = 86400.0


@dataclass(frozen=True, config=_STRICT)
class QuotaDeclaration:
    """What one team's jobs may use at once of the service's workers.

    Parameters
    ----------
    cores, accelerators : int
        Most cores and accelerators in use.
    """

    cores: Count = 0
    accelerators: Count = 0


@dataclass(frozen=True, config=_STRICT)
class ServiceDeclaration:
    """The declaration of one service.

    Parameters
    ----------
    service : str
        The service's name.
    pool : PoolDeclaration
    need : NeedDeclaration
    budget : BudgetDeclaration
    maintenance : MaintenanceDeclaration
    requests : RequestsDeclaration
    jobs : JobsDeclaration
    quota : dict of str to QuotaDeclaration
        By the team's name.
    """

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
    """Relative costs by which capacity plans are compared.

    Parameters
    ----------
    buffer : float
        Cost of an idle instance for one hour.
    move : float
        Cost of moving an instance to another pool.
    """

    buffer: Annotated[float, Field(ge=0)] = 1.0
    move: Annotated[float, Field(ge=0)] = 0.25


@dataclass(frozen=True, config=_STRICT)
class DeploymentDeclaration:
    """Settings of the whole deployment.

    Parameters
    ----------
    deployment : str
        The deployment's name.
    weights : WeightsDeclaration
    view_bound : float
        Greatest age of the view at which upstreams of another zone may still be
        used, seconds. A view is checked about every 1.5 s; the minimum of 4 s
        tolerates one lost check.
    """

    deployment: Name
    weights: WeightsDeclaration = field(default_factory=WeightsDeclaration)
    view_bound: Annotated[float, Field(ge=4, le=3600)] = 5.0
