"""Settings of the scheduler of one pool's jobs."""

from dataclasses import dataclass, field

from peridotspoke.jobs.needs import PlacementSettings

__all__ = ["BoardSettings"]


@dataclass(frozen=True, slots=True)
class BoardSettings:
    """Timeouts, intervals and limits of the scheduler; times are in seconds.

    Parameters
    ----------
    start_ttl : float
        Time after its placement during which an attempt may be started.
    lease_ttl : float
        Time after which a task ends unless its lease is renewed.
    lost_after : float
        Time without a report after which a worker counts as lost. It is longer
        than `lease_ttl`, so that the leases of its tasks have expired by then.
    exchange_wait : float
        Long-poll timeout: the time for which a worker may delay its answer to an
        exchange while it has nothing new to report.
    resend_after : float
        Time after which an unanswered call is repeated.
    place_interval : float
        Maximum time between two placement rounds; changes cause one earlier.
    write_delay : float
        Time for which events other than starts wait, so that one swap writes
        several events of a batch.
    unrunnable_after : float
        Time after which a job that fits no worker is set aside.
    unrunnable_interval : float
        Time between two searches for jobs that can never run.
    suspect_after : float
        Time for which a worker must be suspected before its removal from service is
        requested.
    backoff : float
        Delay of the second attempt of a job; it doubles with each further attempt.
    max_backoff : float
        Maximum delay of an attempt.
    max_writes : int
        Maximum number of swaps begun in one round.
    max_ends : int
        Maximum number of tasks told to stop in one round.
    max_queued_considered : int
        Maximum number of queued jobs of each team and class that a placement round
        considers.
    placement : PlacementSettings
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
