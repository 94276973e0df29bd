"""Callers' requests on the platform's wire."""

import math

import msgspec
from aiohttp import web

from peridotspoke.logs import log_event
from peridotspoke.nodes import desk
from peridotspoke.platform.submissions import encode_state, encode_waiting

__all__ = ["Ingress"]

READY_PATH = "/peridotspoke/ready"
JSON = "application/json"


class Ingress:
    """Serves callers, the balancer's question and the metrics.

    Parameters
    ----------
    settings : NodeSettings
    job_desk : JobDesk
    render_metrics : callable
        Returns the metrics as bytes.
    """

    def __init__(self, settings, job_desk, render_metrics):
        self._settings = settings
        self._desk = job_desk
        self._render_metrics = render_metrics
        self._runners = []
        self._leaving = False

    async def open(self):
        """Listen on all addresses."""
        await self._listen(self._settings.front, self._handle_front)
        await self._listen(self._settings.ready, self._handle_ready)
        if self._settings.metrics:
            await self._listen(self._settings.metrics, self._handle_metrics)

    @property
    def addresses(self):
        """The addresses on which it listens: for callers, readiness and metrics."""
        bound = [runner.addresses[0] for runner in self._runners]
        return tuple(f"{host}:{port}" for host, port, *_ in bound)

    def leave(self):
        """Let the balancer and callers look elsewhere, while requests are served."""
        self._leaving = True

    async def close(self):
        """Stop listening once all requests are answered."""
        for runner in self._runners:
            await runner.cleanup()

    async def _listen(self, address, handler):
        host, _, port = address.rpartition(":")
        server = web.Server(handler, access_log=None, keepalive_timeout=75.0)
        runner = web.ServerRunner(server, shutdown_timeout=2.0)
        await runner.setup()
        site = web.TCPSite(runner, host, int(port), backlog=512, reuse_address=True)
        await site.start()
        self._runners.append(runner)

    async def _handle_ready(self, request):
        ready = request.path == READY_PATH and not self._leaving
        return web.Response(status=200 if ready and self._desk.is_ready() else 503)

    async def _handle_metrics(self, request):
        return web.Response(body=self._render_metrics(), content_type="text/plain")

    async def _handle_front(self, request):
        try:
            response = await self._answer(request)
        except web.HTTPException as error:
            response = _make_response(error.status, {"error": error.reason})
        except Exception as error:
            log_event("request-failed", "ERROR", path=request.path, error=repr(error))
            response = _make_response(504, {"error": "the outcome is unknown"})
        if self._leaving:
            response.force_close()
        return response

    async def _answer(self, request):
        host = request.headers.get("Host", "").partition(":")[0]
        if request.method == "POST":
            body = await request.read()
            return _format(await self._desk.submit(host, request.path, body), 404)
        if request.method == "GET":
            return _format(await self._desk.show(host, request.path), 410)
        if request.method == "DELETE":
            return _format(await self._desk.cancel(host, request.path), 410)
        return _make_response(405, {"error": "expected POST, GET or DELETE"})


def _format(answer, unknown_status):
    """Return the HTTP response of one of the desk's answers."""
    match answer:
        case desk.Accepted():
            return _make_response(200, {})
        case desk.Shown(state):
            return web.Response(body=encode_state(state), content_type=JSON)
        case desk.Counted(waiting):
            return web.Response(body=encode_waiting(waiting), content_type=JSON)
        case desk.UnknownQueue():
            return _make_response(404, {"error": "no such queue"})
        case desk.UnknownJob():
            return _make_response(unknown_status, {"error": "no such job"})
        case desk.Invalid(reason):
            return _make_response(400, {"error": reason})
        case desk.Unknown(reason):
            return _make_response(504, {"error": reason})
        case desk.Refused(reason, retry_after, overloaded):
            response = _make_response(429 if overloaded else 503, {"error": reason})
            response.headers["Retry-After"] = str(max(1, math.ceil(retry_after)))
            return response


def _make_response(status, body):
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type=JSON
    )
