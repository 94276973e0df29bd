"""One seeded play: clients, changes and disruptions on a `PlaySite`.

All that is drawn comes from the seed; the order in which processes answer does not.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field

import aiohttp
import msgspec

from peridotspoke.platform.tests.playchecks import find_breaks, find_late_pairs
from peridotspoke.platform.tests.playsite import HOST, POOLS, PlaySite
from peridotspoke.platform.tests.playtroubles import (
    KINDS,
    LONG_TASK_KINDS,
    Troubles,
)

__all__ = ["FleetPlay", "Job", "play_seed", "send_call"]

FINISH = 14.0  # seconds, as finish_s
REST = 7.0  # seconds; contactMs, cancel_ms and stopMs, and some more
LONG_FINISH = 8.0  # seconds beyond it in which jobs are still asked for
HAND_INS = 5  # times that a client hands a job in, at most
CALL_TIMEOUT = 3.0  # seconds
MANY_NODES = 8
LONGEST_LEASES = (6.0, 10.0)  # seconds; those of the users' sites
LONG_SHARE = 0.2  # share of the jobs whose tasks outlast leases
LONG_DURATIONS = (5000, 12000)  # ms


@dataclass(slots=True)
class Job:
    """What the clients know of one job; times in monotonic seconds.

    `workspace` is empty in plays without workspaces.
    """

    job_id: str
    path: str
    body: dict
    kind: str
    workspace: str = ""
    answers: list = field(default_factory=list)  # statuses of its hand-ins, 0 for none
    accepted_at: float | None = None
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None
    states: list = field(default_factory=list)  # (time asked, time told, status, state)

    @property
    def is_owed(self):
        """Whether it was accepted and nobody has cancelled it."""
        return self.accepted_at is not None and self.cancel_sent_at is None


async def send_call(session, method, address, path, body=None, headers=()):
    """Send one call; return its status, 0 if there was no answer, and the job's state.

    A path that ends with a slash asks for the count of a queue.

    Parameters
    ----------
    session : aiohttp.ClientSession
    method, address, path : str
    body : dict, optional
    headers : dict of str to str, optional
        Headers beside those of each call.
    """
    data = msgspec.json.encode(body) if body else None
    headers = {"Host": HOST, "X-Deadline-Ms": "3000", **dict(headers)}
    status, state = 0, None
    try:
        async with session.request(
            method, f"http://{address}{path}", data=data, headers=headers
        ) as response:
            content = await response.read()
            status = response.status
            if method == "GET" and status == 200 and not path.endswith("/"):
                state = msgspec.json.decode(content)["state"]
    except (aiohttp.ClientError, TimeoutError, OSError):
        pass
    return status, state


class FleetPlay:
    """One play.

    Parameters
    ----------
    site : PlaySite
    seed : int
    kinds : sequence of str
        Disruptions to draw from.
    traffic : float
        Seconds in which jobs and disruptions come.

    Attributes
    ----------
    jobs : dict of str to Job
        The jobs that clients sent, by id.
    troubles : Troubles
        The disruptions; they have a random source of their own.
    asked_at : float
        When all owed jobs are due, monotonic seconds; set once the traffic has ended.
    extra_settings : str
        More lines of the nodes' settings.
    """

    extra_settings = ""

    def __init__(self, site, seed, kinds, traffic):
        self.site, self.traffic, self.jobs = site, traffic, {}
        self.chance = random.Random(seed)
        self.troubles = Troubles(site, random.Random(-seed - 1), kinds)
        self.has_long_tasks = not LONG_TASK_KINDS.isdisjoint(kinds)

    async def run(self):
        """Send jobs beside disruptions, rest, and return the broken rules."""
        await self.site.open(self.troubles.make_config())
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
        limit = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
        async with aiohttp.ClientSession(connector=connector, timeout=limit) as session:
            self.session = session
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_jobs(group))
                group.create_task(self.troubles.run(group, self.traffic))
            await self._ask_for_all()
        return self.find_breaks()

    def find_breaks(self):
        """Return what broke a rule, each with the rule's name first."""
        return find_breaks(self)

    async def call(self, method, job, body=None):
        """Call a drawn node; the status is 0 if there was no answer."""
        name = random.choice(list(self.site.fronts))
        asked_at = time.monotonic()
        status, state = await send_call(
            self.session, method, self.site.fronts[name], job.path, body
        )
        self.site.record("client", f"{method} {job.path} {name}: {status} {state}")
        if method == "GET":
            job.states.append((asked_at, time.monotonic(), status, state))
        return status, state

    async def _send_jobs(self, group):
        end = time.monotonic() + self.traffic
        longest = self.chance.choice([0.5, 0.5, 0.15])  # the last one fills the pools
        while time.monotonic() < end:
            job = self._draw_job()
            self.jobs[job.job_id] = job
            group.create_task(self._follow(job))
            await asyncio.sleep(self.chance.uniform(0.05, longest))

    def _draw_job(self):
        chance = self.chance
        kind = chance.choice(["plain", "plain", "gang", "steps", "timed", "lasting"])
        duration, cpu = chance.choice([300, 800, 1500, 3000]), chance.choice([1, 2, 4])
        count = chance.randint(2, 5)
        if self.has_long_tasks and chance.random() < LONG_SHARE:
            duration, cpu = chance.randint(*LONG_DURATIONS), 1
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
        patience = chance.uniform(*(5.0, 20.0) if self.has_long_tasks else (1.0, 6.0))
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
        """Ask for each owed job until all have ended, or are due for a while."""
        now = time.monotonic()
        self.asked_at, calm_at = now + FINISH, now + REST
        left = [job for job in self.jobs.values() if job.is_owed]
        while left or time.monotonic() < calm_at:
            if time.monotonic() > self.asked_at + LONG_FINISH:
                return
            for job in list(left):
                if (await self.call("GET", job))[1] in ("completed", "failed"):
                    left.remove(job)
            await asyncio.sleep(1.0)


async def play_seed(
    seed, folder, kinds=KINDS, traffic=25.0, longest_lease=None, make=FleetPlay
):
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
    longest_lease : float, optional
        Seconds, as holdMaxMs; drawn from the seed if None.
    make : type, optional
        Class of the play.

    Returns
    -------
    play : FleetPlay
    breaks : list of str
        What broke a rule.
    """
    random.seed(seed)
    if longest_lease is None:
        longest_lease = random.Random(f"lease {seed}").choice(LONGEST_LEASES)
    node_count = MANY_NODES if seed % 8 == 0 else 3
    site = PlaySite(folder, node_count, longest_lease, make.extra_settings)
    play = make(site, seed, kinds, traffic)
    try:
        breaks = await play.run()
        for text in breaks + find_late_pairs(play):
            site.record("judge", text)
    finally:
        await site.close()
    return play, breaks
