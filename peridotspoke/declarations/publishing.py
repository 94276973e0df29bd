"""Publishes declarations by one swap of the configuration's head."""

from dataclasses import dataclass

from peridotspoke.declarations.configuration import (
    HEAD_KEY,
    PARTS_PREFIX,
    ConfigurationHead,
    digest_part,
)
from peridotspoke.identities import make_operation_id
from peridotspoke.platform import ChangeNote, Stored, decode_record, swap_stored

__all__ = ["Publication", "publish_declarations", "read_head"]


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


async def publish_declarations(service, texts, operator, reason, clock, random):
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

    Raises
    ------
    OperationConflictError
        If another operator published meanwhile.
    """
    stored, revision = await read_head(service)
    before = stored.body if stored else ConfigurationHead(0, {})
    parts = {name: digest_part(text) for name, text in texts.items()}
    changed = sorted(
        name
        for name in before.parts.keys() | parts.keys()
        if before.parts.get(name) != parts.get(name)
    )
    if not changed:
        return Publication(before.version, ())
    await _write_parts(service, texts, parts, changed)
    head = ConfigurationHead(before.version + 1, parts)
    note = ChangeNote(
        operation=make_operation_id(random),
        author=operator,
        action=f"publish version {head.version}: {', '.join(changed)}",
        reason=reason,
        at=clock.read_wall(),
    )
    await swap_stored(
        service, HEAD_KEY, (stored or Stored(before)).replace(head, note), revision
    )
    return Publication(head.version, tuple(changed))


async def _write_parts(service, texts, parts, changed):
    """Write the changed parts; a part's key is its digest, so that none is replaced."""
    for name in changed:
        if name in parts:
            await service.swap(PARTS_PREFIX + parts[name], texts[name].encode(), 0)
