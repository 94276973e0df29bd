"""Resources of jobs and workers, and the input and result of a placement round."""

from dataclasses import dataclass, replace

from peridotspoke.jobs.messages import JobSpec

__all__ = [
    "Placement",
    "PlacementPlan",
    "PlacementSettings",
    "QueuedJob",
    "Resources",
    "RunningJob",
    "WorkerCapacity",
    "shrink_need",
]


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a job needs or a worker has.

    Parameters
    ----------
    cores : float
    memory : int
        Bytes.
    accelerators : int
    """

    cores: float
    memory: int
    accelerators: int = 0

    def fits(self, available):
        """Return whether these resources fit into `available`, also `Resources`."""
        return (
            self.cores <= available.cores + 1e-9
            and self.memory <= available.memory
            and self.accelerators <= available.accelerators
        )

    def add(self, other, sign=1):
        """Return the sum with `other`, or the difference if `sign` is -1."""
        return Resources(
            self.cores + sign * other.cores,
            self.memory + sign * other.memory,
            self.accelerators + sign * other.accelerators,
        )


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """A job that waits for a worker.

    Parameters
    ----------
    job : str
        Identifier of the job.
    spec : JobSpec
    need : Resources
        Estimated need.
    order : float
        Sort key in the queue of the job's team; the smallest goes first.
    not_before : float
        Earliest time at which the job may start, in seconds.
    avoid : tuple of str
        Workers on which the job failed.
    """

    job: str
    spec: JobSpec
    need: Resources
    order: float
    not_before: float = 0.0
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RunningJob:
    """A job that occupies resources of a worker.

    Parameters
    ----------
    job : str
        Identifier of the job.
    spec : JobSpec
    need : Resources
        Resources that the job occupies now.
    worker : str
    unsaved : float
        Work that a stop without a checkpoint would lose, in core-seconds.
    preemptions : int
        Number of times that the job was preempted.
    stopping : bool
        Whether the job was told to stop.
    throttled : bool
    full : Resources or None
        Resources without throttling.
    """

    job: str
    spec: JobSpec
    need: Resources
    worker: str
    unsaved: float = 0.0
    preemptions: int = 0
    stopping: bool = False
    throttled: bool = False
    full: Resources | None = None


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """The capacity of a worker.

    Parameters
    ----------
    worker : str
    rack : str
    size : Resources
        Total resources, free or not.
    usable : bool
        Whether jobs may start on the worker.
    """

    worker: str
    rack: str
    size: Resources
    usable: bool = True


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Limits of one placement round.

    Parameters
    ----------
    max_starts : int
        Maximum number of jobs started in a round.
    max_failed_tries : int
        Number of failed attempts to place a job of one team and class after which
        the team is not considered again in the round.
    max_preemptions : int
        Number of preemptions after which a job is not preempted again.
    throttle_share : float
        Share of its cores that a throttled job keeps.
    max_victims : int
        Maximum number of jobs preempted for one urgent job.
    max_preempting : int
        Maximum number of urgent jobs for which others are preempted in a round.
    max_skips : int
        Maximum number of jobs of one team that are skipped in a row because an
        earlier job with no larger need did not fit.
    max_reservations : int
        Maximum number of normal jobs for which resources are reserved against jobs
        that may wait.
    """

    max_starts: int = 64
    max_failed_tries: int = 4
    max_preemptions: int = 3
    throttle_share: float = 0.1
    max_victims: int = 64
    max_preempting: int = 16
    max_skips: int = 256
    max_reservations: int = 2


@dataclass(frozen=True, slots=True)
class Placement:
    """The decision to start a job on a worker."""

    job: str
    worker: str


@dataclass(frozen=True, slots=True)
class PlacementPlan:
    """The decisions of one placement round; jobs are given by identifier.

    Parameters
    ----------
    starts : tuple of Placement
    stops : tuple of str
        Jobs to stop, with a checkpoint if they support it.
    throttles : tuple of str
        Jobs to limit to a share of their cores.
    restores : tuple of str
        Throttled jobs to give their full cores again.
    waiting_urgent : int
        Number of urgent jobs that could not be placed.
    """

    starts: tuple[Placement, ...] = ()
    stops: tuple[str, ...] = ()
    throttles: tuple[str, ...] = ()
    restores: tuple[str, ...] = ()
    waiting_urgent: int = 0


def shrink_need(need, settings):
    """Return the `Resources` that remain of `need` when a job is throttled."""
    return replace(need, cores=need.cores * settings.throttle_share)
