"""What the instances used, as the platform reports it, with a lag."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp
import msgspec

from peridotspoke.exceptions import PlatformError, PlatformUnavailableError

__all__ = ["HttpUsageReports", "UsageReport", "UsageReports", "parse_usage"]

HTTP_OK = 200
STEP = "read usage"


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What an instance used when it was measured.

    Parameters
    ----------
    instance : str
    busy : float or None
        Slots in use, on average; None where it was not measured.
    measured_at : float
        Seconds since the Unix epoch.
    """

    instance: str
    busy: float | None
    measured_at: float


class UsageReports(ABC):
    """A source of usage reports."""

    @abstractmethod
    async def read_usage(self):
        """Return a tuple of `UsageReport`.

        Raises
        ------
        PlatformUnavailableError
            If the reports could not be read.
        PlatformError
            If they have an unexpected form.
        """


def parse_usage(body):
    """Return the `UsageReport` tuple of a JSON list.

    Raises
    ------
    PlatformError
        If the form is wrong.
    """
    try:
        return msgspec.json.decode(body, type=tuple[UsageReport, ...])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise PlatformError(str(error), step=STEP) from error


class HttpUsageReports(UsageReports):
    """The reports over HTTP: ``GET /usage``."""

    def __init__(self, url, timeout, session):
        self._url = url.rstrip("/") + "/usage"
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session = session

    async def read_usage(self):
        """Return a tuple of `UsageReport`."""
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailableError(
                repr(error), step=STEP, peer=self._url
            ) from error
        if response.status != HTTP_OK:
            raise PlatformUnavailableError(
                f"expected status 200, found {response.status}",
                step=STEP,
                peer=self._url,
            )
        return parse_usage(body)
