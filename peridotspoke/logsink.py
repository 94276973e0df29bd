"""A log sink that never blocks the process and holds a bounded number of lines."""

import os
from collections import deque
from dataclasses import dataclass

from peridotspoke.tokenbucket import TokenBucket

__all__ = ["BoundedSink", "SinkRules"]

WARNING = 30  # number of loguru's level WARNING


@dataclass(frozen=True, slots=True)
class SinkRules:
    """Limits of a `BoundedSink`.

    A line is essential if it explains a refusal or a stop: it is a warning or worse,
    or its event is in `essential_events` or begins with ``job-`` without the outcome
    ``Accepted``. So is a line with `essential_mark`: it concerns a task that lasts, of
    which there are few, and each of its starts may be asked for. All other lines are
    ordinary.

    Parameters
    ----------
    rate : float
        Ordinary lines written per second.
    burst : float
        Ordinary lines written at once after a pause.
    most_waiting : int
        Lines buffered while the reader does not read.
    reserve : int
        Further lines buffered if they are essential.
    essential_events : frozenset of str
        Events whose lines are essential and thus not limited by the rate.
    essential_mark : str
        A field and its value; lines that have it are essential whatever the event.
    """

    rate: float = 400.0
    burst: float = 2000.0
    most_waiting: int = 2000
    reserve: int = 2000
    essential_events: frozenset = frozenset(
        {
            "job-cancel",
            "job-ended",
            "run-stopping",
            "run-over",
            "run-confirmed",
            "task-waiting",
            "start-refused",
            "ownership-gained",
            "ownership-lost",
            "store-lost",
            "store-regained",
        }
    )
    essential_mark: str = " lasting=True"


class BoundedSink:
    """Writes log lines to a non-blocking file descriptor.

    Lines beyond the limits are dropped and counted; the count is written before the
    next line that is accepted.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is switched to non-blocking mode.
    clock : Clock
    rules : SinkRules, optional
    """

    def __init__(self, descriptor, clock, rules=SinkRules()):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._rules = rules
        now = clock.read_monotonic()
        self._bucket = TokenBucket(rules.rate, rules.burst, now)
        self._buffer = deque()
        self._dropped = 0

    def __call__(self, message):
        """Write one message of loguru; called by loguru as its sink."""
        record = message.record
        self.put(str(message), record["level"].no, record["message"])

    def put(self, line, level, text):
        """Write a line, buffer it, or drop and count it.

        Parameters
        ----------
        line : str
            The whole line with its newline.
        level : int
            Number of its loguru level.
        text : str
            The part of the line that begins with ``event=``.
        """
        essential = level >= WARNING or self._is_essential(text)
        now = self._clock.read_monotonic()
        room = self._rules.most_waiting + (self._rules.reserve if essential else 0)
        if len(self._buffer) >= room or not (essential or self._bucket.take(now)):
            self._dropped += 1
            self._flush()
            return
        if self._dropped:
            notice = f"level=WARNING event=log-lines-left-out lines={self._dropped}\n"
            self._buffer.append(notice.encode())
            self._dropped = 0
        self._buffer.append(line.encode())
        self._flush()

    def _is_essential(self, text):
        event = text.partition(" ")[0].removeprefix("event=")
        if event in self._rules.essential_events or self._rules.essential_mark in text:
            return True
        return event.startswith("job-") and "outcome=Accepted" not in text

    def _flush(self):
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
