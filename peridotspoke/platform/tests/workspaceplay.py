"""A play whose callers belong to workspaces and send keys."""

import asyncio
import random
import time

import aiohttp

from peridotspoke.platform.tests.fleetplay import (
    CALL_TIMEOUT,
    FleetPlay,
    Job,
    send_call,
)
from peridotspoke.platform.tests.playkeychecks import (
    REVOCATION,
    Call,
    find_key_breaks,
    find_shown_keys,
)
from peridotspoke.platform.tests.playlimitchecks import find_over_limits
from peridotspoke.platform.tests.playsite import POOLS
from peridotspoke.platform.tests.playversions import read_versions
from peridotspoke.platform.tests.playworkspaces import PlayWorkspaces
from peridotspoke.platform.tests.playworkspacetroubles import WorkspaceTroubles

__all__ = ["WorkspacePlay"]

REVOKE_MS = round(1000 * REVOCATION)
KEY_HEADER = "X-Api-Key"
USER_INTERVAL = 0.25  # seconds between two calls of one connection
MOST_IDLE = 60.0  # seconds for which a caller keeps an idle connection open
# Which key a call has that is not to be served.
INTRUSIONS = ("unknown", "absent", "other", "other", "other")


class WorkspacePlay(FleetPlay):
    """Play with workspaces; parameters as of `FleetPlay`.

    Attributes
    ----------
    workspaces : PlayWorkspaces
    calls : list of Call
        All calls that were answered or given up.
    """

    extra_settings = f"bounds.strictRevoke=true\nbounds.revokeMs={REVOKE_MS}\n"

    def __init__(self, site, seed, kinds, traffic):
        super().__init__(site, seed, kinds, traffic)
        self.workspaces = PlayWorkspaces(random.Random(f"workspaces {seed}"))
        self.troubles = WorkspaceTroubles(self, random.Random(-seed - 1), kinds)
        self.calls = []

    def find_breaks(self):
        """Return what broke a rule, each with the rule's name first."""
        versions = read_versions(self.site.store.configurations)
        logs = {
            name: (self.site.folder / f"{name}.log").read_text("utf-8", "replace")
            for name in self.site.fronts
        }
        return [
            *super().find_breaks(),
            *find_key_breaks(self.calls, versions),
            *find_over_limits(self.site.runs, self.jobs, versions),
            *find_shown_keys(logs, versions),
        ]

    async def call(self, method, job, body=None):
        """Call a drawn node with the present key of the job's workspace."""
        name = random.choice(list(self.site.fronts))
        key = self.workspaces.find_key(job.workspace)
        return await self.call_as(self.session, name, method, job, key, body)

    async def call_as(self, session, name, method, job, key, body=None):
        """Call a node about a job of the key's workspace."""
        call, state = await self.send(session, name, method, job.path, job, key, body)
        if method == "GET":
            job.states.append((call.asked_at, call.told_at, call.status, state))
        return call.status, state

    async def send(self, session, name, method, path, job, key, body=None):
        """Send a call, and keep it for the checks.

        Parameters
        ----------
        session : aiohttp.ClientSession
        name : str
            The node's.
        method, path : str
        job : Job or None
            The path's job, if it has one.
        key : str or None
        body : dict, optional

        Returns
        -------
        call : Call
        state : str or None
        """
        headers = {} if key is None else {KEY_HEADER: key}
        address = self.site.fronts[name]
        owner = job.workspace if job is not None and job.accepted_at else ""
        asked_at = time.monotonic()
        status, state = await send_call(session, method, address, path, body, headers)
        call = Call(asked_at, time.monotonic(), name, method, path, owner, key, status)
        self.calls.append(call)
        self.site.record("client", f"{method} {path} {name} {key}: {status} {state}")
        return call, state

    async def _send_jobs(self, group):
        group.create_task(self._intrude())
        await super()._send_jobs(group)

    def _draw_job(self):
        job = super()._draw_job()
        job.workspace = self.workspaces.draw().name
        return job

    def make_small_job(self, chance, workspace):
        """Return a short job of one task, which is added to the jobs of the play."""
        cpu, duration = chance.choice([500, 1000]), chance.choice([300, 800])
        spec = f'{{"ms":{duration},"cpu":{cpu}}}'
        steps = [{"count": 1, "cpu": cpu, "memMb": 100, "estimateMs": duration}]
        job_id = f"{chance.getrandbits(64):016x}"
        path = f"/plain-{chance.choice(POOLS[:2])}/{job_id}"
        job = Job(job_id, path, {"spec": spec, "steps": steps}, "plain", workspace)
        self.jobs[job_id] = job
        return job

    async def send_burst(self, workspace, count, seconds):
        """Send many small jobs of one workspace and wait for their callers."""
        chance = random.Random(self.workspaces.chance.random())
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                job = self.make_small_job(chance, workspace)
                group.create_task(self._follow(job))
                await asyncio.sleep(seconds / count)

    async def use_key(self, name, workspace, key, end):
        """Use one key on one connection to a node, also once it is revoked.

        Parameters
        ----------
        name : str
            The node's.
        workspace, key : str
        end : asyncio.Event
            Set once it is to stop.
        """
        chance, job = random.Random(f"{key} {name}"), None
        async with self.open_session(CALL_TIMEOUT) as session:
            while not end.is_set():
                if job is None or chance.random() < 0.2:
                    job = self.make_small_job(chance, workspace)
                    await self.hand_in(session, name, job, key)
                elif chance.random() < 0.3:
                    path = job.path.rpartition("/")[0] + "/"
                    await self.send(session, name, "GET", path, None, key)
                elif chance.random() < 0.1:
                    await self._cancel_as(session, name, job, key)
                    job = None
                else:
                    await self.call_as(session, name, "GET", job, key)
                await asyncio.sleep(USER_INTERVAL)

    async def _cancel_as(self, session, name, job, key):
        job.cancel_sent_at = time.monotonic()
        status, _ = await self.call_as(session, name, "DELETE", job, key)
        if status == 200:
            job.cancelled_at = time.monotonic()

    def open_session(self, timeout):
        """Return a session of one connection to each node, that is kept open."""
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit_per_host=1, keepalive_timeout=MOST_IDLE
            ),
            timeout=aiohttp.ClientTimeout(total=timeout),
        )

    async def hand_in(self, session, name, job, key):
        """Hand a job in by a given key."""
        status, _ = await self.call_as(session, name, "POST", job, key, job.body)
        job.answers.append(status)
        if status == 200:
            job.accepted_at = time.monotonic()

    async def _intrude(self):
        """Send calls that are not to be served, or not to reach the job they name."""
        chance = random.Random(self.workspaces.chance.random())
        end = time.monotonic() + self.traffic
        while time.monotonic() < end:
            await asyncio.sleep(chance.uniform(0.1, 0.5))
            accepted = [job for job in self.jobs.values() if job.accepted_at]
            if accepted:
                await self._intrude_on(chance.choice(accepted), chance)

    async def _intrude_on(self, job, chance):
        name = chance.choice(sorted(self.site.fronts))
        key = self._draw_intruders_key(job, chance.choice(INTRUSIONS))
        method = chance.choice(["GET", "POST", "DELETE"])
        body = job.body if method == "POST" else None
        await self.send(self.session, name, method, job.path, job, key, body)

    def _draw_intruders_key(self, job, kind):
        if kind == "unknown":
            return self.workspaces.make_key()
        if kind == "absent":
            return None
        return self.workspaces.draw_other(job.workspace).keys[-1]
