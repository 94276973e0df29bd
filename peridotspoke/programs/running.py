"""What all programs share: flags, settings, logs, signals and exit statuses."""

import asyncio
import inspect
import signal
import sys

import fire
import uvloop
from fire import decorators

from peridotspoke.exceptions import PeridotspokeError, SettingsError
from peridotspoke.logs import configure_logs, log_event
from peridotspoke.settings import describe_settings, read_settings

__all__ = [
    "EXIT_FAILURE",
    "EXIT_USAGE",
    "make_command",
    "run_commands",
    "wait_for_stop",
]

EXIT_FAILURE = 1
EXIT_USAGE = 2


def make_command(program, settings_class, run, summary):
    """Return a function for fire that reads settings and runs `run`.

    Parameters
    ----------
    program : str
        The name used in logs.
    settings_class : type
        A subclass of `ProgramSettings`; each field becomes a flag.
    run : callable
        Coroutine function from the settings to an exit status or None.
    summary : str
        The first line of the help text.
    """

    def command(**flags):
        settings = read_settings(settings_class, flags)
        instance = getattr(settings, "name", "")
        configure_logs(program, instance, settings.log_level)
        status = uvloop.run(run(settings))
        if status:
            sys.exit(status)

    names = settings_class.model_fields
    command.__signature__ = inspect.Signature(
        [
            inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, default=None)
            for name in names
        ]
    )
    command.__doc__ = f"{summary}\n\n{describe_settings(settings_class)}"
    return decorators.SetParseFn(str)(command)


def run_commands(program, commands):
    """Run the command line of `program`; exit with 2 on bad settings, 1 on errors."""
    try:
        fire.Fire(commands, name=program)
    except SettingsError as error:
        print(f"{program}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except PeridotspokeError as error:
        print(f"{program}: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


async def wait_for_stop():
    """Return after the first SIGTERM or SIGINT; later ones are only logged."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def note_signal(number):
        log_event("stop-asked", signal=signal.Signals(number).name)
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, note_signal, number)
    await stop.wait()
