"""Tests of the order in which nodes may claim units."""

from collections import Counter

import pytest

from peridotspoke.hashing import choose_member
from peridotspoke.nodes.capacity import rank_claimants
from peridotspoke.nodes.records import NodeRecord

UNITS = ["~fleet", "p1", "p2", "p3", "p4", "p5"]


def make_nodes(large=0, small=0, equal=0):
    sizes = {"large": (2.15, 100.0), "small": (0.516, 5.0), "equal": (1.07, 1000.0)}
    counts = {"large": large, "small": small, "equal": equal}
    return {
        f"{kind}-{number}": NodeRecord(
            f"{kind}-{number}", "1", processors=sizes[kind][0], link=sizes[kind][1]
        )
        for kind, count in counts.items()
        for number in range(count)
    }


def choose_owners(nodes, owners=None, free=UNITS, order=None):
    """Return the owner of each unit if the node ranked first claims it.

    The units are claimed in `order`, or else in the order of `free`.
    """
    owners = dict(owners or {})
    for unit in order or free:
        if unit in owners:
            continue
        unowned = [name for name in free if name not in owners]
        owners[unit] = rank_claimants(unit, unowned, nodes, owners.values())[0]
    return owners


def test_units_are_assigned_to_different_nodes_of_sufficient_capacity():
    """No small node owns a unit while there are enough large ones."""
    owners = choose_owners(make_nodes(large=8, small=27))
    assert all(name.startswith("large") for name in owners.values())
    assert len(set(owners.values())) == len(UNITS)


def test_units_that_lose_their_owners_together_go_to_different_free_nodes():
    """Nodes that own a unit already rank after those that own none."""
    nodes = make_nodes(large=8, small=27)
    owners = choose_owners(nodes)
    gone = {owners.pop("p1"), owners.pop("p2")}
    for name in gone:
        del nodes[name]
    reassigned = choose_owners(nodes, owners)
    assert all(name.startswith("large") for name in reassigned.values())
    assert len(set(reassigned.values())) == len(UNITS)


def test_small_nodes_own_units_when_no_larger_node_is_live():
    """An owner below the required capacity is better than none."""
    owners = choose_owners(make_nodes(small=27))
    assert len(set(owners.values())) == len(UNITS)


@pytest.mark.parametrize("order", [UNITS, UNITS[::-1], sorted(UNITS)])
def test_the_order_in_which_claims_arrive_does_not_change_the_owners(order):
    """Nodes that see the claims in different orders rank the same nodes first."""
    nodes = make_nodes(large=8, small=27)
    assert choose_owners(nodes, order=order) == choose_owners(nodes)


@pytest.mark.parametrize("count", [2, 3, 6, 8])
def test_equal_nodes_share_units_at_least_as_evenly_as_with_hashing_alone(count):
    """The numbers of units that two nodes own differ by at most one."""
    nodes = make_nodes(equal=count)
    loads = Counter(choose_owners(nodes).values())
    hashed = Counter(choose_member(unit, nodes) for unit in UNITS)
    most = max(loads.values())
    assert most <= max(hashed.values())
    assert most - min(loads[name] for name in nodes) <= 1


def test_the_order_is_empty_without_live_nodes():
    """No unit can be claimed before a node is known."""
    assert rank_claimants("p1", ["p1"], {}, []) == []
