"""Settings, pools and dependencies of a controller's job supervision."""

from collections.abc import Callable
from dataclasses import dataclass, field

from peridotspoke.jobs.needs import WorkerRoom
from peridotspoke.jobs.settings import BoardSettings

__all__ = ["JobsEnvironment", "JobsSettings", "PoolView"]


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
class PoolView:
    """The workers and quotas of a pool.

    Parameters
    ----------
    rooms : tuple of WorkerRoom
    addresses : dict of str to str
        Address of each worker.
    quotas : dict of str to Need
        Quota of each team.
    """

    rooms: tuple[WorkerRoom, ...]
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
    may_act : callable
        Returns whether the controller holds its lease.
    take_out : callable
        Coroutine function that receives each `TakeOutWorker`.
    """

    service: object
    clock: object
    random: object
    make_worker: Callable
    may_act: Callable
    take_out: Callable
