"""The interface of machines: which pool each is in, moves and maintenance."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from peridotspoke.workloads.jobs import Need

__all__ = ["Machine", "MachineCalls", "MachineRefusal", "MachineState", "Token"]


class MachineState(enum.StrEnum):
    """What a machine is doing."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class MachineRefusal(enum.StrEnum):
    """Why an order for a machine had no effect."""

    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other-wave"
    INVALID = "invalid"
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine with the executor that it runs; empty while there is none."""

    name: str
    pool: str
    state: MachineState
    zone: str
    labels: tuple[str, ...]
    capacity: Need
    executor_id: str

    @property
    def rack(self):
        """The label that names the machine's rack: the last one."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class Token:
    """Who orders, and the fence of the right to do so."""

    holder: str
    fence: int


class MachineCalls(ABC):
    """Calls about machines; errors are those of `ExecutorCalls`."""

    @abstractmethod
    async def list(self):
        """Return all `Machine` objects as a tuple."""

    @abstractmethod
    async def move(self, machine, pool, token):
        """Move a machine to a pool; return None, or the `MachineRefusal`."""

    @abstractmethod
    async def maintain(self, machine, wave, token):
        """Begin a machine's maintenance; return None, or the `MachineRefusal`."""
