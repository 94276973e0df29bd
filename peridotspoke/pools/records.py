"""The one record that says which pool an instance belongs to."""

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
    """Where an instance stands on its way through maintenance or a move."""

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
    """What is being done to an instance, in full, so that any controller can go on.

    Parameters
    ----------
    operation : str
        Identity; it also names the entry of the disruption ledger.
    kind : OperationKind
    source, target : str
        The pools before and after; the same but for a move.
    started_by : str
        The controller that began it.
    started_at : float
        Seconds since the Unix epoch.
    deadline : float
        Seconds since the Unix epoch after which a drain that has not ended is
        given back.
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
    """An instance's pool and phase; `epoch` grows by one with each change.

    `incarnation` is the platform's count of the instance's starts, as of the last
    time that it joined; `maintained_at` is when it was last restarted, in seconds
    since the Unix epoch. `operation` is None while the instance serves.
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
    """Return the key of an instance's record."""
    return INSTANCES_PREFIX + instance
