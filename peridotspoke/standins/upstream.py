"""An upstream's stand-in: an executor that echoes what it ran, with faults."""

import asyncio
import hashlib
from collections import Counter

import msgspec
from aiohttp import web

from peridotspoke.standins.faults import UpstreamFaults

__all__ = ["UpstreamStandIn"]

MAX_REQUEST = 16 * 1024 * 1024  # bytes
REQUEST_ID = "Peridotspoke-Request-Id"
NEVER = 3600.0  # seconds


class UpstreamStandIn:
    """Serves any path; answers in JSON what was run and by which request.

    `arrivals` counts requests that arrived by their identity, `runs` those that
    ran, `keyed_runs` runs by idempotency key.
    `most_running` and `most_connections` are the highest numbers seen at once,
    `silences` the requests that came over a silent connection, `last_headers`
    those of the latest request.
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
        self._silent = set()

    def make_application(self):
        """Return the aiohttp application."""
        application = web.Application(client_max_size=MAX_REQUEST)
        application.router.add_post("/standin/faults", self._switch_faults)
        application.router.add_get("/standin/runs", self._show_runs)
        application.router.add_route("*", "/{path:.*}", self._serve)
        return application

    def silence_connections(self):
        """Let all connections that are open now go silent."""
        self._silent |= set(self._connections)

    async def _switch_faults(self, request):
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
        self._note_connection(request)
        self.arrivals[request.headers.get(REQUEST_ID, "")] += 1
        self.last_headers = request.headers
        if id(request.protocol) in self._silent:
            self.silences += 1
            await asyncio.sleep(NEVER)
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
        """Return the connections that have carried a request and are open now."""
        self._connections = {
            key: item
            for key, item in self._connections.items()
            if item.transport is not None
        }
        return len(self._connections)

    def _note_connection(self, request):
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
                await asyncio.sleep(NEVER)
        finally:
            self.running -= 1
        return await self._answer(request, request_id, body, faults)

    async def _answer(self, request, request_id, body, faults):
        if faults.fail:
            return web.Response(status=500, headers={REQUEST_ID: request_id})
        answer = msgspec.json.encode(
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
        text = _format_answer(headers, answer)
        if faults.cut_body:
            text = text[: -len(answer) // 2]
        elif faults.unframed:
            text = _format_answer(headers, answer, framed=False)
        elif faults.double:
            text += text
        else:
            return web.Response(body=answer, headers=headers)
        request.transport.write(text)
        request.transport.close()
        return web.Response()


def _echo(request, faults):
    return "another-request" if faults.cross else request.headers.get(REQUEST_ID, "")


def _format_answer(headers, body, framed=True):
    """Return an answer's bytes, with its length where it is `framed`."""
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {val}" for name, val in headers.items())]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
