"""Ranks the live nodes that may claim a unit without an owner.

A unit is a pool, or the fleet as a whole. The ranking takes the size of the nodes into
account, since nodes of one fleet may differ: an owner reads the records of its unit
over its own network link and schedules the unit's work on its own processors.
"""

from collections import Counter

from peridotspoke.hashing import rank_members

__all__ = ["compute_capacity", "rank_claimants"]

PROCESSORS_PER_UNIT = 0.5
LINK_PER_UNIT = 10.0  # Mbit/s; transfers a page of the store within a call's timeout


def compute_capacity(node):
    """Return the number of units that a node has the resources to own.

    Parameters
    ----------
    node : NodeRecord

    Returns
    -------
    float
        Below 1 if the node is too small for a single unit.

    Examples
    --------
    >>> from peridotspoke.nodes.records import NodeRecord
    >>> compute_capacity(NodeRecord("n1", "1", processors=2.0, link=100.0))
    4.0
    >>> compute_capacity(NodeRecord("n2", "1", processors=0.5, link=5.0))
    0.5
    """
    return min(node.processors / PROCESSORS_PER_UNIT, node.link / LINK_PER_UNIT)


def rank_claimants(unit, free, nodes, owners):
    """Return the names of the live nodes in the order in which they may claim a unit.

    Parameters
    ----------
    unit : str
    free : iterable of str
        All units without an owner. `unit` counts as free even if it is missing here.
    nodes : dict of str to NodeRecord
        The live nodes by name.
    owners : iterable of str
        The names of the owning nodes, with one item for each unit that has an owner.

    Returns
    -------
    list of str
        Empty if no node is live.

    Notes
    -----
    The free units are assigned in alphabetical order, each to the node whose capacity
    divided by the number of its units, including this one, is highest. Ties are
    resolved by rendezvous hashing. Nodes that have read the same records therefore
    compute the same order for each unit, and units that become free at the same time
    are assigned to different nodes.

    Examples
    --------
    >>> from peridotspoke.nodes.records import NodeRecord
    >>> small = NodeRecord("small", "1", processors=0.5, link=5.0)
    >>> large = NodeRecord("large", "1", processors=2.0, link=100.0)
    >>> nodes = {"small": small, "large": large}
    >>> rank_claimants("pool", ["pool"], nodes, [])
    ['large', 'small']
    """
    capacities = {name: compute_capacity(node) for name, node in nodes.items()}
    unit_counts = Counter(owners)
    for free_unit in sorted({unit, *free}):
        ranking = sorted(
            rank_members(free_unit, nodes),
            key=lambda name: capacities[name] / (unit_counts[name] + 1),
            reverse=True,
        )
        if free_unit == unit or not ranking:
            return ranking
        unit_counts[ranking[0]] += 1
    return []
