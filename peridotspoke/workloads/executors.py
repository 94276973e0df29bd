"""The interface of executors: what is ordered of them and what they report."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from peridotspoke.workloads.jobs import Need, TaskKey

__all__ = [
    "Condition",
    "EndKind",
    "EndedRun",
    "ExecutorCalls",
    "ExecutorEntry",
    "HeldRun",
    "HoldOrder",
    "HoldReport",
    "PaceOrder",
    "Refusal",
    "StartOrder",
    "StopOrder",
    "TicketGrant",
]


class Condition(enum.StrEnum):
    """Whether an executor takes work."""

    READY = "ready"
    DRAINING = "draining"


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Refusal(enum.StrEnum):
    """Why an executor certainly did not carry out an order."""

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    OTHER_INCARNATION = "other-incarnation"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class ExecutorEntry:
    """What an executor last said of itself.

    `born` is the start of its present life, Unix milliseconds. `remaining` is the
    least time that a draining executor still serves, seconds, or None.
    """

    executor_id: str
    pool: str
    address: str
    zone: str
    condition: Condition
    capacity: Need
    labels: tuple[str, ...]
    born: int
    sequence: int
    remaining: float | None = None

    @property
    def rack(self):
        """The label that names the executor's rack: the last one."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts a run; `until` is on the executor's clock, milliseconds."""

    key: TaskKey
    run: int
    spec: str
    until: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stops a run; a run that has not arrived yet will be refused."""

    key: TaskKey
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Lets a task work at `percent` of its speed."""

    key: TaskKey
    run: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Extends the lease on all that runs and asks for the lists of runs.

    `until` is on the executor's clock, milliseconds; None extends nothing.
    `cursor` is the last end that is taken note of. `wait` is how long the executor
    may wait for an end, seconds.
    """

    fence: int
    cursor: int
    until: int | None = None
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class HeldRun:
    """A run that an executor lists as running.

    `load` is the tail of answers in milliseconds for a task with a target, and the
    thousandths of a core in use for any other.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: int = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run's end, numbered from 1 in each life of the executor."""

    number: int
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldReport:
    """An executor's lists of runs, with its clock in milliseconds."""

    clock: int
    born: int
    running: tuple[HeldRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class TicketGrant:
    """The tickets of the executors that may run a step, and their life, seconds."""

    tickets: dict[str, str] = field(default_factory=dict)
    life: float = 0.0


class ExecutorCalls(ABC):
    """Calls to one executor.

    Each raises `PlatformUnavailableError` where the call certainly had no effect and
    `AnswerLostError` where it may have, or may still have, one.
    """

    @abstractmethod
    async def start(self, order):
        """Carry out a `StartOrder`; return None, or the `Refusal`."""

    @abstractmethod
    async def stop(self, order):
        """Carry out a `StopOrder`; return None, or the `Refusal`."""

    @abstractmethod
    async def pace(self, order):
        """Carry out a `PaceOrder`; return None, or the `Refusal`."""

    @abstractmethod
    async def hold(self, order):
        """Carry out a `HoldOrder` and return the `HoldReport`."""

    @abstractmethod
    async def close(self):
        """Close the connections."""
