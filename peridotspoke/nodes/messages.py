"""Messages from the tasks that own connections to a pool's supervisor."""

from dataclasses import dataclass

from peridotspoke.workloads.executors import HoldReport, Refusal, StopOrder
from peridotspoke.workloads.runs import Run

__all__ = [
    "CommitDone",
    "ExecutorLeft",
    "Fenced",
    "ReportArrived",
    "StartAnswered",
    "StartLost",
    "StopAnswered",
    "Unreachable",
]


@dataclass(frozen=True, slots=True)
class ReportArrived:
    """An executor's lists, asked for at the monotonic time `asked_at`."""

    executor_id: str
    report: HoldReport
    asked_at: float


@dataclass(frozen=True, slots=True)
class Unreachable:
    """A call to an executor had no answer."""

    executor_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ExecutorLeft:
    """Another executor answers at the address, or a leaving one has gone."""

    executor_id: str


@dataclass(frozen=True, slots=True)
class Fenced:
    """An executor has seen a higher fence."""

    executor_id: str


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """A start was carried out, or certainly was not."""

    run: Run
    refusal: Refusal | None


@dataclass(frozen=True, slots=True)
class StartLost:
    """A start had no answer."""

    run: Run


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """A stop was answered."""

    executor_id: str
    order: StopOrder


@dataclass(frozen=True, slots=True)
class CommitDone:
    """The runs of a stored batch may start; `number` names its commit."""

    batch: object
    number: int
