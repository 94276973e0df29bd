"""Orders for machines: stored, then sent, and what is expected of them."""

import asyncio
from dataclasses import dataclass

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
)
from peridotspoke.logs import log_event
from peridotspoke.nodes.fleetrecords import RecentOrder
from peridotspoke.workloads.machines import MachineState, Token

__all__ = ["FleetOrders"]

HOLDER_MARGIN = 0.3  # seconds beyond the least time between two holders
RETURN_MARGIN = 0.2  # seconds
OWN_SETTLING = 0.5  # seconds after which no earlier order of this node is on its way
LOST_FACTOR = 2  # times of absence after which an order counts as not carried out
CLEARING = 1.0  # seconds between two writes that only forget old orders


@dataclass(slots=True)
class _Order:
    """An order and when its outcome was known, monotonic seconds (inf: not yet)."""

    order: RecentOrder
    given_at: float = float("inf")


class FleetOrders:
    """Gives the orders of one period of owning the fleet.

    Parameters
    ----------
    node : NodeParts
    holding : Holding
    records : FleetRecords
    spawn : callable
        Runs a coroutine as a task.
    note_outcome : callable
        Called with a machine, its `RecentOrder` and whether it took effect (None:
        unknown).

    Notes
    -----
    The machines that get an order are stored before the order is sent. So a new
    holder knows which machines had one lately, and leaves only these alone for the
    least time between two holders.

    `ordering` holds the machines whose order is under way; `moving` maps a machine to
    its new pool, `down` to the executor that its maintenance ended, each with the
    monotonic time of the order.
    """

    def __init__(self, node, holding, records, spawn, note_outcome):
        self.moving = {}
        self.down = {}
        self.ordering = set()
        self.has_restored = False
        self._node = node
        self._holding = holding
        self._records = records
        self._spawn = spawn
        self._note_outcome = note_outcome
        self._writing = asyncio.Lock()
        self._orders = {}
        self._settled_at = {}
        self._cleared_at = float("-inf")

    def restore(self, record):
        """Take in the orders of the latest holder.

        They keep their machines from new orders for a while: if they were this
        node's, until none can be on its way any more. What was moved is listed;
        what may be down for a wave is counted as down.
        """
        now = self._node.clock.read_monotonic()
        is_own = record.holder == self._node.settings.name
        settling = OWN_SETTLING if is_own else self._holder_change
        for name, order in record.orders.items():
            self._orders[name] = _Order(order, now)
            self._settled_at[name] = now + settling
            if order.wave:
                self._expect(name, order)
        self.has_restored = True
        log_event(
            "fleet-taken",
            fence=self._holding.fence,
            before=record.holder or None,
            orders=len(record.orders),
            settling=len(self._settled_at),
        )

    @property
    def _holder_change(self):
        return self._node.settings.bounds.holder_change + HOLDER_MARGIN

    def list_settling(self):
        """Return the machines that must not get an order yet."""
        now = self._node.clock.read_monotonic()
        return {name for name, settled in self._settled_at.items() if now < settled}

    def note_list(self, machines, listed_at):
        """Forget orders whose machines are back, or that were not carried out.

        Parameters
        ----------
        machines : dict of str to Machine
        listed_at : float
            Monotonic seconds.
        """
        bounds = self._node.settings.bounds
        for name, (executor_id, ordered_at) in list(self.down.items()):
            age = listed_at - ordered_at
            if _is_back(machines.get(name), executor_id, age, bounds.maintenance):
                del self.down[name]
        for name, (pool, ordered_at) in list(self.moving.items()):
            age = listed_at - ordered_at
            if _has_moved(machines.get(name), pool, age, bounds.move):
                del self.moving[name]

    def give(self, orders):
        """Begin to store and then send orders, by machine."""
        if not orders:
            return
        for name, order in orders.items():
            self.ordering.add(name)
            self._orders[name] = _Order(order)
            self._settled_at.pop(name, None)
            self._expect(name, order)
        self._spawn(self._store_and_send(orders))

    def _expect(self, name, order):
        """Note what the machine will do once the order is carried out."""
        now = self._node.clock.read_monotonic()
        if order.wave:
            self.down[name] = (order.executor_id, now)
        else:
            self.moving[name] = (order.pool, now)

    async def _store_and_send(self, orders):
        stored, reason = False, "not stored"
        try:
            stored = await self._write_orders()
        except PlatformError as error:
            reason = error
        if stored:
            sent = (self._send(name, order) for name, order in orders.items())
            await asyncio.gather(*sent)
            return
        for name, order in orders.items():
            self._finish_order(name, order, reason, took_effect=False)

    async def _write_orders(self):
        """Store all recent orders as of the write's turn; return whether."""
        async with self._writing:
            known = {name: item.order for name, item in self._orders.items()}
            return await self._records.write_orders(known)

    async def _send(self, name, order):
        """Send one order and take in its outcome."""
        try:
            refusal = await self._call(name, order)
        except PlatformUnavailableError as error:
            self._finish_order(name, order, error, took_effect=False)
        except AnswerLostError as error:
            self._finish_order(name, order, error, took_effect=None)
        else:
            self._finish_order(name, order, refusal or "done", refusal is None)

    async def _call(self, name, order):
        if not self._node.ownership.may_order():
            raise PlatformUnavailableError(
                "the right to order may have ended", step="order", peer=name
            )
        token = Token(self._node.settings.name, self._holding.fence)
        if order.wave:
            return await self._node.machines.maintain(name, order.wave, token)
        return await self._node.machines.move(name, order.pool, token)

    def _finish_order(self, name, order, outcome, took_effect):
        """Take in an order's outcome; `took_effect` is None where it is unknown."""
        self.ordering.discard(name)
        self._orders[name] = _Order(order, self._node.clock.read_monotonic())
        if took_effect:
            self._expect(name, order)
        elif took_effect is False:
            expected = self.down if order.wave else self.moving
            expected.pop(name, None)
        self._note_outcome(name, order, took_effect)
        log_event(
            "maintenance-ordered" if order.wave else "move-ordered",
            "INFO" if took_effect else "WARNING",
            machine=name,
            wave=order.wave or None,
            pool=order.pool or None,
            executor=order.executor_id or None,
            fence=self._holding.fence,
            outcome=outcome,
        )

    async def clear(self):
        """Forget orders that no longer keep another holder from the machines."""
        now = self._node.clock.read_monotonic()
        old = [
            name
            for name, item in self._orders.items()
            if now - item.given_at > self._holder_change
        ]
        if not old or now - self._cleared_at < CLEARING:
            return
        self._cleared_at = now
        for name in old:
            del self._orders[name]
        await self._write_orders()


def _is_back(machine, executor_id, age, away):
    if age < away + RETURN_MARGIN:
        return False
    if machine is None:
        return True
    if machine.state is not MachineState.UP:
        return False
    changed = not executor_id or machine.executor_id != executor_id
    return changed or age > LOST_FACTOR * away


def _has_moved(machine, pool, age, away):
    if age < away + RETURN_MARGIN:
        return False
    if machine is None:
        return True
    arrived = machine.pool == pool
    up = machine.state is MachineState.UP
    return up and (arrived or age > LOST_FACTOR * away)
