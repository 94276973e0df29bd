"""Messages to a pool's supervisor.

They are posted by the executor sessions and by the tasks that store progress.
"""

from dataclasses import dataclass

from peridotspoke.workloads.executors import Refusal, RunReport, StopOrder
from peridotspoke.workloads.runs import Run

__all__ = [
    "CommitDone",
    "ExecutorCallFailed",
    "ExecutorLeft",
    "Fenced",
    "ReportArrived",
    "StartAnswered",
    "StartLost",
    "StopAnswered",
]


@dataclass(frozen=True, slots=True)
class ReportArrived:
    """An executor reported its running and ended tasks.

    Parameters
    ----------
    executor_id : str
    report : RunReport
    asked_at : float
        When the report was requested, monotonic seconds.
    fence : int
        Fencing token of the request.
    """

    executor_id: str
    report: RunReport
    asked_at: float
    fence: int


@dataclass(frozen=True, slots=True)
class ExecutorCallFailed:
    """A call to an executor failed or was refused; `reason` says why."""

    executor_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ExecutorLeft:
    """An executor is gone, as another one answers at its address.

    An executor that is not listed and accepts no connection may be cut off and go on
    with its runs until their leases end.

    Parameters
    ----------
    executor_id : str
    address : str
        The address at which the other executor answered.
    incarnation : int or None, optional
        The incarnation that was known as the call was sent; None if any is meant.
    """

    executor_id: str
    address: str
    incarnation: int | None = None


@dataclass(frozen=True, slots=True)
class Fenced:
    """An executor refused a call, since it has seen a higher fencing token."""

    executor_id: str


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """The outcome of a start is certain.

    The run was started if `refusal` is None, and was not started otherwise.

    Parameters
    ----------
    run : Run
    refusal : Refusal or None
    by_known_incarnation : bool, optional
        Whether the incarnation that the owner knows has started it; False if a later
        one may have.
    """

    run: Run
    refusal: Refusal | None
    by_known_incarnation: bool = False


@dataclass(frozen=True, slots=True)
class StartLost:
    """A start had no answer; the run may have been started."""

    run: Run


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """An executor answered a stop order; `refusal` is None if it accepted it.

    `incarnation` is the one that the order was sent to; None if any is meant.
    """

    executor_id: str
    order: StopOrder
    refusal: Refusal | None = None
    incarnation: int | None = None


@dataclass(frozen=True, slots=True)
class CommitDone:
    """A batch of progress is stored, and its runs may start.

    `number` identifies the commit.
    """

    batch: object
    number: int
