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

    `runs` counts runs by request identity, `keyed_runs` by idempotency key.
    `most_running` and `most_connections` are the highest numbers seen at once.
    """

    def __init__(self, name):
        self.name = name
        self.faults = UpstreamFaults()
        self.runs = Counter()
        self.keyed_runs = Counter()
        self.running = 0
        self.most_running = 0
        self.most_connections = 0
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
                "runs": self.runs,
                "keyed_runs": self.keyed_runs,
                "most_running": self.most_running,
                "most_connections": self.most_connections,
            }
        )

    async def _serve(self, request):
        self._note_connection(request)
        if id(request.protocol) in self._silent:
            await asyncio.sleep(NEVER)
        if self.faults.close_early:
            request.transport.abort()
            return web.Response()
        if self.faults.refuse:
            headers = {
                "Peridotspoke-Outcome": "not-run",
                REQUEST_ID: request.headers.get(REQUEST_ID, ""),
            }
            return web.Response(status=503, headers=headers)
        return await self._run(request)

    def _note_connection(self, request):
        self._connections[id(request.protocol)] = request.protocol
        self._connections = {
            key: item
            for key, item in self._connections.items()
            if item.transport is not None
        }
        self.most_connections = max(self.most_connections, len(self._connections))

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
        echoed = "another-request" if faults.cross else request_id
        headers = {REQUEST_ID: echoed, "Content-Type": "application/json"}
        if not faults.cut_body:
            return web.Response(body=answer, headers=headers)
        headers["Content-Length"] = str(len(answer))
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(answer[: len(answer) // 2])
        request.transport.abort()
        return response
