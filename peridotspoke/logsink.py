"""A log sink that never blocks the process and holds a bounded number of lines."""

import os
import select
from collections import deque
from contextlib import suppress
from dataclasses import dataclass

from peridotspoke.leftout import OTHER, LeftOutLines
from peridotspoke.tokenbucket import TokenBucket

__all__ = ["BoundedSink", "SinkRules"]

WARNING = 30  # number of loguru's level WARNING
STANDARD_ERROR = 2  # descriptor
LOST_EVENT = "log-reader-lost"
# Outcomes of requests that are wrong in themselves: any caller can cause any number.
CALLER_FAULTS = ("outcome=Invalid", "outcome=UnknownJob", "outcome=Conflict")
# Answers that can't be read: a peer can cause any number.
PEER_FAULT_EVENT = "answer-unreadable"
OWNERSHIP_EVENTS = (
    "ownership-gained",
    "ownership-lost",
    "store-lost",
    "store-regained",
)
RUN_EVENTS = (
    "run-ordered",
    "run-confirmed",
    "start-unconfirmed",
    "start-after-release",
    "start-refused",
    "run-stopping",
    "stop-answered",
    "run-ended",
    "run-over",
    "given-up-ended",
    "late-end",
    "run-foreign",
    "task-waiting",
    "share-exceeded",
)
EXECUTOR_EVENTS = (
    "executor-listed",
    "executor-unlisted",
    "entry-lapsed",
    "executor-withdrawn",
    "executor-unreachable",
    "executor-reachable",
    "executor-reborn",
    "executor-replaced",
    "leases-expired",
    "incarnation-ignored",
    "ends-missing",
)


@dataclass(frozen=True, slots=True)
class SinkRules:
    """Limits of a `BoundedSink`.

    A line is essential if it explains a refusal, or tells that a run was ordered, was
    stopped, ended or was released, or what its owner believed of its executor, or a
    change of owner. It is a warning or worse, or its event is in `essential_events`
    or begins with ``job-`` without the outcome ``Accepted``. So is a line with
    `essential_mark`: it concerns a task that lasts, of which there are few. All other
    lines are ordinary.

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
    fault_rate : float
        Lines per second about requests that are wrong in themselves; further ones are
        left out, also where they are essential.
    fault_burst : float
        Such lines at once after a pause.
    notice_interval : float
        Least time between two notices of lines that were left out, seconds.
    """

    rate: float = 400.0
    burst: float = 2000.0
    most_waiting: int = 2000
    reserve: int = 2000
    essential_events: frozenset = frozenset(
        OWNERSHIP_EVENTS + RUN_EVENTS + EXECUTOR_EVENTS
    )
    essential_mark: str = " lasting=True"
    fault_rate: float = 5.0
    fault_burst: float = 50.0
    notice_interval: float = 1.0


