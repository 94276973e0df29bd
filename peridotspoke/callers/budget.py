"""Limits on callers' connections: which of them gives way, and which is overdue.

No connection whose request is carried out is ever chosen, nor one whose body is nearly
complete and still arrives.
"""

import enum
import heapq
from dataclasses import dataclass

__all__ = [
    "CONNECTION_COST",
    "Caller",
    "CallerBudget",
    "CallerLimits",
    "Listener",
    "Phase",
]

CONNECTION_COST = 16_384  # bytes that a connection takes without a request
UNFINISHED_SHARE = 0.875  # share of the memory that heads and bodies fill at most
RELIEVED_SHARE = 0.8  # share to which connections that give way reduce it
RELIEVED_CONNECTIONS = 32  # a full server closes one in so many of its connections
SETTLED = 1.0  # seconds after which an idle connection may make room for several
NEARLY_COMPLETE = 0.9  # share of a body that has arrived
PAUSE = 5.0  # seconds without a byte after which a body doesn't count as arriving


class Listener(enum.Enum):
    """The addresses of a node that have limits, by who calls them."""

    CALLERS = "callers"
    READINESS = "readiness"
    METRICS = "metrics"


class Phase(enum.Enum):
    """What a connection of a caller waits for."""

    IDLE = "idle"  # the first byte of a request
    HEAD = "head"  # the rest of a request's head
    BODY = "body"  # the rest of a request's body
    BUSY = "busy"  # the node, which handles its request
    LEAVING = "leaving"  # its end; it has been told to give way


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on all callers of a listener together, and on each of them.

    Parameters
    ----------
    memory : int
        Bytes that callers' connections and requests may hold together.
    connections : int
        Connections that callers may have open together.
    handled : int
        Requests that are handled at once; further ones wait.
    arrival : float
        Seconds in which a head or a body has to arrive, beside the time at `rate`.
    rate : float
        Bytes per second that each caller is expected to send at least.
    pause : float
        Longest time, in seconds, between two pieces of a body, and for which a
        response is not read.
    """

    memory: int
    connections: int
    handled: int
    arrival: float
    rate: float
    pause: float


@dataclass(slots=True, eq=False)
class Caller:
    """One connection.

    Parameters
    ----------
    since : float
        When its phase began, in monotonic seconds.
    touched_at : float
        When the last bytes of its head or body arrived.
    phase : Phase, optional
    arrived : int, optional
        Bytes of the head or body that have arrived.
    expected : int, optional
        Bytes that the body has; 0 if it doesn't tell.
    held : int, optional
        Bytes of memory that it takes.
    unread_since : float or None, optional
        Since when it hasn't read the response that is sent to it.
    """

    since: float
    touched_at: float
    phase: Phase = Phase.IDLE
    arrived: int = 0
    expected: int = 0
    held: int = CONNECTION_COST
    unread_since: float | None = None


class CallerBudget:
    """Counts what callers hold and chooses those that give way.

    Parameters
    ----------
    limits : CallerLimits

    Attributes
    ----------
    held : int
        Bytes of memory that all callers take.
    """

    def __init__(self, limits):
        self.held = 0
        self.limits = limits
        self._callers = {}

    def __len__(self):
        return len(self._callers)

    def open(self, now):
        """Add a connection and return its `Caller`."""
        caller = Caller(now, now)
        self._callers[caller] = None
        self.held += caller.held
        return caller

    def close(self, caller):
        """Remove a connection."""
        if caller in self._callers:
            del self._callers[caller]
            self.held -= caller.held

    def enter(self, caller, phase, now, expected=0):
        """Begin a phase of a connection."""
        caller.phase = phase
        caller.since = caller.touched_at = now
        caller.arrived, caller.expected = 0, expected

    def add_arrived(self, caller, size, now):
        """Count bytes of a head or a body."""
        caller.arrived += size
        caller.touched_at = now

    def hold(self, caller, size):
        """Set the bytes that a connection takes beside `CONNECTION_COST`."""
        size += CONNECTION_COST
        if caller in self._callers:
            self.held += size - caller.held
        caller.held = size

    def is_crowded(self):
        """Return whether heads and bodies that arrive have to give way."""
        return self.held > UNFINISHED_SHARE * self.limits.memory

    def choose_for_memory(self, now):
        """Return the callers that give way so that all fit into the memory.

        Heads and bodies that have not arrived go first, those that have stopped
        arriving before the others, the emptiest and slowest first; then idle
        connections, the longest idle first, but only where the memory is full.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Caller
        """
        if not self.is_crowded():
            return []
        excess = self.held - RELIEVED_SHARE * self.limits.memory
        unfinished = [caller for caller in self._callers if may_give_way(caller, now)]
        unfinished.sort(key=lambda caller: rank_unfinished(caller, now))
        chosen, excess = _take(unfinished, excess)
        if excess > 0 and self.held > self.limits.memory:
            idle = sorted(self._list_idle(), key=lambda caller: caller.since)
            chosen += _take(idle, excess)[0]
        return chosen

    def choose_for_room(self, newest, now):
        """Return the callers that give way to a new connection.

        Parameters
        ----------
        newest : Caller
            The new connection. It gives way itself where no other may.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Caller
            The longest idle first, then the emptiest and slowest heads and bodies.
            More than one only if they have been idle for `SETTLED` seconds.
        """
        excess = len(self._callers) - self.limits.connections
        if excess <= 0:
            return []
        count = excess + self.limits.connections // RELIEVED_CONNECTIONS
        idle = [caller for caller in self._list_idle() if caller is not newest]
        longest = heapq.nsmallest(count, idle, key=lambda caller: caller.since)
        settled = sum(now - caller.since >= SETTLED for caller in longest)
        if longest:
            return longest[: max(excess, settled)]
        unfinished = [caller for caller in self._callers if may_give_way(caller, now)]
        chosen = heapq.nsmallest(
            excess, unfinished, key=lambda caller: rank_unfinished(caller, now)
        )
        return chosen or [newest]

    def find_overdue(self, now):
        """Return the callers that are overdue, each with the limit that it exceeds.

        Returns
        -------
        list of (Caller, str)
            The limit is "head", "body" or "response".
        """
        found = [(caller, self._find_exceeded(caller, now)) for caller in self._callers]
        return [(caller, limit) for caller, limit in found if limit is not None]

    def _find_exceeded(self, caller, now):
        limits = self.limits
        unread = caller.unread_since
        if unread is not None and now - unread > limits.pause:
            return "response"
        if caller.phase not in {Phase.HEAD, Phase.BODY}:
            return None
        allowed = limits.arrival + caller.arrived / limits.rate
        is_late = now - caller.since > allowed
        is_paused = now - caller.touched_at > limits.pause
        return caller.phase.value if is_late or is_paused else None

    def _list_idle(self):
        return [caller for caller in self._callers if caller.phase is Phase.IDLE]


def may_give_way(caller, now):
    """Return whether a caller's head or body may be refused to make room.

    Examples
    --------
    >>> almost = Caller(0.0, 3.0, Phase.BODY, arrived=95, expected=100)
    >>> may_give_way(almost, 3.1), may_give_way(almost, 9.0)
    (False, True)
    """
    if caller.phase is Phase.HEAD:
        return True
    if caller.phase is not Phase.BODY:
        return False
    if not caller.expected or now - caller.touched_at > PAUSE:
        return True
    return caller.arrived < NEARLY_COMPLETE * caller.expected


def rank_unfinished(caller, now):
    """Return the key by which callers give way: paused, then emptiest, then slowest."""
    is_arriving = now - caller.touched_at <= PAUSE
    share = caller.arrived / caller.expected if caller.expected else 0.0
    rate = caller.arrived / max(now - caller.since, 0.001)
    return is_arriving, share, caller.arrived, rate


def _take(callers, excess):
    """Return the first of `callers` that hold `excess`, and what is missing."""
    chosen = []
    for caller in callers:
        if excess <= 0:
            break
        chosen.append(caller)
        excess -= caller.held
    return chosen, excess
