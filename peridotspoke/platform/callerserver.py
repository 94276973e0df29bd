"""HTTP server that bounds what its callers hold and how long they take.

The HTTP library limits each line of a head, their number, and the requests that wait on
one connection. What it has no limit for is bounded here: heads as a whole, the memory
of all connections together, their number, and the time in which a request arrives.
"""

import asyncio
import resource
from collections import Counter
from contextlib import suppress
from itertools import islice

import aiohttp
import msgspec
from aiohttp import web

from peridotspoke.logs import log_event
from peridotspoke.platform.callerbudget import (
    CallerBudget,
    Phase,
    derive_limits,
    may_give_way,
)

__all__ = ["BoundedServer", "CallerRefusedError"]

READ_SIZE = 4096  # bytes read at once from a connection whose body isn't asked for
# Bytes of a body read at once: larger reads take less processor time. All connections
# may be read before the first of their handlers runs, so they share `READ_MEMORY`.
BODY_READ_SIZE = 65_536
READ_MEMORY = 8_000_000
BLOCK_SIZE = 16_384  # bytes; blocks of one size leave no gaps in memory that is freed
# A body in chunks is read in small pieces, and only one such body after another, while
# it takes more bytes on the wire than this factor: a chunk of one byte takes as long to
# parse as a large one, and hundreds of reads full of them stop the event loop.
WASTEFUL_FACTOR = 2
MAX_HEAD = 65_536  # bytes of a head, empty lines before it included
# Memory for each byte of a head: the library keeps it raw and decoded.
HEAD_COST = 3
MESSAGE_COST = 4096  # bytes of memory for a request beside its head and body
BODY_COST = 1.0625  # memory for each byte of a body, with its blocks' overhead
WRITE_BUFFER = 16_384  # bytes of a response that wait for their caller
LINGERING_TIME = 2.0  # seconds for which the rest of a refused body is discarded
SWEEP_INTERVAL = 1.0  # seconds between checks for overdue callers
NOTICE_INTERVAL = 10.0  # seconds between log lines about refusals
SCAN_INTERVAL = 0.02  # seconds between searches for a connection that gives way
RETRY_AFTER = 1  # seconds
# Raised by reading a body that is malformed or whose caller disconnects.
BODY_ERRORS = (aiohttp.ClientError, web.RequestPayloadError, ConnectionError)
NOT_ACCEPTED = "the request was not accepted"


class CallerRefusedError(Exception):
    """A request that is refused while its body arrives; nothing of it was done.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    reason : str
    """

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason

    def make_response(self):
        """Return the `web.Response`, after which the connection is closed."""
        response = _make_refusal(self.status, self.reason)
        if self.status in {429, 503}:
            response.headers["Retry-After"] = str(RETRY_AFTER)
        response.force_close()
        return response


class BoundedServer(web.Server):
    """HTTP server for callers that nobody controls.

    Parameters
    ----------
    handler : callable
        Coroutine function from a request to its response. Reads bodies by
        `read_body`.
    settings : NodeSettings
    metrics : MetricsRegistry
    **options
        Those of `web.Server`.

    Attributes
    ----------
    budget : CallerBudget
    turn : asyncio.Semaphore
        The handler enters it while it carries out a request, not while a body arrives.
        Each request carried out may take a connection to the store.
    """

    def __init__(self, handler, settings, metrics, **options):
        super().__init__(
            self._handle,
            read_bufsize=BODY_READ_SIZE,
            lingering_time=LINGERING_TIME,
            **options,
        )
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors == resource.RLIM_INFINITY:
            descriptors = settings.descriptors
        limits = derive_limits(settings, min(descriptors, settings.descriptors))
        self.budget = CallerBudget(limits)
        self.turn = asyncio.Semaphore(limits.handled)
        self._handler = handler
        self._metrics = metrics
        self._connection_of = {}
        self._refusals = Counter()
        self._noticed_at = self._scanned_at = float("-inf")
        self.wasteful_turn = asyncio.Lock()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL, self._sweep)

    def __call__(self):
        """Return the protocol of a new connection."""
        return _CallerConnection(self, loop=self._loop, **self._kwargs)

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
        self._metrics.count("caller_refusals", limit=limit)
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
        self.count_refusal(limit)
        self._connection_of[caller].dismiss(limit)

    def _sweep(self):
        now = self._loop.time()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL, self._sweep)
        for caller, limit in self.budget.find_overdue(now):
            self._dismiss(caller, limit)
        self._metrics.set_gauge("caller_connections", len(self.budget))
        self._metrics.set_gauge("caller_bytes_held", self.budget.held)
        if self._refusals and now - self._noticed_at >= NOTICE_INTERVAL:
            self._noticed_at = now
            limits = ",".join(f"{key}:{n}" for key, n in self._refusals.most_common())
            log_event(
                "callers-refused",
                "WARNING",
                limits=limits,
                connections=len(self.budget),
                held=self.budget.held,
            )
            self._refusals.clear()

    async def _handle(self, request):
        try:
            return await self._handler(request)
        finally:
            request.protocol.end_request()


