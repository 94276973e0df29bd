"""Parts of all programs: flags, settings, logs, signals and exit statuses."""

import asyncio
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
    "watch_signals",
]

EXIT_FAILURE = 1
EXIT_USAGE = 2
HELP_FLAGS = frozenset({"--help", "-h"})


def make_command(program, settings_class, run, summary, argument=None):
    """Return a command for fire that reads the settings and passes them to `run`.

    Parameters
    ----------
    program : str
        The name used in logs.
    settings_class : type
        A subclass of `ProgramSettings`; each field becomes a flag.
    run : callable
        Coroutine function that takes the settings and returns an exit status or None.
    summary : str
        The first line of the help text.
    argument : str, optional
        Name of the field that a plain argument sets as well; by default none does.

    Returns
    -------
    callable
        Raises `SettingsError` if a flag or setting is invalid.
    """

    def command(*extras, **flags):
        if argument is not None and len(extras) == 1 and argument not in flags:
            flags[argument] = extras[0]
        elif extras:
            raise SettingsError(
                f"expected flags such as --name=value, found {' '.join(extras)!r}",
                step="read flags",
            )
        settings = read_settings(settings_class, flags)
        instance = getattr(settings, "name", "")
        configure_logs(program, instance, settings.log_level)
        status = uvloop.run(run(settings))
        if status:
            sys.exit(status)

    command.__doc__ = f"{summary}\n\n{describe_settings(settings_class)}"
    return decorators.SetParseFn(str)(command)


def run_commands(program, commands):
    """Run the command line of `program`.

    Parameters
    ----------
    program : str
        The program's name, used in help texts and error messages.
    commands : callable or dict of str to callable
        A single command, or the commands by name.

    Notes
    -----
    Exit statuses: 0 success, 1 the command failed, 2 bad flags or settings. Further
    statuses are documented in the module of the command that returns them.
    """
    arguments = sys.argv[1:]
    if HELP_FLAGS.intersection(arguments):
        print(_format_help(program, commands, arguments))
        return
    if not arguments and isinstance(commands, dict):
        print(_format_help(program, commands, arguments), file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        fire.Fire(commands, name=program)
    except SettingsError as error:
        print(f"{program}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except PeridotspokeError as error:
        print(f"{program}: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


def _format_help(program, commands, arguments):
    """Return the help of the first command in `arguments`, else of the program."""
    if not isinstance(commands, dict):
        return f"usage: {program} [FLAGS]\n\n{commands.__doc__}"
    named = next((name for name in arguments if name in commands), None)
    if named is not None:
        return f"usage: {program} {named} [FLAGS]\n\n{commands[named].__doc__}"
    summaries = [
        f"  {name}: {command.__doc__.splitlines()[0]}"
        for name, command in commands.items()
    ]
    usage = f"usage: {program} COMMAND [FLAGS]"
    return "\n".join([usage, "", *summaries, "", f"{program} COMMAND --help: flags"])


async def wait_for_stop(stop_requested, background_tasks):
    """Wait until a stop is asked for; raise the error of a task that fails.

    A task that fails together with the stop is reported as well.

    Parameters
    ----------
    stop_requested : asyncio.Event
    background_tasks : iterable of asyncio.Task
        Tasks that run until the program stops.
    """
    stop_task = asyncio.ensure_future(stop_requested.wait())
    watched = {stop_task, *background_tasks}
    try:
        await asyncio.wait(watched, return_when=asyncio.FIRST_COMPLETED)
    finally:
        stop_task.cancel()
    for task in watched - {stop_task}:
        if task.done() and not task.cancelled():
            task.result()
    if not stop_requested.is_set():
        raise PeridotspokeError("a background task ended", step="run program")


def watch_signals():
    """Return an event that is set by the first SIGTERM or SIGINT.

    Call it before the program opens its sockets, so that a signal during the start
    leads to a planned stop as well. Further signals are only logged.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def request_stop(number):
        log_event("stop-asked", signal=signal.Signals(number).name)
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_stop, number)
    return stop_requested
