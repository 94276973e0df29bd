"""Orders maintenance waves, and moves machines between pools to size them.

One node owns the fleet at a time. Before it orders a machine that has an executor, it
withdraws the executor, so that the owner of the executor's pool empties it.
"""

import asyncio
from collections import Counter

from msgspec import structs

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
from peridotspoke.workloads.executors import ExecutorCondition
from peridotspoke.workloads.machines import MachineState
from peridotspoke.workloads.maintenance import plan_wave
from peridotspoke.workloads.sizing import SizingRules, plan_moves

__all__ = ["FLEET", "FleetSupervisor"]

FLEET = "~fleet"  # name of the unit whose owner manages the machines
ROUND_INTERVAL = 0.25  # seconds between rounds while nothing changes
CHANGE_DELAY = 0.03  # seconds from a change to its round, to handle several at once
BUSY_LIST_INTERVAL = 0.7  # seconds between lists while there are waves or moves
IDLE_LIST_INTERVAL = 4.0  # seconds between lists of the machines otherwise
RESIZE_REASON = "resize"


class FleetSupervisor:
    """Orders machines' maintenance and moves while this node owns the fleet.

    Parameters
    ----------
    node : NodeParts
        Components shared by the node's tasks.
    holding : Holding
        The ownership of the fleet; its fence is sent with each order.
    encode_status : callable
        Returns, for whether a wave is completed, the status record's value in bytes.
    key_status : callable
        Returns the key of the status record for a wave's number.
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
            node, holding, self._records, self._tasks.spawn, self._handle_outcome
        )
        self._changed = asyncio.Event()
        self._histories = {}
        self._rules = SizingRules()

    async def run(self):
        """Run rounds until cancelled, while the store is available."""
        view = self._node.view
        await wait_until(view.changes, lambda: view.revision >= self._holding.fence)
        subscription = view.changes.subscribe(self._handle_changes)
        try:
            while True:
                if self._node.has_store():
                    await self._try_round()
                await self._wait_for_change()
        finally:
            subscription.dispose()
            self._tasks.cancel()

    async def _try_round(self):
        try:
            await self._run_round()
        except PlatformError as error:
            log_event("fleet-round-failed", "WARNING", error=error)

    def _handle_changes(self, changed):
        if "pool" in changed or "withdrawal" in changed:
            self._changed.set()

    async def _wait_for_change(self):
        """Wait for a change of the pools or withdrawals, or for the interval's end."""
        try:
            async with asyncio.timeout(ROUND_INTERVAL):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()
        await asyncio.sleep(CHANGE_DELAY)

    async def _run_round(self):
        if not self._orders.has_restored:
            self._orders.restore(await self._records.read_orders())
        waves = [
            wave
            for wave, _ in self._node.view.waves.values()
            if not self._is_completed(wave.number)
        ]
        busy = bool(waves or self._orders.moving or self._node.view.withdrawals)
        await self._list_machines(BUSY_LIST_INTERVAL if busy else IDLE_LIST_INTERVAL)
        self._orders.apply_list(self._machines, self._listed_at)
        for wave in waves:
            await self._advance_wave(wave)
        await self._size_pools()
        await self._remove_stale_withdrawals()
        await self._orders.drop_old()

    async def _list_machines(self, age):
        now = self._node.clock.read_monotonic()
        if now - self._listed_at < age:
            return
        machines = await self._node.machines.list()
        self._machines = {machine.name: machine for machine in machines}
        self._listed_at = now

    async def _size_pools(self):
        """Size the pools: withdraw machines, move empty ones, restore others."""
        if not self._machines:
            return
        now = self._node.clock.read_monotonic()
        demands = self._read_demands()
        recent_peaks = {}
        for pool, demand in demands.items():
            history = self._histories.setdefault(
                pool, DemandHistory(self._rules.hold_time)
            )
            recent_peaks[pool] = history.record(
                demand.cores * self._rules.headroom, now
            )
        withdrawn = dict(self._node.view.withdrawals)
        resizing = {
            name: empty
            for name, empty in self._list_withdrawn().items()
            if withdrawn[name][0].reason == RESIZE_REASON
        }
        others = set(withdrawn) - set(resizing) - self._list_departed().keys()
        others |= self._orders.in_progress | self._orders.in_maintenance.keys()
        plan = plan_moves(
            self._machines,
            demands,
            recent_peaks,
            next(iter(sorted(self._list_spare())), ""),
            resizing,
            {name: pool for name, (pool, _) in self._orders.moving.items()},
            others,
            self._rules,
            self._orders.list_blocked(),
        )
        self._log_plan(plan, demands, recent_peaks)
        self._orders.submit(
            {
                name: RecentOrder(self._machines[name].executor_id, pool=pool)
                for name, pool in plan.moves
            }
        )
        machines = self._machines
        await self._records.remove_withdrawals(
            {name: withdrawn[name][1] for name in plan.restore}
        )
        await self._records.withdraw(
            [machines[name] for name in plan.withdraw], RESIZE_REASON
        )

    def _log_plan(self, plan, demands, recent_peaks):
        """Log each pool's demand and machines, if the plan changes anything."""
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
        taking = self._count_taking()
        for pool, demand in demands.items():
            log_event(
                "pool-sized",
                pool=pool,
                needed=demand.cores,
                late=demand.late_cores,
                held=recent_peaks[pool],
                present=present[pool],
                taking=taking[pool],
                coming=coming[pool],
                gained=gained[pool],
                list_age=now - self._listed_at,
            )

    def _count_taking(self):
        """Return a Counter by pool of the machines whose executors take new work.

        Executors that drain, are withdrawn or are not listed take none.
        """
        view = self._node.view
        withdrawn = self._list_withdrawn()
        return Counter(
            machine.pool
            for name, machine in self._machines.items()
            if name not in withdrawn
            and (entry := view.entries.get(machine.executor_id)) is not None
            and entry.pool == machine.pool
            and entry.condition is ExecutorCondition.READY
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

    async def _advance_wave(self, wave):
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
            set(self._orders.in_maintenance),
            now - announced_at,
            self._list_spare(),
        )
        blocked = self._orders.list_blocked() | self._orders.in_progress
        self._orders.submit(
            {
                name: RecentOrder(self._machines[name].executor_id, wave=wave.number)
                for name in plan.begin
                if name not in blocked
            }
        )
        machines = [self._machines[name] for name in plan.withdraw]
        await self._records.withdraw(machines, f"wave {wave.number}")
        if not plan.remaining and self._machines:
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
        """Store the newest record of a wave, after any earlier write has ended."""
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

    def _handle_outcome(self, name, order, took_effect):
        """Handle the outcome of an order; only orders of waves need anything more."""
        if not order.wave:
            return
        self._listed_at = float("-inf")
        if took_effect:
            self._tasks.spawn(self._store_begun(name, order.wave))

    async def _store_begun(self, name, number):
        record = self._waves[number]
        if name not in record.begun:
            self._waves[number] = structs.replace(record, begun=(*record.begun, name))
        try:
            await self._store_wave(number)
        except PlatformError as error:
            log_event("wave-not-stored", "WARNING", wave=number, error=error)

    async def _remove_stale_withdrawals(self):
        """Remove the withdrawals of executors that no longer exist.

        A withdrawal stays while an order for its machine is being stored or sent, and
        while the executor is listed: its entry outlasts it by several heartbeats, and
        without the withdrawal the pool's owner would start runs there again.
        """
        listed = self._node.view.entries
        gone = {
            name: self._node.view.withdrawals[name][1]
            for name, executor_id in self._list_departed().items()
            if name not in self._orders.in_progress and executor_id not in listed
        }
        await self._records.remove_withdrawals(gone)

    def _list_departed(self):
        """Return the withdrawn executors that no longer exist, by machine."""
        departed = {}
        for name, (withdrawal, _) in self._node.view.withdrawals.items():
            machine = self._machines.get(name)
            if machine is None or (
                machine.state is MachineState.UP
                and machine.executor_id != withdrawal.executor_id
            ):
                departed[name] = withdrawal.executor_id
        return departed
