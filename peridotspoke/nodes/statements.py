"""Statements of the leases that are left when an owner of a unit stops.

A new owner that knows nothing of its predecessor waits for the longest time for which
that one may extend leases without the store. Hand-overs in series, as when all nodes
are restarted in turn, would make this wait begin anew each time. An owner that stops
extends no lease any more, and says in the store how long those that it granted, or
awaited itself, still last. The claim of the next owner is conditional on the statement
and replaces it by the owner's own, so that it is always that of the owner just before,
also where that one was killed and could say nothing.
"""

from dataclasses import dataclass, field, replace

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import key_lease_statement, key_owner
from peridotspoke.nodes.predecessors import Predecessor
from peridotspoke.nodes.records import LeaseStatement, encode_value
from peridotspoke.store import Condition, Put, Transaction

__all__ = [
    "KnownStatement",
    "StatementReader",
    "make_statements",
    "store_statements",
]

STATEMENTS_PER_COMMIT = 16  # a transaction holds 32 entries: 2 for each statement
MAX_OWN_HOLDINGS = 64  # lost holdings of which a process keeps the leases


@dataclass(frozen=True, slots=True)
class KnownStatement:
    """What a node knows of a unit's last owner.

    Parameters
    ----------
    revision : int
        The revision of the statement's record; 0 if there is none.
    fence : int
        The last owner's fencing token; 0 if unknown.
    lease_ends : dict of str to float
        When the leases of an executor have ended, monotonic seconds, by executor.
    predecessor : Predecessor or None
        None if the owner has stopped or is unknown.
    """

    revision: int = 0
    fence: int = 0
    lease_ends: dict[str, float] = field(default_factory=dict)
    predecessor: Predecessor | None = None


def make_statements(waits):
    """Return the transactions that store the statements of an owner that stops.

    Parameters
    ----------
    waits : dict of (str, int) to dict
        Seconds by executor, by unit and fence. Units without any are left out.

    Returns
    -------
    list of Transaction
        Each is conditional on the records of the owner.
    """
    stated = [(unit, fence, found) for (unit, fence), found in waits.items() if found]
    transactions = []
    for start in range(0, len(stated), STATEMENTS_PER_COMMIT):
        part = stated[start : start + STATEMENTS_PER_COMMIT]
        conditions = tuple(Condition(key_owner(unit), fence) for unit, fence, _ in part)
        puts = tuple(
            Put(key_lease_statement(unit), encode_value(LeaseStatement(fence, found)))
            for unit, fence, found in part
        )
        transactions.append(Transaction(conditions, puts))
    return transactions


async def store_statements(store, waits):
    """Store the statements of an owner that stops; without them successors wait longer.

    Parameters
    ----------
    store : KeyValueService
    waits : dict of (str, int) to dict
        As in `make_statements`.
    """
    try:
        for transaction in make_statements(waits):
            result = await store.commit(transaction)
            log_event("leases-stated", stored=result.succeeded)
    except PlatformError as error:
        log_event("leases-not-stated", "WARNING", error=error)


class StatementReader:
    """Ages the statements that a node sees by its own steady clock.

    A statement counts from when it is first seen, which is never before its writing.

    Parameters
    ----------
    incarnation : str
        That of this process.
    """

    def __init__(self, incarnation):
        self._incarnation = incarnation
        self._seen = {}
        self._own_ends = {}

    def keep_own(self, fence, waits, now):
        """Keep when the leases end that this process granted under a lost holding.

        Parameters
        ----------
        fence : int
            The holding's fencing token.
        waits : dict of str to float
            Seconds by executor.
        now : float
            Monotonic seconds.
        """
        self._own_ends[fence] = {name: now + wait for name, wait in waits.items()}
        while len(self._own_ends) > MAX_OWN_HOLDINGS:
            del self._own_ends[min(self._own_ends)]

    def note(self, statements, now):
        """Take the statements that the node's view holds.

        Parameters
        ----------
        statements : dict of str to tuple
            Each `LeaseStatement` with the revision of its record, by unit.
        now : float
            Monotonic seconds.
        """
        seen = {}
        for unit, (statement, revision) in statements.items():
            known = self._seen.get(unit)
            if known is not None and known.revision == revision:
                seen[unit] = known
                continue
            ends = {name: now + wait for name, wait in statement.waits.items()}
            fence = statement.fence or revision
            owner = statement.owner and Predecessor(
                statement.owner, fence, statement.publishes_first
            )
            seen[unit] = KnownStatement(revision, fence, ends, owner)
        self._seen = seen

    def find(self, unit, last_fence=0):
        """Return the `KnownStatement` on a unit that was last noted.

        Parameters
        ----------
        unit : str
        last_fence : int, optional
            The highest fencing token of the unit that this node has seen. The
            statement of an earlier owner says nothing of that one.
        """
        known = self._seen.get(unit, KnownStatement())
        if known.fence < last_fence:
            return KnownStatement(known.revision)
        predecessor = known.predecessor
        if predecessor and predecessor.process.incarnation == self._incarnation:
            return replace(known, lease_ends=self._own_ends.get(known.fence, {}))
        return known
