"""The admin port of the long-lived programs: metrics, liveness, readiness."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from aiohttp import web

from peridotspoke.identities import split_address

__all__ = ["Health", "HealthSource", "make_admin_application", "serve_admin"]

HTTP_UNAVAILABLE = 503
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


def make_admin_application(metrics, source):
    """Return the aiohttp application of the admin port.

    Parameters
    ----------
    metrics : MetricsRegistry
    source : HealthSource

    Notes
    -----
    ``GET /live`` answers 200 as long as the event loop runs, ``GET /ready`` answers
    200, or 503 with the reasons, and ``GET /metrics`` answers in the Prometheus text
    format.
    """

    async def show_live(request):
        return web.json_response({"live": True})

    async def show_ready(request):
        health = source.read_health()
        document = {
            "ready": health.ready,
            "reasons": health.reasons,
            "details": health.details,
        }
        status = web.HTTPOk.status_code if health.ready else HTTP_UNAVAILABLE
        return web.json_response(document, status=status)

    async def show_metrics(request):
        headers = {"Content-Type": METRICS_CONTENT_TYPE}
        return web.Response(body=metrics.render(), headers=headers)

    application = web.Application()
    application.router.add_get("/live", show_live)
    application.router.add_get("/ready", show_ready)
    application.router.add_get("/metrics", show_metrics)
    return application


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
    application = make_admin_application(metrics, source)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, host, port).start()
    return f"{host}:{runner.addresses[0][1]}"
