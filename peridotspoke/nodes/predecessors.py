"""The owner of a unit just before this node, and how its end becomes known.

It answers processes that are killed while executors are lost: without a word from its
predecessor, a new owner waits for as long as that one may let leases last. It has
published how long that is, counted from its last publication. A process that has been
replaced at its address extends none any more, and neither does this process under a
holding that it has given up.
"""

from dataclasses import dataclass

from peridotspoke.logs import log_event
from peridotspoke.nodes.leaserules import stretch_lease
from peridotspoke.workloads.ledgertypes import LeaseBound

__all__ = [
    "InheritedLeases",
    "Predecessor",
    "PublicationTimes",
    "find_lease_bound",
    "find_published_bound",
    "has_ended",
]


@dataclass(frozen=True, slots=True)
class Predecessor:
    """The owner of a unit just before the present one.

    Parameters
    ----------
    process : ProcessRecord
    fence : int
        Its fencing token.
    publishes_first : bool, optional
        Whether it grants no lease before its first publication.
    """

    process: object
    fence: int
    publishes_first: bool = False


class PublicationTimes:
    """When this node first saw the latest publication of each pool's owner."""

    def __init__(self):
        self._seen = {}

    def note(self, counts, now):
        """Take the publications that the node's view holds.

        Parameters
        ----------
        counts : dict of str to tuple
            As `StoreView.counts`.
        now : float
            Monotonic seconds.
        """
        for pool, (published, _) in counts.items():
            known, _ = self._seen.get(pool, (None, now))
            if known is not published:
                self._seen[pool] = (published, now)

    def find(self, pool, published, now):
        """Return when a publication was first seen, monotonic seconds.

        Parameters
        ----------
        pool : str
        published : QueueCounts
        now : float
            Monotonic seconds; returned if it was not noted.
        """
        known, seen_at = self._seen.get(pool, (None, now))
        return seen_at if known is published else now


def has_ended(process, nodes):
    """Return whether a process has certainly ended.

    Two processes can't serve callers at one address, so that one has ended once
    another one has registered there under its name.

    Parameters
    ----------
    process : ProcessRecord
    nodes : dict of str to NodeRecord
        The live nodes by name, as of the process's last claim or later.

    Returns
    -------
    bool
    """
    node = nodes.get(process.name)
    return (
        node is not None
        and node.address == process.address
        and node.incarnation != process.incarnation
    )


def find_lease_bound(predecessor, counts, since, now, run_lease):
    """Return when the leases of all earlier owners have ended, or None if unknown.

    Those on a later incarnation of an executor than the owner knew may last longer.

    Parameters
    ----------
    predecessor : Predecessor
        An owner that has ended.
    counts : QueueCounts or None
        The last counts that were published for the pool before it was taken over.
    since : float
        When the pool was taken over, monotonic seconds.
    now : float
        Monotonic seconds.
    run_lease : float
        Duration of the leases that the predecessor granted, seconds.

    Returns
    -------
    float or None
        Monotonic seconds. None if the predecessor did not say how long the leases of
        the owners before it may last.

    Examples
    --------
    >>> from peridotspoke.nodes.records import ProcessRecord, QueueCounts
    >>> predecessor = Predecessor(ProcessRecord("n1", "i1", "127.0.0.1:1"), fence=7)
    >>> counts = QueueCounts(7, {}, earlier_leases=0.0)
    >>> find_lease_bound(predecessor, counts, since=10.0, now=10.5, run_lease=7.0)
    17.5
    """
    if counts is None or counts.fence != predecessor.fence:
        return None
    if counts.earlier_leases is None:
        return None
    return max(now + run_lease, since + counts.earlier_leases)


def find_published_bound(predecessor, counts, seen_at):
    """Return how long leases may last by the last publication, or None if unknown.

    Owners before the predecessor published before it claimed, and count from an
    earlier publication, so that their leases end no later.

    Parameters
    ----------
    predecessor : Predecessor or None
    counts : QueueCounts or None
        The last counts that were published for the pool before it was taken over.
    seen_at : float
        When this node first saw them, monotonic seconds.

    Returns
    -------
    LeaseBound or None

    Examples
    --------
    >>> from peridotspoke.nodes.records import ProcessRecord, QueueCounts
    >>> predecessor = Predecessor(ProcessRecord("n1", "i1", "127.0.0.1:1"), fence=7)
    >>> counts = QueueCounts(7, {}, earlier_leases=0.0, lease_horizon=9.8)
    >>> find_published_bound(predecessor, counts, seen_at=50.0)
    LeaseBound(end=60.0, source='publication', seen_at=50.0)
    """
    if predecessor is None or counts is None or counts.lease_horizon is None:
        return None
    if counts.fence != predecessor.fence and not predecessor.publishes_first:
        return None
    longest = max(stretch_lease(counts.lease_horizon), counts.earlier_leases or 0.0)
    return LeaseBound(seen_at + longest, "publication", seen_at)


class InheritedLeases:
    """Limits the leases that a pool's ledger awaits once its predecessor has ended.

    Parameters
    ----------
    node : NodeParts
        Components shared by the node's tasks.
    holding : Holding
    ledger : PoolLedger
    """

    def __init__(self, node, holding, ledger):
        self._node = node
        self._holding = holding
        self._ledger = ledger
        self._counts = None
        self._is_open = holding.predecessor is not None

    def begin(self):
        """Take what earlier owners published, before this owner publishes anything.

        The view must include this owner's claim, and the ledger no jobs yet.
        """
        unit, now = self._holding.unit, self._node.clock.read_monotonic()
        self._counts, _ = self._node.view.counts.get(unit, (None, 0.0))
        seen_at = self._node.publication_times.find(unit, self._counts, now)
        predecessor = self._holding.predecessor
        bound = find_published_bound(predecessor, self._counts, seen_at)
        if bound is not None:
            self._ledger.limit_inherited_leases(bound)
            silent = self._counts.silent
            ends = {name: seen_at + wait for name, wait in silent.items()}
            self._ledger.expect_lease_ends({**ends, **self._holding.lease_ends})
        late = self._expect_late_ends(seen_at)
        former = self._ledger.former_bound
        log_event(
            "leases-inherited",
            pool=unit,
            bound_by=former.source,
            bound_age=now - former.seen_at,
            wait=former.end - now,
            silent=len(self._counts.silent) if bound is not None else 0,
            stated=len(self._holding.lease_ends),
            late=len(late),
        )

    def _expect_late_ends(self, seen_at):
        """Take what was published of late calls, and return that by executor.

        An owner that does not say may have known of a rebirth as it published, on any
        executor.
        """
        if self._counts is None:
            return {}
        ledger, late = self._ledger, self._counts.late
        if late is None:
            ledger.unstated_late_end = seen_at + ledger.rules.longest_lease
            return {}
        ledger.expect_late_ends({name: seen_at + late[name] for name in late})
        return late

    def update(self, now):
        """Limit the ledger's inherited leases once the predecessor has ended.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        predecessor = self._holding.predecessor
        if not self._is_open or not has_ended(
            predecessor.process, self._node.view.nodes
        ):
            return
        self._is_open = False
        rules = self._ledger.rules
        bound = find_lease_bound(
            predecessor,
            self._counts,
            self._holding.since,
            now,
            rules.run_lease,
        )
        if bound is not None:
            found = LeaseBound(bound, "ended process", now)
            self._ledger.limit_inherited_leases(found)
        log_event(
            "predecessor-ended",
            pool=self._holding.unit,
            predecessor=predecessor.process.name,
            fence=predecessor.fence,
            wait=None if bound is None else bound - now,
        )
