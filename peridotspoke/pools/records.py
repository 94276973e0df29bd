"""Instance records, the only source of which pool an instance belongs to."""

import enum
from dataclasses import dataclass

__all__ = [
    "INSTANCES_PREFIX",
    "InstanceRecord",
    "Operation",
    "OperationKind",
    "Phase",
    "key_instance",
]

INSTANCES_PREFIX = "instances/"


class Phase(enum.StrEnum):
    """The phase of an instance.

    Maintenance goes from serving through draining, empty, rebooting and joining
    back to serving. A move skips rebooting. Only a serving instance has no
    operation.
    """

    SERVING = "serving"
    DRAINING = "draining"
    EMPTY = "empty"
    REBOOTING = "rebooting"
    JOINING = "joining"


class OperationKind(enum.StrEnum):
    """Why an instance is out of service."""

    MAINTENANCE = "maintenance"
    MOVE = "move"
    REPAIR = "repair"
    FAILURE = "failure"


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation on an instance, complete enough for any controller to continue it.

    Parameters
    ----------
    operation : str
        Id of the operation, also used for its entry in the disruption ledger.
    kind : OperationKind
    source, target : str
        The pool before and after the operation. They differ only for a move.
    started_by : str
        Name of the controller that began it.
    started_at : float
        Seconds since the Unix epoch.
    deadline : float
        Time after which an unfinished drain is cancelled, in seconds since the Unix
        epoch.
    """

    operation: str
    kind: OperationKind
    source: str
    target: str
    started_by: str
    started_at: float
    deadline: float


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """The pool and phase of an instance.

    Parameters
    ----------
    instance, pool : str
    phase : Phase
    epoch : int
        Incremented by one with each change of the record.
    zone, rack : str
        Where the instance is located.
    operation : Operation or None
        None while the instance is serving.
    incarnation : int
        The platform's count of the instance's starts when it last joined a pool or
        restarted without an operation.
    maintained_at : float
        Time of its last restart by an operation, in seconds since the Unix epoch;
        if there was none, the time of its adoption.
    """

    instance: str
    pool: str
    phase: Phase
    epoch: int
    zone: str = ""
    rack: str = ""
    operation: Operation | None = None
    incarnation: int = 0
    maintained_at: float = 0.0


def key_instance(instance):
    """Return the store key of an instance's record."""
    return INSTANCES_PREFIX + instance
