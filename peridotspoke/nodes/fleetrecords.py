"""What the fleet's owner keeps in the store, written under its ownership."""

import msgspec

from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import key_orders, key_owner, key_wave, key_withdrawal
from peridotspoke.nodes.view import Withdrawal, encode_value
from peridotspoke.store import Condition, Put, Transaction

__all__ = ["FleetRecords", "OrderRecord", "RecentOrder", "WaveRecord"]

REPLACE_TRIES = 2  # the second one with the revision that the first one found
MOST_RECORDS = 15  # a condition and a put each, and the owner's, in 32 entries


class WaveRecord(msgspec.Struct, frozen=True):
    """What the store keeps of a wave: the machines that have begun."""

    begun: tuple[str, ...] = ()
    completed: bool = False


class RecentOrder(msgspec.Struct, frozen=True):
    """An order for a machine: the executor that it ends, and the wave or pool.

    `wave` is 0 for a move.
    """

    executor_id: str
    wave: int = 0
    pool: str = ""


class OrderRecord(msgspec.Struct, frozen=True):
    """The orders that a holder gave, or was about to give, a moment ago."""

    holder: str = ""
    orders: dict[str, RecentOrder] = {}


class FleetRecords:
    """Reads and writes the fleet's records while this node owns the fleet.

    Parameters
    ----------
    node : NodeParts
    holding : Holding
    encode_status, key_status : callable
        How the operator is told whether a wave is completed, and where.
    """

    def __init__(self, node, holding, encode_status, key_status):
        self._node = node
        self._holding = holding
        self._encode_status = encode_status
        self._key_status = key_status
        self._revisions = {}

    async def read_orders(self):
        """Return the `OrderRecord` of the latest holder that wrote one."""
        found = await self._read(key_orders())
        if found is None:
            return OrderRecord()
        return msgspec.json.decode(found.value, type=OrderRecord)

    async def write_orders(self, orders):
        """Store which machines get, or lately got, an order; return whether."""
        record = OrderRecord(self._node.settings.name, orders)
        return await self._replace(Put(key_orders(), encode_value(record)))

    async def read_wave(self, number):
        """Return the `WaveRecord` of a wave, or None."""
        found = await self._read(key_wave(number))
        if found is None:
            return None
        return msgspec.json.decode(found.value, type=WaveRecord)

    async def write_wave(self, number, record):
        """Store a `WaveRecord` and tell the operator how the wave stands."""
        status = Put(self._key_status(number), self._encode_status(record.completed))
        await self._replace(Put(key_wave(number), encode_value(record)), status)

    async def _read(self, key):
        found = await self._node.store.read(key)
        self._revisions[key] = found.revision if found is not None else 0
        return found

    async def _replace(self, put, *others):
        """Replace a record that only the fleet's owner writes; return whether.

        The write names the revision that it replaces, so that one that is carried
        out late can't undo a later one.
        """
        for _ in range(REPLACE_TRIES):
            condition = Condition(put.key, self._revisions.get(put.key, 0))
            result = await self._commit((condition,), (put, *others))
            if result.won:
                self._revisions[put.key] = result.revision
                return True
            current = result.find_current(put.key)
            self._revisions[put.key] = current.revision if current else 0
        return False

    async def withdraw(self, machines, reason):
        """Ask the owners of the machines' pools to empty them."""
        known = self._node.view.withdrawals
        for part in _split(machines):
            conditions, puts = [], []
            for machine in part:
                key = key_withdrawal(machine.name)
                revision = known[machine.name][1] if machine.name in known else 0
                withdrawal = Withdrawal(
                    machine.executor_id, machine.pool, reason, self._holding.fence
                )
                conditions.append(Condition(key, revision))
                puts.append(Put(key, encode_value(withdrawal)))
            result = await self._commit(conditions, puts)
            for machine in part:
                log_event(
                    "machine-withdrawn",
                    machine=machine.name,
                    executor=machine.executor_id,
                    why=reason,
                    stored=result.won,
                )

    async def remove_withdrawals(self, revisions):
        """Remove withdrawals, given by machine with the revision of each."""
        for part in _split(revisions.items()):
            conditions = [Condition(key_withdrawal(name), rev) for name, rev in part]
            removals = [condition.key for condition in conditions]
            await self._commit(conditions, removals=removals)

    async def _commit(self, conditions, puts=(), removals=()):
        """Return the `CommitResult` of a write; give the fleet up if it was lost."""
        owner = Condition(key_owner(self._holding.unit), self._holding.fence)
        transaction = Transaction((owner, *conditions), tuple(puts), tuple(removals))
        result = await self._node.store.commit(transaction)
        if not result.won:
            current = result.find_current(owner.key)
            if current is None or current.revision != self._holding.fence:
                reason = "the store has another owner"
                self._node.ownership.give_up(self._holding, reason)
        return result


def _split(items):
    items = tuple(items)
    for start in range(0, len(items), MOST_RECORDS):
        yield items[start : start + MOST_RECORDS]
