"""One seeded play: clients, changes and disruptions on a `PlaySite`.

All that is drawn comes from the seed; the order in which processes answer does not.
"""

import asyncio
import random
import signal
import time
from dataclasses import dataclass, field

import aiohttp
import msgspec

from peridotspoke.platform.tests.playchecks import find_breaks
from peridotspoke.platform.tests.playsite import HOST, POOLS, SPARE, PlaySite

__all__ = ["KINDS", "FleetPlay", "Job", "play_seed"]

FINISH = 14.0  # seconds, as finish_s
LONG_FINISH = 16.0  # seconds in which an unfinished job's runs are looked at besides
HAND_INS = 5  # times that a client hands a job in, at most
CALL_TIMEOUT = 3.0  # seconds
MANY_NODES = 8
LAST_KINDS = ("drain", "refuse", "lapse", "cut", "crash", "rollout", "late")
KINDS = (
    *LAST_KINDS,
    *("store", "lost", "compact", "away", "freeze", "kill", "term", "hup"),
    *("config", "wave", "drain", "lapse", "rollout"),
)


@dataclass(slots=True)
class Job:
    """What the clients know of one job; times in monotonic seconds."""

    job_id: str
    path: str
    body: dict
    kind: str
    answers: list = field(default_factory=list)  # statuses of its hand-ins, 0 for none
    accepted_at: float | None = None
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None
    states: list = field(default_factory=list)  # (time asked, time told, status, state)

    @property
    def is_owed(self):
        """Whether it was accepted and nobody has cancelled it."""
        return self.accepted_at is not None and self.cancel_sent_at is None


