"""A sink for logs that neither blocks its writer nor grows without bound."""

import os
from collections import deque
from dataclasses import dataclass

from peridotspoke.tokenbucket import TokenBucket

__all__ = ["BoundedSink", "SinkRules"]

WARNING = 30  # loguru's number of the level


@dataclass(frozen=True, slots=True)
class SinkRules:
    """How much is written.

    Parameters
    ----------
    rate : float
        Ordinary lines a second.
    burst : float
        Ordinary lines at once.
    most_waiting : int
        Lines kept while the reader does not read.
    reserve : int
        Further lines kept of those that explain a refusal or a stop.
    explaining : frozenset of str
        Events whose lines the rate does not limit; warnings are not limited either.
    """

    rate: float = 400.0
    burst: float = 2000.0
    most_waiting: int = 2000
    reserve: int = 2000
    explaining: frozenset = frozenset(
        {
            "job-cancel",
            "job-ended",
            "run-stopping",
            "run-over",
            "start-refused",
            "ownership-gained",
            "ownership-lost",
            "store-lost",
            "store-regained",
        }
    )


class BoundedSink:
    """Writes lines to a descriptor that never blocks.

    What is left out is counted, and the count is written before the next line.

    Parameters
    ----------
    descriptor : int
        Made non-blocking.
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
        self._waiting = deque()
        self._left_out = 0

    def __call__(self, message):
        """Write one message of loguru."""
        record = message.record
        self.put(str(message), record["level"].no, record["message"])

    def put(self, line, level, text):
        """Write a line, keep it for later, or count it as left out."""
        explains = level >= WARNING or self._explains(text)
        now = self._clock.read_monotonic()
        room = self._rules.most_waiting + (self._rules.reserve if explains else 0)
        if len(self._waiting) >= room or not (explains or self._bucket.take(now)):
            self._left_out += 1
            self._flush()
            return
        if self._left_out:
            notice = f"level=WARNING event=log-lines-left-out lines={self._left_out}\n"
            self._waiting.append(notice.encode())
            self._left_out = 0
        self._waiting.append(line.encode())
        self._flush()

    def _explains(self, text):
        event = text.partition(" ")[0].removeprefix("event=")
        if event in self._rules.explaining:
            return True
        return event.startswith("job-") and "outcome=Accepted" not in text

    def _flush(self):
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
