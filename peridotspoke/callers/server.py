"""HTTP server that bounds what its callers hold and how long they take.

The HTTP library limits each line of a head, their number, and the requests that wait on
one connection. What it has no limit for is bounded here: heads as a whole, the memory
of all connections together, their number, and the time in which a request arrives.
"""

import asyncio
from collections import Counter

from aiohttp import web

from peridotspoke.callers.budget import CallerBudget, Listener, may_give_way
from peridotspoke.callers.connection import (
    BODY_READ_SIZE,
    READ_SIZE,
    CallerConnection,
)
from peridotspoke.callers.refusals import CallerRefusedError
from peridotspoke.logs import log_event

__all__ = ["BoundedServer"]

# Bytes that are read at once from all connections together: all of them may be read
# before the first of their handlers runs.
READ_MEMORY = 8_000_000
LINGERING_TIME = 2.0  # seconds for which the rest of a refused body is discarded
SWEEP_INTERVAL = 1.0  # seconds between checks for overdue callers
NOTICE_INTERVAL = 10.0  # seconds between log lines about refusals
SCAN_INTERVAL = 0.02  # seconds between searches for a connection that gives way


class BoundedServer(web.Server):
    """HTTP server for callers that nobody controls.

    Parameters
    ----------
    handler : callable
        Coroutine function from a request to its response. Reads bodies by
        `read_body`.
    limits : CallerLimits
    metrics : MetricsRegistry
    responses : ResponseFormat
    listener : Listener, optional
    **options
        Those of `web.Server`.

    Attributes
    ----------
    budget : CallerBudget
    turn : asyncio.Semaphore
        The handler enters it while it carries out a request, not while a body arrives.
        Each request carried out may take a connection to the store.
    """

    def __init__(
        self,
        handler,
        limits,
        metrics,
        responses,
        listener=Listener.CALLERS,
        **options,
    ):
        super().__init__(
            self._handle,
            read_bufsize=BODY_READ_SIZE,
            lingering_time=LINGERING_TIME,
            **options,
        )
        self.budget = CallerBudget(limits)
        self.turn = asyncio.Semaphore(limits.handled)
        self.responses = responses
        self._handler = handler
        self._metrics = metrics
        self._listener = listener.value
        self._connection_of = {}
        self._refusals = Counter()
        self._noticed_at = self._scanned_at = float("-inf")
        self.wasteful_turn = asyncio.Lock()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL, self._sweep)

    def __call__(self):
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    async def shutdown(self, timeout=None):
        """Close all connections; open requests have `timeout` seconds to complete."""
        self._sweep_timer.cancel()
        await super().shutdown(timeout)

    async def read_body(self, request, max_size):
        """Return the body of a request as bytes.

        Raises
        ------
        CallerRefusedError
            If it is too large, too slow, malformed, or gives way to others.
        """
        declared = request.content_length or 0
        if declared > max_size:
            self.count_refusal("body-size")
            raise CallerRefusedError(413, f"the body has more than {max_size} bytes")
        return await request.protocol.read_body(request, declared, max_size)

    def choose_read_size(self):
        """Return how many bytes of a body to read at once."""
        share = READ_MEMORY // max(len(self.budget), 1)
        return min(max(share, READ_SIZE), BODY_READ_SIZE)

    def count_refusal(self, limit):
        """Count a caller that was refused or closed because of a limit.

        The log gets one line for all of them in `NOTICE_INTERVAL` seconds.
        """
        self._metrics.count("caller_refusals", limit=limit, listener=self._listener)
        self._refusals[limit] += 1

    def add(self, connection):
        """Add a connection and return its `Caller`."""
        caller = self.budget.open(self._loop.time())
        self._connection_of[caller] = connection
        return caller

    def make_room(self, newest):
        """Close the connections that give way to the `Caller` of a new one."""
        for chosen in self.budget.choose_for_room(newest, self._loop.time()):
            self._dismiss(chosen, "connections")
        if self.budget.held > self.budget.limits.memory:
            self.relieve(newest)

    def remove(self, caller):
        """Remove a connection that was closed."""
        self.budget.close(caller)
        self._connection_of.pop(caller, None)

    def relieve(self, growing):
        """Refuse heads and bodies if callers hold too much memory.

        Parameters
        ----------
        growing : Caller
            The one that holds more than before. Between two searches it is the only
            one that may be refused.
        """
        if not self.budget.is_crowded():
            return
        now = self._loop.time()
        if now - self._scanned_at < SCAN_INTERVAL:
            chosen = [growing] if may_give_way(growing, now) else []
        else:
            chosen = self.budget.choose_for_memory(now)
            self._scanned_at = self._scanned_at if chosen else now
        for caller in chosen:
            self._dismiss(caller, "memory")

    def _dismiss(self, caller, limit):
        connection = self._connection_of.get(caller)
        if connection is not None:
            self.count_refusal(limit)
            connection.dismiss(limit)

    def _sweep(self):
        now = self._loop.time()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL, self._sweep)
        for caller, limit in self.budget.find_overdue(now):
            self._dismiss(caller, limit)
        label = {"listener": self._listener}
        self._metrics.set_gauge("caller_connections", len(self.budget), **label)
        self._metrics.set_gauge("caller_bytes_held", self.budget.held, **label)
        if self._refusals and now - self._noticed_at >= NOTICE_INTERVAL:
            self._noticed_at = now
            limits = ",".join(f"{key}:{n}" for key, n in self._refusals.most_common())
            log_event(
                "callers-refused",
                "WARNING",
                limits=limits,
                connections=len(self.budget),
                held=self.budget.held,
                listener=self._listener,
            )
            self._refusals.clear()

    async def _handle(self, request):
        request.protocol.begin_request()
        try:
            return await self._handler(request)
        finally:
            request.protocol.end_request()
