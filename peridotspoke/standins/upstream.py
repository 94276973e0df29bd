"""A stand-in for an upstream: an executor that echoes requests, with faults."""

import asyncio
import hashlib
from collections import Counter

import msgspec
from aiohttp import web

from peridotspoke.standins.faults import UpstreamFaults

__all__ = ["UpstreamStandIn"]

MAX_REQUEST = 16 * 1024 * 1024  # bytes
REQUEST_ID = "Peridotspoke-Request-Id"
HANG_TIME = 3600.0  # seconds; stands for a request that is never answered


class UpstreamStandIn:
    """An HTTP application that serves any path and echoes each request in JSON.

    Parameters
    ----------
    name : str
        Name of the executor, which each answer contains.

    Attributes
    ----------
    faults : UpstreamFaults
        The current faults.
    arrivals : collections.Counter
        Number of requests received, by request ID.
    runs : collections.Counter
        Number of requests run, by request ID.
    keyed_runs : collections.Counter
        Number of requests run, by idempotency key.
    running : int
        Number of requests that run now.
    most_running : int
        Highest number of requests that ran at the same time.
    most_connections : int
        Highest number of connections that were open at the same time.
    silences : int
        Number of requests received over silenced connections.
    last_headers : Mapping of str to str
        Headers of the latest request.
    """

    def __init__(self, name):
        self.name = name
        self.faults = UpstreamFaults()
        self.arrivals = Counter()
        self.runs = Counter()
        self.keyed_runs = Counter()
        self.running = 0
        self.most_running = 0
        self.most_connections = 0
        self.silences = 0
        self.last_headers = {}
        self._connections = {}
        self._silenced = set()

    def make_application(self):
        """Return the aiohttp application."""
        application = web.Application(client_max_size=MAX_REQUEST)
        application.router.add_post("/standin/faults", self._replace_faults)
        application.router.add_get("/standin/runs", self._show_runs)
        application.router.add_route("*", "/{path:.*}", self._serve)
        return application

    def silence_connections(self):
        """Stop answering on the connections that are open now."""
        self._silenced |= set(self._connections)

    async def _replace_faults(self, request):
        self.faults = msgspec.json.decode(await request.read(), type=UpstreamFaults)
        if self.faults.silent_connections:
            self.silence_connections()
        return web.json_response({})

    async def _show_runs(self, request):
        return web.json_response(
            {
                "name": self.name,
                "arrivals": self.arrivals,
                "runs": self.runs,
                "keyed_runs": self.keyed_runs,
                "most_running": self.most_running,
                "most_connections": self.most_connections,
            }
        )

    async def _serve(self, request):
        self._track_connection(request)
        self.arrivals[request.headers.get(REQUEST_ID, "")] += 1
        self.last_headers = request.headers
        if id(request.protocol) in self._silenced:
            self.silences += 1
            await asyncio.sleep(HANG_TIME)
        if self.faults.close_early:
            request.transport.abort()
            return web.Response()
        if self.faults.refuse:
            headers = {
                "Peridotspoke-Outcome": "not-run",
                REQUEST_ID: _echo(request, self.faults),
            }
            return web.Response(status=503, headers=headers)
        return await self._run(request)

    def count_connections(self):
        """Return the number of open connections that have carried a request."""
        self._connections = {
            key: protocol
            for key, protocol in self._connections.items()
            if protocol.transport is not None
        }
        return len(self._connections)

    def _track_connection(self, request):
        self._connections[id(request.protocol)] = request.protocol
        self.most_connections = max(self.most_connections, self.count_connections())

    async def _run(self, request):
        faults = self.faults
        body = await request.read()
        request_id = request.headers.get(REQUEST_ID, "")
        self.runs[request_id] += 1
        if "Idempotency-Key" in request.headers:
            self.keyed_runs[request.headers["Idempotency-Key"]] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            if faults.service_time:
                await asyncio.sleep(faults.service_time)
            if faults.silent:
                await asyncio.sleep(HANG_TIME)
        finally:
            self.running -= 1
        return await self._answer(request, request_id, body, faults)

    async def _answer(self, request, request_id, body, faults):
        if faults.fail:
            return web.Response(status=500, headers={REQUEST_ID: request_id})
        content = msgspec.json.encode(
            {
                "executor": self.name,
                "request": request_id,
                "method": request.method,
                "path": request.path_qs,
                "digest": hashlib.sha256(body).hexdigest(),
                "padding": "x" * faults.oversize,
            }
        )
        headers = {
            REQUEST_ID: _echo(request, faults),
            "Content-Type": "application/json",
        }
        if faults.forge:
            headers |= {"Peridotspoke-Outcome": "not-run", "Peridotspoke-Other": "1"}
        response = _format_response(headers, content)
        if faults.cut_body:
            response = response[: -len(content) // 2]
        elif faults.unframed:
            response = _format_response(headers, content, framed=False)
        elif faults.double:
            response += response
        else:
            return web.Response(body=content, headers=headers)
        request.transport.write(response)
        request.transport.close()
        return web.Response()


def _echo(request, faults):
    return "another-request" if faults.cross else request.headers.get(REQUEST_ID, "")


def _format_response(headers, body, framed=True):
    """Format an HTTP response with status 200.

    Parameters
    ----------
    headers : dict of str to str
        Headers other than ``Content-Length``.
    body : bytes
        Body of the response.
    framed : bool, optional
        Whether to set ``Content-Length``.

    Returns
    -------
    bytes
        The response as it is sent over the connection.
    """
    lines = [
        "HTTP/1.1 200 OK",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