class BoundedSink:
    """Writes log lines to a non-blocking file descriptor.

    Lines beyond the limits are left out and counted by event. A notice with the counts
    is written before the next line, at most once in ``rules.notice_interval`` seconds.
    While the buffer is full, each essential line takes the place of the oldest ordinary
    line that waits. The lines that remain keep their order.

    Once the reader has closed the descriptor, one line on standard error says so, and
    all lines are left out.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is switched to non-blocking mode.
    clock : Clock
    rules : SinkRules, optional

    Attributes
    ----------
    on_left_out : callable or None
        Called with the event of each line that is left out.
    """

    def __init__(self, descriptor, clock, rules=SinkRules()):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._rules = rules
        now = clock.read_monotonic()
        self._bucket = TokenBucket(rules.rate, rules.burst, now)
        self._fault_bucket = TokenBucket(rules.fault_rate, rules.fault_burst, now)
        self._is_reader_lost = False
        self._essential = deque()
        self._ordinary = deque()
        self._unwritten = b""
        self._number = 0
        self._left_out = LeftOutLines()
        self._noticed_at = float("-inf")
        self.on_left_out = None

    def __call__(self, message):
        """Write one message of loguru; called by loguru as its sink."""
        record = message.record
        self.put(str(message), record["level"].no, record["message"])

    def put(self, line, level, text):
        """Write a line, buffer it, or leave it out and count it.

        Parameters
        ----------
        line : str
            The whole line with its newline.
        level : int
            Number of its loguru level.
        text : str
            The part of the line that begins with ``event=``.
        """
        event = _find_event(text)
        essential = level >= WARNING or self._is_essential(event, text)
        now = self._clock.read_monotonic()
        room = self._rules.most_waiting + (self._rules.reserve if essential else 0)
        is_stuck = self._count_waiting() >= room and not self._flush(now)
        if self._is_reader_lost or not self._may_tell(event, text, now):
            self._leave_out(line, event, essential)
            return
        has_room = self._count_waiting() < room
        if essential:
            accepted = has_room or self._give_place()
        else:
            accepted = has_room and self._bucket.take(now)
        if accepted:
            self._number += 1
            queue = self._essential if essential else self._ordinary
            queue.append((self._number, line, event))
        else:
            self._leave_out(line, event, essential)
        if not is_stuck:
            self._flush(now)

    def finish(self, limit):
        """Write what waits, for an orderly stop of the process.

        Nothing is written where the reader has gone.

        Parameters
        ----------
        limit : float
            Longest time, in seconds, to wait for the reader.
        """
        deadline = self._clock.read_monotonic() + limit
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        while not self._flush(float("inf")):
            left = deadline - self._clock.read_monotonic()
            if left <= 0 or not poll.poll(left * 1000):
                return

    def _may_tell(self, event, text, now):
        """Return whether the limit on lines about others' faults allows a line."""
        is_fault = event == PEER_FAULT_EVENT or (
            event.startswith("job-") and any(fault in text for fault in CALLER_FAULTS)
        )
        return not is_fault or self._fault_bucket.take(now)

    def _lose_reader(self):
        """Leave out what waits and all that follows; say so once."""
        self._is_reader_lost = True
        self._unwritten = b""
        for queue, is_essential in ((self._essential, True), (self._ordinary, False)):
            while queue:
                _, line, event = queue.popleft()
                self._leave_out(line, event, is_essential)
        self._leave_out("", LOST_EVENT, essential=False)
        poll = select.poll()
        poll.register(STANDARD_ERROR, select.POLLOUT)
        if poll.poll(0):  # else writing might block the process
            with suppress(OSError):
                os.write(STANDARD_ERROR, f"level=WARNING event={LOST_EVENT}\n".encode())

    def _count_waiting(self):
        return len(self._essential) + len(self._ordinary)

    def _give_place(self):
        """Leave out the oldest ordinary line that waits, and return whether one did."""
        if not self._ordinary:
            return False
        _, line, event = self._ordinary.popleft()
        self._leave_out(line, event, essential=False)
        return True

    def _leave_out(self, line, event, essential):
        self._left_out.add(line, event, essential)
        if self.on_left_out is not None:
            self.on_left_out(event)

    def _is_essential(self, event, text):
        if event in self._rules.essential_events or self._rules.essential_mark in text:
            return True
        return event.startswith("job-") and "outcome=Accepted" not in text

    def _flush(self, now):
        """Write until the descriptor takes no more; return whether nothing is left."""
        if self._is_reader_lost:
            return True
        while self._unwritten or self._prepare_next(now):
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BrokenPipeError:
                self._lose_reader()
                return True
            except OSError:  # also a full disk: what waits is written later
                return False
            self._unwritten = self._unwritten[written:]
        return True

    def _prepare_next(self, now):
        """Take the notice that is due, or else the line that came first.

        Returns
        -------
        bool
            Whether there is something to write.
        """
        is_last = now == float("inf")
        queue = self._choose_queue()
        is_due = now - self._noticed_at >= self._rules.notice_interval
        if self._left_out.lines and is_due and (queue or is_last):
            self._noticed_at = self._clock.read_monotonic()
            self._unwritten = self._left_out.take_notice().encode()
        elif queue:
            self._unwritten = queue.popleft()[1].encode()
        return bool(self._unwritten)

    def _choose_queue(self):
        """Return the queue whose first line came first; an empty one if none waits."""
        if not self._essential or not self._ordinary:
            return self._essential or self._ordinary
        is_essential_first = self._essential[0][0] < self._ordinary[0][0]
        return self._essential if is_essential_first else self._ordinary


def _find_event(text):
    """Return the event that a line's text names, or `OTHER` if it names none."""
    word = text.partition(" ")[0]
    return word[len("event=") :] if word.startswith("event=") else OTHER
