"""The order in which live nodes may claim a unit that has no owner.

It answers fleets whose nodes differ in size: an owner reads the records of its unit
over its own link and places the unit's work on its own processors.
"""

from collections import Counter

from peridotspoke.hashing import rank_members

__all__ = ["compute_capacity", "rank_claimants"]

UNIT_PROCESSORS = 0.5  # processors of an owner's node for each unit
UNIT_LINK = 10.0  # Mbit/s: a page of the store within the limit of a call


def compute_capacity(node):
    """Return how many units a node can carry, a fraction below 1 if not one.

    Parameters
    ----------
    node : NodeRecord

    Examples
    --------
    >>> from peridotspoke.nodes.view import NodeRecord
    >>> compute_capacity(NodeRecord("n1", "1", processors=2.0, link=100.0))
    4.0
    >>> compute_capacity(NodeRecord("n2", "1", processors=0.5, link=5.0))
    0.5
    """
    return min(node.processors / UNIT_PROCESSORS, node.link / UNIT_LINK)


def rank_claimants(unit, free, nodes, owners):
    """Return the names of the live nodes in the order in which they may claim a unit.

    Parameters
    ----------
    unit : str
    free : iterable of str
        All units without an owner, `unit` among them or not.
    nodes : dict of str to NodeRecord
        The live nodes by name.
    owners : iterable of str
        The name of the owning node, once for each unit that is owned.

    Notes
    -----
    The free units are given out in the order of their names, each to the node with the
    most capacity for each unit that it then owns. Ties go by rendezvous hashing. So
    nodes that know the same records find the same order for each unit, and units that
    become free together fall to different nodes.

    Examples
    --------
    >>> from peridotspoke.nodes.view import NodeRecord
    >>> small = NodeRecord("small", "1", processors=0.5, link=5.0)
    >>> large = NodeRecord("large", "1", processors=2.0, link=100.0)
    >>> nodes = {"small": small, "large": large}
    >>> rank_claimants("pool", ["pool"], nodes, [])
    ['large', 'small']
    """
    capacities = {name: compute_capacity(node) for name, node in nodes.items()}
    owned = Counter(owners)
    for name in sorted({unit, *free}):
        ranks = sorted(
            rank_members(name, nodes),
            key=lambda node: capacities[node] / (owned[node] + 1),
            reverse=True,
        )
        if name == unit or not ranks:
            return ranks
        owned[ranks[0]] += 1
    return []