class _CallerConnection(web.RequestHandler):
    """A caller's connection, which reports to the server what it holds.

    It reads no further while a request waits behind the one that is handled, and reads
    a body only once the handler asks for it.
    """

    __slots__ = (
        "_behind_size",
        "_body_size",
        "_body_timeout",
        "_caller",
        "_dismissed_for",
        "_head_size",
        "_is_held_back",
        "_is_wasteful",
        "_last_payload",
        "_message_cost",
        "_server",
        "_wire_size",
    )

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self._server = server
        self._caller = None
        self._dismissed_for = None
        self._body_timeout = None
        self._last_payload = None
        self._is_held_back = False
        self._head_size = self._body_size = 0
        self._message_cost = self._behind_size = self._wire_size = 0
        self._is_wasteful = False

    def connection_made(self, transport):
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER)
        self._set_read_size(READ_SIZE)
        self._caller = self._server.add(self)
        self._server.make_room(self._caller)

    def connection_lost(self, exc):
        self._server.remove(self._caller)
        super().connection_lost(exc)

    def pause_writing(self):
        super().pause_writing()
        self._caller.unread_since = self._loop.time()

    def resume_writing(self):
        super().resume_writing()
        self._caller.unread_since = None

    def data_received(self, data):
        previous = self._request_count
        was_in_body = self._is_in_body()
        super().data_received(data)
        if self._force_close or self._caller.phase is Phase.LEAVING:
            return
        count = self._request_count - previous
        self._wire_size += len(data)
        if self._is_wasteful:
            self._hold_back()
        if count:
            self._count_messages(count)
        elif data and not was_in_body:
            self._count_head(len(data))

    def _is_in_body(self):
        return self._last_payload is not None and not self._last_payload.is_eof()

    def _count_head(self, size):
        """Count bytes of a head that isn't complete."""
        now = self._loop.time()
        self._head_size += size
        if self._caller.phase is Phase.IDLE:
            self._server.budget.enter(self._caller, Phase.HEAD, now)
        if self._caller.phase is Phase.HEAD:
            self._server.budget.add_arrived(self._caller, size, now)
        if self._head_size > MAX_HEAD:
            self._server.count_refusal("head-size")
            self._close_unless_busy("head-size")
            return
        self._report()

    def _close_unless_busy(self, limit):
        if self._caller.phase is Phase.HEAD:
            self.dismiss(limit)
        else:  # the request before it is still handled; nothing is read after it
            self.close()
            self._hold_back()

    def _count_messages(self, count):
        """Count the requests whose head is complete."""
        self._head_size = 0
        for message, _ in islice(reversed(self._messages), count):
            self._message_cost += MESSAGE_COST + HEAD_COST * _measure_head(message)
        self._last_payload = self._messages[-1][1]
        budget, caller = self._server.budget, self._caller
        waiting = len(self._messages) + (caller.phase in {Phase.BODY, Phase.BUSY})
        if caller.phase in {Phase.IDLE, Phase.HEAD}:
            budget.enter(caller, Phase.BUSY, self._loop.time())
        if waiting > 1 or self._is_in_body():
            self._behind_size = READ_SIZE
            self._hold_back()
        self._report()

    def _report(self):
        size = HEAD_COST * self._head_size + self._message_cost + self._behind_size
        size += int(BODY_COST * self._body_size)
        self._server.budget.hold(self._caller, size)
        self._server.relieve(self._caller)

    async def read_body(self, request, declared, max_size):
        """Return the body; `BoundedServer.read_body` describes the errors."""
        budget, caller = self._server.budget, self._caller
        if caller.phase is Phase.LEAVING:
            raise CallerRefusedError(503, NOT_ACCEPTED)
        if not request.content.is_eof():
            budget.enter(caller, Phase.BODY, self._loop.time(), declared)
            if "Transfer-Encoding" not in request.headers:
                self._set_read_size(self._server.choose_read_size())
            self._wire_size = 0
            self._release_reading()
        try:
            async with asyncio.timeout(None) as self._body_timeout:
                return await self._collect_body(request, max_size)
        except TimeoutError:
            raise _make_dismissal(self._dismissed_for) from None
        except BODY_ERRORS as error:
            self._server.count_refusal("malformed")
            reason = str(error).partition("\n")[0]
            raise CallerRefusedError(400, f"the body is incomplete: {reason}") from None
        finally:
            self._body_timeout = None
            self._is_wasteful = False
            self._set_read_size(READ_SIZE)
            if caller.phase is Phase.BODY:
                budget.enter(caller, Phase.BUSY, self._loop.time())

    async def _collect_body(self, request, max_size):
        body = _BodyBuffer()
        while True:
            piece = await request.content.readany()
            if not piece:
                return body.join()
            body.add(piece)
            if body.size > max_size:
                self._refuse_size(max_size)
            now = self._loop.time()
            self._server.budget.add_arrived(self._caller, len(piece), now)
            self._set_body_size(body.size)
            if "Transfer-Encoding" in request.headers:
                await self._pace_chunks(body.size)

    async def _pace_chunks(self, size):
        """Wait for a turn if the body so far is made of small chunks."""
        self._is_wasteful = self._wire_size > WASTEFUL_FACTOR * (size + READ_SIZE)
        if not self._is_wasteful:
            self._set_read_size(self._server.choose_read_size())
            return
        self._set_read_size(READ_SIZE)
        async with self._server.wasteful_turn:
            self._release_reading()
            await asyncio.sleep(0)

    def _refuse_size(self, max_size):
        self._server.count_refusal("body-size")
        raise CallerRefusedError(413, f"the body has more than {max_size} bytes")

    def _set_body_size(self, size):
        self._body_size = size
        self._report()

    def end_request(self):
        """Release what the request held whose response is sent next."""
        self._body_size = 0
        if self._messages or self._caller.phase is Phase.LEAVING:
            return
        self._message_cost = 0
        now = self._loop.time()
        if self._head_size:
            self._server.budget.enter(self._caller, Phase.HEAD, now)
            self._server.budget.add_arrived(self._caller, self._head_size, now)
        else:
            self._server.budget.enter(self._caller, Phase.IDLE, now)
        self._release_reading()
        self._report()

    def dismiss(self, limit):
        """Close the connection, or refuse the request whose body arrives."""
        self._dismissed_for = limit
        self._caller.phase = Phase.LEAVING
        if self._body_timeout is not None:
            self._server.budget.hold(self._caller, 0)
            self._body_timeout.reschedule(self._loop.time())
            return
        self._server.remove(self._caller)
        if self._caller.unread_since is not None and self.transport is not None:
            self.transport.abort()  # closing it would wait for the caller to read
        self.force_close()

    def _set_read_size(self, size):
        with suppress(AttributeError):  # other event loops have no such attribute
            self.transport.max_size = size

    def _hold_back(self):
        self._is_held_back = True
        self._pause_transport_reading()

    def _release_reading(self):
        if self._is_held_back:
            self._is_held_back = False
            self._behind_size = 0
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _resume_transport_reading(self):
        if not self._is_held_back:
            super()._resume_transport_reading()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to an error of the parser or the handler.

        Raises
        ------
        ConnectionError
            If part of a response has been sent already.
        """
        if status >= 500:
            log_event("request-failed", "ERROR", status=status, error=repr(exc))
            reason = "the outcome is unknown"
        else:
            self._server.count_refusal("malformed")
            reason = f"malformed request, {NOT_ACCEPTED}"
        if request.writer.output_size > 0:
            raise ConnectionError("part of a response has been sent already")
        response = _make_refusal(status, reason)
        response.force_close()
        return response

    def log_exception(self, *args, **options):
        """Count an error of the rest of a body; log any other, without a traceback."""
        error = options.get("exc_info")
        if isinstance(error, BODY_ERRORS):
            self._server.count_refusal("malformed")
        else:
            log_event("request-failed", "ERROR", step=args[0], error=repr(error))


class _BodyBuffer:
    """The pieces of a body, in blocks of `BLOCK_SIZE`."""

    def __init__(self):
        self.size = 0
        self._blocks = []
        self._rest = bytearray()

    def add(self, piece):
        self.size += len(piece)
        self._rest += piece
        while len(self._rest) >= BLOCK_SIZE:
            self._blocks.append(bytes(self._rest[:BLOCK_SIZE]))
            del self._rest[:BLOCK_SIZE]

    def join(self):
        """Return the body as bytes."""
        return b"".join([*self._blocks, self._rest])


def _make_dismissal(limit):
    if limit == "body":
        return CallerRefusedError(408, f"the body arrives too slowly, {NOT_ACCEPTED}")
    return CallerRefusedError(503, f"too many requests at once, {NOT_ACCEPTED}")


def _measure_head(message):
    """Return the size of a head in bytes; 0 for one that the parser refused."""
    headers = getattr(message, "raw_headers", ())
    size = sum(len(name) + len(value) for name, value in headers)
    return size + len(getattr(message, "path", ""))


def _make_refusal(status, reason):
    return web.Response(
        status=status,
        body=msgspec.json.encode({"error": reason}),
        content_type="application/json",
    )
