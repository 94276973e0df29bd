"""What the tasks of a node share, and the clock that leases are counted by."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from peridotspoke.clock import SystemClock
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.nodes.settings import NodeSettings
from peridotspoke.nodes.view import StoreView

__all__ = ["BoottimeClock", "NodeParts"]


class BoottimeClock(SystemClock):
    """The system's clocks; the monotonic one counts the time while suspended."""

    def read_monotonic(self):
        """Return seconds on a clock that never goes back."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class NodeParts:
    """The parts that a node's tasks share.

    `contact_at` is the monotonic time of the store's latest answer.
    """

    settings: NodeSettings
    clock: SystemClock
    view: StoreView
    metrics: MetricsRegistry
    chance: random.Random
    store: object = None
    ownership: object = None
    open_executor: Callable | None = None
    machines: object = None
    advice: object = None
    contact_at: float = field(default=float("-inf"))

    def read_contact(self):
        """Return the monotonic time of the store's latest answer, seconds."""
        return self.contact_at

    def note_contact(self, now):
        """Note that the store answered at the monotonic time `now`."""
        self.contact_at = max(self.contact_at, now)

    def count_store_call(self, kind, result):
        """Count a call to the store."""
        self.metrics.count("store_calls", kind=kind, result=result)
