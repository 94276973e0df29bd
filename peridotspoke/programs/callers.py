"""The HTTP server for callers: reads requests, sends responses and drains on a stop."""

import asyncio
import enum
import socket
from dataclasses import replace

from aiohttp import web
from multidict import CIMultiDict

from peridotspoke.callers import BoundedServer, CallerRefusedError, ResponseFormat
from peridotspoke.identities import make_operation_id, split_address
from peridotspoke.logs import log_event
from peridotspoke.programs.callerlimits import derive_entry_limits
from peridotspoke.requests import (
    IncomingRequest,
    Outcome,
    Refusal,
    admit_head,
    split_target,
)

__all__ = ["CallerServer", "ServingPhase"]

MAX_LINE_SIZE = 32_768  # bytes; the parser refuses longer request lines and headers
MAX_REASON = 200  # characters of what the parser says that a caller is told
ACCEPT_BACKLOG = 1024  # connections that wait to be accepted
ACCEPT_PAUSE = 1.0  # seconds after a failure to accept
KEEPALIVE_TIMEOUT = 75.0  # seconds until an idle connection is closed
SMALL_ANSWER = 65536  # bytes; answers up to here are sent without awaiting the caller
DRAIN_POLL_INTERVAL = 0.02  # seconds
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServingPhase(enum.Enum):
    """The steps of a planned stop, from serving to refusing new requests."""

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"


