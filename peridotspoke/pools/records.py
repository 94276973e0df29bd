"""The one record that says which pool an instance belongs to."""

import enum
from dataclasses import dataclass

__all__ = ["INSTANCES_PREFIX", "InstanceRecord", "Phase", "key_instance"]

INSTANCES_PREFIX = "instances/"


class Phase(enum.StrEnum):
    """Where an instance stands on its way through maintenance or a move."""

    SERVING = "serving"
    DRAINING = "draining"
    EMPTY = "empty"
    REBOOTING = "rebooting"
    JOINING = "joining"


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An instance's pool and phase; `epoch` grows with each change."""

    instance: str
    pool: str
    phase: Phase
    epoch: int
    zone: str = ""
    rack: str = ""


def key_instance(instance):
    """Return the key of an instance's record."""
    return INSTANCES_PREFIX + instance
