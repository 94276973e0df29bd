"""peridotspoke-audit: who changed what, when and why."""

from datetime import UTC, datetime

import aiohttp
import msgspec
from tabulate import tabulate

from peridotspoke.clock import SystemClock
from peridotspoke.platform import GatewayKeyValueService, decode_record
from peridotspoke.programs.running import make_command, run_commands
from peridotspoke.programs.settings import OperatorSettings

__all__ = ["main"]

PREFIXES = ("config/", "instances/", "pools/")


async def _list(settings):
    async with aiohttp.ClientSession() as session:
        service = GatewayKeyValueService(
            settings.platform, settings.platform_timeout, SystemClock(), session
        )
        snapshots = [await service.read_prefix(prefix) for prefix in PREFIXES]
    rows = [
        {"key": record.key, **msgspec.to_builtins(note)}
        for snapshot in snapshots
        for record in snapshot.records
        for note in decode_record(record, msgspec.Raw).changes
    ]
    rows.sort(key=lambda row: row["at"])
    for row in rows:
        row["at"] = datetime.fromtimestamp(row["at"], UTC).isoformat()
    if settings.output == "json":
        for row in rows:
            print(msgspec.json.encode(row).decode())
    else:
        print(tabulate(rows, headers="keys"))


def main():
    """Run the command line."""
    run_commands(
        "peridotspoke-audit",
        {"list": make_command("audit", OperatorSettings, _list, "List the changes.")},
    )
