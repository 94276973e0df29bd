"""HTTP server for callers, the load balancer's readiness check and the metrics."""

import math
import socket

import msgspec
from aiohttp import web

from peridotspoke.callers import BoundedServer, CallerRefusedError, Listener
from peridotspoke.logs import log_event
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes import jobanswers
from peridotspoke.platform.callerlimits import count_descriptors, derive_limits
from peridotspoke.platform.callerrefusals import (
    KEY_HEADER,
    PlatformResponses,
    format_refusal,
)
from peridotspoke.platform.submissions import encode_state, encode_waiting
from peridotspoke.workloads.access import CallerKey

__all__ = ["Ingress"]

READY_PATH = "/peridotspoke/ready"
JSON_TYPE = "application/json"
STEPS = {"POST": "submit", "GET": "show", "DELETE": "cancel"}
KEEPALIVE_TIMEOUT = 75.0  # seconds until an idle connection is closed
SHUTDOWN_TIMEOUT = 2.0  # seconds that open requests have when the server closes
ACCEPT_BACKLOG = 512  # connections that wait to be accepted
MAX_FIELD_SIZE = 16_384  # bytes; a key that is too long is still answered with 401
# Connections that the event loop accepts together; each takes a descriptor before the
# limit on connections sees it.
ACCEPTED_TOGETHER = 8


class Ingress:
    """Serves callers, the load balancer's readiness check and the metrics.

    Parameters
    ----------
    settings : NodeSettings
        Names the addresses to listen on.
    job_handler : JobRequestHandler
        Handles callers' requests.
    render_metrics : callable
        Returns the metrics as bytes of text; takes no arguments.
    metrics : MetricsRegistry, optional
        Gets the metrics of callers' connections.
    """

    def __init__(self, settings, job_handler, render_metrics, metrics=None):
        self._settings = settings
        self._job_handler = job_handler
        self._render_metrics = render_metrics
        self._metrics = metrics or MetricsRegistry()
        self._callers = None
        self._runners = []
        self._is_draining = False

    async def open(self):
        """Listen on the addresses for callers, readiness and, if set, metrics."""
        self._callers = self._make_server(
            Listener.CALLERS, self._handle_front, max_field_size=MAX_FIELD_SIZE
        )
        await self._listen(self._settings.front, self._callers)
        ready = self._make_server(Listener.READINESS, self._handle_ready)
        await self._listen(self._settings.ready, ready)
        if self._settings.metrics:
            metrics = self._make_server(Listener.METRICS, self._handle_metrics)
            await self._listen(self._settings.metrics, metrics)

    def _make_server(self, listener, handler, **options):
        descriptors = count_descriptors(self._settings)
        return BoundedServer(
            handler,
            derive_limits(self._settings, descriptors, listener),
            self._metrics,
            PlatformResponses(lambda: self._job_handler.checks_keys),
            listener,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT,
            **options,
        )

    @property
    def addresses(self):
        """Tuple of the bound ``host:port`` for callers, readiness and metrics."""
        bound = [runner.addresses[0] for runner in self._runners]
        return tuple(f"{host}:{port}" for host, port, *_ in bound)

    def start_draining(self):
        """Report not ready and close connections after their next response.

        The load balancer and callers then turn to other nodes. Requests that still
        arrive are served.
        """
        self._is_draining = True

    async def close(self):
        """Stop listening; open requests have `SHUTDOWN_TIMEOUT` to complete."""
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(self, address, server):
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT)
        await runner.setup()
        listener = socket.create_server((host, int(port)), family=_find_family(host))
        site = web.SockSite(runner, listener, backlog=ACCEPTED_TOGETHER)
        await site.start()
        listener.listen(ACCEPT_BACKLOG)  # the event loop has set ACCEPTED_TOGETHER
        self._runners.append(runner)

    async def _handle_ready(self, request):
        ready = request.path == READY_PATH and not self._is_draining
        return web.Response(
            status=200 if ready and self._job_handler.is_ready() else 503
        )

    async def _handle_metrics(self, request):
        return web.Response(body=self._render_metrics(), content_type="text/plain")

    async def _handle_front(self, request):
        try:
            response = await self._dispatch(request)
        except CallerRefusedError as error:
            response = format_refusal(error)
        except web.HTTPException as error:
            response = _make_response(error.status, {"error": error.reason})
        except Exception as error:
            log_event("request-failed", "ERROR", path=request.path, error=repr(error))
            response = _make_response(504, {"error": "the outcome is unknown"})
        if self._is_draining:
            response.force_close()
        return response

    async def _dispatch(self, request):
        host = request.headers.get("Host", "").partition(":")[0]
        key = CallerKey(tuple(request.headers.getall(KEY_HEADER, ())))
        body = b""
        step = STEPS.get(request.method)
        # A body without a valid key isn't read, and a caller whose key is unknown waits
        # for a read of the configuration without the turn that others need.
        if step and self._job_handler.checks_keys:
            answer = await self._job_handler.check_head(host, request.path, key, step)
            if answer is not None:
                return _make_job_response(answer, 404)
        if request.method == "POST":
            max_size = self._job_handler.max_body_size
            body = await self._callers.read_body(request, max_size)
        async with self._callers.turn:
            return await self._carry_out(request, host, key, body)

    async def _carry_out(self, request, host, key, body):
        if request.method == "POST":
            return _make_job_response(
                await self._job_handler.submit(host, request.path, body, key), 404
            )
        if request.method == "GET":
            return _make_job_response(
                await self._job_handler.show(host, request.path, key), 410
            )
        if request.method == "DELETE":
            return _make_job_response(
                await self._job_handler.cancel(host, request.path, key), 410
            )
        return _make_response(405, {"error": "expected POST, GET or DELETE"})


def _find_family(host):
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def _make_job_response(answer, unknown_status):
    """Return the HTTP response for a result of `JobRequestHandler`.

    Parameters
    ----------
    answer : object
        One of the result classes of `peridotspoke.nodes.jobanswers`.
    unknown_status : int
        HTTP status for an unknown job.

    Returns
    -------
    aiohttp.web.Response
    """
    match answer:
        case jobanswers.Accepted():
            return _make_response(200, {})
        case jobanswers.Shown(state):
            return web.Response(body=encode_state(state), content_type=JSON_TYPE)
        case jobanswers.Counted(waiting):
            return web.Response(body=encode_waiting(waiting), content_type=JSON_TYPE)
        case jobanswers.UnknownQueue():
            return _make_response(404, {"error": "no such queue"})
        case jobanswers.UnknownJob():
            return _make_response(unknown_status, {"error": "no such job"})
        case jobanswers.KeyRefused(fault):
            return _make_response(401, {"error": str(fault)})
        case jobanswers.Conflict():
            return _make_response(409, {"error": "the ID is in use"})
        case jobanswers.Invalid(reason):
            return _make_response(400, {"error": reason})
        case jobanswers.Unknown(reason):
            return _make_response(504, {"error": reason})
        case jobanswers.Refused(reason, retry_after, overloaded):
            response = _make_response(429 if overloaded else 503, {"error": reason})
            response.headers["Retry-After"] = str(max(1, math.ceil(retry_after)))
            return response


def _make_response(status, body):
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type=JSON_TYPE
    )
