"""peridotspoke-audit: shows who changed what in the store, when and why.

Exit statuses: 0 success, 1 the platform failed or nothing was found, 2 bad flags or
settings.
"""

import sys
from datetime import UTC, datetime

import aiohttp
import msgspec

from peridotspoke.clock import SystemClock
from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import MalformedDataError, RecordError
from peridotspoke.logs import log_event
from peridotspoke.programs.output import print_rows
from peridotspoke.programs.running import (
    EXIT_FAILURE,
    EXIT_USAGE,
    make_command,
    run_commands,
)
from peridotspoke.programs.settings import AuditSettings
from peridotspoke.store import (
    AUDIT_PREFIX,
    ArchivedChanges,
    ChangeNote,
    decode_record,
    open_service,
)

__all__ = ["list_changes", "main"]

AUDITED_PREFIXES = ("config/", "instances/", "pools/", "jobs/", "workers/")
COLUMNS = ("at", "key", "author", "action", "reason", "before", "after")


async def list_changes(service, prefixes):
    """Return the changes of all records under some prefixes, the oldest first.

    Changes that their record no longer holds are read from the archive. Records that
    can't be decoded are logged and left out.

    Parameters
    ----------
    service : KeyValueService
    prefixes : iterable of str

    Returns
    -------
    list of tuple
        Pairs of the changed key and the `ChangeNote`.
    """
    notes = {}
    for prefix in prefixes:
        for record in (await service.read_prefix(prefix)).records:
            notes |= _read_current_changes(record)
        archive = await service.read_prefix(AUDIT_PREFIX + prefix)
        for record in archive.records:
            notes |= _read_archived_changes(record)
    changes = ((key, note) for (key, _), note in notes.items())
    return sorted(changes, key=lambda change: change[1].at)


def _read_current_changes(record):
    try:
        changes = decode_record(record, msgspec.Raw).changes
    except RecordError as error:
        log_event("record-rejected", "WARNING", error=error)
        return {}
    return {(record.key, note.operation): note for note in changes}


def _read_archived_changes(record):
    try:
        archived = decode_json(record.value, ArchivedChanges)
    except MalformedDataError as error:
        log_event("record-rejected", "WARNING", key=record.key, error=error)
        return {}
    return {(archived.key, note.operation): note for note in archived.changes}


async def _show_changes(settings, prefixes, is_wanted):
    async with aiohttp.ClientSession() as session:
        service = open_service(settings, SystemClock(), session)
        changes = await list_changes(service, prefixes)
    selected = [(key, note) for key, note in changes if is_wanted(key, note)]
    rows = [_format_change(key, note) for key, note in selected[-settings.last :]]
    print_rows(rows, settings.output)
    if not rows and prefixes is not AUDITED_PREFIXES:
        print(f"peridotspoke-audit: no change of {prefixes}", file=sys.stderr)
        return EXIT_FAILURE
    return 0


def _format_change(key, note: ChangeNote):
    row = {"key": key, **msgspec.to_builtins(note)}
    row["at"] = datetime.fromtimestamp(note.at, UTC).isoformat(timespec="milliseconds")
    names = (*COLUMNS, "operation")
    return {name: row[name] for name in names}


async def _list(settings):
    return await _show_changes(settings, AUDITED_PREFIXES, lambda key, note: True)


async def _show(settings):
    wanted = _require_flag(settings, "key")
    return await _show_changes(settings, (wanted,), lambda key, note: key == wanted)


async def _instance(settings):
    wanted = f"instances/{_require_flag(settings, 'instance')}"
    return await _show_changes(settings, (wanted,), lambda key, note: key == wanted)


async def _pool(settings):
    pool = _require_flag(settings, "pool")

    def concerns_pool(key, note):
        texts = (note.before, note.after, note.action)
        return key.startswith(f"pools/{pool}/") or any(
            pool in text.replace("=", " ").replace(",", " ").split() for text in texts
        )

    prefixes = (f"pools/{pool}/", "instances/")
    return await _show_changes(settings, prefixes, concerns_pool)


def _require_flag(settings, name):
    value = getattr(settings, name)
    if not value:
        print(f"peridotspoke-audit: expected --{name}=...", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return value


def main():
    """Run the command line."""
    commands = {
        "list": (_list, "List all changes."),
        "show": (_show, "Show the changes of one key: --key."),
        "instance": (_instance, "Show the changes of one instance: --instance."),
        "pool": (_pool, "Show the changes that concern one pool: --pool."),
    }
    run_commands(
        "peridotspoke-audit",
        {
            name: make_command("audit", AuditSettings, run, summary)
            for name, (run, summary) in commands.items()
        },
    )


if __name__ == "__main__":
    main()
