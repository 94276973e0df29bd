"""Typed values with their latest changes, and swaps that survive lost answers."""

from dataclasses import dataclass, replace
from typing import Generic, TypeVar

import msgspec

from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PlatformError,
    PlatformUnavailableError,
    RecordError,
)
from peridotspoke.store.keyvalue import Record

__all__ = [
    "AUDIT_PREFIX",
    "ArchivedChanges",
    "ChangeNote",
    "Stored",
    "decode_record",
    "describe_change",
    "encode_stored",
    "key_archive",
    "swap_stored",
]

AUDIT_PREFIX = "audit/"
KEPT_CHANGES = 8
MOST_CHANGES = 2 * KEPT_CHANGES
MOST_DESCRIPTION = 200  # characters
SUPERSEDED = -1
SWAP_TRIES = 4

Body = TypeVar("Body")


@dataclass(frozen=True, slots=True)
class ChangeNote:
    """Who changed a record, by which operation, when and why.

    `at` is in seconds since the Unix epoch by the writer's clock. `before` and
    `after` say in short text what changed.
    """

    operation: str
    author: str
    action: str
    reason: str
    at: float
    before: str = ""
    after: str = ""


@dataclass(frozen=True, slots=True)
class Stored(Generic[Body]):
    """A record's body with its latest changes, the newest first."""

    body: Body
    changes: tuple[ChangeNote, ...] = ()

    def replace(self, body, note):
        """Return the successor with `body`, noting the change."""
        if not note.before and not note.after:
            before, after = describe_change(self.body, body)
            note = replace(note, before=before, after=after)
        return Stored(body, (note, *self.changes[: MOST_CHANGES - 1]))

    def has_operation(self, operation):
        """Return whether `operation` is among the latest changes."""
        return any(note.operation == operation for note in self.changes)


@dataclass(frozen=True, slots=True)
class ArchivedChanges:
    """Changes that no longer stand in the record of `key`, the newest first."""

    key: str
    changes: tuple[ChangeNote, ...]


def key_archive(key, revision):
    """Return the key of the changes that a swap from `revision` takes out."""
    return f"{AUDIT_PREFIX}{key}/{revision:016d}"


def describe_change(before, after):
    """Return short texts of the fields that differ between two bodies.

    Examples
    --------
    >>> describe_change({"pool": "lustenau", "n": 3}, {"pool": "common", "n": 3})
    ('pool=lustenau', 'pool=common')
    """
    old, new = (msgspec.to_builtins(body) for body in (before, after))
    if not isinstance(old, dict) or not isinstance(new, dict):
        return _shorten(str(old)), _shorten(str(new))
    changed = [key for key in {**old, **new} if old.get(key) != new.get(key)]
    return _describe_fields(old, new, changed), _describe_fields(new, old, changed)


def _describe_fields(fields, others, changed):
    parts = []
    for key in changed:
        value, other = fields.get(key), others.get(key)
        if isinstance(value, dict) and isinstance(other, dict):
            value = {name: val for name, val in value.items() if other.get(name) != val}
        parts.append(f"{key}={value}")
    return _shorten(" ".join(parts))


def _shorten(text):
    return text if len(text) <= MOST_DESCRIPTION else text[: MOST_DESCRIPTION - 1] + "…"


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
    among its latest changes tells whether this swap took effect. Where neither its
    own nor the predecessor's change is left there, the outcome stays unknown. So it
    does where a key that was to be created is absent: it may have been created and
    deleted since.

    Where another writer has changed the record since, the returned revision is
    -1, which no later swap can match.

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
    stored = await _archive_changes(service, key, stored, expected_revision)
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
            return _find_own_record(current, value, operation)
        if expected_revision == 0 and current is None and lost is not None:
            raise lost
        if _revision_of(current) != expected_revision:
            if lost is not None and not _proves_conflict(current, stored):
                raise lost
            raise OperationConflictError(
                f"expected revision {expected_revision}, found {_revision_of(current)}",
                step="swap",
                peer=key,
            )
    raise lost


async def _archive_changes(service, key, stored, expected_revision):
    """Write the oldest changes under the audit prefix, where there are too many.

    Writers that race name the same predecessor and so write the same changes to
    the same key; creating it again has no effect.
    """
    if len(stored.changes) < MOST_CHANGES:
        return stored
    kept, oldest = stored.changes[:KEPT_CHANGES], stored.changes[KEPT_CHANGES:]
    archive_key = key_archive(key, expected_revision)
    archived = msgspec.json.encode(ArchivedChanges(key, oldest))
    try:
        await service.swap(archive_key, archived, 0)
    except PlatformError as error:
        raise PlatformUnavailableError(
            f"the oldest changes are not archived, so nothing was changed: {error}",
            step="archive changes",
            peer=key,
        ) from error
    return Stored(stored.body, kept)


async def _read_back(service, key, lost):
    try:
        return await service.read(key)
    except PlatformError as error:
        raise lost from error


def _find_own_record(current, value, operation):
    newest = decode_record(current, msgspec.Raw).changes[0].operation
    if newest == operation:
        return current
    return Record(current.key, value, SUPERSEDED, current.lease)


def _proves_conflict(record, stored):
    """Return whether a lost swap of `stored` certainly had no effect.

    The predecessor's latest change still stands in the record, so that the change
    that came right after it is known and is another one.
    """
    if record is None or len(stored.changes) < 2:
        return False
    return _has_operation(record, stored.changes[1].operation)


def _has_operation(record, operation):
    if record is None:
        return False
    try:
        return decode_record(record, msgspec.Raw).has_operation(operation)
    except RecordError:
        return False


def _revision_of(record):
    return 0 if record is None else record.revision
