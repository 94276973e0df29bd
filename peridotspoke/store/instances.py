"""The platform's list of live and leaving instances."""

import collections
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Literal

import aiohttp
import msgspec

from peridotspoke.exceptions import PlatformError, PlatformUnavailableError

__all__ = ["HttpInstanceList", "InstanceList", "ListedInstance", "parse_instances"]

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance as the platform lists it.

    `incarnation` grows each time that the instance comes back. `executor` and
    `worker` are addresses; `memory` is in bytes.
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
    """A source of the list, which may lag."""

    @abstractmethod
    async def read_instances(self):
        """Return a tuple of `ListedInstance`.

        Raises
        ------
        PlatformUnavailableError
            If the list could not be read.
        PlatformError
            If the list has an unexpected form.
        """


def parse_instances(body):
    """Return the `ListedInstance` tuple of a JSON list.

    Raises
    ------
    PlatformError
        If the form is wrong or an instance is listed twice.
    """
    try:
        listed = msgspec.json.decode(body, type=tuple[ListedInstance, ...])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise PlatformError(str(error), step="read instance list") from error
    names = collections.Counter(item.instance for item in listed)
    doubled = sorted(name for name, count in names.items() if count > 1)
    if doubled:
        raise PlatformError(
            f"expected each instance once, found twice: {', '.join(doubled)}",
            step="read instance list",
        )
    return listed


class HttpInstanceList(InstanceList):
    """The list over HTTP: ``GET /instances``, conditional by its entity tag.

    An unchanged list is answered with status 304 and no body, so that the bytes of
    a poll don't grow with the fleet [1]_.

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
        """Return a tuple of `ListedInstance`; the same object while unchanged."""
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
