"""peridotspoke-standin: a stand-in of the platform or of an upstream as a process."""

from peridotspoke.clock import SystemClock
from peridotspoke.identities import split_address
from peridotspoke.logs import log_event
from peridotspoke.programs.running import make_command, run_commands, watch_signals
from peridotspoke.programs.settings import StandinSettings
from peridotspoke.standins import PlatformStandIn, UpstreamStandIn, start_server

__all__ = ["main"]


async def _run_platform(settings):
    await _serve(PlatformStandIn(SystemClock()).make_application(), settings)


async def _run_upstream(settings):
    await _serve(UpstreamStandIn(settings.name).make_application(), settings)


async def _serve(application, settings):
    stop_requested = watch_signals()
    runner, address = await start_server(application, *split_address(settings.listen))
    log_event("standin-started", listen=address)
    try:
        await stop_requested.wait()
    finally:
        await runner.cleanup()


def main():
    """Run the command line."""
    run_commands(
        "peridotspoke-standin",
        {
            "platform": make_command(
                "standin", StandinSettings, _run_platform, "Stand in for the platform."
            ),
            "upstream": make_command(
                "standin", StandinSettings, _run_upstream, "Stand in for an upstream."
            ),
        },
    )


if __name__ == "__main__":
    main()
