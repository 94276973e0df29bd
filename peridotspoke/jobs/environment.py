"""Settings, pools and dependencies of a controller's job supervision."""

from collections.abc import Callable
from dataclasses import dataclass, field

from peridotspoke.jobs.needs import WorkerCapacity
from peridotspoke.jobs.settings import BoardSettings

__all__ = ["JobPoolView", "JobsEnvironment", "JobsSettings"]


@dataclass(frozen=True, slots=True)
class JobsSettings:
    """Settings of a controller's job supervision; times are in seconds.

    Parameters
    ----------
    author : str
        Name of the controller, which is stored as the author of its changes.
    round_interval : float
        Maximum time between two rounds of a pool.
    round_gap : float
        Minimum time between two rounds of a pool.
    retention : float
        Time for which a batch is kept after its jobs have ended. Its idempotency
        key is recognised until then.
    retry_interval : float
        Maximum delay after the first failed exchange with a worker. It doubles with
        each further failure.
    board : BoardSettings
    """

    author: str
    round_interval: float = 0.5
    round_gap: float = 0.05
    retention: float = 3600.0
    retry_interval: float = 1.0
    board: BoardSettings = field(default_factory=BoardSettings)


@dataclass(frozen=True, slots=True)
class JobPoolView:
    """The workers and quotas of a pool.

    Parameters
    ----------
    workers : tuple of WorkerCapacity
    addresses : dict of str to str
        Address of each worker.
    quotas : dict of str to Resources
        Quota of each team.
    """

    workers: tuple[WorkerCapacity, ...]
    addresses: dict[str, str]
    quotas: dict


@dataclass(frozen=True, slots=True)
class JobsEnvironment:
    """Dependencies shared by the supervisors of all pools.

    Parameters
    ----------
    service : KeyValueService
    clock : Clock
    random : random.Random
    make_worker : callable
        Returns a `Worker` for an address.
    holds_lease : callable
        Returns whether the controller holds its lease.
    request_removal : callable
        Coroutine function that receives each `TakeOutWorker`.
    """

    service: object
    clock: object
    random: object
    make_worker: Callable
    holds_lease: Callable
    request_removal: Callable
