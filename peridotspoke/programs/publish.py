"""peridotspoke-publish: check, publish and show the operators' declarations."""

import random

import aiohttp

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import publish_declarations, read_declarations
from peridotspoke.declarations.publishing import read_head
from peridotspoke.platform import GatewayKeyValueService
from peridotspoke.programs.running import make_command, run_commands
from peridotspoke.programs.settings import OperatorSettings

__all__ = ["main"]


async def _check(settings):
    texts = read_declarations(settings.directory)
    print(f"{len(texts)} declarations are valid")


async def _publish(settings):
    texts = read_declarations(settings.directory)
    clock = SystemClock()
    async with aiohttp.ClientSession() as session:
        service = GatewayKeyValueService(
            settings.platform, settings.platform_timeout, clock, session
        )
        publication = await publish_declarations(
            service,
            texts,
            settings.operator,
            settings.reason,
            clock,
            random.SystemRandom(),
        )
    if publication.changed:
        print(f"version {publication.version}: {', '.join(publication.changed)}")
    else:
        print(f"version {publication.version}: nothing changed")


async def _status(settings):
    async with aiohttp.ClientSession() as session:
        service = GatewayKeyValueService(
            settings.platform, settings.platform_timeout, SystemClock(), session
        )
        stored, _ = await read_head(service)
    print(f"version {stored.body.version if stored else 0}")


def main():
    """Run the command line."""
    commands = {
        "check": (_check, "Check the declarations."),
        "publish": (_publish, "Check and publish the declarations."),
        "status": (_status, "Show the published version."),
    }
    run_commands(
        "peridotspoke-publish",
        {
            name: make_command("publish", OperatorSettings, run, summary)
            for name, (run, summary) in commands.items()
        },
    )
