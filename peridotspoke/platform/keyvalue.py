"""The interface of the platform's key-value service."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = [
    "MAX_VALUE",
    "Change",
    "KeyValueService",
    "Lease",
    "PrefixCheck",
    "Record",
    "Snapshot",
    "SwapResult",
    "WatchBatch",
]

MAX_VALUE = 1024 * 1024  # bytes


@dataclass(frozen=True, slots=True)
class Record:
    """A key with its value, the revision that wrote it and its lease (0: none)."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The records under a prefix as of one revision."""

    records: tuple[Record, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class PrefixCheck:
    """How many records a prefix has, and whether any is newer than a revision."""

    count: int
    changed: bool


@dataclass(frozen=True, slots=True)
class SwapResult:
    """Whether a swap won; the revision, and the record found where it lost."""

    won: bool
    revision: int
    current: Record | None = None


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease with its time to live in seconds.

    `asked_at` is the holder's monotonic time from before the grant or the renewal
    was sent, so that ``asked_at + ttl`` is never later than the service's expiry.
    """

    lease_id: int
    ttl: float
    asked_at: float

    def is_held(self, now):
        """Return whether the holder may still act at the monotonic time `now`."""
        return now < self.asked_at + self.ttl


@dataclass(frozen=True, slots=True)
class Change:
    """A key's new record, or None where the key was deleted."""

    key: str
    record: Record | None
    revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes in the order of their revisions, and the revision reached."""

    changes: tuple[Change, ...]
    revision: int


class KeyValueService(ABC):
    """A small store with compare-and-swap, leases and watches.

    Every method raises `PlatformUnavailableError` where the call certainly had no
    effect and `AnswerLostError` where it may have had one.
    """

    @abstractmethod
    async def read(self, key):
        """Return the `Record` of `key`, or None."""

    @abstractmethod
    async def read_prefix(self, prefix):
        """Return a `Snapshot` of all records whose keys begin with `prefix`."""

    async def check_prefix(self, prefix, revision):
        """Return the `PrefixCheck` of the records newer than `revision`."""
        found = (await self.read_prefix(prefix)).records
        newer = any(record.revision > revision for record in found)
        return PrefixCheck(len(found), newer)

    @abstractmethod
    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write `value` if the key's revision is `expected_revision`.

        Parameters
        ----------
        key : str
        value : bytes or None
            None deletes the key.
        expected_revision : int
            The revision of the record that is replaced; 0 for an absent key.
        lease_id : int, optional
            The lease that the record is attached to.

        Returns
        -------
        SwapResult

        Raises
        ------
        RecordError
            If the value is larger than the service holds.
        """

    @abstractmethod
    async def grant_lease(self, ttl):
        """Return a fresh `Lease` of `ttl` seconds."""

    @abstractmethod
    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None where it has expired."""

    @abstractmethod
    async def revoke_lease(self, lease):
        """End the lease and delete the records attached to it."""

    @abstractmethod
    def watch(self, prefix, from_revision):
        """Yield a `WatchBatch` for each set of changes after `from_revision`.

        The iterator ends with an error when the connection is lost or when the
        revision has been compacted; the caller then reads a new snapshot.
        """
