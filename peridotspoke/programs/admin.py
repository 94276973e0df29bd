"""The admin port of the long-lived programs: metrics, liveness, readiness."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from aiohttp import web

from peridotspoke.callers import BoundedServer, Listener, ResponseFormat
from peridotspoke.identities import split_address
from peridotspoke.programs.callerlimits import derive_monitoring_limits

__all__ = ["AdminHandler", "Health", "HealthSource", "serve_admin"]

HTTP_UNAVAILABLE = 503
KEEPALIVE_TIMEOUT = 75.0  # seconds until an idle connection is closed
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Health:
    """Whether a process is ready, the reasons if not, and details for operators."""

    ready: bool
    reasons: tuple[str, ...] = ()
    details: dict[str, str | int | float | bool] = field(default_factory=dict)


class HealthSource(ABC):
    """Interface of the objects that report the health of their process."""

    @abstractmethod
    def read_health(self):
        """Return the current `Health` of the process."""


class _AdminResponses(ResponseFormat):
    """The form of the responses that the server makes itself."""

    def refuse_head(self, status, message):
        """Return the response to a head that the HTTP library refused."""
        return web.json_response({"error": "malformed request"}, status=status)

    def report_failure(self):
        """Return the response to a request whose handler failed."""
        return web.json_response({"error": "the process failed"}, status=500)


class AdminHandler:
    """Answers requests at the admin port.

    ``GET /live`` answers 200 as long as the event loop runs, ``GET /ready`` answers
    200, or 503 with the reasons, and ``GET /metrics`` answers in the Prometheus text
    format.

    Parameters
    ----------
    metrics : MetricsRegistry
    source : HealthSource
    """

    def __init__(self, metrics, source):
        self._metrics = metrics
        self._source = source
        self._pages = {
            "/live": self._show_live,
            "/ready": self._show_ready,
            "/metrics": self._show_metrics,
        }

    async def handle(self, request):
        """Return the response to a request."""
        page = self._pages.get(request.path)
        if page is None:
            return web.json_response({"error": "no such page"}, status=404)
        if request.method not in {"GET", "HEAD"}:
            return web.json_response({"error": "expected GET"}, status=405)
        return page()

    def _show_live(self):
        return web.json_response({"live": True})

    def _show_ready(self):
        health = self._source.read_health()
        document = {
            "ready": health.ready,
            "reasons": health.reasons,
            "details": health.details,
        }
        status = web.HTTPOk.status_code if health.ready else HTTP_UNAVAILABLE
        return web.json_response(document, status=status)

    def _show_metrics(self):
        headers = {"Content-Type": METRICS_CONTENT_TYPE}
        return web.Response(body=self._metrics.render(), headers=headers)


async def serve_admin(stack, listen, metrics, source):
    """Serve the admin port until `stack` is closed, and return its address.

    Parameters
    ----------
    stack : contextlib.AsyncExitStack
    listen : str
        Address such as ``127.0.0.1:8081``; port 0 binds any free port.
    metrics : MetricsRegistry
    source : HealthSource
    """
    host, port = split_address(listen)
    server = BoundedServer(
        AdminHandler(metrics, source).handle,
        derive_monitoring_limits(),
        metrics,
        _AdminResponses(),
        Listener.METRICS,
        access_log=None,
        keepalive_timeout=KEEPALIVE_TIMEOUT,
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, host, port).start()
    return f"{host}:{runner.addresses[0][1]}"