class FleetPlay:
    """One play; `troubles` has the spans of all disruptions that it made."""

    def __init__(self, site, seed, kinds, traffic):
        self.site, self.kinds, self.traffic = site, kinds, traffic
        self.chance = random.Random(seed)
        self.jobs, self.troubles, self.drains = {}, [], []
        self.version, self.wave_count = 7, 0

    async def run(self):
        """Send jobs beside disruptions, rest, and return the broken rules."""
        await self.site.open(self._make_config())
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
        limit = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
        async with aiohttp.ClientSession(connector=connector, timeout=limit) as session:
            self.session = session
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_jobs(group))
                group.create_task(self._make_troubles(group))
            await asyncio.sleep(FINISH)
            await self._ask_for_all()
        return find_breaks(self)

    def _make_config(self):
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

    async def call(self, method, job, body=None):
        """Call a drawn node; the status is 0 if there was no answer."""
        name = random.choice(list(self.site.fronts))
        data = msgspec.json.encode(body) if body else None
        url = f"http://{self.site.fronts[name]}{job.path}"
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        asked_at = time.monotonic()
        status, state = 0, None
        try:
            async with self.session.request(
                method, url, data=data, headers=headers
            ) as response:
                content = await response.read()
                status = response.status
                if method == "GET" and status == 200:
                    state = msgspec.json.decode(content)["state"]
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        self.site.record("client", f"{method} {job.path} {name}: {status} {state}")
        if method == "GET":
            job.states.append((asked_at, time.monotonic(), status, state))
        return status, state

    async def _send_jobs(self, group):
        end = time.monotonic() + self.traffic
        while time.monotonic() < end:
            job = self._draw_job()
            self.jobs[job.job_id] = job
            group.create_task(self._follow(job))
            await asyncio.sleep(self.chance.uniform(0.1, 0.5))

    def _draw_job(self):
        chance = self.chance
        kind = chance.choice(["plain", "plain", "gang", "steps", "timed", "lasting"])
        duration, cpu = chance.choice([300, 800, 1500, 3000]), chance.choice([1, 2, 4])
        count = chance.randint(2, 5)
        spec = {"ms": duration, "cpu": 1000 * cpu}
        need = {"cpu": 1000 * cpu, "memMb": 100, "estimateMs": duration}
        steps, times = [{"count": count, **need}], {}
        match kind:
            case "gang":
                steps[0]["gang"], spec["gang"] = True, count
            case "steps":
                steps.append({"count": 2, **need, "after": [0]})
            case "timed":
                first = time.time_ns() // 1_000_000 + 1000
                times = {"repeatCount": 3, "firstMs": first, "intervalMs": 700}
            case "lasting":
                spec["ms"], need["cpu"], spec["cpu"] = 0, 500, 500
                steps = [{"count": 2, **need, "longRunning": True, "mayMiss": 1}]
        job_id = f"{chance.getrandbits(64):016x}"
        urgency = chance.choice(["urgent", "plain", "bulk"])
        path = f"/{urgency}-{chance.choice(POOLS[:2])}/{job_id}"
        text = msgspec.json.encode(spec).decode()
        return Job(job_id, path, {"spec": text, "steps": steps, **times}, kind)

    async def _follow(self, job):
        """Hand a job in, ask for it now and then, and cancel some."""
        chance = random.Random(job.job_id)
        for _ in range(HAND_INS):
            status, _ = await self.call("POST", job, job.body)
            job.answers.append(status)
            if status == 200:
                job.accepted_at = time.monotonic()
                break
            if status == 404:
                return
            await asyncio.sleep(chance.uniform(0.2, 0.8))
        if chance.random() < 0.1:  # "such a request also arrives seconds after the 2xx"
            await asyncio.sleep(chance.uniform(0.5, 3.0))
            job.answers.append((await self.call("POST", job, job.body))[0])
        patience = chance.uniform(1.0, 6.0)
        if job.kind == "lasting" or chance.random() < 0.1:
            await asyncio.sleep(patience)
            await self._cancel(job)
        for _ in range(6):
            await asyncio.sleep(1.5)
            if (await self.call("GET", job))[1] in ("completed", "cancelled"):
                return

    async def _cancel(self, job):
        job.cancel_sent_at = time.monotonic()
        for _ in range(HAND_INS):
            if (await self.call("DELETE", job))[0] in (200, 410):
                job.cancelled_at = time.monotonic()
                return
            await asyncio.sleep(0.5)

    async def _ask_for_all(self):
        """Ask for each owed job until it has ended, for a while."""
        self.asked_at = time.monotonic()
        left = [job for job in self.jobs.values() if job.is_owed]
        while left and time.monotonic() < self.asked_at + LONG_FINISH:
            for job in list(left):
                if (await self.call("GET", job))[1] in ("completed", "failed"):
                    left.remove(job)
            await asyncio.sleep(1.0)

    async def _make_troubles(self, group):
        end = time.monotonic() + self.traffic
        await asyncio.sleep(2.0)
        while time.monotonic() < end:
            for _ in range(self.chance.choice([1, 1, 1, 2, 3])):  # series overlap
                group.create_task(self._disturb(self.chance.choice(self.kinds)))
                await asyncio.sleep(self.chance.uniform(0.0, 0.4))
            await asyncio.sleep(self.chance.uniform(0.2, 1.6))

    async def _disturb(self, kind):
        self.site.record("trouble", kind)
        span = [kind, time.monotonic(), float("inf")]
        self.troubles.append(span)
        await getattr(self, f"_{kind}")()
        span[2] = time.monotonic()

    def _draw_executor(self):
        ready = [
            item
            for item in self.site.executors
            if item.state == "ready" and not (item.cut or item.down or item.has_left)
        ]
        return self.chance.choice(ready) if ready else None

    async def _drain(self):
        if (executor := self._draw_executor()) is None:
            return
        executor.drain()
        drained_at = time.monotonic()
        await asyncio.sleep(self.chance.uniform(1.5, 5.0))
        self.drains.append((executor.executor_id, drained_at, time.monotonic()))
        if executor.has_left or executor.down or executor.cut:
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

    async def _rollout(self):
        """Replace a pool's executors in turn; addresses go to the other pool."""
        pool = self.chance.choice(POOLS[:2])
        for executor in [item for item in self.site.executors if item.pool == pool]:
            if executor.has_left or executor.down or executor.state != "ready":
                continue
            executor.drain()
            await asyncio.sleep(self.chance.uniform(0.3, 1.0))
            if executor.has_left or executor.down:
                executor.state = "ready"
                continue
            others = [
                item
                for item in self.site.executors
                if item.pool != pool and not (item.has_left or item.down or item.cut)
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
        await self._replace_node(signal.SIGKILL)

    async def _term(self):
        await self._replace_node(signal.SIGTERM)

    async def _replace_node(self, number):
        name = self._draw_node()
        process = self.site.processes[name]
        if process.poll() is not None:
            return
        self.site.signal_node(name, signal.SIGCONT)
        self.site.signal_node(name, number)
        end = time.monotonic() + 6.0  # graceS
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
                self.site.store.put("op/config", self._make_config())
            await asyncio.sleep(self.chance.uniform(0.05, 0.8))

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


async def play_seed(seed, folder, kinds=KINDS, traffic=25.0):
    """Play one seed.

    Parameters
    ----------
    seed : int
    folder : pathlib.Path
        Gets the record and the nodes' logs.
    kinds : sequence of str, optional
        Disruptions to draw from.
    traffic : float, optional
        Seconds in which jobs and disruptions come.

    Returns
    -------
    play : FleetPlay
    breaks : list of str
        What broke a rule.
    """
    random.seed(seed)
    site = PlaySite(folder, MANY_NODES if seed % 8 == 0 else 3)
    play = FleetPlay(site, seed, kinds, traffic)
    try:
        breaks = await play.run()
        for text in breaks:
            site.record("judge", text)
    finally:
        await site.close()
    return play, breaks
