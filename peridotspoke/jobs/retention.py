"""The lease with which the records of ended batches are removed after a time."""

import asyncio

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event

__all__ = ["RetentionLease"]


class RetentionLease:
    """A lease shared by batches that end at about the same time.

    The service deletes their records when the lease expires, without further calls.
    A new lease is granted after a tenth of the retention time.

    Parameters
    ----------
    settings : JobsSettings
    environment : JobsEnvironment
    """

    def __init__(self, settings, environment):
        self._settings = settings
        self._environment = environment
        self._lease = None
        self._lock = asyncio.Lock()

    async def get(self):
        """Return the identifier of the lease, or 0 if none could be granted."""
        window = self._settings.retention / 10
        async with self._lock:
            now = self._environment.clock.read_monotonic()
            if self._lease is None or now > self._lease.requested_at + window:
                ttl = self._settings.retention + window
                try:
                    self._lease = await self._environment.service.grant_lease(ttl)
                except PlatformError as error:
                    log_event("retention-not-granted", "WARNING", error=error)
                    return 0
            return self._lease.lease_id
