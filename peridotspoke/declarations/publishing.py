"""Publication of declarations by one compare-and-swap of the configuration's head.

The parts are written first, so that a published head never names a missing part.
"""

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

PRUNE_INTERVAL = 8  # versions between two removals of unused parts
MAX_PART_ATTEMPTS = 4  # tries to write one part
MAX_RESOLVE_ATTEMPTS = 20  # reads of the head after a lost answer
RESOLVE_INTERVAL = 0.5  # seconds


@dataclass(frozen=True, slots=True)
class Publication:
    """The result of a publication.

    Parameters
    ----------
    version : int
        The version now published.
    changed : tuple of str
        Names of the added, changed and removed declarations, sorted.
    """

    version: int
    changed: tuple[str, ...]


async def read_head(service):
    """Return the configuration's head and its revision in the key-value service.

    Returns
    -------
    tuple of (Stored or None, int)
        (None, 0) if nothing is published.

    Raises
    ------
    RecordError
        If the record can't be decoded.
    PlatformError
        If the key-value service can't be read.
    """
    record = await service.read(HEAD_KEY)
    if record is None:
        return None, 0
    return decode_record(record, ConfigurationHead), record.revision


async def read_texts(service, head):
    """Return the text of each declaration of `head` by the declaration's name.

    The text is empty where the part is missing.
    """
    texts = {}
    for name, digest in head.parts.items():
        record = await service.read(PARTS_PREFIX + digest)
        texts[name] = "" if record is None else record.value.decode()
    return texts


async def read_members(service):
    """Return the `MemberRecord` of each live process, sorted by name."""
    snapshot = await service.read_prefix(MEMBERS_PREFIX)
    members = []
    for record in snapshot.records:
        try:
            members.append(decode_record(record, MemberRecord).body)
        except RecordError as error:
            log_event("record-rejected", "ERROR", error=error)
    return tuple(sorted(members, key=lambda member: member.name))


async def find_newest_version(service, head):
    """Return the highest version among `head` and the live processes.

    A head that was deleted or restored from an old copy has a lower version than
    the processes. They ignore older versions, so the next one must be above theirs
    to come into force.

    Parameters
    ----------
    service : KeyValueService
    head : ConfigurationHead
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
    """Publish `texts` as the next version.

    Nothing is written if the declarations are the same as in the head and no
    process has a newer version than the head.

    Parameters
    ----------
    service : KeyValueService
    texts : dict of str to str
        The text of each declaration, TOML, by its name.
    operator, reason : str
        Who publishes, and why; both are kept with the head.
    clock : Clock
    random : random.Random
        Source of the operation's identity.
    expected_version : int, optional
        The version that the operator's change is based on; the head's by default.
    sleep : callable, optional
        Coroutine function that waits for a number of seconds.

    Returns
    -------
    Publication

    Raises
    ------
    OperationConflictError
        If the head no longer has the expected version; the message lists who has
        published what since then. Also if a part could not be written.
    AnswerLostError
        If the answer was lost and reading the head didn't show whether the version
        was published.
    PlatformUnavailableError
        If the key-value service didn't accept a call; nothing was published.
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
    """Write a part, even if it is stored already.

    The write raises the part's revision. A concurrent publisher that prunes the
    parts that its own, older head doesn't name therefore leaves this part alone.
    """
    key = PARTS_PREFIX + digest
    for _ in range(MAX_PART_ATTEMPTS):
        record = await service.read(key)
        try:
            result = await service.swap(
                key, text.encode(), record.revision if record else 0
            )
        except AnswerLostError:
            continue
        if result.succeeded:
            return
    raise OperationConflictError(
        f"configuration part not written in {MAX_PART_ATTEMPTS} attempts",
        step="write part",
        peer=key,
    )


async def _swap_head(service, stored, head, note, revision, sleep):
    """Replace the head and return its new revision.

    The revision is 0 if the answer was lost and the head was found replaced
    afterwards; 0 keeps every part from being pruned.
    """
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
    """Find out by reading the head whether a swap with a lost answer took effect.

    Returns if the head names the operation of `note`.

    Raises
    ------
    AnswerLostError
        If the head has another version that doesn't name the operation, or if the
        last attempt didn't settle the question.
    """
    for _ in range(MAX_RESOLVE_ATTEMPTS):
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
        f"unknown whether this took effect: {note.action}; the status command shows "
        "the published version once the platform answers",
        step="publish",
        peer=HEAD_KEY,
    ) from lost


def _make_conflict(stored, seen):
    """Return the error that lists what was published since version `seen`."""
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
    """Delete the parts that neither the previous nor the new head names.

    A part with a newer `revision` than the head's is kept: it may belong to a
    publisher that has read this head and not yet replaced it. Parts that stay after
    a failure are deleted by a later run.

    Parameters
    ----------
    service : KeyValueService
    before, head : ConfigurationHead
    revision : int
        The revision of `head` in the key-value service.
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
