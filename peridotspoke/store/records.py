"""Typed records with an audit trail, and swaps that tolerate lost answers."""

from dataclasses import dataclass, replace
from typing import Generic, TypeVar

import msgspec

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import (
    AnswerLostError,
    MalformedDataError,
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
    "decode_value",
    "describe_change",
    "encode_stored",
    "make_archive_key",
    "swap_stored",
]

AUDIT_PREFIX = "audit/"
KEPT_CHANGES = 8  # changes left in a record when its oldest ones are archived
MAX_CHANGES = 2 * KEPT_CHANGES
MAX_DESCRIPTION = 200  # characters
SUPERSEDED_REVISION = -1  # matches no revision of the service
MAX_SWAP_ATTEMPTS = 4

Body = TypeVar("Body")


@dataclass(frozen=True, slots=True)
class ChangeNote:
    """Entry of the audit trail: who changed a record, when and why.

    Parameters
    ----------
    operation : str
        Unique identity of the operation that made the change.
    author : str
    action : str
    reason : str
    at : float
        Time of the change in seconds since the Unix epoch, by the writer's clock.
    before, after : str, optional
        Short texts of the changed fields before and after the change.
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
    """The value of a record: its body and its latest changes.

    Parameters
    ----------
    body : object
    changes : tuple of ChangeNote, optional
        The newest first.
    """

    body: Body
    changes: tuple[ChangeNote, ...] = ()

    def replace(self, body, note):
        """Return a new `Stored` with `body`, and with `note` as its newest change.

        If `note` doesn't describe the change, it is described from the two bodies.

        Parameters
        ----------
        body : object
        note : ChangeNote

        Returns
        -------
        Stored
        """
        if not note.before and not note.after:
            before, after = describe_change(self.body, body)
            note = replace(note, before=before, after=after)
        return Stored(body, (note, *self.changes[: MAX_CHANGES - 1]))

    def has_operation(self, operation):
        """Return whether one of the latest changes was made by `operation`."""
        return any(note.operation == operation for note in self.changes)


@dataclass(frozen=True, slots=True)
class ArchivedChanges:
    """Changes that were moved out of a record to keep it small.

    Parameters
    ----------
    key : str
        Key of the record.
    changes : tuple of ChangeNote
        The newest first.
    """

    key: str
    changes: tuple[ChangeNote, ...]


def make_archive_key(key, revision):
    """Return the key under which a swap that replaces `revision` archives changes."""
    return f"{AUDIT_PREFIX}{key}/{revision:016d}"


def describe_change(before, after):
    """Describe the fields that differ between two bodies.

    Parameters
    ----------
    before, after : object
        Bodies that msgspec can convert to built-in types.

    Returns
    -------
    tuple of str
        Short texts of the changed fields of `before` and of `after`.

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
    return text if len(text) <= MAX_DESCRIPTION else text[: MAX_DESCRIPTION - 1] + "…"


def encode_stored(stored):
    """Encode a `Stored` as JSON bytes."""
    return msgspec.json.encode(stored)


def decode_record(record, body_class):
    """Decode the value of a record.

    Parameters
    ----------
    record : Record
    body_class : type

    Returns
    -------
    Stored

    Raises
    ------
    RecordError
        If the value is not a valid `Stored` with a body of type `body_class`.
    """
    return decode_value(record, Stored[body_class])


def decode_value(record, value_class):
    """Decode the value of a record that has no audit trail.

    Parameters
    ----------
    record : Record
    value_class : type

    Returns
    -------
    object
        An instance of `value_class`.

    Raises
    ------
    RecordError
        If the value does not have the form of `value_class`.
    """
    try:
        return decode_json(record.value, value_class)
    except MalformedDataError as error:
        raise RecordError(str(error), step="decode record", peer=record.key) from error


async def swap_stored(service, key, stored, expected_revision, lease_id=0):
    """Write `stored` by compare-and-swap, and find out the outcome if it is unknown.

    If the answer is lost, the record is read back:

    - If it still has the expected revision, the swap is retried. Both attempts
      expect the same revision, so that at most one of them takes effect.
    - If it has another revision, the swap took effect if its operation is among the
      record's latest changes. It did not if only the predecessor's operation is
      there. If neither is there, the outcome stays unknown.
    - If the key was to be created and is absent, the outcome stays unknown: it may
      have been created and deleted since.

    Parameters
    ----------
    service : KeyValueService
    key : str
    stored : Stored
        The new value; its newest change names the operation.
    expected_revision : int
        Revision of the record to replace; 0 if the key must be absent.
    lease_id : int, optional
        Lease to attach the record to; 0 for none.

    Returns
    -------
    Record
        The record as written. Its revision is -1, which no later swap can match, if
        another writer has changed the record since.

    Raises
    ------
    OperationConflictError
        If another writer changed the record first; the swap had no effect.
    AnswerLostError
        If the outcome remains unknown.
    PlatformUnavailableError
        If the swap certainly had no effect.
    """
    stored = await _archive_changes(service, key, stored, expected_revision)
    operation = stored.changes[0].operation
    value = encode_stored(stored)
    lost_answer = None
    for _ in range(MAX_SWAP_ATTEMPTS):
        try:
            result = await service.swap(key, value, expected_revision, lease_id)
            if result.succeeded:
                return Record(key, value, result.revision, lease_id)
            current = result.current
        except AnswerLostError as error:
            lost_answer = error
            current = await _read_back(service, key, error)
        except PlatformUnavailableError as error:
            raise lost_answer or error from error
        if _has_operation(current, operation):
            return _find_written_record(current, value, operation)
        if expected_revision == 0 and current is None and lost_answer is not None:
            raise lost_answer
        if _revision_of(current) != expected_revision:
            if lost_answer is not None and not _proves_conflict(current, stored):
                raise lost_answer
            raise OperationConflictError(
                f"expected revision {expected_revision}, found {_revision_of(current)}",
                step="swap",
                peer=key,
            )
    raise lost_answer


async def _archive_changes(service, key, stored, expected_revision):
    """Move the oldest changes under the audit prefix if there are too many.

    Concurrent writers that replace the same revision archive the same changes under
    the same key; once the key exists, the others' attempts to create it fail without
    effect.
    """
    if len(stored.changes) < MAX_CHANGES:
        return stored
    kept, oldest = stored.changes[:KEPT_CHANGES], stored.changes[KEPT_CHANGES:]
    archive_key = make_archive_key(key, expected_revision)
    archived = msgspec.json.encode(ArchivedChanges(key, oldest))
    try:
        await service.swap(archive_key, archived, 0)
    except PlatformError as error:
        raise PlatformUnavailableError(
            f"could not archive the oldest changes; record not written: {error}",
            step="archive changes",
            peer=key,
        ) from error
    return Stored(stored.body, kept)


async def _read_back(service, key, lost_answer):
    try:
        return await service.read(key)
    except PlatformError as error:
        raise lost_answer from error


def _find_written_record(current, value, operation):
    newest = decode_record(current, msgspec.Raw).changes[0].operation
    if newest == operation:
        return current
    return Record(current.key, value, SUPERSEDED_REVISION, current.lease)


def _proves_conflict(record, stored):
    """Return whether a swap of `stored` whose answer was lost had no effect.

    This is certain if the newest change of the record that `stored` replaces is still
    listed in `record`: the change that followed it is then listed as well, and it is
    not the one of `stored`, which the caller has already looked for.
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
