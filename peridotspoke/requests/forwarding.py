"""Sends one request to one upstream and reads the whole answer."""

import asyncio
from dataclasses import dataclass

import aiohttp

from peridotspoke.requests.concluding import OUTCOME, REQUEST_ID
from peridotspoke.requests.messages import Outcome, UpstreamAnswer

__all__ = ["AttemptFailure", "Forwarder"]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "content-encoding",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt without a whole answer; `ran` is False where it surely didn't run."""

    ran: bool
    reason: str


class Forwarder:
    """Owns the connections to the upstreams.

    Parameters
    ----------
    clock : Clock
    session : aiohttp.ClientSession
        Owned by the caller.
    """

    def __init__(self, clock, session):
        self._clock = clock
        self._session = session

    async def forward(self, request, upstream):
        """Return the `UpstreamAnswer` or an `AttemptFailure`."""
        left = request.deadline - self._clock.read_monotonic()
        if left <= 0:
            return AttemptFailure(False, "the time limit passed")
        incoming = request.incoming
        headers = {
            name: value
            for name, value in incoming.headers.items()
            if name.lower() not in HOP_BY_HOP
        }
        headers[REQUEST_ID] = incoming.request_id
        try:
            async with (
                asyncio.timeout(left),
                self._session.request(
                    incoming.method,
                    f"http://{upstream.address}{incoming.path}",
                    headers=headers,
                    data=incoming.body or None,
                    allow_redirects=False,
                ) as response,
            ):
                return await self._read_answer(request, response)
        except aiohttp.ClientConnectorError as error:
            return AttemptFailure(False, repr(error))
        except TimeoutError:
            return AttemptFailure(True, "no answer within the time limit")
        except (aiohttp.ClientError, OSError) as error:
            return AttemptFailure(True, repr(error))

    async def _read_answer(self, request, response):
        if response.headers.get(OUTCOME) == Outcome.NOT_RUN:
            return AttemptFailure(False, "the upstream refused")
        echoed = response.headers.get(REQUEST_ID)
        if echoed != request.incoming.request_id:
            response.close()
            return AttemptFailure(True, f"answer to another request: {echoed}")
        body = await self._read_body(response, request.body_limit)
        if body is None:
            response.close()
            return AttemptFailure(True, "the answer is too large")
        headers = {
            name: value
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP
        }
        return UpstreamAnswer(response.status, headers, body)

    async def _read_body(self, response, limit):
        chunks = []
        size = 0
        async for chunk in response.content.iter_any():
            size += len(chunk)
            if size > limit:
                return None
            chunks.append(chunk)
        return b"".join(chunks)
