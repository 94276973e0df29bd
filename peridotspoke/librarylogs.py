"""Passes messages of libraries and of the event loop on to the project's log."""

import logging

from peridotspoke.leftout import OTHER
from peridotspoke.logs import log_event

__all__ = ["LibraryLogHandler", "capture_library_logs"]

NOTICE_INTERVAL = 10.0  # seconds between two lines about messages of one kind
MAX_KINDS = 64  # kinds of messages that are told apart
LEVELS = frozenset({"WARNING", "ERROR", "CRITICAL"})  # those that loguru has too
MAX_TEXT = 200  # characters of a message or an error


class LibraryLogHandler(logging.Handler):
    """Logs one line for messages of one kind in `NOTICE_INTERVAL` seconds.

    Messages are of one kind if they have the same logger and the same text before
    their values are filled in. Tracebacks are left out.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    on_message : callable or None
        Called with the name of the logger for each message.
    """

    def __init__(self, clock):
        super().__init__(logging.WARNING)
        self._clock = clock
        self._kinds = {}  # by kind: when it was logged last, and how many since
        self.on_message = None

    def emit(self, record):
        """Log a message, or count it."""
        if self.on_message is not None:
            self.on_message(record.name)
        kind = (record.name, _shorten(record.msg))
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            kind = (OTHER, OTHER)
        now = self._clock.read_monotonic()
        logged_at, repeated = self._kinds.get(kind, (float("-inf"), 0))
        if now - logged_at < NOTICE_INTERVAL:
            self._kinds[kind] = (logged_at, repeated + 1)
            return
        self._kinds[kind] = (now, 0)
        error = record.exc_info[1] if record.exc_info else None
        log_event(
            "library-message",
            record.levelname if record.levelname in LEVELS else "WARNING",
            logger=record.name,
            text=_shorten(_format_message(record)),
            error=None if error is None else _shorten(repr(error)),
            repeated=repeated or None,
        )


def capture_library_logs(clock):
    """Send what libraries log to the project's log, and nothing to standard error.

    Parameters
    ----------
    clock : Clock

    Returns
    -------
    LibraryLogHandler
    """
    handler = LibraryLogHandler(clock)
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)
    return handler


def _format_message(record):
    try:
        return record.getMessage()
    except (KeyError, TypeError, ValueError):  # its values don't fit its text
        return record.msg


def _shorten(text):
    """Return the first line of a text, at most `MAX_TEXT` characters of it."""
    return str(text).partition("\n")[0][:MAX_TEXT]
