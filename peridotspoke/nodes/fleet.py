"""Keeps the fleet: maintenance waves and moves of machines between pools."""

import asyncio
from dataclasses import dataclass

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
)
from peridotspoke.logs import log_event
from peridotspoke.nodes.fleetrecords import (
    FleetRecords,
    RecentOrder,
    WaveRecord,
)
from peridotspoke.nodes.tasksets import TaskSet
from peridotspoke.workloads.demand import DemandHistory
from peridotspoke.workloads.machines import MachineState, Token
from peridotspoke.workloads.maintenance import plan_wave
from peridotspoke.workloads.sizing import SizingRules, plan_moves

__all__ = ["FLEET", "FleetKeeper"]

FLEET = "~fleet"
ROUND = 0.25  # seconds between two rounds
ROUND_PAUSE = 0.03  # seconds between a change and the round that it causes
LISTING_AGE = 0.7  # seconds after which machines are listed again while duties stand
IDLE_LISTING_AGE = 4.0  # seconds after which they are listed again otherwise
HOLDER_MARGIN = 0.3  # seconds beyond the least time between two holders
RETURN_MARGIN = 0.2  # seconds
OWN_SETTLING = 0.5  # seconds after which no earlier order of this node is on its way
LOST_FACTOR = 2  # times of absence after which an order counts as not carried out
CLEARING = 1.0  # seconds between two writes that only forget old orders
RESIZE = "resize"


@dataclass(slots=True)
class _Order:
    """An order and when its outcome was known, monotonic seconds (inf: not yet)."""

    order: RecentOrder
    given_at: float = float("inf")


