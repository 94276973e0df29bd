"""Client of the platform's advice service."""

import msgspec

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.platform.http import HTTP_OK, decode_body
from peridotspoke.workloads.advising import AdviceCalls
from peridotspoke.workloads.executors import TicketGrant

__all__ = ["HttpAdvice"]

HTTP_TOO_MANY_REQUESTS = 429


class _Grant(msgspec.Struct, rename="camel"):
    good: list[tuple[str, str]] = []
    valid_ms: float = 0.0


class HttpAdvice(AdviceCalls):
    """Client of the service that selects executors for a step and grants tickets.

    Parameters
    ----------
    peer : HttpPeer
        Connections to the service.
    """

    def __init__(self, peer):
        self._peer = peer

    async def advise(self, key, executor_ids, timeout):
        """Request the tickets of a step for at most 100 executors.

        Parameters
        ----------
        key : TaskKey
            Any task of the step.
        executor_ids : sequence of str
            The executors to choose from.
        timeout : float
            Limit of the call, in seconds.

        Returns
        -------
        TicketGrant
            The tickets of those executors that may run the step.

        Raises
        ------
        PlatformUnavailableError
            If the service can't be reached, or refuses the call because too many
            calls are waiting.
        AnswerLostError
            If no response arrived, or it is unreadable.
        """
        body = {
            "step": f"{key.job_id}.{key.occurrence}.{key.step}",
            "workers": list(executor_ids),
        }
        response = await self._peer.call("POST", "/peridotspoke/advise", timeout, body)
        if response.status == HTTP_TOO_MANY_REQUESTS:
            raise PlatformUnavailableError(
                "the advice service has too many waiting calls",
                step="advise",
                peer=self._peer.address,
            )
        if response.status != HTTP_OK:
            raise AnswerLostError(
                f"expected status 200 or 429, found {response.status}",
                step="advise",
                peer=self._peer.address,
            )
        grant = decode_body(response, _Grant, "advise", self._peer.address)
        return TicketGrant(dict(grant.good), grant.valid_ms / 1000)
