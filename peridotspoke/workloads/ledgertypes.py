"""Rules of a pool's ledger, and the typed results of its methods."""

from dataclasses import dataclass

from peridotspoke.workloads.executors import StopOrder
from peridotspoke.workloads.runs import Run

__all__ = ["LedgerRules", "StopCommand", "StoredBatch"]


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
    run_lease : float, optional
        Duration, seconds, of each lease that an owner grants; by default unknown.
    stop_limit : float, optional
        Longest time, seconds, that an executor takes to stop a run. Meanwhile it may
        list the run neither as running nor as ended.
    """

    inherited_lease: float
    margin: float
    restart_excess: float = 0.0
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
