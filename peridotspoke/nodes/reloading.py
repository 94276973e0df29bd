"""Takes up changed settings, with or without a signal."""

import asyncio
from dataclasses import fields

from peridotspoke.exceptions import SettingsError
from peridotspoke.logs import log_event

__all__ = ["SettingsReload"]

INTERVAL = 2.0  # seconds between two reads of the file
FIXED = frozenset({"name", "zone", "front", "ready", "metrics", "store"})


class SettingsReload:
    """Reads the settings again and gives them to the node.

    Parameters
    ----------
    node : NodeParts
    read : callable
        Returns the `NodeSettings`; raises `SettingsError`.
    """

    def __init__(self, node, read):
        self._node = node
        self._read = read
        self._asked = asyncio.Event()
        self._fault = ""

    def ask(self):
        """Read the settings at once."""
        log_event("settings-signal")
        self._asked.set()

    async def run(self):
        """Read the settings again and again until cancelled."""
        while True:
            try:
                async with asyncio.timeout(INTERVAL):
                    await self._asked.wait()
            except TimeoutError:
                pass
            self._asked.clear()
            self.reload()

    def reload(self):
        """Take up what has changed; faulty settings change nothing."""
        try:
            settings = self._read()
        except SettingsError as error:
            if str(error) != self._fault:
                log_event("settings-refused", "ERROR", error=error)
            self._fault = str(error)
            return
        self._fault = ""
        known = self._node.settings
        changed = [
            item.name
            for item in fields(settings)
            if getattr(settings, item.name) != getattr(known, item.name)
        ]
        if not changed:
            return
        self._node.settings = settings
        fixed = sorted(FIXED.intersection(changed))
        log_event(
            "settings-reloaded",
            "WARNING" if fixed else "INFO",
            changed=",".join(changed),
            only_after_restart=",".join(fixed) or None,
        )
