"""The owner of a unit just before this node, and how its end becomes known.

It answers processes that are killed while executors are lost: without a word from its
predecessor, a new owner waits for as long as that one may extend leases without the
store. A process that has been replaced at its address extends none any more, and
neither does this process under a holding that it has given up.
"""

from dataclasses import dataclass

from peridotspoke.logs import log_event
from peridotspoke.workloads.ledgertypes import LeaseBound

__all__ = ["InheritedLeases", "Predecessor", "find_lease_bound", "has_ended"]


@dataclass(frozen=True, slots=True)
class Predecessor:
    """The owner of a unit just before the present one.

    Parameters
    ----------
    process : ProcessRecord
    fence : int
        Its fencing token.
    """

    process: object
    fence: int


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
        """Take the predecessor's counts, before this owner publishes its own.

        The view must include this owner's claim.
        """
        self._counts, _ = self._node.view.counts.get(self._holding.unit, (None, 0.0))

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
