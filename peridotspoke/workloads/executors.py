"""Interface to executors: the orders sent to them and the reports they return."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from peridotspoke.workloads.jobs import Need, TaskKey

__all__ = [
    "EndKind",
    "EndedRun",
    "ExecutorCalls",
    "ExecutorCondition",
    "ExecutorEntry",
    "LeaseRenewal",
    "Refusal",
    "ReportedRun",
    "RunReport",
    "StartAnswer",
    "StartOrder",
    "StopOrder",
    "ThrottleOrder",
    "TicketGrant",
]


class ExecutorCondition(enum.StrEnum):
    """Whether an executor accepts new work."""

    READY = "ready"
    DRAINING = "draining"


class EndKind(enum.StrEnum):
    """How a run ended.

    `DONE` and `FAILED` are outcomes of the task itself. After an end of any other
    kind the task is queued again. `LAPSED` means that the lease on the run expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Refusal(enum.StrEnum):
    """Why an executor rejected an order, which therefore had no effect.

    Attributes
    ----------
    FENCED
        The fencing token is not the latest.
    SUPERSEDED
        This run, or a later one of the task, was stopped or has ended there.
    LATE
        The order came too late for its lease.
    ROOM
        Not enough free capacity.
    TICKET
        No valid ticket.
    OTHER_INCARNATION
        Another executor, or another incarnation of it, answers at this address.
    UNHEALTHY
        The executor cannot serve orders at present.
    INVALID
        The order is malformed or names something unknown.
    """

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
    """An executor's latest registration.

    Parameters
    ----------
    executor_id, pool, address, zone : str
    condition : ExecutorCondition
    capacity : Need
        Total resources of the executor.
    labels : tuple of str
        The last one names the rack.
    incarnation : int
        Start of the current incarnation, Unix time in milliseconds.
    sequence : int
        Sequence number of the registration.
    remaining : float or None, optional
        Minimum time in seconds that a draining executor keeps serving; None if it
        has not announced that it will leave.
    """

    executor_id: str
    pool: str
    address: str
    zone: str
    condition: ExecutorCondition
    capacity: Need
    labels: tuple[str, ...]
    incarnation: int
    sequence: int
    remaining: float | None = None

    @property
    def rack(self):
        """Rack of the executor: its last label, or an empty string without labels."""
        return self.labels[-1] if self.labels else ""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run of a task.

    Parameters
    ----------
    key : TaskKey
    run : int
        Number of the run.
    spec : str
        The job's specification.
    lease_end_ms : int
        End of the lease on the executor's clock, milliseconds.
    fence : int
        Fencing token of the pool's owner.
    checkpoint : str, optional
        Checkpoint to resume from; empty to start from the beginning.
    ticket : str, optional
        Ticket from the advice service; empty if the queue needs none.
    """

    key: TaskKey
    run: int
    spec: str
    lease_end_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run.

    If the start of the run reaches the executor after this order, the executor
    refuses it.

    Parameters
    ----------
    key : TaskKey
    run : int
        Number of the run.
    fence : int
        Fencing token of the pool's owner.
    """

    key: TaskKey
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Order to throttle a run.

    Parameters
    ----------
    key : TaskKey
    run : int
        Number of the run.
    percent : int
        Speed as a percentage of the task's full speed.
    fence : int
        Fencing token of the pool's owner.
    """

    key: TaskKey
    run: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """Request to renew the lease on all runs and to list the runs.

    Parameters
    ----------
    fence : int
        Fencing token of the pool's owner.
    cursor : int
        Number of the last `EndedRun` that the caller has recorded. The executor
        need not report it or earlier ones again.
    lease_end_ms : int or None, optional
        New end of the lease on the executor's clock, milliseconds; None does not
        renew it.
    wait : float, optional
        Long-poll time in seconds: how long the executor may wait for a run to end
        before it answers.
    """

    fence: int
    cursor: int
    lease_end_ms: int | None = None
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class ReportedRun:
    """A run that an executor reports as running.

    Parameters
    ----------
    key : TaskKey
    run : int
        Number of the run.
    checkpoint : str
        Latest checkpoint; empty if there is none.
    percent : int
        Progress of the task.
    load : int, optional
        For a task with a latency target, the tail latency of its answers in
        milliseconds. For any other task, the CPU in use in thousandths of a core.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: int = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """The end of a run.

    Parameters
    ----------
    number : int
        Counts from 1 in each incarnation of the executor.
    key : TaskKey
    run : int
        Number of the run.
    kind : EndKind
    checkpoint : str
        Latest checkpoint; empty if there is none.
    """

    number: int
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class RunReport:
    """An executor's answer to a `LeaseRenewal`.

    Parameters
    ----------
    clock : int
        The executor's clock, milliseconds.
    incarnation : int
        Start of the executor's current incarnation, Unix time in milliseconds.
    running : tuple of ReportedRun, optional
    ended : tuple of EndedRun, optional
        The first ended runs after the cursor of the order.
    has_more_ends : bool, optional
        Whether further runs may have ended. A run that is not listed may then be one of
        them.
    refusal : Refusal or None, optional
        Why the order was rejected; the other fields are then meaningless.
    """

    clock: int
    incarnation: int
    running: tuple[ReportedRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    has_more_ends: bool = False
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class TicketGrant:
    """Tickets of the advice service that allow executors to run a step.

    Parameters
    ----------
    tickets : dict of str to str, optional
        From the identity of an executor that may run the step to its ticket.
    lifetime : float, optional
        Validity of the tickets, seconds.
    """

    tickets: dict[str, str] = field(default_factory=dict)
    lifetime: float = 0.0


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Answer to a `StartOrder`.

    Parameters
    ----------
    refusal : Refusal or None
        None if the start was accepted.
    clock : int or None, optional
        The executor's clock at its answer, milliseconds; None if it is not told.
    """

    refusal: Refusal | None = None
    clock: int | None = None


class ExecutorCalls(ABC):
    """Client of one executor; `address` is the executor's, as ``host:port``.

    Each call raises `PlatformUnavailableError` if it certainly had no effect, and
    `AnswerLostError` if it may have taken effect or may still do so.
    """

    @property
    @abstractmethod
    def address(self):
        """Address that the calls go to."""

    @abstractmethod
    async def start(self, order):
        """Send a `StartOrder` and return the `StartAnswer`."""

    @abstractmethod
    async def stop(self, order):
        """Send a `StopOrder`; return None if accepted, else the `Refusal`."""

    @abstractmethod
    async def throttle(self, order):
        """Send a `ThrottleOrder`; return None if accepted, else the `Refusal`."""

    @abstractmethod
    async def renew_leases(self, order):
        """Send a `LeaseRenewal` and return the `RunReport`."""

    @abstractmethod
    async def close(self):
        """Close the connections to the executor."""
