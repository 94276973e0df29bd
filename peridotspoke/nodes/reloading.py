"""Reloads changed settings, periodically and on a signal."""

import asyncio
from dataclasses import fields

from peridotspoke.exceptions import SettingsError
from peridotspoke.logs import log_event

__all__ = ["SettingsReload"]

POLL_INTERVAL = 2.0  # seconds between two reads of the settings file
# Settings whose change takes effect only after a restart.
RESTART_SETTINGS = frozenset(
    {
        "name",
        "zone",
        "front",
        "ready",
        "metrics",
        "store",
        "memory",
        "descriptors",
        "callers",
    }
)


class SettingsReload:
    """Reads the settings repeatedly and hands changed ones to the node.

    Parameters
    ----------
    node : NodeParts
    read : callable
        Returns the current `NodeSettings`; raises `SettingsError` if they are invalid.
    """

    def __init__(self, node, read):
        self._node = node
        self._read = read
        self._reload_requested = asyncio.Event()
        self._last_error = ""

    def request_reload(self):
        """Request a reload without waiting for the next periodic one."""
        log_event("settings-signal")
        self._reload_requested.set()

    async def run(self):
        """Reload the settings periodically and on request, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL):
                    await self._reload_requested.wait()
            except TimeoutError:
                pass
            self._reload_requested.clear()
            self.reload()

    def reload(self):
        """Read the settings and apply them if they have changed.

        Invalid settings change nothing and are logged once, until they become valid or
        their error changes.
        """
        try:
            settings = self._read()
        except SettingsError as error:
            if str(error) != self._last_error:
                log_event("settings-refused", "ERROR", error=error)
            self._last_error = str(error)
            return
        self._last_error = ""
        current = self._node.settings
        changed = [
            item.name
            for item in fields(settings)
            if getattr(settings, item.name) != getattr(current, item.name)
        ]
        if not changed:
            return
        self._node.settings = settings
        restart_only = sorted(RESTART_SETTINGS.intersection(changed))
        log_event(
            "settings-reloaded",
            "WARNING" if restart_only else "INFO",
            changed=",".join(changed),
            only_after_restart=",".join(restart_only) or None,
        )
