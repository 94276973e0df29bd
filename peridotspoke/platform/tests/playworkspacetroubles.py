"""Disruptions and changes of plays with workspaces."""

import asyncio
import signal
import time

from peridotspoke.platform.tests.playkeychecks import REVOCATION
from peridotspoke.platform.tests.playtroubles import Troubles
from peridotspoke.platform.tests.playworkspaces import LOWERED_SHARES

__all__ = ["WORKSPACE_KINDS", "WorkspaceTroubles"]

WORKSPACE_KINDS = (
    *("revoke", "limit", "burst") * 2,
    *("revokeaway", "suspend"),
)
MOST_USED = 3  # nodes on which a key is used on while it is revoked
OPENING = 1.0  # seconds in which connections are opened before a revocation
AFTER_BOUND = 3.0  # seconds in which a revoked key is used beyond the bound
BURST_COUNTS = (20, 40)  # jobs
BURST = 3.0  # seconds
LATE_ANSWER, NO_ANSWER = 4.0, 3600.0  # seconds
CONNECTIONS = 4  # to a node that is to be stopped
LONG_TIMEOUT = 12.0  # seconds; calls outlast the stop of a node


class WorkspaceTroubles(Troubles):
    """Disruptions of a play with workspaces.

    Parameters
    ----------
    play : WorkspacePlay
    chance : random.Random
    kinds : sequence of str
        Kinds to draw from, of those of `Troubles` and of `WORKSPACE_KINDS`.
    """

    def __init__(self, play, chance, kinds):
        super().__init__(play.site, chance, kinds)
        self.play, self.workspaces = play, play.workspaces

    def make_config(self):
        """Return the configuration, with the workspaces as they are now."""
        return super().make_config() | {"tenants": self.workspaces.describe()}

    def _publish(self):
        """Store a new version; the store must not be away."""
        self.version += 1
        self.site.store.put("op/config", self.make_config())

    async def _wait_for_store(self):
        while self.site.store.is_away:
            await asyncio.sleep(0.02)

    def _draw_names(self):
        names = sorted(self.site.fronts)
        return self.chance.sample(names, min(MOST_USED, len(names)))

    async def _revoke(self, names=None):
        """Replace a key, which is used on on open connections."""
        names = names or self._draw_names()
        workspace = self.chance.choice(self.workspaces.items)
        key = workspace.keys[-1]
        end = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for name in names:
                group.create_task(self.play.use_key(name, workspace.name, key, end))
            await asyncio.sleep(OPENING)
            await self._revoke_key(workspace, key)
            await asyncio.sleep(REVOCATION + AFTER_BOUND)
            end.set()

    async def _revoke_key(self, workspace, key):
        """Replace a key, unless that has been done; return when."""
        await self._wait_for_store()
        if key in workspace.keys:
            self.workspaces.replace_key(workspace, key)
            self._publish()
            self.site.record("operator", f"revokes {key} of {workspace.name}")
        return time.monotonic()

    async def _revokeaway(self):
        """Replace a key while some nodes have no answers of the store, or late ones."""
        store, names = self.site.store, self._draw_names()
        cut = names[: max(1, len(names) // 2)]
        kind = self.chance.choice(["refuse", "silent", "late"])
        async with asyncio.TaskGroup() as group:
            group.create_task(self._revoke(names))
            await asyncio.sleep(self.chance.uniform(0.3, OPENING))
            self.site.record("trouble", f"{kind} for {cut}")
            if kind == "refuse":
                store.turned_away |= set(cut)
            else:
                delay = LATE_ANSWER if kind == "late" else NO_ANSWER
                store.answer_delays |= dict.fromkeys(cut, delay)
        store.turned_away -= set(cut)
        for name in cut:
            store.answer_delays.pop(name, None)

    async def _suspend(self):
        """Stop a node for longer than the bound, and replace a key meanwhile.

        Calls with the key that were sent on open connections beyond the bound are in
        the node's buffers when it continues.
        """
        name = self._draw_node()
        process = self.site.processes[name]
        workspace = self.chance.choice(self.workspaces.items)
        key = workspace.keys[-1]
        job = self.play.make_small_job(self.chance, workspace.name)
        sessions = [self.play.open_session(LONG_TIMEOUT) for _ in range(CONNECTIONS)]
        try:
            await self._call_by_all(sessions, name, job, key)
            self.site.signal_node(name, signal.SIGSTOP)
            await asyncio.sleep(self.chance.uniform(0.0, 0.5))
            revoked_at = await self._revoke_key(workspace, key)
            await asyncio.sleep(revoked_at + REVOCATION + 0.2 - time.monotonic())
            async with asyncio.TaskGroup() as group:
                group.create_task(self._call_by_all(sessions, name, job, key))
                await asyncio.sleep(self.chance.uniform(0.1, 1.5))
                if process is self.site.processes[name]:
                    self.site.signal_node(name, signal.SIGCONT)
            await self._call_by_all(sessions, name, job, key)
        finally:
            for session in sessions:
                await session.close()

    async def _call_by_all(self, sessions, name, job, key):
        """Send a call by each session at the same time: submissions and others."""
        first, *others = sessions
        async with asyncio.TaskGroup() as group:
            group.create_task(self.play.hand_in(first, name, job, key))
            for session in others:
                group.create_task(self.play.call_as(session, name, "GET", job, key))

    async def _limit(self):
        """Lower a workspace's limit for a while."""
        workspace = self.workspaces.draw_limited()
        await self._wait_for_store()
        workspace.lower(self.chance.choice(LOWERED_SHARES))
        self._publish()
        await asyncio.sleep(self.chance.uniform(2.0, 6.0))
        await self._wait_for_store()
        workspace.present_limit = workspace.limit
        self._publish()

    async def _burst(self):
        """Let one workspace send many times its usual."""
        workspace = self.chance.choice(self.workspaces.items)
        count = self.chance.randint(*BURST_COUNTS)
        await self.play.send_burst(workspace.name, count, BURST)
