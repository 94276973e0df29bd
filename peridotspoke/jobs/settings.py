"""Times and bounds of a pool's supervision."""

from dataclasses import dataclass, field

from peridotspoke.jobs.needs import PlacementSettings

__all__ = ["BoardSettings"]


@dataclass(frozen=True, slots=True)
class BoardSettings:
    """Times and bounds of supervision; all times in seconds.

    Parameters
    ----------
    start_ttl : float
        How long a worker may begin an attempt after it was planned.
    lease_ttl : float
        How long a task runs without a renewal.
    lost_after : float
        Silence after which a worker counts as vanished; longer than `lease_ttl`, so
        that its tasks have ended by their leases.
    exchange_wait : float
        How long a worker may hold an exchange without news.
    resend_after : float
        Time after which an unanswered call is made again.
    place_interval : float
        Time between two rounds of placing while nothing new is heard.
    write_delay : float
        How long ends wait for others of their batch before they are written.
    unrunnable_after : float
        Time after which a job that fits no worker is set aside.
    unrunnable_interval : float
        Time between two searches for jobs that can never run.
    suspect_after : float
        Time that a worker stays suspected before it is to be taken out.
    backoff, max_backoff : float
        Wait before a job's second attempt, doubled with each; its bound.
    max_writes, max_ends : int
        Swaps begun, and tasks ended, in one round.
    max_queued_considered : int
        Queued jobs of each team and class that a round of placing looks at.
    """

    start_ttl: float = 10.0
    lease_ttl: float = 30.0
    lost_after: float = 45.0
    exchange_wait: float = 10.0
    resend_after: float = 1.0
    place_interval: float = 1.0
    write_delay: float = 1.0
    unrunnable_after: float = 60.0
    unrunnable_interval: float = 5.0
    suspect_after: float = 10.0
    backoff: float = 0.25
    max_backoff: float = 30.0
    max_writes: int = 16
    max_ends: int = 64
    max_queued_considered: int = 64
    placement: PlacementSettings = field(default_factory=PlacementSettings)
