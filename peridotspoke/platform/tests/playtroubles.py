"""Disruptions and changes of a play, each a coroutine that is named after its kind."""

import asyncio
import base64
import math
import signal
import time

import msgspec

from peridotspoke.nodes.keys import key_owner
from peridotspoke.nodes.records import OwnerRecord
from peridotspoke.platform.tests.playsite import HOST, POOLS, SPARE

__all__ = ["KINDS", "LONG_TASK_KINDS", "Troubles"]

GRACE = 6.0  # seconds, as graceS
KINDS = (
    *("drain", "refuse", "lapse", "cut", "crash", "rollout", "late") * 2,
    *("store", "lost", "compact", "away", "freeze", "kill", "term", "hup"),
    *("config", "wave", "odd"),
)
LONG_TASK_KINDS = {"recut", "recutkill"}  # played with tasks that outlast leases
MOST_RECUT = 4  # executors at a time; the others have room for second runs


class Troubles:
    """Disruptions that come in series and overlap.

    Parameters
    ----------
    site : PlaySite
    chance : random.Random
    kinds : sequence of str
        Kinds to draw from.

    Attributes
    ----------
    spans : list of [str, float, float]
        Kind, begin and end of each disruption, in monotonic seconds.
    drains : list of (str, float, float)
        Executor, begin and end of each drain.
    """

    def __init__(self, site, chance, kinds):
        self.site, self.chance, self.kinds = site, chance, kinds
        self.spans, self.drains = [], []
        self.version, self.wave_count, self.recut_count = 7, 0, 0

    def make_config(self):
        """Return the configuration, with terms that are drawn anew."""
        chance = self.chance
        routes = [
            {
                "name": f"{urgency}-{pool}",
                "host": HOST,
                "prefix": f"/{urgency}-{pool}/",
                "service": pool,
                "priority": priority,
                "maxAttempts": chance.randint(3, 5),
                "stretch": chance.choice([1.5, 2.2, 4.0]),
                "targetLatencyMs": chance.choice([600, 2500]),
            }
            for pool in POOLS[:2]
            for priority, urgency in enumerate(("urgent", "plain", "bulk"))
        ]
        services = [
            {"name": pool, "admissionCheck": True, "spare": pool == SPARE}
            for pool in POOLS
        ]
        return {"version": self.version, "routes": routes, "services": services}

    async def run(self, group, seconds):
        """Begin disruptions for some seconds; the group's tasks end them."""
        end = time.monotonic() + seconds
        await asyncio.sleep(2.0)
        while time.monotonic() < end:
            for _ in range(self.chance.choice([1, 1, 1, 2, 3])):  # series overlap
                group.create_task(self._disturb(self.chance.choice(self.kinds)))
                await asyncio.sleep(self.chance.uniform(0.0, 0.4))
            await asyncio.sleep(self.chance.uniform(0.2, 1.6))

    async def _disturb(self, kind):
        self.site.record("trouble", kind)
        span = [kind, time.monotonic(), math.inf]
        self.spans.append(span)
        await getattr(self, f"_{kind}")()
        span[2] = time.monotonic()

    def _draw_executor(self, is_apt=lambda _: True):
        ready = [
            item
            for item in self.site.executors
            if item.state == "ready" and item.is_reachable and is_apt(item)
        ]
        return self.chance.choice(ready) if ready else None

    async def _drain(self):
        if (executor := self._draw_executor()) is None:
            return
        executor.drain()
        drained_at = time.monotonic()
        await asyncio.sleep(self.chance.uniform(1.5, 5.0))
        self.drains.append((executor.executor_id, drained_at, time.monotonic()))
        if not executor.is_reachable:
            executor.state = "ready"
        elif self.chance.random() < 0.4:
            await self._end_life(executor)
        else:
            executor.recover()

    async def _end_life(self, executor):
        executor.crash()
        await asyncio.sleep(self.chance.choice([0.3, 1.0, 3.0]))
        if not executor.has_left:
            executor.restart()

    async def _refuse(self):
        if (executor := self._draw_executor()) is not None:
            listener = self.site.listeners[executor]
            await listener.refuse(self.chance.choice([0.3, 0.6, 1.5, 3.0]))

    async def _lapse(self):
        """Let a draining executor's entry lapse in an outage, then refuse once."""
        store = self.site.store
        if store.is_away or (executor := self._draw_executor()) is None:
            return
        executor.drain()
        await asyncio.sleep(0.4)
        store.is_away = True
        await asyncio.sleep(self.chance.choice([0.8, 2.0, 3.0]))
        store.remove(f"servers/{executor.executor_id}")
        store.is_away = False
        executor.beaten_at = time.monotonic() + 0.5  # back within two seconds
        await asyncio.sleep(self.chance.uniform(0.0, 0.6))
        if executor in self.site.listeners:
            await self.site.listeners[executor].refuse(self.chance.choice([0.3, 1.0]))
        await asyncio.sleep(2.0)
        executor.recover()

    async def _cut(self):
        """Cut an executor off that works on."""
        if (executor := self._draw_executor()) is not None:
            executor.cut = True
            await asyncio.sleep(self.chance.choice([1.0, 2.5, 5.5]))
            executor.cut = False
            executor.beat()

    async def _crash(self):
        if (executor := self._draw_executor()) is not None:
            await self._end_life(executor)

    async def _recut(self):
        await self._cut_next_life(kills_owner=False)

    async def _recutkill(self):
        await self._cut_next_life(kills_owner=True)

    async def _cut_next_life(self, kills_owner):
        """Restart an executor with late calls, then cut it off for about a lease."""
        executor = self._draw_executor(lambda item: item.has_old_clock)
        if executor is None or self.recut_count >= MOST_RECUT:
            return
        self.recut_count += 1
        executor.late_share = 0.8
        await asyncio.sleep(1.0)
        executor.late_share = 0.0
        executor.crash()
        await asyncio.sleep(0.3)
        if not executor.has_left:
            executor.restart()
            wait = self.chance.uniform(1.5, self.chance.choice([3.5, 3.5, 8.0]))
            kill_wait = wait * self.chance.uniform(0.3, 1.0)
            cut = self._draw_cut(wait)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._cut_later(executor, wait, cut))
                if kills_owner:
                    group.create_task(self._kill_owner(executor.pool, kill_wait))
        self.recut_count -= 1

    def _draw_cut(self, wait):
        """Return the seconds of a cut that begins some seconds after a restart."""
        longest = self.site.longest_lease
        if self.chance.random() < 0.5:
            return longest * self.chance.uniform(1.1, 1.2)
        # Ends behind it still count, if a late call has granted the longest lease.
        return max(0.6 * longest, longest + self.chance.uniform(0.6, 2.5) - wait)

    async def _cut_later(self, executor, wait, seconds):
        await asyncio.sleep(wait)
        executor.cut = True
        self.site.record(executor.executor_id, f"cut off for {seconds:.2f} s")
        await asyncio.sleep(seconds)
        executor.cut = False
        executor.beat()

    async def _kill_owner(self, pool, wait):
        await asyncio.sleep(wait)
        item = self.site.store.items.get(key_owner(pool))
        if item is not None:
            value = base64.b64decode(item["value"])
            owner = msgspec.json.decode(value, type=OwnerRecord)
            await self._replace_node(owner.name, signal.SIGKILL)

    async def _rollout(self):
        """Replace a pool's executors in turn; addresses go to the other pool."""
        pool = self.chance.choice(POOLS[:2])
        for executor in [item for item in self.site.executors if item.pool == pool]:
            if not executor.is_alive or executor.state != "ready":
                continue
            executor.drain()
            await asyncio.sleep(self.chance.uniform(0.3, 1.0))
            if not executor.is_alive:
                executor.state = "ready"
                continue
            others = [
                item
                for item in self.site.executors
                if item.pool != pool and item.is_reachable
            ]
            executor.crash()
            other = self.chance.choice(others) if others else None
            if other is not None:
                other.crash()
            await asyncio.sleep(self.chance.uniform(0.1, 1.0))
            if other is not None and not (executor.has_left or other.has_left):
                self.site.swap_addresses(executor, other)
            for item in (executor, other):
                if item is not None and not item.has_left:
                    item.restart()

    async def _late(self):
        if (executor := self._draw_executor()) is not None:
            executor.late_share = 0.4
            await asyncio.sleep(3.0)
            executor.late_share = 0.0

    async def _store(self):
        """Let the store be away; what it has done meanwhile may get no answer."""
        chance, store = self.chance, self.site.store
        if store.is_away:
            return
        seconds = chance.choice([0.6, 1.5, 3.0, 6.0])
        store.loses_answers, lapses = chance.random() < 0.5, chance.random() < 0.5
        pauses, forgets = chance.random() < 0.5, chance.random() < 0.3
        store.is_away = True
        await asyncio.sleep(seconds)
        for executor in self.site.executors:
            if lapses and seconds > 1 and chance.random() < 0.7:
                store.remove(f"servers/{executor.executor_id}")
                executor.beaten_at = time.monotonic() - chance.uniform(0.0, 1.4)
        if pauses:
            store.pause_leases(seconds)
        if forgets:
            store.compact()
        store.is_away = False

    async def _lost(self):
        self.site.store.faults += [self.chance.choice(["lost", "busy"])] * 3

    async def _compact(self):
        self.site.store.compact()

    async def _away(self):
        """Let the store turn some nodes away."""
        names = self.chance.sample(sorted(self.site.fronts), len(self.site.fronts) // 2)
        self.site.store.turned_away |= set(names)
        await asyncio.sleep(self.chance.choice([1.0, 3.0, 6.0]))
        self.site.store.turned_away -= set(names)

    def _draw_node(self):
        return self.chance.choice(sorted(self.site.fronts))

    async def _freeze(self):
        name = self._draw_node()
        process = self.site.processes[name]
        self.site.signal_node(name, signal.SIGSTOP)
        await asyncio.sleep(self.chance.choice([0.5, 1.5, 4.0]))
        if process is self.site.processes[name]:
            self.site.signal_node(name, signal.SIGCONT)

    async def _kill(self):
        await self._replace_node(self._draw_node(), signal.SIGKILL)

    async def _term(self):
        await self._replace_node(self._draw_node(), signal.SIGTERM)

    async def _replace_node(self, name, number):
        process = self.site.processes[name]
        if process.poll() is not None:
            return
        self.site.signal_node(name, signal.SIGCONT)
        self.site.signal_node(name, number)
        end = time.monotonic() + GRACE
        while process.poll() is None:
            if time.monotonic() > end:
                self.site.signal_node(name, signal.SIGKILL)
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.chance.uniform(0.1, 1.0))
        if process is self.site.processes[name]:
            self.site.start_node(name)

    async def _hup(self):
        self.site.signal_node(self._draw_node(), signal.SIGHUP)

    async def _config(self):
        for _ in range(self.chance.randint(1, 4)):
            self.version += self.chance.randint(1, 3)
            if not self.site.store.is_away:
                self.site.store.put("op/config", self.make_config())
            await asyncio.sleep(self.chance.uniform(0.05, 0.8))

    async def _odd(self):
        """Let another writer take the place of an executor's entry for a while."""
        if self.site.store.is_away or (executor := self._draw_executor()) is None:
            return
        entry = executor.describe()
        values = [
            b"\xff{",
            {**entry, "state": "unknown"},
            {**entry, "service": "unknown"},
            {**entry, "born": "late"},
            {name: entry[name] for name in ("service", "seq")},
        ]
        key = f"servers/{executor.executor_id}"
        self.site.store.put(key, self.chance.choice(values))
        await asyncio.sleep(self.chance.uniform(0.2, 1.5))
        executor.beat()

    async def _wave(self):
        """Ask for the upkeep of some machines."""
        if self.site.store.is_away:
            return
        self.wave_count += 1
        machines = [e.machine for e in self.site.executors if e.pool != SPARE]
        wave = {
            "wave": self.wave_count,
            "machines": self.chance.sample(machines, min(3, len(machines))),
            "durationS": 20,
            "maxCount": 1,
        }
        self.site.waves[self.wave_count] = wave
        self.site.store.put(f"op/wave/{self.wave_count}", wave)
