"""Interface to machines: listing them, moving them between pools, maintenance."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from peridotspoke.workloads.jobs import Need

__all__ = ["Machine", "MachineCalls", "MachineRefusal", "MachineState", "Token"]


class MachineState(enum.StrEnum):
    """Operational state of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class MachineRefusal(enum.StrEnum):
    """Why an order for a machine was rejected, without any effect."""

    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other-wave"
    INVALID = "invalid"
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine and the executor on it.

    Parameters
    ----------
    name, pool : str
    state : MachineState
    zone : str
        Availability zone.
    labels : tuple of str
        The last one names the rack.
    capacity : Need
        Total resources of the machine.
    executor_id : str
        Identity of the executor that runs on it; empty if there is none.
    """

    name: str
    pool: str
    state: MachineState
    zone: str
    labels: tuple[str, ...]
    capacity: Need
    executor_id: str

    @property
    def rack(self):
        """Rack of the machine: its last label, or an empty string without labels."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class Token:
    """Identifies the sender of an order as the holder of the lease on the fleet.

    Parameters
    ----------
    holder : str
        Name of the node.
    fence : int
        Fencing token of the lease.
    """

    holder: str
    fence: int


class MachineCalls(ABC):
    """Client of the machine service; raises the same errors as `ExecutorCalls`."""

    @abstractmethod
    async def list(self):
        """Return a tuple of `Machine`, one for each machine of the fleet."""

    @abstractmethod
    async def move(self, machine, pool, token):
        """Order a machine's move to a pool.

        Return None if the order was accepted, else the `MachineRefusal`.

        Parameters
        ----------
        machine, pool : str
        token : Token
        """

    @abstractmethod
    async def maintain(self, machine, wave, token):
        """Order the start of a machine's maintenance in a wave.

        Return None if the order was accepted, else the `MachineRefusal`.

        Parameters
        ----------
        machine : str
        wave : int
            Number of the maintenance wave.
        token : Token
        """
