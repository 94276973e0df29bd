"""What jobs need, what workers have, and the plan of a round of placing."""

from dataclasses import dataclass, replace

from peridotspoke.jobs.messages import JobSpec

__all__ = [
    "Need",
    "Placement",
    "PlacementPlan",
    "PlacementSettings",
    "QueuedJob",
    "RunningJob",
    "WorkerRoom",
    "shrink_need",
]


@dataclass(frozen=True, slots=True)
class Need:
    """What a job is taken to need; memory in bytes."""

    cores: float
    memory: int
    accelerators: int = 0

    def fits(self, room):
        """Return whether this need fits into `room`, a `Need` that is free."""
        return (
            self.cores <= room.cores + 1e-9
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
        )

    def add(self, other, sign=1):
        """Return the sum with `other`, or the difference where `sign` is -1."""
        return Need(
            self.cores + sign * other.cores,
            self.memory + sign * other.memory,
            self.accelerators + sign * other.accelerators,
        )


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """A job that waits; `avoid` names workers on which it failed.

    `order` is its place in the queue, `not_before` the time from which it may
    start, in seconds.
    """

    job: str
    spec: JobSpec
    need: Need
    order: float
    not_before: float = 0.0
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RunningJob:
    """A job that holds room on a worker.

    `unsaved` is the work in core-seconds that a stop would lose, `leaving` says that
    it has been told to stop, and `full` is what a throttled job needs without the
    throttle.
    """

    job: str
    spec: JobSpec
    need: Need
    worker: str
    unsaved: float = 0.0
    preemptions: int = 0
    leaving: bool = False
    throttled: bool = False
    full: Need | None = None


@dataclass(frozen=True, slots=True)
class WorkerRoom:
    """A worker with its whole size; `usable` says whether jobs may start on it."""

    worker: str
    rack: str
    size: Need
    usable: bool = True


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Bounds of one round of placing.

    Parameters
    ----------
    max_starts : int
        Jobs started in a round.
    max_looks : int
        Jobs of one team that are tried in a round after its first that doesn't fit.
    max_preemptions : int
        Times that a job gives way before it is left alone.
    throttle_share : float
        Share of its cores that a throttled job keeps.
    max_victims : int
        Jobs that give way to one urgent job.
    max_preempting : int
        Urgent jobs for which others give way in a round.
    max_skips : int
        Jobs of one team that are passed over in a round because an earlier one that
        needs no more found no room.
    max_holds : int
        Normal jobs for which room is kept free of jobs that may wait.
    """

    max_starts: int = 64
    max_looks: int = 4
    max_preemptions: int = 3
    throttle_share: float = 0.1
    max_victims: int = 64
    max_preempting: int = 16
    max_skips: int = 256
    max_holds: int = 2


@dataclass(frozen=True, slots=True)
class Placement:
    """A job that starts on a worker."""

    job: str
    worker: str


@dataclass(frozen=True, slots=True)
class PlacementPlan:
    """The decision of one round.

    `stops` are jobs to stop, saving progress where they can; `throttles` are jobs
    to hold to a share of their cores, `restores` are those that get them back;
    `waiting_urgent` counts the urgent jobs that could not start.
    """

    starts: tuple[Placement, ...] = ()
    stops: tuple[str, ...] = ()
    throttles: tuple[str, ...] = ()
    restores: tuple[str, ...] = ()
    waiting_urgent: int = 0


def shrink_need(need, settings):
    """Return the need of a throttled job."""
    return replace(need, cores=need.cores * settings.throttle_share)
