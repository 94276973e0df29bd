"""Interface of the platform's key-value service: records, leases and watches."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

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
    """A key with its value and metadata.

    Parameters
    ----------
    key : str
    value : bytes
        Not part of the representation: the operator's configuration holds API keys.
    revision : int
        Revision of the service at which the value was written.
    lease : int, optional
        Lease that the record is attached to; 0 for none.
    create_revision : int, optional
        Revision at which the key was created; 0 if the service does not report it.
    """

    key: str
    value: bytes = field(repr=False)
    revision: int
    lease: int = 0
    create_revision: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All records under a prefix as of one revision.

    Parameters
    ----------
    records : tuple of Record
    revision : int
    """

    records: tuple[Record, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class PrefixCheck:
    """Summary of a prefix, for checking a copy of its records.

    Parameters
    ----------
    count : int
        Number of records under the prefix.
    changed : bool
        Whether any of them was written after the revision that was asked about.
    """

    count: int
    changed: bool


@dataclass(frozen=True, slots=True)
class SwapResult:
    """Result of a compare-and-swap.

    Parameters
    ----------
    succeeded : bool
        Whether the value was written.
    revision : int
        Revision of the write. If the swap failed, the revision of the service, or 0
        if the service does not report it.
    current : Record or None, optional
        If the swap failed, the present record of the key; None if it is absent.
    """

    succeeded: bool
    revision: int
    current: Record | None = None


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires a key to have a given revision.

    Parameters
    ----------
    key : str
    revision : int
        The required revision; 0 requires that the key is absent.
    """

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a transaction.

    Parameters
    ----------
    key : str
    value : bytes
    lease : int, optional
        Lease that the record is attached to; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes and deletions that are applied atomically if all conditions hold.

    Parameters
    ----------
    conditions : tuple of Condition
    puts : tuple of Put, optional
    deletions : tuple of str, optional
        Keys to delete.
    """

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...] = ()
    deletions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Result of a transaction.

    Parameters
    ----------
    succeeded : bool
        Whether the transaction was applied.
    revision : int, optional
        Revision of the writes; 0 if the transaction was not applied.
    current : tuple of Record, optional
        If a condition failed, the present records of the conditions' keys.
    """

    succeeded: bool
    revision: int = 0
    current: tuple[Record, ...] = ()

    def find_current(self, key):
        """Return the `Record` of `key` in `current`, or None if there is none."""
        return next((record for record in self.current if record.key == key), None)


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease as its holder knows it.

    Parameters
    ----------
    lease_id : int
    ttl : float
        Time to live in seconds.
    requested_at : float
        The holder's monotonic time in seconds, read before the grant or the renewal
        was sent. ``requested_at + ttl`` is therefore never later than the time at which
        the service expires the lease.
    """

    lease_id: int
    ttl: float
    requested_at: float

    def is_held(self, now):
        """Return whether the holder may still act at the monotonic time `now`."""
        return now < self.requested_at + self.ttl


@dataclass(frozen=True, slots=True)
class Change:
    """A write or a deletion of a key, as a watch reports it.

    Parameters
    ----------
    key : str
    record : Record or None
        The new record; None if the key was deleted.
    revision : int
        Revision of the change.
    """

    key: str
    record: Record | None
    revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes that a watch delivers together.

    Parameters
    ----------
    changes : tuple of Change
        In the order of their revisions.
    revision : int
        Revision that the service reports with the batch. It may be ahead of the
        delivered changes, unless `KeyValueService.watch_is_complete` is true.
    """

    changes: tuple[Change, ...]
    revision: int


class KeyValueService(ABC):
    """A key-value store with compare-and-swap, leases and watches.

    Every method raises `PlatformUnavailableError` if the call certainly had no
    effect and `AnswerLostError` if it may have had one.

    Attributes
    ----------
    watch_is_complete : bool
        Whether a watch is complete up to the revision of each batch, also of one
        without changes: no other change was made up to that revision.
    """

    watch_is_complete = False

    @abstractmethod
    async def read(self, key):
        """Return the `Record` of `key`, or None if the key is absent."""

    @abstractmethod
    async def read_prefix(self, prefix):
        """Return a `Snapshot` of all records whose keys begin with `prefix`."""

    async def check_prefix(self, prefix, revision):
        """Count the records under `prefix` and look for any newer than `revision`.

        Parameters
        ----------
        prefix : str
        revision : int

        Returns
        -------
        PrefixCheck
        """
        found = (await self.read_prefix(prefix)).records
        newer = any(record.revision > revision for record in found)
        return PrefixCheck(len(found), newer)

    @abstractmethod
    async def swap(self, key, value, expected_revision, lease_id=0):
        """Write or delete a record if it still has the expected revision.

        Parameters
        ----------
        key : str
        value : bytes or None
            The new value; None deletes the key.
        expected_revision : int
            Revision of the record to replace; 0 if the key must be absent.
        lease_id : int, optional
            Lease to attach the record to; 0 for none.

        Returns
        -------
        SwapResult

        Raises
        ------
        RecordError
            If the value is larger than the service accepts.
        """

    async def commit(self, transaction, timeout=None):
        """Apply a transaction atomically.

        Parameters
        ----------
        transaction : Transaction
        timeout : float, optional
            Timeout of the call in seconds; by default that of the service.

        Returns
        -------
        CommitResult

        Raises
        ------
        LeaseExpiredError
            If a lease named by the transaction has expired.
        PlatformUnavailableError
            If the service does not support transactions over several keys.
        """
        raise PlatformUnavailableError(
            f"{type(self).__name__} does not support transactions over several keys",
            step="commit",
        )

    @abstractmethod
    async def grant_lease(self, ttl):
        """Return a new `Lease` with a time to live of `ttl` seconds."""

    @abstractmethod
    async def renew_lease(self, lease):
        """Return the renewed `Lease`, or None if it has expired."""

    @abstractmethod
    async def revoke_lease(self, lease):
        """Revoke the lease and delete the records attached to it."""

    @abstractmethod
    def watch(self, prefix, from_revision):
        """Yield a `WatchBatch` for each set of changes after `from_revision`.

        Parameters
        ----------
        prefix : str
        from_revision : int
            The last revision that the caller already knows.

        Yields
        ------
        WatchBatch

        Raises
        ------
        PlatformError
            If the connection is lost or the revision has been compacted. The caller
            then reads a new snapshot.
        """