class CallerServer:
    """HTTP server that passes callers' requests to a `RequestPipeline`.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock
    random : random.Random
        Source of request identifiers.
    pipeline : RequestPipeline
    memory : BodyMemory
        Limits the bytes that the bodies of requests and answers hold at once.
    metrics : MetricsRegistry
    jobs : JobRequests, optional
        Handles requests about jobs; without it, the pipeline gets them as well.
    """

    def __init__(self, settings, clock, random, pipeline, memory, metrics, jobs=None):
        self.address = ""
        self.phase = ServingPhase.SERVING
        self.active = 0
        self._settings = settings
        self._clock = clock
        self._random = random
        self._pipeline = pipeline
        self._memory = memory
        self._metrics = metrics
        self._jobs = jobs
        self._server = None
        self._listener = self._accepting = None

    async def start(self):
        """Listen on the address in the settings and set `address` to it.

        A port of 0 in the settings is replaced by the one that is bound.
        """
        host, port = split_address(self._settings.listen)
        self._server = BoundedServer(
            self._handle,
            derive_entry_limits(self._settings),
            self._metrics,
            _EntryResponses(self._build_refusal),
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT,
            auto_decompress=False,
            max_line_size=MAX_LINE_SIZE,
            max_field_size=MAX_LINE_SIZE,
        )
        listener = socket.create_server((host, int(port)))
        listener.listen(ACCEPT_BACKLOG)
        listener.setblocking(False)
        port = listener.getsockname()[1]
        self._listener = listener
        self._accepting = asyncio.ensure_future(self._accept(listener))
        self.address = f"{host}:{port}"

    async def _accept(self, listener):
        """Accept connections one at a time.

        An event loop's own server accepts all that wait before the limit on connections
        sees the first of them; each takes a descriptor.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = await loop.sock_accept(listener)
            except OSError as error:
                log_event("accept-failed", "WARNING", error=repr(error))
                await asyncio.sleep(ACCEPT_PAUSE)
                continue
            try:
                await loop.connect_accepted_socket(self._server, accepted)
            except OSError:  # the caller has left
                accepted.close()

    def is_serving(self):
        """Return whether no planned stop has begun."""
        return self.phase is ServingPhase.SERVING

    async def drain(self):
        """Begin a planned stop and wait for the requests in progress to finish.

        New requests are still served for ``stop_notice`` seconds, so that the load
        balancer can notice the stop, and are refused with 503 afterwards. Returns
        after at most ``stop_limit`` seconds, with an error in the log if requests
        are unfinished by then.
        """
        limit = self._clock.read_monotonic() + self._settings.stop_limit
        self.phase = ServingPhase.LEAVING
        log_event("entry-leaving", active=self.active)
        await asyncio.sleep(min(self._settings.stop_notice, self._settings.stop_limit))
        self.phase = ServingPhase.REFUSING
        log_event("entry-refusing", active=self.active)
        while (  # noqa: ASYNC110
            self._count_unfinished() and self._clock.read_monotonic() < limit
        ):
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        if self._count_unfinished():
            unfinished = self._count_unfinished()
            log_event("stop-limit-reached", "ERROR", unfinished=unfinished)

    async def stop(self):
        """Close the listening socket, then the connections within 1 second."""
        if self._listener is not None:
            self._accepting.cancel()
            self._listener.close()
            self._server.pre_shutdown()
            await self._server.shutdown(1.0)

    def _count_unfinished(self):
        return self.active + self._pipeline.count_running()

    async def _handle(self, request):
        self.active += 1
        received_at = self._clock.read_monotonic()
        try:
            response = await self._serve(request, received_at)
            self._record_metrics(request, response, received_at)
            return await self._answer(request, response)
        finally:
            self.active -= 1

    def _record_metrics(self, request, response, received_at):
        """Record the outcome and the duration of a request in the metrics.

        Undeclared services are counted as ``unknown``, so that callers can't create
        further metric series.
        """
        duration = self._clock.read_monotonic() - received_at
        configuration = self._pipeline.configuration
        service = request.raw_path[1:].partition("/")[0]
        if configuration is None or service not in configuration.services:
            service = "unknown"
        outcome = response.outcome.value
        self._metrics.count("requests", service=service, outcome=outcome)
        self._metrics.observe("request_seconds", duration, outcome=outcome)

    async def _serve(self, request, received_at):
        request_id = make_operation_id(self._random)
        if self.phase is ServingPhase.REFUSING:
            detail = "this entry instance is stopping"
            refusal = Refusal(503, Outcome.NOT_RUN, "Stopping", detail, 1)
            return self._pipeline.build_response(request_id, refusal)
        incoming = self._read_head(request, request_id, received_at)
        if isinstance(incoming, Refusal):
            return self._pipeline.build_response(request_id, incoming)
        length = request.content_length
        admitted = admit_head(incoming, self._pipeline.configuration, length)
        if isinstance(admitted, Refusal):
            return self._pipeline.build_response(request_id, admitted)
        if not request.body_exists:
            return await self._serve_admitted(admitted)
        limit = admitted.rules.body_limit
        held = limit if length is None else length
        if not self._memory.reserve_request(held):
            detail = "the memory for bodies is in use"
            refusal = Refusal(503, Outcome.NOT_RUN, "No memory", detail, 1)
            return self._pipeline.build_response(request_id, refusal)
        try:
            return await self._serve_with_body(request, admitted, limit)
        finally:
            self._memory.release(held)

    async def _serve_with_body(self, request, admitted, limit):
        body = await self._read_body(request, limit)
        if isinstance(body, Refusal):
            return self._pipeline.build_response(admitted.incoming.request_id, body)
        incoming = replace(admitted.incoming, body=body)
        return await self._serve_admitted(replace(admitted, incoming=incoming))

    async def _serve_admitted(self, admitted):
        if self._jobs is not None and self._jobs.handles(admitted):
            return await self._jobs.serve(admitted)
        return await self._pipeline.serve(admitted)

    def _read_head(self, request, request_id, received_at):
        target = split_target(request.raw_path)
        if isinstance(target, Refusal):
            return target
        service, path = target
        return IncomingRequest(
            request_id=request_id,
            service=service,
            method=request.method,
            path=path,
            headers=request.headers,
            body=b"",
            received_at=received_at,
        )

    async def _read_body(self, request, limit):
        """Return the body, or a `Refusal` if it is too long, too slow or incomplete."""
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(CONTINUE)
            request.writer.output_size = 0
        try:
            async with asyncio.timeout(self._settings.body_timeout):
                return await self._server.read_body(request, limit)
        except TimeoutError:
            expected = f"the whole body within {self._settings.body_timeout} s"
            return _refuse_body(408, expected, "less")
        except CallerRefusedError as error:
            return _refuse_arriving_body(error, limit)

    async def _answer(self, request, response):
        headers = CIMultiDict(response.headers)
        body = response.body
        http_response = web.Response(status=response.status, headers=headers, body=body)
        if self.phase is not ServingPhase.SERVING:
            http_response.force_close()
        if len(body) <= SMALL_ANSWER:
            return http_response
        self._memory.hold(len(body))
        try:
            async with asyncio.timeout(self._settings.body_timeout):
                await http_response.prepare(request)
                await http_response.write_eof()
        except TimeoutError:
            if request.transport is not None:
                request.transport.abort()
        finally:
            self._memory.release(len(body))
        return http_response

    def _build_refusal(self, refusal):
        response = self._pipeline.build_response(
            make_operation_id(self._random), refusal
        )
        return web.Response(
            status=response.status,
            headers=CIMultiDict(response.headers),
            body=response.body,
        )


class _EntryResponses(ResponseFormat):
    """The form of the responses that the server makes itself: problem documents."""

    def __init__(self, build_refusal):
        self._build_refusal = build_refusal

    def refuse_head(self, status, message):
        """Return the response to a head that the HTTP library refused."""
        lines = (message or "something else").splitlines()
        detail = f"request: expected HTTP/1.1, found {lines[0][:MAX_REASON]}"
        refusal = Refusal(status, Outcome.NOT_RUN, "Bad request", detail)
        return self._build_refusal(refusal)

    def report_failure(self):
        """Return the response to a request whose handler failed."""
        detail = "the entry instance failed"
        refusal = Refusal(500, Outcome.UNKNOWN, "Outcome unknown", detail)
        return self._build_refusal(refusal)


def _refuse_arriving_body(error, limit):
    """Return the `Refusal` of a `CallerRefusedError`."""
    if error.status == 413:
        return _refuse_body(413, f"at most {limit} bytes", "more")
    if error.status == 400:
        return _refuse_body(400, "a whole body", error.reason)
    return Refusal(
        error.status, Outcome.NOT_RUN, "Refused", error.reason, error.retry_after
    )


def _refuse_body(status, expected, found):
    detail = f"body: expected {expected}, found {found}"
    return Refusal(status, Outcome.NOT_RUN, "Bad body", detail)
