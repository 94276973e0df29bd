"""Rules of a pool's ledger, and the typed results of its methods."""

from dataclasses import dataclass, field

from peridotspoke.workloads.executors import StopOrder
from peridotspoke.workloads.runs import Run

__all__ = [
    "JobRuns",
    "LeaseBound",
    "LedgerRules",
    "StopCommand",
    "StoredBatch",
    "find_cause",
]


def find_cause(reason):
    """Return the reason of a stop without the progress that it may state.

    Stops are counted by cause; by whole reason, each percentage would be one of its
    own.

    Examples
    --------
    >>> find_cause("stalled at 42 percent")
    'stalled'
    >>> find_cause("the executor is leaving")
    'the executor is leaving'
    """
    return reason.partition(" at ")[0]


@dataclass(slots=True)
class JobRuns:
    """How often the tasks of a job were started and stopped, for the log.

    Parameters
    ----------
    most_runs : int, optional
        Highest run number of a task; also runs that were not carried out count.
    stops : dict of str to int, optional
        Number of runs that this owner stopped, by cause.
    """

    most_runs: int = 0
    stops: dict[str, int] = field(default_factory=dict)

    def count_stop(self, reason):
        """Count a stop by its cause."""
        cause = find_cause(reason)
        self.stops[cause] = self.stops.get(cause, 0) + 1

    def describe_stops(self):
        """Return the stops as text, the most frequent reason first; None if none.

        Examples
        --------
        >>> runs = JobRuns()
        >>> runs.count_stop("the executor is leaving")
        >>> runs.count_stop("stalled at 5 percent")
        >>> runs.count_stop("stalled at 9 percent")
        >>> runs.describe_stops()
        'stalled=2, the executor is leaving=1'
        """
        ranked = sorted(self.stops.items(), key=lambda item: (-item[1], item[0]))
        return ", ".join(f"{cause}={count}" for cause, count in ranked) or None


@dataclass(frozen=True, slots=True)
class LeaseBound:
    """A time at which every lease that earlier owners granted has ended.

    Parameters
    ----------
    end : float
        Monotonic seconds.
    source : str
        What it is derived from, for the log.
    seen_at : float
        When this owner saw that, monotonic seconds.
    """

    end: float
    source: str
    seen_at: float


@dataclass(frozen=True, slots=True)
class LedgerRules:
    """How long a ledger waits before it takes leases for expired.

    Parameters
    ----------
    inherited_lease : float
        Longest time, seconds, for which runs that an earlier owner ordered may go on
        after the takeover where their executor is not reachable.
    margin : float
        Time that is waited beyond the end of a lease, seconds, because an executor's
        clock may be slow.
    restart_excess : float, optional
        By how long, seconds, a lease can exceed its recorded end where the order was
        carried out by a later incarnation than the owner knew: the clock of each
        incarnation starts anew, and an executor only limits the length of a lease.
    longest_lease : float, optional
        Duration, seconds, of the longest lease that an executor grants; 0 if no call is
        carried out by a later incarnation than the one that it was sent to.
    run_lease : float, optional
        Duration, seconds, of each lease that an owner grants; by default unknown.
    stop_limit : float, optional
        Longest time, seconds, that an executor takes to stop a run. Meanwhile it may
        list the run neither as running nor as ended.
    """

    inherited_lease: float
    margin: float
    restart_excess: float = 0.0
    longest_lease: float = 0.0
    run_lease: float = float("inf")
    stop_limit: float = 0.0


@dataclass(frozen=True, slots=True)
class StopCommand:
    """A stop order and the executor that it is for.

    Parameters
    ----------
    executor_id : str
    order : StopOrder
    """

    executor_id: str
    order: StopOrder


@dataclass(frozen=True, slots=True)
class StoredBatch:
    """Progress that is stored together, and what may happen once it is stored.

    Parameters
    ----------
    values : dict of str to bytes
        Encoded progress by job identity.
    runs : tuple of Run
        Planned runs, which may start after the batch is stored.
    ended : frozenset of str
        Jobs that may be removed from the ledger after the batch is stored.
    """

    values: dict[str, bytes]
    runs: tuple[Run, ...]
    ended: frozenset[str]
