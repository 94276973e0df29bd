"""Statements of the leases that are left when an owner of a unit stops.

A new owner that knows nothing of its predecessor waits for the longest time for which
that one may extend leases without the store. Hand-overs in series, as when all nodes
are restarted in turn, would make this wait begin anew each time. An owner that stops
extends no lease any more, and says in the store how long those that it granted, or
awaited itself, still last. The claim of the next owner is conditional on the statement
and removes it, so that it is always that of the owner just before.
"""

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import key_lease_statement, key_owner
from peridotspoke.nodes.view import LeaseStatement, encode_value
from peridotspoke.store import Condition, Put, Transaction

__all__ = ["StatementReader", "make_statements", "store_statements"]

STATEMENTS_PER_COMMIT = 16  # a transaction holds 32 entries: 2 for each statement


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
    """

    def __init__(self):
        self._seen = {}

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
            if known is not None and known[0] == revision:
                seen[unit] = known
                continue
            ends = {name: now + wait for name, wait in statement.waits.items()}
            seen[unit] = (revision, ends)
        self._seen = seen

    def find(self, unit):
        """Return the statement on a unit that was last noted.

        Returns
        -------
        revision : int
            The revision of its record; 0 if there is none.
        lease_ends : dict of str to float
            When the leases of an executor have ended, monotonic seconds, by executor.
        """
        return self._seen.get(unit, (0, {}))
