"""Client of the platform's executors."""

import msgspec

from peridotspoke.exceptions import AnswerLostError
from peridotspoke.platform.http import HTTP_OK, decode_body
from peridotspoke.workloads.executors import (
    EndedRun,
    EndKind,
    ExecutorCalls,
    Refusal,
    ReportedRun,
    RunReport,
    StartAnswer,
)
from peridotspoke.workloads.jobs import TaskKey

__all__ = ["HttpExecutor", "format_task", "parse_task"]

MAX_LISTED_ENDS = 500  # rows of "ended" in one response; the rest follow those
HTTP_CONFLICT = 409
REFUSALS_BY_REASON = {
    "fence": Refusal.FENCED,
    # "old": this run, or a later run of the task, has already been stopped or has
    # ended on the executor.
    "old": Refusal.SUPERSEDED,
    "late": Refusal.LATE,
    "room": Refusal.ROOM,
    "ticket": Refusal.TICKET,
}
REFUSALS_BY_STATUS = {
    400: Refusal.INVALID,
    404: Refusal.INVALID,
    421: Refusal.OTHER_INCARNATION,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}


class _Answer(msgspec.Struct, rename="camel"):
    """Response to an order; `reason` is set if it is refused."""

    clock_ms: int = 0
    reason: str = ""


class _RunLists(msgspec.Struct, rename="camel"):
    """Response to a `hold` call; one without both lists says nothing of the runs."""

    clock_ms: int
    running: list[tuple]
    ended: list[tuple]
    born: int = 0


def format_task(key):
    """Return the name by which the platform's protocol refers to a task.

    Parameters
    ----------
    key : TaskKey

    Returns
    -------
    str
        The key's four parts, joined by dots.

    Examples
    --------
    >>> format_task(TaskKey("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{key.job_id}.{key.occurrence}.{key.step}.{key.index}"


def parse_task(name):
    """Return the `TaskKey` of a task's name in the platform's protocol.

    Parameters
    ----------
    name : str
        In the form that `format_task` returns.

    Raises
    ------
    ValueError
        If the name does not have four parts, or the last three are not integers.
    """
    job_id, occurrence, step, index = name.split(".")
    return TaskKey(job_id, int(occurrence), int(step), int(index))


class HttpExecutor(ExecutorCalls):
    """HTTP client of one executor.

    Parameters
    ----------
    peer : HttpPeer
        Connections to the executor's address.
    executor_id : str
        Sent with each call; another executor at the same address refuses the call.
    timeout : float
        Limit of a call in seconds, in addition to the wait that the call asks for.
    """

    def __init__(self, peer, executor_id, timeout):
        self._peer = peer
        self._headers = {"X-Expect-Instance": executor_id}
        self._timeout = timeout

    @property
    def address(self):
        """The executor's address, as ``host:port``."""
        return self._peer.address

    async def start(self, order):
        """Send a `StartOrder` and return the `StartAnswer`."""
        body = {
            "task": format_task(order.key),
            "run": order.run,
            "spec": order.spec,
            "untilMs": order.lease_end_ms,
            "fence": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        response = await self._post("run-start", body, self._timeout)
        refusal = self._find_refusal("run-start", response)
        if refusal is not None:
            return StartAnswer(refusal)
        try:
            answer = decode_body(response, _Answer, "run-start", self._peer.address)
        except AnswerLostError:
            # The status says that the run was started; only the clock is not known.
            return StartAnswer()
        return StartAnswer(clock=answer.clock_ms or None)

    async def stop(self, order):
        """Send a `StopOrder`; return None if it was accepted, else the `Refusal`."""
        body = {
            "task": format_task(order.key),
            "run": order.run,
            "fence": order.fence,
        }
        return await self._send_order("run-stop", body)

    async def throttle(self, order):
        """Send a `ThrottleOrder`; return None if accepted, else the `Refusal`."""
        body = {
            "task": format_task(order.key),
            "run": order.run,
            "percent": order.percent,
            "fence": order.fence,
        }
        return await self._send_order("pace", body)

    async def renew_leases(self, order):
        """Send a `LeaseRenewal` and return the `RunReport`.

        Raises
        ------
        PlatformUnavailableError
            If the executor certainly did not receive the call.
        AnswerLostError
            If no response arrived, or its lists of runs are unreadable.
        """
        body = {"fence": order.fence, "ackCursor": order.cursor}
        if order.lease_end_ms is not None:
            body["untilMs"] = order.lease_end_ms
        if order.wait:
            body["waitMs"] = round(order.wait * 1000)
        response = await self._post("hold", body, self._timeout + order.wait)
        refusal = self._find_refusal("hold", response)
        if refusal is not None:
            return RunReport(0, 0, refusal=refusal)
        run_lists = decode_body(response, _RunLists, "hold", self._peer.address)
        try:
            return RunReport(
                run_lists.clock_ms,
                run_lists.born,
                tuple(_parse_reported_run(fields) for fields in run_lists.running),
                tuple(_parse_ended(fields) for fields in run_lists.ended),
                has_more_ends=len(run_lists.ended) >= MAX_LISTED_ENDS,
            )
        except (ValueError, TypeError, IndexError) as error:
            raise AnswerLostError(
                f"unreadable lists of runs: {error}",
                step="hold",
                peer=self._peer.address,
            ) from error

    async def close(self):
        """Close all connections."""
        await self._peer.close()

    async def _send_order(self, name, body):
        response = await self._post(name, body, self._timeout)
        return self._find_refusal(name, response)

    async def _post(self, name, body, timeout):
        return await self._peer.call(
            "POST", f"/peridotspoke/{name}", timeout, body, self._headers
        )

    def _find_refusal(self, name, response):
        if response.status == HTTP_OK:
            return None
        if response.status == HTTP_CONFLICT:
            answer = decode_body(response, _Answer, name, self._peer.address)
            if answer.reason in REFUSALS_BY_REASON:
                return REFUSALS_BY_REASON[answer.reason]
        if response.status in REFUSALS_BY_STATUS:
            return REFUSALS_BY_STATUS[response.status]
        raise AnswerLostError(
            f"expected 200 or a status of a refusal, found {response.status}",
            step=name,
            peer=self._peer.address,
        )


def _parse_reported_run(fields):
    """Return a `ReportedRun`; a row without a load, its last field, has the load 0."""
    name, run, checkpoint, percent, *rest = fields
    return ReportedRun(
        parse_task(name), run, checkpoint, percent, rest[0] if rest else 0
    )


def _parse_ended(fields):
    number, name, run, kind, checkpoint = fields[:5]
    return EndedRun(number, parse_task(name), run, EndKind(kind), checkpoint)
