"""Keeps the fleet: maintenance waves and moves of machines between pools."""

import asyncio
from collections import Counter

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event
from peridotspoke.nodes.fleetorders import FleetOrders
from peridotspoke.nodes.fleetrecords import (
    FleetRecords,
    RecentOrder,
    WaveRecord,
)
from peridotspoke.nodes.tasksets import TaskSet
from peridotspoke.nodes.view import wait_until
from peridotspoke.workloads.demand import DemandHistory
from peridotspoke.workloads.machines import MachineState
from peridotspoke.workloads.maintenance import plan_wave
from peridotspoke.workloads.sizing import SizingRules, plan_moves

__all__ = ["FLEET", "FleetKeeper"]

FLEET = "~fleet"
ROUND = 0.25  # seconds between two rounds
ROUND_PAUSE = 0.03  # seconds between a change and the round that it causes
LISTING_AGE = 0.7  # seconds after which machines are listed again while duties stand
IDLE_LISTING_AGE = 4.0  # seconds after which they are listed again otherwise
RESIZE = "resize"


class FleetKeeper:
    """Orders machines' maintenance and moves while this node owns the fleet.

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
        self._records = FleetRecords(node, holding, encode_status, key_status)
        self._tasks = TaskSet(holding.unit)
        self._machines = {}
        self._listed_at = float("-inf")
        self._waves = {}
        self._wave_lock = asyncio.Lock()
        self._orders = FleetOrders(
            node, holding, self._records, self._tasks.spawn, self._note_outcome
        )
        self._changed = asyncio.Event()
        self._histories = {}
        self._rules = SizingRules()

    async def run(self):
        """Keep the fleet until cancelled."""
        view = self._node.view
        await wait_until(view.changes, lambda: view.revision >= self._holding.fence)
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
        if not self._orders.has_restored:
            self._orders.restore(await self._records.read_orders())
        waves = [
            wave
            for wave, _ in self._node.view.waves.values()
            if not self._is_completed(wave.number)
        ]
        busy = bool(waves or self._orders.moving or self._node.view.withdrawals)
        await self._list_machines(LISTING_AGE if busy else IDLE_LISTING_AGE)
        self._orders.note_list(self._machines, self._listed_at)
        for wave in waves:
            await self._keep_wave(wave)
        await self._keep_sizes()
        await self._clear_withdrawals()
        await self._orders.clear()

    async def _list_machines(self, age):
        now = self._node.clock.read_monotonic()
        if now - self._listed_at < age:
            return
        machines = await self._node.machines.list()
        self._machines = {machine.name: machine for machine in machines}
        self._listed_at = now

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
        others = set(withdrawn) - set(resizing)
        others |= self._orders.ordering | self._orders.down.keys()
        plan = plan_moves(
            self._machines,
            demands,
            held,
            next(iter(sorted(self._list_spare())), ""),
            resizing,
            {name: pool for name, (pool, _) in self._orders.moving.items()},
            others,
            self._rules,
            self._orders.list_settling(),
        )
        self._log_sizes(plan, demands, held)
        self._orders.give(
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

    def _log_sizes(self, plan, demands, held):
        """Log what each pool has and gets, where a plan changes anything."""
        if not (plan.moves or plan.withdraw or plan.restore):
            return
        now = self._node.clock.read_monotonic()
        gained = Counter(pool for _, pool in plan.moves)
        coming = Counter(pool for pool, _ in self._orders.moving.values())
        present = Counter(
            machine.pool
            for machine in self._machines.values()
            if machine.state is MachineState.UP
            and machine.name not in self._orders.moving
        )
        for pool, demand in demands.items():
            log_event(
                "pool-sized",
                pool=pool,
                needed=demand.cores,
                late=demand.late_cores,
                held=held[pool],
                present=present[pool],
                coming=coming[pool],
                gained=gained[pool],
                list_age=now - self._listed_at,
            )

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
            set(self._orders.down),
            now - announced_at,
            self._list_spare(),
        )
        held_back = self._orders.list_settling() | self._orders.ordering
        self._orders.give(
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

    def _note_outcome(self, name, order, took_effect):
        """Take in the outcome of an order for maintenance, or for a move."""
        if not order.wave:
            return
        self._listed_at = float("-inf")
        if took_effect:
            self._tasks.spawn(self._note_begun(name, order.wave))

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
            if is_gone and name not in self._orders.ordering:
                gone[name] = revision
        await self._records.remove_withdrawals(gone)
