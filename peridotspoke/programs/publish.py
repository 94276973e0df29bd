"""peridotspoke-publish: checks, compares, publishes and shows the declarations.

Exit statuses
-------------
0
    Done.
1
    The declarations are invalid, or the platform failed; nothing was published.
2
    Bad flags or settings.
3
    The version was published, but was not in force everywhere within the wait limit.
4
    Another operator published at the same time; nothing was published.
5
    It is unknown whether the version was published.
"""

import asyncio
import random
import sys
from contextlib import asynccontextmanager
from datetime import UTC, datetime

import aiohttp

from peridotspoke.backoff import BackoffRules, compute_backoff
from peridotspoke.clock import SystemClock
from peridotspoke.declarations import (
    compare_texts,
    measure_roll_out,
    publish_declarations,
    read_declarations,
    read_head,
    read_members,
    read_texts,
)
from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from peridotspoke.programs.output import print_rows
from peridotspoke.programs.running import make_command, run_commands
from peridotspoke.programs.settings import PublishSettings
from peridotspoke.store import open_service

__all__ = [
    "EXIT_CONFLICT",
    "EXIT_INCOMPLETE",
    "EXIT_UNKNOWN",
    "READ_ATTEMPTS",
    "main",
    "retry_read",
]

EXIT_INCOMPLETE = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5
READ_ATTEMPTS = 3
READ_BACKOFF = BackoffRules(first=0.2, most=1.0)  # seconds
ROLL_OUT_POLL_INTERVAL = 0.25  # seconds between two readings of the roll-out


@asynccontextmanager
async def _open_platform(settings):
    async with aiohttp.ClientSession() as session:
        yield open_service(settings, SystemClock(), session)


async def retry_read(read, chance=None, sleep=asyncio.sleep):
    """Call a read of the platform, again if it fails, and return its result.

    Parameters
    ----------
    read : callable
        Called without arguments for each of at most `READ_ATTEMPTS` attempts; returns
        a coroutine that has no effect on the platform.
    chance : random.Random, optional
        Source of the jitter of retries.
    sleep : callable, optional
        Coroutine function that waits for some seconds.

    Raises
    ------
    PlatformError
        That of the last attempt.
    """
    chance = chance or random.SystemRandom()
    for attempt in range(1, READ_ATTEMPTS):
        try:
            return await read()
        except (AnswerLostError, PlatformUnavailableError) as error:
            print(f"waiting for the platform: {error}", file=sys.stderr, flush=True)
            await sleep(compute_backoff(READ_BACKOFF, attempt, chance))
    return await read()


async def _check(settings):
    texts = read_declarations(settings.directory)
    print(f"{len(texts)} declarations are valid")


async def _diff(settings):
    texts = read_declarations(settings.directory)
    async with _open_platform(settings) as service:
        stored, _ = await retry_read(lambda: read_head(service))
        before = {}
        if stored:
            before = await retry_read(lambda: read_texts(service, stored.body))
    changes = compare_texts(before, texts)
    if settings.output == "table":
        version = stored.body.version if stored else 0
        print(f"{len(changes)} keys differ from version {version}")
    print_rows(changes, settings.output)


async def _publish(settings):
    texts = read_declarations(settings.directory)
    async with _open_platform(settings) as service:
        try:
            publication = await publish_declarations(
                service,
                texts,
                settings.operator,
                settings.reason,
                SystemClock(),
                random.SystemRandom(),
                settings.expected_version,
            )
        except OperationConflictError as error:
            return _report_failure(error, EXIT_CONFLICT)
        except AnswerLostError as error:
            return _report_failure(error, EXIT_UNKNOWN)
        if settings.output == "json":
            print_rows([publication], "json")
        else:
            names = ", ".join(publication.changed) or "nothing changed"
            print(f"version {publication.version}: {names}", flush=True)
        if settings.wait:
            return await _wait_for_roll_out(service, settings, publication.version)
    return 0


def _report_failure(error, status):
    print(f"peridotspoke-publish: {error}", file=sys.stderr)
    return status


async def _wait_for_roll_out(service, settings, version):
    """Print the roll-out by zone until the version is in force in every process.

    Returns exit status 0, or `EXIT_INCOMPLETE` once the wait limit has passed.
    """
    clock = SystemClock()
    started_at = clock.read_monotonic()
    last_shown = None
    while True:
        elapsed = clock.read_monotonic() - started_at
        try:
            roll_out = measure_roll_out(version, await read_members(service))
        except PlatformError as error:
            print(f"waiting for the platform: {error}", file=sys.stderr, flush=True)
            roll_out = None
        if roll_out is not None and roll_out != last_shown:
            last_shown = roll_out
            _print_roll_out(roll_out, settings.output)
            print(f"after {elapsed:.2f} s", file=sys.stderr, flush=True)
        if roll_out is not None and roll_out.is_complete():
            return 0
        if elapsed > settings.wait_limit:
            return _report_failure(
                f"version {version} isn't in force everywhere after {elapsed:.1f} s",
                EXIT_INCOMPLETE,
            )
        await asyncio.sleep(ROLL_OUT_POLL_INTERVAL)


async def _status(settings):
    async with _open_platform(settings) as service:
        stored, _ = await retry_read(lambda: read_head(service))
        members = await retry_read(lambda: read_members(service))
    version = stored.body.version if stored else 0
    if settings.output == "table":
        print(f"version {version}")
        for note in stored.changes[:1] if stored else ():
            at = datetime.fromtimestamp(note.at, UTC).isoformat(timespec="seconds")
            print(f"{note.action}, by {note.author} at {at}: {note.reason}")
    _print_roll_out(measure_roll_out(version, members), settings.output)


def _print_roll_out(roll_out, form):
    print_rows(roll_out.zones if form == "table" else [roll_out], form)


def main():
    """Run the command line."""
    commands = {
        "check": (_check, "Check the declarations."),
        "diff": (_diff, "Show which keys differ from the published version."),
        "publish": (_publish, "Check and publish the declarations."),
        "status": (_status, "Show the published version and where it is in force."),
    }
    run_commands(
        "peridotspoke-publish",
        {
            name: make_command(
                "publish",
                PublishSettings,
                run,
                summary,
                argument=None if name == "status" else "directory",
            )
            for name, (run, summary) in commands.items()
        },
    )


if __name__ == "__main__":
    main()
