"""What the job tasks of a controller are given: settings, pools and callables."""

from collections.abc import Callable
from dataclasses import dataclass, field

from peridotspoke.jobs.needs import WorkerRoom
from peridotspoke.jobs.settings import BoardSettings

__all__ = ["JobsEnvironment", "JobsSettings", "PoolView"]


@dataclass(frozen=True, slots=True)
class JobsSettings:
    """Settings of a controller's job tasks; times in seconds.

    Parameters
    ----------
    author : str
        The controller's name, the author of its changes.
    round_interval : float
        Longest time between two rounds of a pool.
    round_gap : float
        Least time between two rounds of a pool.
    retention : float
        How long a batch whose jobs have ended is kept; as long as an idempotency
        key is remembered after that.
    retry_interval : float
        Bound of the wait after a worker's first failed exchange; it doubles with
        each further one.
    """

    author: str
    round_interval: float = 0.5
    round_gap: float = 0.05
    retention: float = 3600.0
    retry_interval: float = 1.0
    board: BoardSettings = field(default_factory=BoardSettings)


@dataclass(frozen=True, slots=True)
class PoolView:
    """A pool as its controller sees it: its workers, their addresses, its quotas."""

    rooms: tuple[WorkerRoom, ...]
    addresses: dict[str, str]
    quotas: dict


@dataclass(frozen=True, slots=True)
class JobsEnvironment:
    """What the tasks of all pools share.

    `make_worker` returns a `Worker` for an address; `may_act` tells whether the
    controller's lease is held; `take_out` gets each `TakeOutWorker`.
    """

    service: object
    clock: object
    random: object
    make_worker: Callable
    may_act: Callable
    take_out: Callable
