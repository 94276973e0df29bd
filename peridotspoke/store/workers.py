"""The interface of the platform's workers, which run tasks under leases."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp
import msgspec

from peridotspoke.exceptions import (
    AnswerLostError,
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

    After ``refused`` the task has never run and the worker never begins it. After
    ``lost`` the worker has restarted since, and whether the task ran is not known.
    """

    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LAPSED = "lapsed"
    LOST = "lost"


class TaskStop(enum.StrEnum):
    """How a task is to be ended."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"


@dataclass(frozen=True, slots=True)
class StartTask:
    """Asks a worker to run a task.

    `task` is the attempt's identity, which the worker runs at most once. The worker
    refuses it where its incarnation differs or its clock has passed `start_by`.
    `lease_ttl` is how long, in seconds, the task runs without a renewal; `memory`
    is in bytes.
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
    """Asks a worker to end tasks and never to begin those it doesn't know.

    `start_by` is the latest of the tasks, after which the worker may forget them.
    """

    tasks: tuple[str, ...]
    incarnation: int
    how: TaskStop
    start_by: float


@dataclass(frozen=True, slots=True)
class ThrottleTasks:
    """Asks a worker to hold tasks to `cores` each."""

    tasks: tuple[str, ...]
    cores: float


@dataclass(frozen=True, slots=True)
class Exchange:
    """Renews leases of tasks, confirms ends, and asks for a report.

    The worker answers at once where a task has ended, else after `wait` seconds.
    """

    renewed: tuple[str, ...] = ()
    confirmed: tuple[str, ...] = ()
    lease_ttl: float = 60.0
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskLoad:
    """A running task with its measured usage, which lags; memory in bytes."""

    task: str
    cores: float
    memory: int
    run_time: float


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """How a task ended; told until it is confirmed."""

    task: str
    outcome: TaskOutcome
    reason: str = ""
    run_time: float = 0.0
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker says of itself at its own time `clock`, in seconds."""

    worker: str
    incarnation: int
    clock: float
    running: tuple[TaskLoad, ...] = ()
    ended: tuple[TaskEnd, ...] = ()


class Worker(ABC):
    """A worker that runs tasks under leases.

    Every method raises `PlatformUnavailableError` where the call certainly had no
    effect and `AnswerLostError` where it may have had one. All calls may be
    repeated.
    """

    @abstractmethod
    async def start_task(self, start):
        """Run a task and return None, or the `TaskEnd` of one that has ended."""

    @abstractmethod
    async def end_tasks(self, end):
        """End tasks and return a tuple with the `TaskEnd` of each."""

    @abstractmethod
    async def throttle_tasks(self, throttle):
        """Hold tasks to a number of cores."""

    @abstractmethod
    async def exchange(self, exchange):
        """Renew leases and return a `WorkerReport`."""


class HttpWorker(Worker):
    """A worker over HTTP.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout : float
        Limit of one call in seconds, without the time that a call asks to wait.
    session : aiohttp.ClientSession
        Owned by the caller.
    """

    def __init__(self, address, timeout, session):
        self._address = address
        self._timeout = timeout
        self._session = session

    async def start_task(self, start):
        """Run a task and return None, or the `TaskEnd` of one that has ended."""
        return await self._call("start", start, TaskEnd | None)

    async def end_tasks(self, end):
        """End tasks and return a tuple with the `TaskEnd` of each."""
        return await self._call("end", end, tuple[TaskEnd, ...])

    async def throttle_tasks(self, throttle):
        """Hold tasks to a number of cores."""
        await self._call("throttle", throttle, None)

    async def exchange(self, exchange):
        """Renew leases and return a `WorkerReport`."""
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
            return msgspec.json.decode(body, type=answer_class)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise PlatformError(str(error), step=method, peer=self._address) from error
