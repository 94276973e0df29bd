"""Counts the log lines that are left out, and words the notice about them."""

import re

__all__ = ["OTHER", "LeftOutLines"]

MAX_EVENTS = 64  # events counted by name; further ones count as OTHER
MAX_NAMED = 8  # events that a notice names
OTHER = "other"  # stands for events that are not named
LINE_START = re.compile(r"time=(\S+) level=\S+ (program=\S+ instance=\S+) ")


class LeftOutLines:
    r"""The lines that were left out since the latest notice.

    Attributes
    ----------
    lines : int
        Their number.

    Examples
    --------
    >>> left_out = LeftOutLines()
    >>> for line in ["event=run-paced share=50", "event=run-paced share=60"]:
    ...     left_out.add(line, "run-paced", essential=False)
    >>> left_out.take_notice()
    'level=WARNING event=log-lines-left-out lines=2 essential=0 events=run-paced:2\n'
    >>> left_out.lines
    0
    """

    def __init__(self):
        self._reset()

    def _reset(self):
        self.lines = 0
        self._essential = 0
        self._counts = {}
        self._first = self._last = ""

    def add(self, line, event, essential):
        """Count a line.

        Parameters
        ----------
        line : str
            The whole line.
        event : str
        essential : bool
            Whether the line is of the class that is not limited by a rate.
        """
        if event not in self._counts and len(self._counts) >= MAX_EVENTS:
            event = OTHER
        self._counts[event] = self._counts.get(event, 0) + 1
        self.lines += 1
        self._essential += essential
        self._first = self._first or line
        self._last = line

    def take_notice(self):
        """Return a line about what was left out, and begin to count anew.

        Its time is that of the last line that was left out, `since` the first one's.
        """
        first, last = LINE_START.match(self._first), LINE_START.match(self._last)
        ranked = sorted(self._counts.items(), key=lambda item: -item[1])
        named = ranked[:MAX_NAMED]
        rest = sum(count for _, count in ranked[MAX_NAMED:])
        events = [f"{event}:{count}" for event, count in named]
        if rest:
            events.append(f"{OTHER}:{rest}")
        pairs = [f"time={last[1]}"] if last else []
        pairs.append("level=WARNING")
        pairs += [last[2]] if last else []
        pairs.append("event=log-lines-left-out")
        pairs.append(f"lines={self.lines} essential={self._essential}")
        pairs += [f"since={first[1]}"] if first else []
        pairs.append(f"events={','.join(events)}")
        self._reset()
        return " ".join(pairs) + "\n"
