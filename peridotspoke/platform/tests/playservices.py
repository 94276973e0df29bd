"""The store, the machines' interface and the addresses of executors in plays."""

import asyncio
import time

import msgspec
from aiohttp import web

from peridotspoke.platform.configuration import CONFIGURATION_KEY
from peridotspoke.platform.standins import (
    SHUTDOWN_TIMEOUT,
    MachinesStandIn,
    make_response,
)
from peridotspoke.platform.storestandin import MetadataStandIn

__all__ = ["Listener", "PlayMachines", "PlayStore"]


class PlayStore(MetadataStandIn):
    """Store that loses answers, or turns single nodes away.

    Attributes
    ----------
    is_away : bool
        Whether calls are carried out without an answer, or left undone.
    loses_answers : bool
        Whether calls are carried out while the store is away.
    turned_away : set of str
        Nodes whose calls are refused.
    answer_delays : dict of str to float
        Seconds by which answers to single nodes are late.
    configurations : list of (float, dict)
        Each version of the operator's configuration, with the time at which it was
        acknowledged, monotonic seconds.
    completed_waves : list of (int, list of str)
        Each wave that was said to be completed, and its machines that were left then.
    """

    def __init__(self, site):
        super().__init__()
        self.site, self.completed_waves = site, []
        self.is_away = self.loses_answers = False
        self.turned_away, self.answer_delays, self.configurations = set(), {}, []

    def make_handler(self, node):
        """Return the handler of the calls of one node."""

        async def handle(request):
            if node in self.turned_away:
                return make_response(status=503)
            if self.is_away and not self.loses_answers:
                await asyncio.sleep(3600)
            response = await self.handle(request)
            if self.is_away:
                await asyncio.sleep(3600)
            if node in self.answer_delays:
                await asyncio.sleep(self.answer_delays[node])
            return response

        return handle

    def _write(self, key, value, lease):
        super()._write(key, value, lease)
        if key == CONFIGURATION_KEY:
            document = msgspec.json.decode(value) if isinstance(value, bytes) else value
            self.configurations.append((time.monotonic(), document))
        if key.startswith("status/wave/") and b"completed" in value:
            wave = int(key.rpartition("/")[2])
            left = self.site.machines.list_left(wave)
            self.completed_waves.append((wave, left))

    def pause_leases(self, seconds):
        """Put the ends of all leases off."""
        self.leases = {
            lease: (end + seconds, ttl) for lease, (end, ttl) in self.leases.items()
        }

    def _expire(self):
        if not self.is_away:  # what has expired is removed once the store is back
            super()._expire()


class Listener:
    """An address that one executor after another has.

    Parameters
    ----------
    executor : PlayExecutor
        The one that has the address now.

    Attributes
    ----------
    transports : set of asyncio.Transport
        Connections that calls came on.
    """

    def __init__(self, executor):
        self.executor, self.transports = executor, set()
        self._site = None

    async def open(self):
        """Listen on a free port."""
        server = web.Server(self._handle, access_log=None)
        self.runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT)
        await self.runner.setup()
        await self._listen(0)
        host, self.port = self.runner.addresses[0][:2]
        self.address = f"{host}:{self.port}"
        self.executor.address = self.address

    async def _listen(self, port):
        self._site = web.TCPSite(self.runner, "127.0.0.1", port, reuse_address=True)
        await self._site.start()

    async def _handle(self, request):
        self.transports.add(request.transport)
        return await self.executor.handle(request)

    async def refuse(self, seconds):
        """Refuse connections for some seconds and break the open ones."""
        if self._site is None:
            return
        site, self._site = self._site, None
        await site.stop()
        for transport in self.transports:
            transport.abort()
        self.transports.clear()
        await asyncio.sleep(seconds)
        await self._listen(self.port)


class PlayMachines(MachinesStandIn):
    """Machines' interface of a `PlaySite`; orders are recorded.

    Attributes
    ----------
    orders : list of (float, str, str, str, int)
        Time, call, machine, lease holder and fencing token of each order that was
        carried out.
    """

    def __init__(self, site):
        super().__init__()
        self.site, self.orders, self.upkeeps = site, [], []

    async def handle(self, request):
        """List the machines, or carry an order out."""
        if request.method == "GET":
            self.machines = [self._describe(item) for item in self.site.executors]
            return await super().handle(request)
        body = msgspec.json.decode(await request.read())
        name = request.path.rpartition("/")[2]
        executor = self.site.find_machine(body["machine"])
        if executor is None:
            return make_response(status=400)
        if name == "machine-upkeep" and not self._is_due(body):
            return make_response({"reason": "wave"}, 409)
        if self._is_done(name, body, executor):
            return make_response({})
        is_up = executor.is_off or executor.is_alive
        if not is_up or executor.state != "ready":
            return make_response({"reason": "busy"}, 409)
        holder = request.headers["X-Lease-Holder"]
        fence = int(request.headers["X-Fencing-Token"])
        self.orders.append((time.monotonic(), name, body["machine"], holder, fence))
        self.site.record("machines", f"{name} {body} {holder} {fence}")
        in_upkeep = name == "machine-upkeep"
        if in_upkeep:
            upkeep = (time.monotonic(), name, body["machine"], body["wave"])
            self.upkeeps.append(upkeep)
        pool = body.get("pool", executor.pool)
        self.site.replace_executor(executor, pool, in_upkeep)
        return make_response({})

    def _is_done(self, name, body, executor):
        """Return whether the operation has been carried out already."""
        if name == "machine-move":
            return body["pool"] == executor.pool
        return body["machine"] not in self.list_left(body["wave"])

    def list_left(self, wave):
        """Return the machines of a wave whose upkeep has not begun."""
        begun = {machine for _, _, machine, number in self.upkeeps if number == wave}
        asked = self.site.waves[wave]["machines"] if wave in self.site.waves else ()
        return [machine for machine in asked if machine not in begun]

    def _is_due(self, body):
        wave = self.site.waves.get(body["wave"])
        return wave is not None and body["machine"] in wave["machines"]

    def _describe(self, executor):
        state = "up"
        if executor.has_left:
            state = "upkeep" if executor.in_upkeep else "moving"
        elif executor.down and not executor.is_off:
            state = "down"
        return {
            "machine": executor.machine,
            "pool": executor.pool,
            "state": state,
            "zone": "zone",
            "labels": ["a", executor.rack],
            "capacity": {"cpu": 8000, "memMb": 64000, "gpu": 0},
            "id": executor.executor_id,
        }
