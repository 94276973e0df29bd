"""What the platform can be told to do with an instance of a pool."""

from abc import ABC, abstractmethod

import aiohttp

from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PlatformUnavailableError,
)

__all__ = ["HttpInstanceActions", "InstanceActions"]

HTTP_ACCEPTED = 202
HTTP_PRECONDITION_FAILED = 412


class InstanceActions(ABC):
    """Drains and reboots instances.

    Every method names the incarnation that it is meant for, so that a call that is
    late or sent twice does nothing to the next one.
    """

    @abstractmethod
    async def drain(self, instance, incarnation):
        """Let the platform list the instance as leaving.

        Raises
        ------
        PlatformUnavailableError
            If the call certainly had no effect.
        AnswerLostError
            If it may have had one; the instance list will tell.
        OperationConflictError
            If the instance is not of this incarnation any more.
        """

    @abstractmethod
    async def reboot(self, instance, incarnation):
        """Restart the instance; it is listed again with the next incarnation."""


class HttpInstanceActions(InstanceActions):
    """The actions over HTTP: ``POST /instances/<instance>/drain`` and ``/reboot``.

    The incarnation is sent as the entity tag of an ``If-Match`` header [1]_.

    References
    ----------
    .. [1] R. Fielding et al., "HTTP Semantics", RFC 9110, section 13.1.1, 2022.
    """

    def __init__(self, url, timeout, session):
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout, connect=timeout)
        self._session = session

    async def drain(self, instance, incarnation):
        """Let the platform list the instance as leaving."""
        await self._post(instance, "drain", incarnation)

    async def reboot(self, instance, incarnation):
        """Restart the instance."""
        await self._post(instance, "reboot", incarnation)

    async def _post(self, instance, action, incarnation):
        url = f"{self._url}/instances/{instance}/{action}"
        headers = {"If-Match": f'"{incarnation}"'}
        try:
            async with self._session.post(
                url, headers=headers, timeout=self._timeout
            ) as response:
                status = response.status
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailableError(
                repr(error), step=action, peer=url
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise AnswerLostError(
                f"no answer: {error!r}", step=action, peer=url
            ) from error
        if status == HTTP_PRECONDITION_FAILED:
            raise OperationConflictError(
                f"incarnation {incarnation} has ended", step=action, peer=url
            )
        if status != HTTP_ACCEPTED:
            raise AnswerLostError(
                f"expected status 202, found {status}", step=action, peer=url
            )
