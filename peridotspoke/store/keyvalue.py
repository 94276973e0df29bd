"""The interface of the platform's key-value service."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from peridotspoke.exceptions import PlatformUnavailableError

__all__ = [
    "MAX_VALUE",
    "Change",
    "CommitResult",
    "Condition",
    "KeyValueService",
    "Lease",
    "PrefixCheck",
    "Put",
    "Record",
    "Snapshot",
    "SwapResult",
    "Transaction",
    "WatchBatch",
]

MAX_VALUE = 1024 * 1024  # bytes


@dataclass(frozen=True, slots=True)
class Record:
    """A key with its value, the revision that wrote it and its lease (0: none).

    `created` is the revision that created the key, where the service tells it.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0
    created: int = 0


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
class Condition:
    """The revision that a key must have; 0 for an absent key."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write, attached to a lease (0: none)."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes and removals that take effect together if all conditions hold."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Whether a transaction won, and the records of its conditions if it lost."""

    won: bool
    revision: int = 0
    current: tuple[Record, ...] = ()

    def find_current(self, key):
        """Return the record of `key` that the lost transaction found, or None."""
        return next((record for record in self.current if record.key == key), None)


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

    `watch_confirms` tells that each batch of a watch, also an empty one, proves
    that nothing else has changed up to its revision.
    """

    watch_confirms = False

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

    async def commit(self, transaction, timeout=None):
        """Apply a `Transaction` as a whole and return its `CommitResult`.

        Parameters
        ----------
        transaction : Transaction
        timeout : float, optional
            Limit of the call in seconds, in place of the usual one.

        Raises
        ------
        LeaseExpiredError
            If a lease that it names has ended.
        PlatformUnavailableError
            If the service has no transactions of several keys.
        """
        raise PlatformUnavailableError(
            f"expected a service with transactions, found {type(self).__name__}",
            step="commit",
        )

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
