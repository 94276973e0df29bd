"""Interface and HTTP client of the platform's instance list."""

import collections
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Literal

import aiohttp

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import (
    MalformedDataError,
    PlatformError,
    PlatformUnavailableError,
)

__all__ = ["HttpInstanceList", "InstanceList", "ListedInstance", "parse_instances"]

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's instance list.

    Parameters
    ----------
    instance : str
    zone : str
        Availability zone.
    rack : str
    state : {"live", "leaving"}
    incarnation : int
        Grows with each restart of the instance.
    executor : str
        Address, as IP address and port.
    worker : str, optional
        Address, as IP address and port; empty for none.
    slots : int, optional
    connections : int, optional
        Most connections to the executor.
    cores : int, optional
    memory : int, optional
        Bytes.
    accelerators : int, optional
    """

    instance: str
    zone: str
    rack: str
    state: Literal["live", "leaving"]
    incarnation: int
    executor: str
    worker: str = ""
    slots: int = 8
    connections: int = 64
    cores: int = 32
    memory: int = 64 << 30
    accelerators: int = 0


class InstanceList(ABC):
    """Source of the instance list, which may lag behind the instances' state."""

    @abstractmethod
    async def read_instances(self):
        """Read the instance list.

        Returns
        -------
        tuple of ListedInstance

        Raises
        ------
        PlatformUnavailableError
            If the list could not be read.
        PlatformError
            If the list has an unexpected form.
        """


def parse_instances(body):
    """Parse a JSON array of instances.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    tuple of ListedInstance

    Raises
    ------
    PlatformError
        If the list has an unexpected form or an instance is listed more than once.
    """
    try:
        listed = decode_json(body, tuple[ListedInstance, ...])
    except MalformedDataError as error:
        raise PlatformError(str(error), step="read instance list") from error
    names = collections.Counter(item.instance for item in listed)
    duplicates = sorted(name for name, count in names.items() if count > 1)
    if duplicates:
        raise PlatformError(
            f"instances listed more than once: {', '.join(duplicates)}",
            step="read instance list",
        )
    return listed


class HttpInstanceList(InstanceList):
    """Client of the instance list: ``GET /instances`` with an entity tag.

    An unchanged list is answered with status 304 and no body, so that the size of
    such a poll does not grow with the fleet [1]_.

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
    .. [1] RFC 9110, section 13.1.2, "If-None-Match".
    """

    def __init__(self, url, timeout, session):
        self._url = url.rstrip("/") + "/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session = session
        self._tag = ""
        self._listed = ()

    async def read_instances(self):
        """Read the list; return the same tuple object while it is unchanged."""
        headers = {"If-None-Match": self._tag} if self._tag else {}
        try:
            async with self._session.get(
                self._url, timeout=self._timeout, headers=headers
            ) as response:
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise self._make_unavailable(repr(error)) from error
        if response.status == HTTP_NOT_MODIFIED and self._tag:
            return self._listed
        if response.status != HTTP_OK:
            raise self._make_unavailable(
                f"expected status 200, found {response.status}"
            )
        self._listed = parse_instances(body)
        self._tag = response.headers.get("ETag", "")
        return self._listed

    def _make_unavailable(self, reason):
        return PlatformUnavailableError(
            reason, step="read instance list", peer=self._url
        )
