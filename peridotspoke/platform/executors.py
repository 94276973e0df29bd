"""Executors on the platform's wire."""

import msgspec

from peridotspoke.exceptions import AnswerLostError, RecordError
from peridotspoke.platform.http import HTTP_OK, decode_body
from peridotspoke.workloads.executors import (
    Condition,
    EndedRun,
    EndKind,
    ExecutorCalls,
    ExecutorEntry,
    HeldRun,
    HoldReport,
    Refusal,
)
from peridotspoke.workloads.jobs import Need, TaskKey

__all__ = ["ENTRY_PREFIX", "HttpExecutor", "decode_entry", "format_task", "parse_task"]

ENTRY_PREFIX = "servers/"
HTTP_CONFLICT = 409
REASONS = {
    "fence": Refusal.FENCED,
    # "old" means that this run, or a later one, was stopped or has ended there.
    "old": Refusal.SUPERSEDED,
    "late": Refusal.LATE,
    "room": Refusal.ROOM,
    "ticket": Refusal.TICKET,
}
STATUSES = {
    400: Refusal.INVALID,
    404: Refusal.INVALID,
    421: Refusal.OTHER_INCARNATION,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Beat(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    seq: int
    capacity: _Capacity
    labels: list[str]
    born: int = 0
    remaining_ms: float | None = None


class _Lists(msgspec.Struct, rename="camel"):
    clock_ms: int = 0
    born: int = 0
    running: list[tuple] = []
    ended: list[tuple] = []
    reason: str = ""


def decode_entry(record):
    """Return the `ExecutorEntry` of a record under ``servers/``.

    Raises
    ------
    RecordError
        If it names no executor to use.
    """
    try:
        beat = msgspec.json.decode(record.value, type=_Beat)
        condition = Condition(beat.state)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise RecordError(str(error), step="decode entry", peer=record.key) from error
    remaining = beat.remaining_ms
    return ExecutorEntry(
        executor_id=record.key.partition("/")[2],
        pool=beat.service,
        address=beat.address,
        zone=beat.zone,
        condition=condition,
        capacity=Need(beat.capacity.cpu, beat.capacity.mem_mb, beat.capacity.gpu),
        labels=tuple(beat.labels),
        born=beat.born,
        sequence=beat.seq,
        remaining=None if remaining is None else remaining / 1000,
    )


def format_task(key):
    """Return a task's name on the wire.

    Examples
    --------
    >>> format_task(TaskKey("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{key.job_id}.{key.occurrence}.{key.step}.{key.index}"


def parse_task(name):
    """Return the `TaskKey` of a task's name on the wire; raises `ValueError`."""
    job_id, occurrence, step, index = name.split(".")
    return TaskKey(job_id, int(occurrence), int(step), int(index))


class HttpExecutor(ExecutorCalls):
    """Calls one life of an executor over HTTP.

    Parameters
    ----------
    peer : HttpPeer
    executor_id : str
        Any other executor at the address refuses the calls.
    timeout : float
        Limit of a call beyond the wait that it asks for, seconds.
    """

    def __init__(self, peer, executor_id, timeout):
        self._peer = peer
        self._headers = {"X-Expect-Instance": executor_id}
        self._timeout = timeout

    async def start(self, order):
        """Carry out a `StartOrder`; return None, or the `Refusal`."""
        body = {
            "task": format_task(order.key),
            "run": order.run,
            "spec": order.spec,
            "untilMs": order.until,
            "fence": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order("run-start", body)

    async def stop(self, order):
        """Carry out a `StopOrder`; return None, or the `Refusal`."""
        body = {
            "task": format_task(order.key),
            "run": order.run,
            "fence": order.fence,
        }
        return await self._order("run-stop", body)

    async def pace(self, order):
        """Carry out a `PaceOrder`; return None, or the `Refusal`."""
        body = {
            "task": format_task(order.key),
            "run": order.run,
            "percent": order.percent,
            "fence": order.fence,
        }
        return await self._order("pace", body)

    async def hold(self, order):
        """Carry out a `HoldOrder` and return the `HoldReport`."""
        body = {"fence": order.fence, "ackCursor": order.cursor}
        if order.until is not None:
            body["untilMs"] = order.until
        if order.wait:
            body["waitMs"] = round(order.wait * 1000)
        answer = await self._post("hold", body, self._timeout + order.wait)
        refusal = self._find_refusal("hold", answer)
        if refusal is not None:
            return HoldReport(0, 0, refusal=refusal)
        lists = decode_body(answer, _Lists, "hold", self._peer.address)
        try:
            return HoldReport(
                lists.clock_ms,
                lists.born,
                tuple(_parse_held(row) for row in lists.running),
                tuple(_parse_ended(row) for row in lists.ended),
            )
        except (ValueError, TypeError, IndexError) as error:
            raise AnswerLostError(
                f"unexpected lists: {error}", step="hold", peer=self._peer.address
            ) from error

    async def close(self):
        """Close the connections."""
        await self._peer.close()

    async def _order(self, name, body):
        answer = await self._post(name, body, self._timeout)
        return self._find_refusal(name, answer)

    async def _post(self, name, body, timeout):
        return await self._peer.call(
            "POST", f"/peridotspoke/{name}", timeout, body, self._headers
        )

    def _find_refusal(self, name, answer):
        if answer.status == HTTP_OK:
            return None
        if answer.status == HTTP_CONFLICT:
            lists = decode_body(answer, _Lists, name, self._peer.address)
            if lists.reason in REASONS:
                return REASONS[lists.reason]
        if answer.status in STATUSES:
            return STATUSES[answer.status]
        raise AnswerLostError(
            f"unexpected status {answer.status}", step=name, peer=self._peer.address
        )


def _parse_held(row):
    name, run, checkpoint, percent, *rest = row
    return HeldRun(parse_task(name), run, checkpoint, percent, rest[0] if rest else 0)


def _parse_ended(row):
    number, name, run, how, checkpoint = row[:5]
    return EndedRun(number, parse_task(name), run, EndKind(how), checkpoint)
