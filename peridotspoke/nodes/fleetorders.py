"""Stores and sends orders for machines, and tracks their expected effects."""

import asyncio
from dataclasses import dataclass

from msgspec import structs

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
)
from peridotspoke.logs import log_event
from peridotspoke.nodes.fleetrecords import RecentOrder
from peridotspoke.workloads.machines import MachineState, Token

__all__ = ["FleetOrders"]

HOLDER_CHANGE_MARGIN = 0.3  # seconds added to the minimum time between two holders
RETURN_MARGIN = 0.2  # seconds added to the time that an order keeps a machine away
OWN_SETTLING_TIME = 0.5  # seconds after which no earlier order of this node can arrive
LOST_ORDER_FACTOR = 2  # multiple of that time after which an order counts as lost
CLEANUP_INTERVAL = 1.0  # seconds between two writes that only drop old orders


@dataclass(slots=True)
class _Order:
    """An order, and when its outcome became known in monotonic seconds.

    `answered_at` is infinite until then.
    """

    order: RecentOrder
    answered_at: float = float("inf")


class FleetOrders:
    """Stores and sends the orders of one period of fleet ownership.

    Parameters
    ----------
    node : NodeParts
        Components shared by the node's tasks.
    holding : Holding
        The ownership of the fleet; its fence is sent with each order.
    records : FleetRecords
    spawn : callable
        Runs a coroutine as a task.
    on_outcome : callable
        Called with a machine's name, its `RecentOrder` and whether it took effect
        (bool, or None if unknown).

    Attributes
    ----------
    in_progress : set of str
        Names of the machines whose order is being stored or sent.
    moving : dict of str to tuple
        New pool, and monotonic seconds of the order, by machine.
    in_maintenance : dict of str to tuple
        Executor that the maintenance ends, and monotonic seconds of the order, by
        machine.
    has_restored : bool
        Whether the orders of the previous holder have been restored.

    Notes
    -----
    Each order is stored before it is sent. So a new holder knows which machines had
    an order shortly before, and only these have to wait for the minimum time between
    two holders.
    """

    def __init__(self, node, holding, records, spawn, on_outcome):
        self.moving = {}
        self.in_maintenance = {}
        self.in_progress = set()
        self.has_restored = False
        self._node = node
        self._holding = holding
        self._records = records
        self._spawn = spawn
        self._on_outcome = on_outcome
        self._write_lock = asyncio.Lock()
        self._orders = {}
        self._blocked_until = {}
        self._cleaned_up_at = float("-inf")

    def restore(self, record):
        """Restore the orders that the latest holder stored.

        Their machines get no new order for a while: for the minimum time between two
        holders, or, if this node gave them, until none of them can still arrive.
        Machines that may be down for a wave count as in maintenance. Moves need no such
        tracking, as the list of machines shows their pools.

        Parameters
        ----------
        record : OrderRecord
        """
        now = self._node.clock.read_monotonic()
        for name, stored in record.orders.items():
            order = structs.replace(stored, holder=stored.holder or record.holder)
            is_own = order.holder == self._node.settings.name
            settling = OWN_SETTLING_TIME if is_own else self._holder_change
            self._orders[name] = _Order(order, now)
            self._blocked_until[name] = now + settling
            if order.wave:
                self._expect(name, order)
        self.has_restored = True
        log_event(
            "fleet-taken",
            fence=self._holding.fence,
            before=record.holder or None,
            orders=len(record.orders),
            settling=len(self._blocked_until),
        )

    @property
    def _holder_change(self):
        return self._node.settings.bounds.holder_change + HOLDER_CHANGE_MARGIN

    def list_blocked(self):
        """Return the set of names of machines that must not get an order yet."""
        now = self._node.clock.read_monotonic()
        return {
            name
            for name, blocked_until in self._blocked_until.items()
            if now < blocked_until
        }

    def apply_list(self, machines, listed_at):
        """Drop the expected effects that have occurred, or whose order was lost.

        Parameters
        ----------
        machines : dict of str to Machine
        listed_at : float
            When the machines were listed, in monotonic seconds.
        """
        bounds = self._node.settings.bounds
        for name, (executor_id, ordered_at) in list(self.in_maintenance.items()):
            age = listed_at - ordered_at
            if _is_maintenance_settled(
                machines.get(name), executor_id, age, bounds.maintenance
            ):
                del self.in_maintenance[name]
        for name, (pool, ordered_at) in list(self.moving.items()):
            age = listed_at - ordered_at
            if _is_move_settled(machines.get(name), pool, age, bounds.move):
                del self.moving[name]

    def submit(self, orders):
        """Start a task that stores these orders and then sends them.

        Parameters
        ----------
        orders : dict of str to RecentOrder
            By machine.
        """
        if not orders:
            return
        for name, order in orders.items():
            self.in_progress.add(name)
            self._orders[name] = _Order(order)
            self._blocked_until.pop(name, None)
            self._expect(name, order)
        self._spawn(self._store_and_send(orders))

    def _expect(self, name, order):
        """Record the expected effect of an order on its machine."""
        now = self._node.clock.read_monotonic()
        if order.wave:
            self.in_maintenance[name] = (order.executor_id, now)
        else:
            self.moving[name] = (order.pool, now)

    async def _store_and_send(self, orders):
        stored, reason = False, "the order was not stored"
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
        """Store all recent orders, and return whether they were stored.

        Writes take turns, and each one stores the orders known when it begins.
        """
        async with self._write_lock:
            recent_orders = {name: item.order for name, item in self._orders.items()}
            return await self._records.write_orders(recent_orders)

    async def _send(self, name, order):
        """Send one order and record its outcome."""
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
                "the lease that permits orders may have ended", step="order", peer=name
            )
        token = Token(self._node.settings.name, self._holding.fence)
        if order.wave:
            return await self._node.machines.maintain(name, order.wave, token)
        return await self._node.machines.move(name, order.pool, token)

    def _finish_order(self, name, order, outcome, took_effect):
        """Record and log an order's outcome; `took_effect` is None if unknown."""
        self.in_progress.discard(name)
        self._orders[name] = _Order(order, self._node.clock.read_monotonic())
        if took_effect:
            self._expect(name, order)
        elif took_effect is False:
            expected = self.in_maintenance if order.wave else self.moving
            expected.pop(name, None)
        self._on_outcome(name, order, took_effect)
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

    async def drop_old(self):
        """Drop stored orders for which another holder would no longer have to wait.

        Raises
        ------
        PlatformError
            If the write fails; a later write drops the orders.
        """
        now = self._node.clock.read_monotonic()
        old = [
            name
            for name, item in self._orders.items()
            if now - item.answered_at > self._holder_change
        ]
        if not old or now - self._cleaned_up_at < CLEANUP_INTERVAL:
            return
        self._cleaned_up_at = now
        for name in old:
            del self._orders[name]
        await self._write_orders()


def _is_maintenance_settled(machine, executor_id, age, away):
    if age < away + RETURN_MARGIN:
        return False
    if machine is None:
        return True
    if machine.state is not MachineState.UP:
        return False
    changed = not executor_id or machine.executor_id != executor_id
    return changed or age > LOST_ORDER_FACTOR * away


def _is_move_settled(machine, pool, age, away):
    if age < away + RETURN_MARGIN:
        return False
    if machine is None:
        return True
    arrived = machine.pool == pool
    up = machine.state is MachineState.UP
    return up and (arrived or age > LOST_ORDER_FACTOR * away)
