"""The fleet owner's records in the store.

Each write is conditional on this node's ownership of the fleet.
"""

import msgspec

from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import key_orders, key_owner, key_wave, key_withdrawal
from peridotspoke.nodes.records import Withdrawal, decode_value, encode_value
from peridotspoke.store import Condition, Put, Transaction

__all__ = ["FleetRecords", "OrderRecord", "RecentOrder", "WaveRecord"]

REPLACE_ATTEMPTS = 2  # the second uses the revision that the first one found
MAX_RECORDS = 15  # a transaction holds 32 entries: 2 for each record, 1 for the owner


class WaveRecord(msgspec.Struct, frozen=True):
    """The stored progress of a maintenance wave.

    Parameters
    ----------
    begun : tuple of str
        Names of the machines whose maintenance has begun.
    completed : bool
    """

    begun: tuple[str, ...] = ()
    completed: bool = False


class RecentOrder(msgspec.Struct, frozen=True):
    """An order for one machine.

    Parameters
    ----------
    executor_id : str
        The executor that the order ends; empty if the machine runs none.
    wave : int
        The wave of a maintenance order, 0 for a move.
    pool : str
        The new pool of a move, empty for maintenance.
    holder : str
        Name of the node that gave the order, where a later holder's record repeats it.
    """

    executor_id: str
    wave: int = 0
    pool: str = ""
    holder: str = ""


class OrderRecord(msgspec.Struct, frozen=True):
    """The orders that the fleet's owner sent recently or was about to send.

    Parameters
    ----------
    holder : str
        Name of the node that stored the record, and gave the orders without a holder.
    orders : dict of str to RecentOrder
        By machine.
    """

    holder: str = ""
    orders: dict[str, RecentOrder] = {}


class FleetRecords:
    """Reads and writes the fleet's records while this node owns the fleet.

    Parameters
    ----------
    node : NodeParts
        Components shared by the node's tasks.
    holding : Holding
        The ownership of the fleet.
    encode_status : callable
        Returns, for whether a wave is completed, the status record's value in bytes.
    key_status : callable
        Returns the key of the status record for a wave's number.

    Notes
    -----
    All methods that read or write raise `PlatformError` if the store fails.
    """

    def __init__(self, node, holding, encode_status, key_status):
        self._node = node
        self._holding = holding
        self._encode_status = encode_status
        self._key_status = key_status
        self._revisions = {}

    async def read_orders(self):
        """Return the stored `OrderRecord`, or an empty one."""
        found = await self._read(key_orders())
        if found is None:
            return OrderRecord()
        return decode_value(found, OrderRecord)

    async def write_orders(self, orders):
        """Store the current and recent orders, and return whether they were stored.

        Parameters
        ----------
        orders : dict of str to RecentOrder
            By machine.
        """
        record = OrderRecord(self._node.settings.name, orders)
        return await self._replace(Put(key_orders(), encode_value(record)))

    async def read_wave(self, number):
        """Return the stored `WaveRecord` of a wave, or None."""
        found = await self._read(key_wave(number))
        if found is None:
            return None
        return decode_value(found, WaveRecord)

    async def write_wave(self, number, record):
        """Store a `WaveRecord`, with the wave's status record for the operator."""
        status = Put(self._key_status(number), self._encode_status(record.completed))
        await self._replace(Put(key_wave(number), encode_value(record)), status)

    async def _read(self, key):
        found = await self._node.store.read(key)
        self._revisions[key] = found.revision if found is not None else 0
        return found

    async def _replace(self, put, *others):
        """Replace a record that only the fleet's owner writes.

        The write is conditional on the revision that it replaces, so that one which
        the store applies late cannot undo a later one.

        Parameters
        ----------
        put : Put
            The record to replace.
        *others : Put
            Records to write, without a condition, in the same transaction.

        Returns
        -------
        bool
            Whether the record was replaced.
        """
        for _ in range(REPLACE_ATTEMPTS):
            condition = Condition(put.key, self._revisions.get(put.key, 0))
            result = await self._commit((condition,), (put, *others))
            if result.succeeded:
                self._revisions[put.key] = result.revision
                return True
            current = result.find_current(put.key)
            self._revisions[put.key] = current.revision if current else 0
        return False

    async def withdraw(self, machines, reason):
        """Store withdrawals, which ask the pools' owners to empty these machines.

        Parameters
        ----------
        machines : iterable of Machine
        reason : str
            Stored in the withdrawals and logged.
        """
        known = self._node.view.withdrawals
        for batch in _split_into_batches(machines):
            conditions, puts = [], []
            for machine in batch:
                key = key_withdrawal(machine.name)
                revision = known[machine.name][1] if machine.name in known else 0
                withdrawal = Withdrawal(
                    machine.executor_id, machine.pool, reason, self._holding.fence
                )
                conditions.append(Condition(key, revision))
                puts.append(Put(key, encode_value(withdrawal)))
            result = await self._commit(conditions, puts)
            for machine in batch:
                log_event(
                    "machine-withdrawn",
                    machine=machine.name,
                    executor=machine.executor_id,
                    why=reason,
                    stored=result.succeeded,
                )

    async def remove_withdrawals(self, revisions):
        """Remove withdrawals whose revisions have not changed.

        Parameters
        ----------
        revisions : dict of str to int
            Revision of the withdrawal by machine.
        """
        for batch in _split_into_batches(revisions.items()):
            conditions = [Condition(key_withdrawal(name), rev) for name, rev in batch]
            deletions = [condition.key for condition in conditions]
            await self._commit(conditions, deletions=deletions)

    async def _commit(self, conditions, puts=(), deletions=()):
        """Commit a write on condition that this node owns the fleet.

        Gives up the holding if the store names another owner, or none.

        Returns
        -------
        CommitResult
        """
        owner = Condition(key_owner(self._holding.unit), self._holding.fence)
        transaction = Transaction((owner, *conditions), tuple(puts), tuple(deletions))
        result = await self._node.store.commit(transaction)
        if not result.succeeded:
            current = result.find_current(owner.key)
            if current is None or current.revision != self._holding.fence:
                reason = "the store names another owner or none"
                self._node.ownership.give_up(self._holding, reason)
        return result


def _split_into_batches(items):
    items = tuple(items)
    for start in range(0, len(items), MAX_RECORDS):
        yield items[start : start + MAX_RECORDS]