class FleetKeeper:
    """Orders machines' maintenance and moves while this node owns the fleet.

    Parameters
    ----------
    node : NodeParts
    holding : Holding
    encode_status, key_status : callable
        How the operator is told whether a wave is completed, and where.

    Notes
    -----
    The machines that get an order are stored before the order is sent. So a new
    holder knows which machines had one lately, and leaves only these alone for the
    least time between two holders.
    """

    def __init__(self, node, holding, encode_status, key_status):
        self._node = node
        self._holding = holding
        self._records = FleetRecords(node, holding, encode_status, key_status)
        self._tasks = TaskSet(holding.unit)
        self._machines = {}
        self._listed_at = float("-inf")
        self._down = {}
        self._moving = {}
        self._waves = {}
        self._wave_lock = asyncio.Lock()
        self._ordering = set()
        self._orders = {}
        self._cleared_at = float("-inf")
        self._settled_at = {}
        self._has_restored = False
        self._changed = asyncio.Event()
        self._histories = {}
        self._rules = SizingRules()

    async def run(self):
        """Keep the fleet until cancelled."""
        view = self._node.view
        await view.wait_until(lambda: view.revision >= self._holding.fence)
        subscription = view.changes.subscribe(self._note_changes)
        try:
            while True:
                if self._node.has_store():
                    await self._try_round()
                await self._wait()
        finally:
            subscription.dispose()
            self._tasks.cancel()

    async def _try_round(self):
        try:
            await self._run_round()
        except PlatformError as error:
            log_event("fleet-round-failed", "WARNING", error=error)

    def _note_changes(self, changed):
        if "pool" in changed or "withdrawal" in changed:
            self._changed.set()

    async def _wait(self):
        """Wait for a change of the pools or the end of the round."""
        try:
            async with asyncio.timeout(ROUND):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()
        await asyncio.sleep(ROUND_PAUSE)

    async def _run_round(self):
        if not self._has_restored:
            self._restore(await self._records.read_orders())
        waves = [
            wave
            for wave, _ in self._node.view.waves.values()
            if not self._is_completed(wave.number)
        ]
        busy = bool(waves or self._moving or self._node.view.withdrawals)
        await self._list_machines(LISTING_AGE if busy else IDLE_LISTING_AGE)
        self._note_returns()
        for wave in waves:
            await self._keep_wave(wave)
        await self._keep_sizes()
        await self._clear_withdrawals()
        await self._clear_orders()

    def _restore(self, record):
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
        self._has_restored = True
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

    def _list_settling(self):
        now = self._node.clock.read_monotonic()
        return {name for name, settled in self._settled_at.items() if now < settled}

    async def _list_machines(self, age):
        now = self._node.clock.read_monotonic()
        if now - self._listed_at < age:
            return
        machines = await self._node.machines.list()
        self._machines = {machine.name: machine for machine in machines}
        self._listed_at = now

    def _note_returns(self):
        """Forget orders whose machines are back, or that were not carried out."""
        bounds = self._node.settings.bounds
        for name, (executor_id, ordered_at) in list(self._down.items()):
            age = self._listed_at - ordered_at
            if self._is_back(name, executor_id, age, bounds.maintenance):
                del self._down[name]
        for name, (pool, ordered_at) in list(self._moving.items()):
            age = self._listed_at - ordered_at
            if self._has_moved(name, pool, age, bounds.move):
                del self._moving[name]

    def _is_back(self, name, executor_id, age, away):
        machine = self._machines.get(name)
        if age < away + RETURN_MARGIN:
            return False
        if machine is None:
            return True
        if machine.state is not MachineState.UP:
            return False
        changed = not executor_id or machine.executor_id != executor_id
        return changed or age > LOST_FACTOR * away

    def _has_moved(self, name, pool, age, away):
        machine = self._machines.get(name)
        if age < away + RETURN_MARGIN:
            return False
        if machine is None:
            return True
        arrived = machine.pool == pool
        up = machine.state is MachineState.UP
        return up and (arrived or age > LOST_FACTOR * away)

    async def _keep_sizes(self):
        """Withdraw, move and restore machines for the sizes of pools."""
        if not self._machines:
            return
        now = self._node.clock.read_monotonic()
        demands = self._read_demands()
        held = {}
        for pool, demand in demands.items():
            history = self._histories.setdefault(pool, DemandHistory(self._rules.hold))
            held[pool] = history.note(demand.cores * self._rules.headroom, now)
        withdrawn = dict(self._node.view.withdrawals)
        resizing = {
            name: empty
            for name, empty in self._list_withdrawn().items()
            if withdrawn[name][0].reason == RESIZE
        }
        others = (set(withdrawn) - set(resizing)) | self._ordering | set(self._down)
        plan = plan_moves(
            self._machines,
            demands,
            held,
            next(iter(sorted(self._list_spare())), ""),
            resizing,
            {name: pool for name, (pool, _) in self._moving.items()},
            others,
            self._rules,
            self._list_settling(),
        )
        self._give_orders(
            {
                name: RecentOrder(self._machines[name].executor_id, pool=pool)
                for name, pool in plan.moves
            }
        )
        machines = self._machines
        await self._records.remove_withdrawals(
            {name: withdrawn[name][1] for name in plan.restore}
        )
        await self._records.withdraw([machines[name] for name in plan.withdraw], RESIZE)

    def _read_demands(self):
        spare = self._list_spare()
        configuration = self._node.view.configuration
        return {
            pool.name: self._node.view.pools[pool.name]
            for pool in configuration.pools
            if pool.name in self._node.view.pools and pool.name not in spare
        }

    def _is_completed(self, number):
        record = self._waves.get(number)
        return record is not None and record.completed

    async def _keep_wave(self, wave):
        record = await self._read_wave(wave.number)
        if record.completed:
            return
        _, announced_at = self._node.view.waves[wave.number]
        now = self._node.clock.read_monotonic()
        plan = plan_wave(
            wave,
            self._machines,
            set(record.begun),
            self._list_withdrawn(),
            set(self._down),
            now - announced_at,
            self._list_spare(),
        )
        held_back = self._list_settling() | self._ordering
        self._give_orders(
            {
                name: RecentOrder(self._machines[name].executor_id, wave=wave.number)
                for name in plan.begin
                if name not in held_back
            }
        )
        machines = [self._machines[name] for name in plan.withdraw]
        await self._records.withdraw(machines, f"wave {wave.number}")
        if not plan.left and self._machines:
            self._waves[wave.number] = WaveRecord(record.begun, completed=True)
            await self._store_wave(wave.number)
            log_event("wave-completed", wave=wave.number, machines=len(record.begun))

    async def _read_wave(self, number):
        if number not in self._waves:
            found = await self._records.read_wave(number)
            self._waves[number] = found or WaveRecord()
            if found is None:
                await self._store_wave(number)
        return self._waves[number]

    async def _store_wave(self, number):
        """Store the newest record of a wave, after any write that is under way."""
        async with self._wave_lock:
            await self._records.write_wave(number, self._waves[number])

    def _list_spare(self):
        configuration = self._node.view.configuration
        return frozenset(pool.name for pool in configuration.pools if pool.spare)

    def _list_withdrawn(self):
        return {
            name: withdrawal.empty
            for name, (withdrawal, _) in self._node.view.withdrawals.items()
            if name in self._machines
            and self._machines[name].executor_id == withdrawal.executor_id
        }

    def _give_orders(self, orders):
        """Begin to store and then send orders, by machine."""
        if not orders:
            return
        for name, order in orders.items():
            self._ordering.add(name)
            self._orders[name] = _Order(order)
            self._settled_at.pop(name, None)
            self._expect(name, order)
        self._tasks.spawn(self._store_and_send(orders))

    def _expect(self, name, order):
        """Note what the machine will do once the order is carried out."""
        now = self._node.clock.read_monotonic()
        if order.wave:
            self._down[name] = (order.executor_id, now)
        else:
            self._moving[name] = (order.pool, now)

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
            if refusal is None and order.wave:
                await self._note_begun(name, order.wave)

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
        self._ordering.discard(name)
        self._orders[name] = _Order(order, self._node.clock.read_monotonic())
        if took_effect:
            self._expect(name, order)
        elif took_effect is False:
            expected = self._down if order.wave else self._moving
            expected.pop(name, None)
        if order.wave:
            self._listed_at = float("-inf")
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

    async def _note_begun(self, name, number):
        begun = self._waves[number].begun
        if name not in begun:
            self._waves[number] = WaveRecord((*begun, name))
        try:
            await self._store_wave(number)
        except PlatformError as error:
            log_event("wave-not-stored", "WARNING", wave=number, error=error)

    async def _clear_withdrawals(self):
        """Remove withdrawals of executors that are gone or needed no more."""
        gone = {}
        for name, (withdrawal, revision) in self._node.view.withdrawals.items():
            machine = self._machines.get(name)
            is_gone = machine is None or (
                machine.state is MachineState.UP
                and machine.executor_id != withdrawal.executor_id
            )
            if is_gone and name not in self._ordering:
                gone[name] = revision
        await self._records.remove_withdrawals(gone)

    async def _clear_orders(self):
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
