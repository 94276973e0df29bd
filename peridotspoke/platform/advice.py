"""The advice service on the platform's wire."""

import msgspec

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.platform.http import HTTP_OK, decode_body
from peridotspoke.workloads.advising import AdviceCalls
from peridotspoke.workloads.executors import TicketGrant

__all__ = ["HttpAdvice"]

HTTP_TOO_MANY = 429


class _Grant(msgspec.Struct, rename="camel"):
    good: list[tuple[str, str]] = []
    valid_ms: float = 0.0


class HttpAdvice(AdviceCalls):
    """Client of the advice service."""

    def __init__(self, peer):
        self._peer = peer

    async def advise(self, key, executor_ids, timeout):
        """Return the `TicketGrant` of a step among at most 100 executors."""
        body = {
            "step": f"{key.job_id}.{key.occurrence}.{key.step}",
            "workers": list(executor_ids),
        }
        answer = await self._peer.call("POST", "/peridotspoke/advise", timeout, body)
        if answer.status == HTTP_TOO_MANY:
            raise PlatformUnavailableError(
                "too many calls wait", step="advise", peer=self._peer.address
            )
        if answer.status != HTTP_OK:
            raise AnswerLostError(
                f"unexpected status {answer.status}",
                step="advise",
                peer=self._peer.address,
            )
        grant = decode_body(answer, _Grant, "advise", self._peer.address)
        return TicketGrant(dict(grant.good), grant.valid_ms / 1000)
