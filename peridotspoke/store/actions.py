"""Interface and HTTP client of the platform's actions on instances."""

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
    """Interface for draining and rebooting instances.

    Every method names the incarnation of the instance that it is meant for, so that
    a late or repeated call has no effect on the next incarnation.
    """

    @abstractmethod
    async def drain(self, instance, incarnation):
        """Start draining an instance: the platform lists it as leaving.

        Parameters
        ----------
        instance : str
        incarnation : int

        Raises
        ------
        PlatformUnavailableError
            If the call certainly had no effect.
        AnswerLostError
            If the call may have had an effect; the instance list will show it.
        OperationConflictError
            If the instance no longer has this incarnation.
        """

    @abstractmethod
    async def reboot(self, instance, incarnation):
        """Reboot an instance; it is listed again with its next incarnation.

        Parameters
        ----------
        instance : str
        incarnation : int

        Raises
        ------
        PlatformUnavailableError
            If the call certainly had no effect.
        AnswerLostError
            If the call may have had an effect; the instance list will show it.
        OperationConflictError
            If the instance no longer has this incarnation.
        """


class HttpInstanceActions(InstanceActions):
    """Client of the actions: ``POST /instances/<instance>/drain`` and ``/reboot``.

    The incarnation is sent as the entity tag of an ``If-Match`` header [1]_.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    timeout : float
        Timeout of one call in seconds.
    session : aiohttp.ClientSession
        Closed by the caller.

    References
    ----------
    .. [1] R. Fielding et al., "HTTP Semantics", RFC 9110, section 13.1.1, 2022.
    """

    def __init__(self, url, timeout, session):
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout, connect=timeout)
        self._session = session

    async def drain(self, instance, incarnation):
        """Start draining an instance: the platform lists it as leaving."""
        await self._post(instance, "drain", incarnation)

    async def reboot(self, instance, incarnation):
        """Reboot an instance."""
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
                f"instance no longer has incarnation {incarnation}",
                step=action,
                peer=url,
            )
        if status != HTTP_ACCEPTED:
            raise AnswerLostError(
                f"expected status 202, found {status}", step=action, peer=url
            )
