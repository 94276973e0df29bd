"""Messages, interface and HTTP client of workers, which run tasks under leases."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp
import msgspec

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import (
    AnswerLostError,
    MalformedDataError,
    PlatformError,
    PlatformUnavailableError,
)

__all__ = [
    "EndTasks",
    "Exchange",
    "HttpWorker",
    "StartTask",
    "TaskEnd",
    "TaskLoad",
    "TaskOutcome",
    "TaskStop",
    "ThrottleTasks",
    "Worker",
    "WorkerReport",
]

HTTP_OK = 200


class TaskOutcome(enum.StrEnum):
    """How a task ended.

    Attributes
    ----------
    FINISHED, FAILED
        The command completed, or it failed.
    REFUSED
        The task has never run, and the worker will never start it.
    STOPPED, CHECKPOINTED
        The task was stopped on request, without or with a checkpoint.
    LAPSED
        The lease of the task expired while it ran.
    LOST
        The worker has restarted since; whether the task ran is unknown.
    """

    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LAPSED = "lapsed"
    LOST = "lost"


class TaskStop(enum.StrEnum):
    """How a worker ends a task: without or with a checkpoint."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"


@dataclass(frozen=True, slots=True)
class StartTask:
    """Request to start a task.

    Parameters
    ----------
    task : str
        Identity of the attempt, which the worker runs at most once.
    incarnation : int
        Incarnation of the worker that the request is for; another one does not run
        the task.
    start_by : float
        Time by the worker's clock, in seconds, after which it does not start the task.
    lease_ttl : float
        Seconds that the task runs without a renewal of its lease.
    command : tuple of str
    cores : float
    memory : int
        Bytes.
    accelerators : int
    checkpoint : str, optional
        Checkpoint from which the task continues; empty for none.
    """

    task: str
    incarnation: int
    start_by: float
    lease_ttl: float
    command: tuple[str, ...]
    cores: float
    memory: int
    accelerators: int
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class EndTasks:
    """Request to end tasks, and never to start those that the worker doesn't know.

    Parameters
    ----------
    tasks : tuple of str
    incarnation : int
        Incarnation of the worker that the request is for.
    how : TaskStop
    start_by : float
        The latest `start_by` of the tasks, in seconds by the worker's clock. After
        that time the worker may forget tasks that it doesn't know.
    """

    tasks: tuple[str, ...]
    incarnation: int
    how: TaskStop
    start_by: float


@dataclass(frozen=True, slots=True)
class ThrottleTasks:
    """Request to limit tasks to `cores` cores each.

    Parameters
    ----------
    tasks : tuple of str
    cores : float
    """

    tasks: tuple[str, ...]
    cores: float


@dataclass(frozen=True, slots=True)
class Exchange:
    """Request to renew leases, to acknowledge ended tasks and to report.

    Parameters
    ----------
    renewed : tuple of str, optional
        Tasks whose leases are renewed.
    confirmed : tuple of str, optional
        Ended tasks that the worker need not report again.
    lease_ttl : float, optional
        New term of the renewed leases in seconds.
    wait : float, optional
        Longest time in seconds that the worker waits for a task to end before it
        answers. If it has ended tasks to report, it answers at once.
    """

    renewed: tuple[str, ...] = ()
    confirmed: tuple[str, ...] = ()
    lease_ttl: float = 60.0
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskLoad:
    """A running task with its usage, whose measurement lags.

    Parameters
    ----------
    task : str
    cores : float
        Cores in use.
    memory : int
        Bytes in use.
    run_time : float
        Seconds that the task has run.
    """

    task: str
    cores: float
    memory: int
    run_time: float


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """The end of a task, which the worker reports until it is confirmed.

    Parameters
    ----------
    task : str
    outcome : TaskOutcome
    reason : str, optional
    run_time : float, optional
        Seconds that the task ran.
    checkpoint : str, optional
        Checkpoint that the task saved; empty for none.
    """

    task: str
    outcome: TaskOutcome
    reason: str = ""
    run_time: float = 0.0
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """State of a worker.

    Parameters
    ----------
    worker : str
    incarnation : int
    clock : float
        Time of the report in seconds, by the worker's clock.
    running : tuple of TaskLoad, optional
    ended : tuple of TaskEnd, optional
        Ended tasks that have not been confirmed.
    """

    worker: str
    incarnation: int
    clock: float
    running: tuple[TaskLoad, ...] = ()
    ended: tuple[TaskEnd, ...] = ()


class Worker(ABC):
    """Interface of a worker that runs tasks under leases.

    Every method raises `PlatformUnavailableError` if the call certainly had no
    effect and `AnswerLostError` if it may have had one. All calls are idempotent.
    """

    @abstractmethod
    async def start_task(self, start):
        """Start a task; return None, or its `TaskEnd` if it has ended or cannot run."""

    @abstractmethod
    async def end_tasks(self, end):
        """End tasks and return a tuple with the `TaskEnd` of each."""

    @abstractmethod
    async def throttle_tasks(self, throttle):
        """Limit tasks to a number of cores each."""

    @abstractmethod
    async def exchange(self, exchange):
        """Renew leases, confirm ended tasks and return a `WorkerReport`."""


class HttpWorker(Worker):
    """Client of a worker over HTTP.

    Parameters
    ----------
    address : str
        IP address and port.
    timeout : float
        Timeout of one call in seconds, to which `Exchange.wait` is added.
    session : aiohttp.ClientSession
        Closed by the caller.
    """

    def __init__(self, address, timeout, session):
        self._address = address
        self._timeout = timeout
        self._session = session

    async def start_task(self, start):
        """Start a task; return None, or its `TaskEnd` if it has ended or cannot run."""
        return await self._call("start", start, TaskEnd | None)

    async def end_tasks(self, end):
        """End tasks and return a tuple with the `TaskEnd` of each."""
        return await self._call("end", end, tuple[TaskEnd, ...])

    async def throttle_tasks(self, throttle):
        """Limit tasks to a number of cores each."""
        await self._call("throttle", throttle, None)

    async def exchange(self, exchange):
        """Renew leases, confirm ended tasks and return a `WorkerReport`."""
        return await self._call("exchange", exchange, WorkerReport, exchange.wait)

    async def _call(self, method, message, answer_class, wait=0.0):
        limit = aiohttp.ClientTimeout(total=self._timeout + wait, connect=self._timeout)
        try:
            async with self._session.post(
                f"http://{self._address}/tasks/{method}",
                data=msgspec.json.encode(message),
                timeout=limit,
            ) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise PlatformUnavailableError(
                repr(error), step=method, peer=self._address
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise AnswerLostError(
                f"no answer: {error!r}", step=method, peer=self._address
            ) from error
        if status != HTTP_OK:
            raise AnswerLostError(
                f"expected status 200, found {status}", step=method, peer=self._address
            )
        try:
            return decode_json(body, answer_class)
        except MalformedDataError as error:
            raise PlatformError(str(error), step=method, peer=self._address) from error
