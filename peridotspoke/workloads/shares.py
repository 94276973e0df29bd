"""Divides a pool among workspaces by weight while it lacks capacity for all of them.

It answers one workspace that sends several times its usual load for some seconds beside
others: what it sends beyond its share waits, and the others' jobs don't.
"""

import heapq
import math

__all__ = [
    "TOLERANCE",
    "compute_entitlements",
    "compute_fair_waits",
    "divide",
    "fill_weights",
    "list_amounts",
    "share_out",
]

DEFAULT_RATIO = 0.1  # of the smallest weight, for a workspace that has none
MIN_RATIO = 1e-6  # of the largest weight; sums with smaller ones lose precision
TOLERANCE = 1e-9  # of a share, for rounding errors


def fill_weights(weights, names):
    """Return a positive weight for each name.

    A workspace that the configuration doesn't have any more, or whose weight is not a
    positive number, gets `DEFAULT_RATIO` times the smallest weight of the others: its
    jobs were accepted and must end, but it has no claim to a full share.

    Parameters
    ----------
    weights : dict of str to float
    names : iterable of str

    Examples
    --------
    >>> fill_weights({"a": 4.0, "b": 2.0, "c": 0.0}, ["a", "b", "c", "gone"])
    {'a': 1.0, 'b': 0.5, 'c': 0.05, 'gone': 0.05}
    """
    valid = [weight for weight in weights.values() if 0 < weight < math.inf]
    largest = max(valid, default=1.0)
    default = DEFAULT_RATIO * min(valid, default=1.0)
    filled = {}
    for name in names:
        weight = weights.get(name, 0.0)
        is_valid = 0 < weight < math.inf
        filled[name] = max(MIN_RATIO, (weight if is_valid else default) / largest)
    return filled


def compute_entitlements(demands, weights, capacity, available=None):
    """Return the dominant share of a pool that each workspace is entitled to.

    All dominant shares rise together in proportion to the weights. A workspace stops at
    its demand. Once a resource is used up, all that need any of it stop (dominant
    resource fairness).

    Parameters
    ----------
    demands : dict of str to Need
        What the workspace would use if there were enough, by workspace.
    weights : dict of str to float
    capacity : Need
        Total of the pool. A resource of which it has none doesn't count.
    available : Need, optional
        The part of it that workspaces can use; by default all of it.

    Returns
    -------
    dict of str to float
        By workspace; at most the dominant share of its demand.

    Examples
    --------
    >>> from peridotspoke.workloads.jobs import Need
    >>> demands = {"a": Need(9000), "b": Need(9000), "c": Need(1000)}
    >>> shares = compute_entitlements(demands, {"a": 1, "b": 3, "c": 1}, Need(10_000))
    >>> [round(shares[name], 3) for name in demands]
    [0.225, 0.675, 0.1]
    """
    total = list_amounts(capacity)
    shares = {name: divide(list_amounts(need), total) for name, need in demands.items()}
    left = divide(total if available is None else list_amounts(available), total)
    return share_out(shares, fill_weights(weights, demands), left)


def share_out(demands, weights, left):
    """Return the entitlements by what each workspace demands and what is left.

    Parameters
    ----------
    demands : dict of str to tuple of float
        Shares of the resources by workspace.
    weights : dict of str to float
        Positive, for each workspace.
    left : sequence of float
        Shares of the resources that workspaces can use.
    """
    entitlements = {name: max(shares) for name, shares in demands.items()}
    rows = sorted(
        (dominant / weights[name], name, demands[name])
        for name, dominant in entitlements.items()
        if dominant
    )
    left = list(left)
    while True:
        levels = [
            _find_level(rows, number, left[number]) for number in range(len(left))
        ]
        level = min(levels)
        if level == math.inf:
            return entitlements
        short, kept, stopped = levels.index(level), [], []
        for row in rows:
            is_stopped = row[0] > level and row[2][short]
            (stopped if is_stopped else kept).append(row)
        for _, name, _ in stopped:
            entitlements[name] = weights[name] * level
        if not kept or kept[-1][0] <= level:
            return entitlements
        for full_level, _, shares in stopped:
            part = level / full_level
            left = [a - b * part for a, b in zip(left, shares, strict=True)]
        # The others need none of this resource, or have what they demand.
        rows, left[short] = kept, math.inf


