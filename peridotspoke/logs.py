"""Structured logging: one line of key=value pairs for each event."""

import sys

from loguru import logger

__all__ = ["configure_logs", "format_event", "log_event"]

_QUOTED = frozenset(' "=\n\t')


def format_event(event, fields):
    """Return an event as one line of key=value pairs.

    Parameters
    ----------
    event : str
        Name of the event: a few words joined by hyphens.
    fields : dict
        Further pairs by key; those with the value None are omitted.

    Examples
    --------
    >>> format_event("lease-lost", {"peer": "10.0.0.1:80", "reason": "no answer"})
    'event=lease-lost peer=10.0.0.1:80 reason="no answer"'
    """
    pairs = [f"event={event}"]
    pairs += [f"{key}={_quote(val)}" for key, val in fields.items() if val is not None]
    return " ".join(pairs)


def _quote(value):
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not _QUOTED.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\t", "\\t") + '"'


def log_event(event, level="INFO", **fields):
    """Log one event.

    Parameters
    ----------
    event : str
        Name of the event: a few words joined by hyphens.
    level : str, optional
        Name of a loguru level.
    **fields
        Further pairs; those with the value None are omitted.
    """
    logger.opt(depth=1).log(level, "{}", format_event(event, fields))


def configure_logs(program, instance, level="INFO", stream=None):
    """Send all log lines to one sink, each with its time, program and instance.

    Parameters
    ----------
    program : str
    instance : str
        Name of the process; ``-`` is logged where it is empty.
    level : str, optional
        Lowest level that is logged.
    stream : file or callable, optional
        A sink of loguru; standard error by default.
    """
    logger.remove()
    line = (
        "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} "
        f"program={program} instance={instance or '-'} "
        "{message}"
    )
    logger.add(stream or sys.stderr, format=line, level=level, backtrace=False)
