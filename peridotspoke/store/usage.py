"""Interface and HTTP client of the platform's usage reports, which lag."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import (
    MalformedDataError,
    PlatformError,
    PlatformUnavailableError,
)

__all__ = ["HttpUsageReports", "UsageReport", "UsageReports", "parse_usage"]

HTTP_OK = 200
STEP = "read usage"


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Measured usage of an instance.

    Parameters
    ----------
    instance : str
    busy : float or None
        Average number of slots in use; None if it was not measured.
    measured_at : float
        Time of the measurement in seconds since the Unix epoch.
    """

    instance: str
    busy: float | None
    measured_at: float


class UsageReports(ABC):
    """Source of usage reports."""

    @abstractmethod
    async def read_usage(self):
        """Read the usage reports of all instances.

        Returns
        -------
        tuple of UsageReport

        Raises
        ------
        PlatformUnavailableError
            If the reports could not be read.
        PlatformError
            If the reports have an unexpected form.
        """


def parse_usage(body):
    """Parse a JSON array of usage reports.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    tuple of UsageReport

    Raises
    ------
    PlatformError
        If the reports have an unexpected form.
    """
    try:
        return decode_json(body, tuple[UsageReport, ...])
    except MalformedDataError as error:
        raise PlatformError(str(error), step=STEP) from error


class HttpUsageReports(UsageReports):
    """Client of the usage reports: ``GET /usage``.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    timeout : float
        Timeout of one call in seconds.
    session : aiohttp.ClientSession
        Closed by the caller.
    """

    def __init__(self, url, timeout, session):
        self._url = url.rstrip("/") + "/usage"
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session = session

    async def read_usage(self):
        """Read the usage reports of all instances."""
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
