"""Client of the platform's interface for machines."""

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
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
MACHINE_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
    "down": MachineState.DOWN,
}
REFUSALS_BY_REASON = {
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


class _Refusal(msgspec.Struct):
    reason: str = ""


class HttpMachines(MachineCalls):
    """Client of the platform's interface for machines.

    Parameters
    ----------
    peer : HttpPeer
        Connections to the interface.
    timeout : float
        Limit of one call, in seconds.
    """

    def __init__(self, peer, timeout):
        self._peer = peer
        self._timeout = timeout

    async def list(self):
        """Return all machines, from all pages of the list.

        Returns
        -------
        tuple of Machine

        Raises
        ------
        PlatformUnavailableError
            If the peer can't be reached, or a page has a status other than 200.
        AnswerLostError
            If no response arrived, or a page is unreadable.
        """
        machines, token = [], None
        while True:
            query = f"?pageToken={quote(token)}" if token else ""
            response = await self._peer.call(
                "GET", f"/peridotspoke/machines{query}", self._timeout
            )
            if response.status != HTTP_OK:
                raise PlatformUnavailableError(
                    f"expected status 200, found {response.status}",
                    step="list machines",
                    peer=self._peer.address,
                )
            page = decode_body(response, _Page, "list machines", self._peer.address)
            machines += [_make_machine(item) for item in page.machines]
            token = page.next_token
            if not token:
                return tuple(machines)

    async def move(self, machine, pool, token):
        """Order the move of a machine to a pool.

        Parameters
        ----------
        machine, pool : str
            Names of the machine and of its new pool.
        token : Token
            Identifies the lease holder that gives the order.

        Returns
        -------
        MachineRefusal or None
            None if the order was accepted.
        """
        body = {"machine": machine, "pool": pool}
        return await self._send_order("machine-move", body, token)

    async def maintain(self, machine, wave, token):
        """Order the maintenance of a machine as a part of a wave.

        Parameters
        ----------
        machine : str
            Name of the machine.
        wave : int
            Number of the maintenance wave.
        token : Token
            Identifies the lease holder that gives the order.

        Returns
        -------
        MachineRefusal or None
            None if the order was accepted.
        """
        body = {"machine": machine, "wave": wave}
        return await self._send_order("machine-upkeep", body, token)

    async def _send_order(self, name, body, token):
        headers = {
            "X-Lease-Holder": token.holder,
            "X-Fencing-Token": str(token.fence),
        }
        response = await self._peer.call(
            "POST", f"/peridotspoke/{name}", self._timeout, body, headers
        )
        if response.status == HTTP_OK:
            return None
        if response.status == HTTP_CONFLICT:
            refusal = decode_body(response, _Refusal, name, self._peer.address)
            return REFUSALS_BY_REASON.get(refusal.reason, MachineRefusal.BUSY)
        if response.status == HTTP_BAD_REQUEST:
            return MachineRefusal.INVALID
        if response.status == HTTP_TOO_MANY_REQUESTS:
            return MachineRefusal.LIMITED
        if response.status == HTTP_UNAVAILABLE:
            raise PlatformUnavailableError(
                "the service is unavailable (status 503)",
                step=name,
                peer=self._peer.address,
            )
        raise AnswerLostError(
            f"expected status 200, 400, 409, 429 or 503, found {response.status}",
            step=name,
            peer=self._peer.address,
        )


def _make_machine(item):
    """Return the `Machine` of a `_Machine`; an unknown state counts as down."""
    return Machine(
        item.machine,
        item.pool,
        MACHINE_STATES.get(item.state, MachineState.DOWN),
        item.zone,
        tuple(item.labels),
        Need(item.capacity.cpu, item.capacity.mem_mb, item.capacity.gpu),
        item.id or "",
    )
