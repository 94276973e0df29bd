"""The record of a workspace's quota, the rules' times, and arithmetic with needs."""

import operator
from dataclasses import dataclass, field

from peridotspoke.workloads.jobs import Need

__all__ = [
    "NOTHING",
    "QuotaRecord",
    "QuotaRow",
    "QuotaRules",
    "add_needs",
    "combine_needs",
    "count_fitting",
    "covers",
    "mask_need",
    "multiply_need",
    "raise_to_zero",
    "subtract_needs",
]

NOTHING = Need()


@dataclass(frozen=True, slots=True)
class QuotaRow:
    """A pool's part of a workspace's quota, as it is stored.

    Parameters
    ----------
    granted : Need
        What may be running of the workspace in the pool.
    waiting_since : float
        Since when the pool has lacked quota for its next task, seconds since the Unix
        epoch; 0 if it lacks none.
    next : Need
        The need of that task; of a gang, that of all its tasks together.
    """

    granted: Need = NOTHING
    waiting_since: float = 0.0
    next: Need = NOTHING


@dataclass(frozen=True, slots=True)
class QuotaRecord:
    """The quota of one workspace, as it is stored.

    Parameters
    ----------
    pools : dict of str to QuotaRow
    """

    pools: dict[str, QuotaRow] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class QuotaRules:
    """Times in the rules, all in seconds.

    Parameters
    ----------
    unused : float
        Time after which a pool returns what it hasn't used, and the shortest time
        between two such returns.
    patience : float
        Time for which a pool must wait before others leave quota unused for it. Without
        it, two pools with long backlogs would pass each freed piece to and fro, with
        several writes for each task.
    reserved : float
        Time for which free quota is then kept for it, counted from when it began to
        wait; below the 3 s for which a job may wait while half of the limit is free.
    open : float
        Time after that in which others may take the free quota, before it is reserved
        again: the waiting task may need more than will ever be free, for example beside
        tasks that last.
    rewrite : float
        Shortest time between two writes that change only what a pool waits for.
    settling : float
        Time for which nothing starts after a limit was set where there was none, or a
        record was lost. Until then each owner records what is running; longer than a
        configuration takes to reach each node.
    """

    unused: float = 1.0
    patience: float = 0.5
    reserved: float = 2.0
    open: float = 0.5
    rewrite: float = 1.0
    settling: float = 3.0

    def is_reserved(self, waiting_since, wall):
        """Return whether free quota is kept for a pool that has waited since then."""
        waited = wall - waiting_since
        return waited % (self.reserved + self.open) < self.reserved

    def is_urgent(self, waiting_since, wall):
        """Return whether others leave quota unused for a pool that waits."""
        waited = wall - waiting_since
        return waited >= self.patience and self.is_reserved(waiting_since, wall)


def combine_needs(function, first, second):
    """Return the need with `function` of two needs in each resource."""
    return Need(
        function(first.cpu, second.cpu),
        function(first.memory, second.memory),
        function(first.accelerators, second.accelerators),
    )


def add_needs(first, second):
    """Return the sum of two needs."""
    return combine_needs(operator.add, first, second)


def subtract_needs(first, second):
    """Return the difference of two needs; it can be negative."""
    return combine_needs(operator.sub, first, second)


def multiply_need(need, count):
    """Return the need of `count` tasks."""
    return Need(need.cpu * count, need.memory * count, need.accelerators * count)


def count_fitting(free, need, count):
    """Return how many of `count` tasks free resources have room for.

    Examples
    --------
    >>> count_fitting(Need(3500, 100, 0), Need(1000, 10, 0), 8)
    3
    """
    pairs = (
        (free.cpu, need.cpu),
        (free.memory, need.memory),
        (free.accelerators, need.accelerators),
    )
    fitting = (room // part for room, part in pairs if part)
    return max(0, min([count, *fitting]))


def covers(need, other):
    """Return whether a need is at least as large as another in each resource."""
    return (
        need.cpu >= other.cpu
        and need.memory >= other.memory
        and need.accelerators >= other.accelerators
    )


def mask_need(need, limit):
    """Return a need without the resources that a limit doesn't restrict.

    Examples
    --------
    >>> mask_need(Need(1000, 64, 2), Need(8000, 0, 4))
    Need(cpu=1000, memory=0, accelerators=2)
    """
    return Need(
        need.cpu if limit.cpu else 0,
        need.memory if limit.memory else 0,
        need.accelerators if limit.accelerators else 0,
    )


def raise_to_zero(need):
    """Return a need in which nothing is negative."""
    return combine_needs(max, need, NOTHING)
