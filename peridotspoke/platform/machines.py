"""The machines' interface on the platform's wire."""

from urllib.parse import quote

import msgspec

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.platform.http import HTTP_OK, decode_body
from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.machines import (
    Machine,
    MachineCalls,
    MachineRefusal,
    MachineState,
)

__all__ = ["HttpMachines"]

HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}
REASONS = {
    "fence": MachineRefusal.FENCED,
    "busy": MachineRefusal.BUSY,
    "wave": MachineRefusal.OTHER_WAVE,
}


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    id: str | None = ""


class _Page(msgspec.Struct, rename="camel"):
    machines: list[_Machine] = []
    next_token: str | None = None


class _Reason(msgspec.Struct):
    reason: str = ""


class HttpMachines(MachineCalls):
    """Client of the machines' interface; `timeout` limits a call, seconds."""

    def __init__(self, peer, timeout):
        self._peer = peer
        self._timeout = timeout

    async def list(self):
        """Return all `Machine` objects as a tuple."""
        machines, token = [], None
        while True:
            query = f"?pageToken={quote(token)}" if token else ""
            answer = await self._peer.call(
                "GET", f"/peridotspoke/machines{query}", self._timeout
            )
            if answer.status != HTTP_OK:
                raise PlatformUnavailableError(
                    f"status {answer.status}",
                    step="list machines",
                    peer=self._peer.address,
                )
            page = decode_body(answer, _Page, "list machines", self._peer.address)
            machines += [_make_machine(item) for item in page.machines]
            token = page.next_token
            if not token:
                return tuple(machines)

    async def move(self, machine, pool, token):
        """Move a machine to a pool; return None, or the `MachineRefusal`."""
        body = {"machine": machine, "pool": pool}
        return await self._order("machine-move", body, token)

    async def maintain(self, machine, wave, token):
        """Begin a machine's maintenance; return None, or the `MachineRefusal`."""
        body = {"machine": machine, "wave": wave}
        return await self._order("machine-upkeep", body, token)

    async def _order(self, name, body, token):
        headers = {
            "X-Lease-Holder": token.holder,
            "X-Fencing-Token": str(token.fence),
        }
        answer = await self._peer.call(
            "POST", f"/peridotspoke/{name}", self._timeout, body, headers
        )
        if answer.status == HTTP_OK:
            return None
        if answer.status == HTTP_CONFLICT:
            found = decode_body(answer, _Reason, name, self._peer.address)
            return REASONS.get(found.reason, MachineRefusal.BUSY)
        if answer.status == HTTP_BAD_REQUEST:
            return MachineRefusal.INVALID
        if answer.status == HTTP_TOO_MANY:
            return MachineRefusal.LIMITED
        if answer.status == HTTP_UNAVAILABLE:
            raise PlatformUnavailableError(
                "status 503", step=name, peer=self._peer.address
            )
        raise AnswerLostError(
            f"unexpected status {answer.status}", step=name, peer=self._peer.address
        )


def _make_machine(item):
    return Machine(
        item.machine,
        item.pool,
        STATES.get(item.state, MachineState.DOWN),
        item.zone,
        tuple(item.labels),
        Need(item.capacity.cpu, item.capacity.mem_mb, item.capacity.gpu),
        item.id or "",
    )
