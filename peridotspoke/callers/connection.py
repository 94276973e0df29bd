"""One caller's connection: what it holds, and when it is read."""

import asyncio
from contextlib import suppress
from itertools import islice

import aiohttp
from aiohttp import web

from peridotspoke.callers.budget import CONNECTION_COST, Phase
from peridotspoke.callers.refusals import CallerRefusedError, make_dismissal
from peridotspoke.logs import log_event

__all__ = ["CallerConnection"]

READ_SIZE = 4096  # bytes read at once from a connection whose body isn't asked for
BODY_READ_SIZE = 65_536  # most bytes of a body read at once
BLOCK_SIZE = 16_384  # bytes; blocks of one size leave no gaps in memory that is freed
# A body in chunks is read in small pieces, and only one such body after another, while
# it takes more bytes on the wire than this factor: a chunk of one byte takes as long to
# parse as a large one, and hundreds of reads full of them stop the event loop.
WASTEFUL_FACTOR = 2
FRAMING = 512  # bytes on the wire that any body may have beside its data
MAX_HEAD = 65_536  # bytes of a head, empty lines before it included
# Bytes of a chunked body without data: trailer fields, which the library keeps like
# those of a head, or a chunk's extensions.
MAX_TRAILER = 65_536
# Memory for each byte of a head or trailer: the library keeps it raw and decoded.
HEAD_COST = 3
MESSAGE_COST = 4096  # bytes of memory for a request beside its head and body
BODY_COST = 1.0625  # memory for each byte of a body, with its blocks' overhead
WRITE_BUFFER = 16_384  # bytes of a response that wait for their caller
# Raised by reading a body that is malformed or whose caller disconnects.
BODY_ERRORS = (aiohttp.ClientError, web.RequestPayloadError, ConnectionError)