def _find_level(rows, number, left):
    """Return the level at which a resource is used up; infinite if it is enough.

    Parameters
    ----------
    rows : list of tuple
        By workspace: the level at which its demand is met, its name and the shares of
        the resources that it then uses. The lowest level comes first.
    number : int
        Number of the resource.
    left : float
    """
    if sum(row[2][number] for row in rows) <= left + TOLERANCE:
        return math.inf
    used, rate = 0.0, sum(row[2][number] / row[0] for row in rows)
    for full_level, _, shares in rows:
        if used + rate * full_level > left and rate > 0:
            return max(0.0, left - used) / rate
        used += shares[number]
        rate -= shares[number] / full_level
    return math.inf


def compute_fair_waits(backlogs, weights, rate, inflows=None):
    """Return the seconds until the backlog of each workspace is processed.

    Capacity is shared by weight among the workspaces that have work (generalized
    processor sharing). One whose backlog is processed goes on with what arrives later:
    without that, a workspace far beyond its share would seem to get all capacity at
    once, although the others keep theirs.

    Parameters
    ----------
    backlogs : dict of str to float
        Work by workspace, such as processor-seconds.
    weights : dict of str to float
    rate : float
        Work processed per second, above 0.
    inflows : dict of str to float, optional
        Work that arrives per second, by workspace; counts once the workspace has no
        backlog.

    Returns
    -------
    dict of str to float
        By workspace in `backlogs`.

    Examples
    --------
    >>> compute_fair_waits({"a": 10.0, "b": 40.0}, {"a": 1.0, "b": 1.0}, 10.0)
    {'a': 2.0, 'b': 5.0}
    >>> compute_fair_waits({"b": 40.0}, {"a": 1.0, "b": 1.0}, 10.0, {"a": 2.0})
    {'b': 5.0}
    """
    inflows = inflows or {}
    filled = fill_weights(weights, [*backlogs, *(inflows.keys() - backlogs.keys())])
    order = sorted(backlogs, key=lambda name: backlogs[name] / filled[name])
    # Workspaces without backlog whose inflow may be above what they get.
    open_inflows = [
        (inflow / filled[name], name)
        for name, inflow in inflows.items()
        if name not in backlogs
    ]
    heapq.heapify(open_inflows)
    sharing, waits, progress, elapsed = sum(filled.values()), {}, 0.0, 0.0
    for name in order:
        # The level only rises, so an inflow that is met stays met.
        while open_inflows and open_inflows[0][0] * sharing <= rate:
            inflow, other = heapq.heappop(open_inflows)
            rate -= inflow * filled[other]
            sharing -= filled[other]
        sharing = max(sharing, filled[name])
        next_progress = backlogs[name] / filled[name]
        rise = next_progress - progress
        if rise > 0:
            elapsed += rise * sharing / rate if rate > 0 else math.inf
        progress, waits[name] = next_progress, elapsed
        heapq.heappush(open_inflows, (inflows.get(name, 0.0) / filled[name], name))
    return waits


def list_amounts(need):
    """Return the processors, memory and accelerators of a `Need`."""
    return (need.cpu, need.memory, need.accelerators)


def divide(amounts, capacity):
    """Return the share that an amount has of the capacity, by resource; 0 of none."""
    cpu, memory, accelerators = capacity
    return (
        amounts[0] / cpu if cpu > 0 else 0.0,
        amounts[1] / memory if memory > 0 else 0.0,
        amounts[2] / accelerators if accelerators > 0 else 0.0,
    )
