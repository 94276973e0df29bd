"""Typed values with their latest changes, and swaps that survive lost answers."""

from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PlatformUnavailableError,
    RecordError,
)
from peridotspoke.platform.keyvalue import Record

__all__ = [
    "ChangeNote",
    "Stored",
    "decode_record",
    "encode_stored",
    "swap_stored",
]

KEPT_CHANGES = 8
SWAP_TRIES = 4

Body = TypeVar("Body")


@dataclass(frozen=True, slots=True)
class ChangeNote:
    """Who changed a record, by which operation, when and why.

    `at` is in seconds since the Unix epoch by the writer's clock.
    """

    operation: str
    author: str
    action: str
    reason: str
    at: float


@dataclass(frozen=True, slots=True)
class Stored(Generic[Body]):
    """A record's body with its latest changes, the newest first."""

    body: Body
    changes: tuple[ChangeNote, ...] = ()

    def replace(self, body, note):
        """Return the successor with `body`, noting the change."""
        return Stored(body, (note, *self.changes[: KEPT_CHANGES - 1]))

    def has_operation(self, operation):
        """Return whether `operation` is among the latest changes."""
        return any(note.operation == operation for note in self.changes)


def encode_stored(stored):
    """Return the JSON bytes of a `Stored`."""
    return msgspec.json.encode(stored)


def decode_record(record, body_class):
    """Return the `Stored` of a `Record`.

    Raises
    ------
    RecordError
        If the value does not have the form of `body_class`.
    """
    try:
        return msgspec.json.decode(record.value, type=Stored[body_class])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise RecordError(str(error), step="decode record", peer=record.key) from error


async def swap_stored(service, key, stored, expected_revision, lease_id=0):
    """Swap in `stored` and return its `Record`, resolving lost answers.

    After a lost answer the record is read back. Where it still has the expected
    revision, the same swap is tried again: both tries name the same revision, so
    at most one takes effect. Where it has another one, the operation's identity
    among its latest changes tells whether this swap took effect.

    Parameters
    ----------
    service : KeyValueService
    key : str
    stored : Stored
        Its newest change names the operation.
    expected_revision : int
        Revision of the record that is replaced; 0 for an absent key.
    lease_id : int, optional

    Raises
    ------
    OperationConflictError
        If another writer changed the record first.
    AnswerLostError
        If the outcome could not be found out.
    PlatformUnavailableError
        If the swap certainly had no effect.
    """
    operation = stored.changes[0].operation
    value = encode_stored(stored)
    lost = None
    for _ in range(SWAP_TRIES):
        try:
            result = await service.swap(key, value, expected_revision, lease_id)
            if result.won:
                return Record(key, value, result.revision, lease_id)
            current = result.current
        except AnswerLostError as error:
            lost = error
            current = await _read_back(service, key, error)
        except PlatformUnavailableError as error:
            raise lost or error from error
        if _has_operation(current, operation):
            return current
        if lost is None or _revision_of(current) != expected_revision:
            raise OperationConflictError(
                f"expected revision {expected_revision}, found {_revision_of(current)}",
                step="swap",
                peer=key,
            )
    raise lost


async def _read_back(service, key, lost):
    try:
        return await service.read(key)
    except Exception as error:
        raise lost from error


def _has_operation(record, operation):
    if record is None:
        return False
    try:
        return decode_record(record, msgspec.Raw).has_operation(operation)
    except RecordError:
        return False


def _revision_of(record):
    return 0 if record is None else record.revision
