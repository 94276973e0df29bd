"""peridotspoke-audit: who changed what, when and why.

Exit statuses: 0 done, 1 the platform failed or nothing was found, 2 bad flags.
"""

import sys
from datetime import UTC, datetime

import aiohttp
import msgspec

from peridotspoke.clock import SystemClock
from peridotspoke.exceptions import RecordError
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

PREFIXES = ("config/", "instances/", "pools/", "jobs/", "workers/")
COLUMNS = ("at", "key", "author", "action", "reason", "before", "after")


async def list_changes(service, prefixes):
    """Return each change of the records under `prefixes` as (key, `ChangeNote`).

    The oldest come first; changes that no longer stand in their record are read
    from the archive. Records that don't parse are logged and left out.
    """
    found = {}
    for prefix in prefixes:
        for record in (await service.read_prefix(prefix)).records:
            found |= _read_kept(record)
        archive = await service.read_prefix(AUDIT_PREFIX + prefix)
        for record in archive.records:
            found |= _read_archived(record)
    changes = ((key, note) for (key, _), note in found.items())
    return sorted(changes, key=lambda change: change[1].at)


def _read_kept(record):
    try:
        changes = decode_record(record, msgspec.Raw).changes
    except RecordError as error:
        log_event("record-rejected", "WARNING", error=error)
        return {}
    return {(record.key, note.operation): note for note in changes}


def _read_archived(record):
    try:
        archived = msgspec.json.decode(record.value, type=ArchivedChanges)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        log_event("record-rejected", "WARNING", key=record.key, error=error)
        return {}
    return {(archived.key, note.operation): note for note in archived.changes}


async def _show_changes(settings, prefixes, keep):
    async with aiohttp.ClientSession() as session:
        service = open_service(settings, SystemClock(), session)
        changes = await list_changes(service, prefixes)
    kept = [(key, note) for key, note in changes if keep(key, note)]
    rows = [_format_change(key, note) for key, note in kept[-settings.last :]]
    print_rows(rows, settings.output)
    if not rows and prefixes is not PREFIXES:
        print(f"peridotspoke-audit: no change of {prefixes}", file=sys.stderr)
        return EXIT_FAILURE
    return 0


def _format_change(key, note: ChangeNote):
    row = {"key": key, **msgspec.to_builtins(note)}
    row["at"] = datetime.fromtimestamp(note.at, UTC).isoformat(timespec="milliseconds")
    names = (*COLUMNS, "operation")
    return {name: row[name] for name in names}


async def _list(settings):
    return await _show_changes(settings, PREFIXES, lambda key, note: True)


async def _show(settings):
    wanted = _require(settings, "key")
    return await _show_changes(settings, (wanted,), lambda key, note: key == wanted)


async def _instance(settings):
    wanted = f"instances/{_require(settings, 'instance')}"
    return await _show_changes(settings, (wanted,), lambda key, note: key == wanted)


async def _pool(settings):
    pool = _require(settings, "pool")

    def concerns_pool(key, note):
        texts = (note.before, note.after, note.action)
        return key.startswith(f"pools/{pool}/") or any(
            pool in text.replace("=", " ").replace(",", " ").split() for text in texts
        )

    prefixes = (f"pools/{pool}/", "instances/")
    return await _show_changes(settings, prefixes, concerns_pool)


def _require(settings, name):
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
