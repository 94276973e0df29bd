"""Keeps the fleet: maintenance waves and moves of machines between pools."""

import asyncio

import msgspec

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
)
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import key_owner, key_wave, key_withdrawal
from peridotspoke.nodes.view import Withdrawal, encode_value
from peridotspoke.store import Condition, Put, Transaction
from peridotspoke.workloads.machines import MachineState, Token
from peridotspoke.workloads.maintenance import plan_wave
from peridotspoke.workloads.sizing import DemandHistory, SizingRules, plan_moves

__all__ = ["FLEET", "FleetKeeper"]

FLEET = "~fleet"
ROUND = 0.25  # seconds between two rounds
ROUND_PAUSE = 0.03  # seconds between a change and the round that it causes
LISTING_AGE = 0.7  # seconds after which machines are listed again while duties stand
IDLE_LISTING_AGE = 4.0  # seconds after which they are listed again otherwise
HOLDER_MARGIN = 0.3  # seconds beyond the least time between two holders
RETURN_MARGIN = 0.2  # seconds
RESIZE = "resize"


class WaveRecord(msgspec.Struct, frozen=True):
    """What the store keeps of a wave: the machines that have begun."""

    begun: tuple[str, ...] = ()
    completed: bool = False


class FleetKeeper:
    """Orders machines' maintenance and moves while this node owns the fleet.

    Parameters
    ----------
    node : NodeParts
    holding : Holding
    """

    def __init__(self, node, holding, encode_status, key_status):
        self._node = node
        self._holding = holding
        self._encode_status = encode_status
        self._key_status = key_status
        self._machines = {}
        self._listed_at = float("-inf")
        self._down = {}
        self._waves = {}
        self._ordering = set()
        self._moving = {}
        self._changed = asyncio.Event()
        self._histories = {}
        self._rules = SizingRules()
        self._tasks = set()

    async def run(self):
        """Keep the fleet until cancelled."""
        view = self._node.view
        await view.wait_until(lambda: view.revision >= self._holding.fence)
        settled = 0.0
        if self._holding.previous != self._node.settings.name:
            settled = self._node.settings.bounds.holder_change + HOLDER_MARGIN
        subscription = view.changes.subscribe(self._note_changes)
        try:
            while True:
                await self._wait()
                now = self._node.clock.read_monotonic()
                if now - self._holding.since < settled:
                    continue
                try:
                    await self._run_round()
                except PlatformError as error:
                    log_event("fleet-round-failed", "WARNING", error=error)
        finally:
            subscription.dispose()
            for task in list(self._tasks):
                task.cancel()

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

    async def _list_machines(self, age):
        now = self._node.clock.read_monotonic()
        if now - self._listed_at < age:
            return
        machines = await self._node.machines.list()
        self._machines = {machine.name: machine for machine in machines}
        self._listed_at = now

    def _note_returns(self):
        """Forget maintenance of machines that are back with another executor."""
        for name, (ordered_at, executor_id) in list(self._down.items()):
            machine = self._machines.get(name)
            away = self._node.settings.bounds.maintenance + RETURN_MARGIN
            if self._listed_at - ordered_at < away:
                continue
            if machine is None or (
                machine.state is MachineState.UP and machine.executor_id != executor_id
            ):
                del self._down[name]
            elif machine.state is MachineState.UP and not executor_id:
                del self._down[name]

        for name, (pool, ordered_at) in list(self._moving.items()):
            machine = self._machines.get(name)
            away = self._node.settings.bounds.move + RETURN_MARGIN
            arrived = machine is not None and machine.pool == pool
            if machine is None or (
                machine.state is MachineState.UP
                and (arrived or self._listed_at - ordered_at > 2 * away)
            ):
                del self._moving[name]

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
        )
        for name in plan.withdraw:
            await self._withdraw(name, RESIZE)
        for name in plan.restore:
            await self._remove_withdrawal(name, withdrawn[name][1])
        for name, pool in plan.moves:
            self._ordering.add(name)
            self._moving[name] = (pool, now)
            self._spawn(self._move(name, pool))

    def _read_demands(self):
        spare = self._list_spare()
        configuration = self._node.view.configuration
        return {
            pool.name: self._node.view.pools[pool.name]
            for pool in configuration.pools
            if pool.name in self._node.view.pools and pool.name not in spare
        }

    async def _move(self, name, pool):
        """Order one machine's move."""
        machine = self._machines[name]
        outcome = "unknown"
        try:
            outcome = await self._order(
                name, lambda token: self._node.machines.move(name, pool, token)
            )
            if outcome is not None:
                self._moving.pop(name, None)
        except PlatformUnavailableError as error:
            self._moving.pop(name, None)
            outcome = error
        except AnswerLostError as error:
            outcome = error
        finally:
            self._ordering.discard(name)
            log_event(
                "move-ordered",
                machine=name,
                pool=pool,
                before=machine.pool,
                fence=self._holding.fence,
                outcome=outcome or "done",
            )

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
        for name in plan.withdraw:
            await self._withdraw(name, f"wave {wave.number}")
        for name in plan.begin:
            if name not in self._ordering:
                self._ordering.add(name)
                self._spawn(self._begin(wave, name))
        if not plan.left and self._machines:
            await self._complete(wave.number)

    async def _read_wave(self, number):
        if number not in self._waves:
            found = await self._node.store.read(key_wave(number))
            record = WaveRecord()
            if found is not None:
                record = msgspec.json.decode(found.value, type=WaveRecord)
            else:
                await self._write_wave(number, record)
            self._waves[number] = record
        return self._waves[number]

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

    async def _withdraw(self, name, reason):
        machine = self._machines[name]
        withdrawal = Withdrawal(
            machine.executor_id, machine.pool, reason, self._holding.fence
        )
        known = self._node.view.withdrawals.get(name)
        revision = known[1] if known is not None else 0
        await self._commit(
            (Condition(key_withdrawal(name), revision),),
            (Put(key_withdrawal(name), encode_value(withdrawal)),),
        )
        log_event(
            "machine-withdrawn",
            machine=name,
            executor=machine.executor_id,
            why=reason,
        )

    async def _begin(self, wave, name):
        """Order one machine's maintenance and store that it has begun."""
        machine = self._machines[name]
        self._down[name] = (self._node.clock.read_monotonic(), machine.executor_id)
        try:
            refusal = await self._order(
                name,
                lambda token: self._node.machines.maintain(name, wave.number, token),
            )
            log_event(
                "maintenance-ordered",
                machine=name,
                wave=wave.number,
                fence=self._holding.fence,
                refusal=refusal,
            )
            if refusal is None:
                self._down[name] = (
                    self._node.clock.read_monotonic(),
                    machine.executor_id,
                )
                record = self._waves[wave.number]
                begun = (*record.begun, name)
                self._waves[wave.number] = WaveRecord(begun)
                await self._write_wave(wave.number, self._waves[wave.number])
            else:
                self._down.pop(name, None)
        except PlatformUnavailableError as error:
            self._down.pop(name, None)
            log_event("maintenance-not-ordered", "WARNING", machine=name, error=error)
        except AnswerLostError as error:
            log_event("maintenance-unknown", "WARNING", machine=name, error=error)
        finally:
            self._ordering.discard(name)
            self._listed_at = float("-inf")

    async def _order(self, name, call):
        if not self._node.ownership.may_order():
            raise PlatformUnavailableError(
                "the right to order may have ended", step="order", peer=name
            )
        token = Token(self._node.settings.name, self._holding.fence)
        return await call(token)

    async def _write_wave(self, number, record):
        puts = (
            Put(key_wave(number), msgspec.json.encode(record)),
            Put(self._key_status(number), self._encode_status(record.completed)),
        )
        await self._commit((), puts)

    async def _complete(self, number):
        record = WaveRecord(self._waves[number].begun, completed=True)
        await self._write_wave(number, record)
        self._waves[number] = record
        log_event("wave-completed", wave=number, machines=len(record.begun))

    async def _clear_withdrawals(self):
        """Remove withdrawals of executors that are gone or needed no more."""
        for name, (withdrawal, revision) in list(self._node.view.withdrawals.items()):
            machine = self._machines.get(name)
            gone = machine is None or (
                machine.state is MachineState.UP
                and machine.executor_id != withdrawal.executor_id
            )
            if gone and name not in self._ordering:
                await self._remove_withdrawal(name, revision)

    async def _remove_withdrawal(self, name, revision):
        key = key_withdrawal(name)
        await self._commit((Condition(key, revision),), removals=(key,))

    async def _commit(self, conditions, puts=(), removals=()):
        owner = Condition(key_owner(self._holding.unit), self._holding.fence)
        transaction = Transaction((owner, *conditions), tuple(puts), tuple(removals))
        result = await self._node.store.commit(transaction)
        if result.won:
            return
        current = result.find_current(owner.key)
        if current is None or current.revision != self._holding.fence:
            self._node.ownership.give_up(self._holding, "the store has another owner")

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