class CallerConnection(web.RequestHandler):
    """A caller's connection, which reports to the server what it holds.

    The server's `CallerBudget` knows it as a `Caller`. It reads no further while a
    request waits behind the one that is handled, and reads a body only once the handler
    asks for it.

    Parameters
    ----------
    server : BoundedServer
    **options
        Those of `web.RequestHandler`.
    """

    __slots__ = (
        "_behind_size",
        "_body_size",
        "_body_timeout",
        "_caller",
        "_data_size",
        "_dismissed_for",
        "_head_size",
        "_is_handling",
        "_is_held_back",
        "_is_wasteful",
        "_last_payload",
        "_message_cost",
        "_server",
        "_trailer_size",
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
        self._head_size = self._body_size = self._trailer_size = 0
        self._message_cost = self._behind_size = 0
        self._wire_size = self._data_size = 0
        self._is_wasteful = self._is_handling = False

    def connection_made(self, transport):
        """Add the connection to the server's budget; others may give way."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER)
        self._set_read_size(READ_SIZE)
        self._caller = self._server.add(self)
        self._server.make_room(self._caller)

    def connection_lost(self, exc):
        """Remove the connection from the budget once its request has ended."""
        if not self._is_handling:  # else its request still holds memory
            self._server.remove(self._caller)
        super().connection_lost(exc)

    def pause_writing(self):
        """Note since when the caller hasn't read what is sent to it."""
        super().pause_writing()
        self._caller.unread_since = self._loop.time()

    def resume_writing(self):
        """Note that the caller reads again."""
        super().resume_writing()
        self._caller.unread_since = None

    def data_received(self, data):
        """Parse what has arrived, and count what it takes."""
        previous = self._request_count
        was_in_body = self._is_in_body()
        body_size = self._last_payload.total_bytes if was_in_body else 0
        super().data_received(data)
        if self._force_close:
            return
        progress = self._last_payload.total_bytes - body_size if was_in_body else 0
        if was_in_body:
            self._update_trailer(len(data), progress)
        if self._caller.phase is Phase.LEAVING:
            if self._trailer_size > READ_SIZE:  # what still arrives isn't counted
                self.force_close()
            return
        count = self._request_count - previous
        self._wire_size += len(data)
        self._data_size += progress
        if (self._is_wasteful and progress) or self._upgraded:
            self._hold_back()
        if count:
            self._count_messages(count)
        elif data and not was_in_body:
            self._count_head(len(data))
        elif self._trailer_size > MAX_TRAILER:
            self._server.count_refusal("trailer-size")
            self.dismiss("trailer-size")
        elif self._trailer_size:
            self._report()

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

    def _update_trailer(self, size, progress):
        """Count bytes after the latest data of a body, which may belong to a trailer.

        The framing of the chunks that arrived with these data counts as well, until
        more data arrives.
        """
        if not self._is_in_body():
            self._trailer_size = 0
            return
        previous = 0 if progress else self._trailer_size
        self._trailer_size = previous + max(size - progress, 0)

    def _close_unless_busy(self, limit):
        if self._caller.phase is Phase.HEAD:
            self.dismiss(limit)
        else:  # the request before it is still handled; nothing is read after it
            self.close()
            self._hold_back()

    def _count_messages(self, count):
        """Count the requests whose head is complete."""
        self._head_size = 0
        arrived = islice(reversed(self._messages), count)
        self._message_cost += _estimate_cost(arrived)
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
        size = HEAD_COST * (self._head_size + self._trailer_size)
        size += self._message_cost + self._behind_size
        size += int(BODY_COST * self._body_size)
        self._server.budget.hold(self._caller, size)
        self._server.relieve(self._caller)

    async def read_body(self, request, declared, max_size):
        """Return the body; `BoundedServer.read_body` describes the errors."""
        budget, caller = self._server.budget, self._caller
        if caller.phase is Phase.LEAVING:
            raise make_dismissal(self._dismissed_for)
        is_arriving = not request.content.is_eof()
        if is_arriving:
            budget.enter(caller, Phase.BODY, self._loop.time(), declared)
            self._wire_size = self._data_size = 0
        try:
            async with asyncio.timeout(None) as self._body_timeout:
                if is_arriving:
                    await self._begin_body("Transfer-Encoding" in request.headers)
                return await self._collect_body(request, max_size)
        except TimeoutError:
            raise make_dismissal(self._dismissed_for) from None
        except BODY_ERRORS as error:
            self._server.count_refusal("malformed")
            # The request's stream keeps the error, whose traceback keeps the body: a
            # reference cycle, which the garbage collector may not find for long.
            error.__traceback__ = None
            reason = str(error).partition("\n")[0]
            raise CallerRefusedError(400, f"the body is incomplete: {reason}") from None
        finally:
            self._body_timeout = None
            self._is_wasteful = False
            self._trailer_size = 0
            self._set_read_size(READ_SIZE)
            if caller.phase is Phase.BODY:
                budget.enter(caller, Phase.BUSY, self._loop.time())

    async def _collect_body(self, request, max_size):
        body = _BodyBuffer()
        while True:
            piece = await request.content.readany()
            if self._caller.phase is Phase.LEAVING:
                raise make_dismissal(self._dismissed_for)
            if not piece:
                return body.join()
            body.add(piece)
            if body.size > max_size:
                self._refuse_size(max_size)
            now = self._loop.time()
            self._server.budget.add_arrived(self._caller, len(piece), now)
            self._set_body_size(body.size)
            is_chunked = "Transfer-Encoding" in request.headers
            if is_chunked and not request.content.is_eof():
                await self._pace_chunks()

    async def _pace_chunks(self):
        """Wait for a turn if the body so far is made of small chunks, or may be."""
        most = WASTEFUL_FACTOR * (self._data_size + FRAMING)
        if 0 < self._wire_size <= most:
            self._read_freely()
        else:
            await self._read_in_turn()

    async def _begin_body(self, is_chunked):
        """Read a body for the first time; whether its chunks are small isn't known."""
        if is_chunked:
            await self._read_in_turn()
        else:
            self._read_freely()

    def _read_freely(self):
        self._is_wasteful = False
        self._set_read_size(self._server.choose_read_size())
        self._release_reading()

    async def _read_in_turn(self):
        """Read once more when no other body made of small chunks is read."""
        self._is_wasteful = True
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

    def begin_request(self):
        """Note that a request is handled, whose memory counts until it ends."""
        self._is_handling = True

    def end_request(self):
        """Release what the request held whose response is sent next."""
        self._is_handling = False
        self._body_size = 0
        if self.transport is None:
            self._server.remove(self._caller)
            return
        if self._caller.phase is Phase.LEAVING:
            return
        # Pipelined requests may overlap for as long as the caller likes, so that the
        # moment at which none waits may never come.
        self._message_cost = _estimate_cost(self._messages)
        if self._messages:
            self._report()
            return
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
            # While the rest of the body is discarded, the head and trailer are kept.
            kept = self._message_cost + HEAD_COST * self._trailer_size
            if kept > CONNECTION_COST:
                self._lingering_time = 0.0
            self._server.budget.hold(self._caller, kept)
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
        if request.writer.output_size > 0:
            raise ConnectionError("part of a response has been sent already")
        if status >= 500:
            log_event("request-failed", "ERROR", status=status, error=repr(exc))
            response = self._server.responses.report_failure()
        else:
            self._server.count_refusal("malformed")
            response = self._server.responses.refuse_head(status, message)
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


def _estimate_cost(messages):
    """Return the bytes of memory that requests take beside their bodies."""
    return sum(
        MESSAGE_COST + HEAD_COST * _measure_head(message) for message, _ in messages
    )


def _measure_head(message):
    """Return the size of a head in bytes; 0 for one that the parser refused."""
    headers = getattr(message, "raw_headers", ())
    size = sum(len(name) + len(value) for name, value in headers)
    return size + len(getattr(message, "path", ""))
