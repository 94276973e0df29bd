"""What the tasks of a node share, and the clock that leases are counted by."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from peridotspoke.clock import SystemClock
from peridotspoke.logs import log_event
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes.commits import TimedCommits
from peridotspoke.nodes.settings import NodeSettings
from peridotspoke.nodes.view import StoreView

__all__ = ["BoottimeClock", "NodeParts"]

STALE_CONTACT = 2.0  # seconds without an answer after which the store counts as away
LAPSE_GRACE = 2.3  # seconds after the store's return in which entries come back
MOST_FAILURES = 3  # calls in a row after which the store counts as away


class BoottimeClock(SystemClock):
    """The system's clocks; the monotonic one counts the time while suspended."""

    def read_monotonic(self):
        """Return seconds on a clock that never goes back."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class NodeParts:
    """The parts that a node's tasks share.

    `contact_at` is the monotonic time at which the store last served a call, and
    `store_failures` the number of calls that have failed since. `drop_stale_calls` is
    called once the store serves again, which was last at `regained_at`, to end the
    calls that hang since before.
    """

    settings: NodeSettings
    clock: SystemClock
    view: StoreView
    metrics: MetricsRegistry
    chance: random.Random
    store: object = None
    commits: TimedCommits | None = None
    drop_stale_calls: Callable | None = None
    ownership: object = None
    open_executor: Callable | None = None
    machines: object = None
    advice: object = None
    contact_at: float = field(default=float("-inf"))
    store_failures: int = 0
    regained_at: float = field(default=float("-inf"))

    def has_store(self):
        """Return whether the store has served this node lately."""
        age = self.clock.read_monotonic() - self.contact_at
        return age < STALE_CONTACT and self.store_failures < MOST_FAILURES

    def find_lapse_end(self):
        """Return until when entries that vanish now may come back, or None."""
        end = self.regained_at + LAPSE_GRACE
        return end if self.clock.read_monotonic() < end else None

    def note_store_call(self, kind, result, served, size=0, seconds=0.0):
        """Count a call to the store, and note whether the store served it.

        Parameters
        ----------
        kind, result : str
        served : bool
        size : int, optional
            Bytes of the answer.
        seconds : float, optional
            How long the call took.
        """
        self.metrics.count("store_calls", kind=kind, result=result)
        self.metrics.count("store_bytes", size, kind=kind)
        self.metrics.observe("store_call_seconds", seconds, kind=kind)
        had_store = self.has_store()
        if served:
            self.contact_at = self.clock.read_monotonic()
            self.store_failures = 0
        else:
            self.store_failures += 1
        if had_store != self.has_store():
            if served:
                self.regained_at = self.contact_at
                if self.drop_stale_calls is not None:
                    self.drop_stale_calls()
            log_event(
                "store-regained" if served else "store-lost",
                "INFO" if served else "WARNING",
                kind=kind,
                result=result,
                failures=self.store_failures,
            )
