"""Publishes declarations by one swap of the configuration's head."""

import asyncio
from dataclasses import dataclass

from peridotspoke.declarations.configuration import (
    HEAD_KEY,
    PARTS_PREFIX,
    ConfigurationHead,
    digest_part,
)
from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PlatformError,
    RecordError,
)
from peridotspoke.identities import make_operation_id
from peridotspoke.logs import log_event
from peridotspoke.peers.records import MEMBERS_PREFIX, MemberRecord
from peridotspoke.store import ChangeNote, Stored, decode_record, swap_stored

__all__ = [
    "Publication",
    "find_newest_version",
    "publish_declarations",
    "read_head",
    "read_members",
    "read_texts",
]

PRUNE_INTERVAL = 8  # versions
PART_TRIES = 4
RESOLVE_TRIES = 20
RESOLVE_INTERVAL = 0.5  # seconds


@dataclass(frozen=True, slots=True)
class Publication:
    """The version that was published and the names of the changed declarations."""

    version: int
    changed: tuple[str, ...]


async def read_head(service):
    """Return the head's `Stored` and its revision, or (None, 0)."""
    record = await service.read(HEAD_KEY)
    if record is None:
        return None, 0
    return decode_record(record, ConfigurationHead), record.revision


async def read_texts(service, head):
    """Return the text of each declaration of `head` by its name."""
    texts = {}
    for name, digest in head.parts.items():
        record = await service.read(PARTS_PREFIX + digest)
        texts[name] = "" if record is None else record.value.decode()
    return texts


async def read_members(service):
    """Return the `MemberRecord` of each live process, by name."""
    snapshot = await service.read_prefix(MEMBERS_PREFIX)
    members = []
    for record in snapshot.records:
        try:
            members.append(decode_record(record, MemberRecord).body)
        except RecordError as error:
            log_event("record-rejected", "ERROR", error=error)
    return tuple(sorted(members, key=lambda member: member.name))


async def find_newest_version(service, head):
    """Return the newest version of the head and of the live processes.

    A head that was deleted or restored from an old copy is behind the processes,
    which refuse to go back; the next version must be above theirs to come into
    force.
    """
    members = await read_members(service)
    return max([head.version, *(member.version for member in members)])


async def publish_declarations(
    service,
    texts,
    operator,
    reason,
    clock,
    random,
    expected_version=None,
    sleep=asyncio.sleep,
):
    """Publish `texts` and return the `Publication`.

    Parameters
    ----------
    service : KeyValueService
    texts : dict of str to str
        The text of each declaration by its name.
    operator, reason : str
        Who publishes, and why.
    clock : Clock
    random : random.Random
    expected_version : int, optional
        The version that the operator saw; the head's by default.
    sleep : callable, optional
        Coroutine function that waits for seconds.

    Raises
    ------
    OperationConflictError
        If another operator published meanwhile; the message says who and what.
    AnswerLostError
        If it stays unknown whether the version was published.
    PlatformUnavailableError
        If nothing was published because the service didn't take it.
    """
    stored, revision = await read_head(service)
    stored = stored or Stored(ConfigurationHead(0, {}))
    seen = stored.body.version if expected_version is None else expected_version
    if seen != stored.body.version:
        raise _make_conflict(stored, seen)
    parts = {name: digest_part(text) for name, text in texts.items()}
    changed = _list_changed(stored.body.parts, parts)
    version = await find_newest_version(service, stored.body)
    if not changed and version == stored.body.version:
        return Publication(version, ())
    head = ConfigurationHead(version + 1, parts)
    for name in changed:
        if name in parts:
            await _write_part(service, parts[name], texts[name])
    note = ChangeNote(
        operation=make_operation_id(random),
        author=operator,
        action=f"publish version {head.version}: {', '.join(changed)}",
        reason=reason,
        at=clock.read_wall(),
    )
    swapped = await _swap_head(service, stored, head, note, revision, sleep)
    if head.version % PRUNE_INTERVAL == 0:
        await _prune_parts(service, stored.body, head, swapped)
    return Publication(head.version, tuple(changed))


def _list_changed(before, after):
    names = before.keys() | after.keys()
    return sorted(name for name in names if before.get(name) != after.get(name))


async def _write_part(service, digest, text):
    """Write a part, also where it stands already.

    The new revision of the part keeps it from a publisher that removes what its
    own, older head doesn't name.
    """
    key = PARTS_PREFIX + digest
    for _ in range(PART_TRIES):
        record = await service.read(key)
        try:
            result = await service.swap(
                key, text.encode(), record.revision if record else 0
            )
        except AnswerLostError:
            continue
        if result.won:
            return
    raise OperationConflictError(
        f"expected to write a part in {PART_TRIES} tries",
        step="write part",
        peer=key,
    )


async def _swap_head(service, stored, head, note, revision, sleep):
    """Swap in the head and return its revision; 0 where that isn't known."""
    try:
        record = await swap_stored(
            service, HEAD_KEY, stored.replace(head, note), revision
        )
        return record.revision
    except OperationConflictError as error:
        current, _ = await read_head(service)
        seen = stored.body.version
        raise (_make_conflict(current, seen) if current else error) from error
    except AnswerLostError as error:
        await _resolve_swap(service, note, stored, sleep, error)
        return 0


async def _resolve_swap(service, note, stored, sleep, lost):
    """Return once the head has the operation; raise what else is found out."""
    for _ in range(RESOLVE_TRIES):
        try:
            current, _ = await read_head(service)
        except PlatformError:
            await sleep(RESOLVE_INTERVAL)
            continue
        if current is not None and current.has_operation(note.operation):
            return
        if current is not None and current.body.version != stored.body.version:
            break
        await sleep(RESOLVE_INTERVAL)
    raise AnswerLostError(
        f"unknown whether this was done: {note.action}; the status command shows the "
        "head once the service answers",
        step="publish",
        peer=HEAD_KEY,
    ) from lost


def _make_conflict(stored, seen):
    """Return the error that says what others have published since `seen`."""
    notes = []
    for note in stored.changes:
        if note.action.startswith(f"publish version {seen}:"):
            break
        notes.append(f"{note.author}: {note.action} ({note.reason or 'no reason'})")
    return OperationConflictError(
        f"expected version {seen}, found {stored.body.version}; meanwhile: "
        + "; ".join(notes),
        step="publish",
        peer=HEAD_KEY,
    )


async def _prune_parts(service, before, head, revision):
    """Delete the parts that neither of two heads names.

    A part that is newer than the head's `revision` may belong to a publisher that
    has read this head and not yet swapped in its own; it stays. A failure leaves
    parts for the next time.
    """
    named = {*before.parts.values(), *head.parts.values()}
    try:
        snapshot = await service.read_prefix(PARTS_PREFIX)
        for record in snapshot.records:
            digest = record.key.removeprefix(PARTS_PREFIX)
            if digest not in named and record.revision < revision:
                await service.swap(record.key, None, record.revision)
    except PlatformError as error:
        log_event("parts-not-pruned", "WARNING", error=error)
