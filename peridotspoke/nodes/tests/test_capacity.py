"""Tests of the order in which nodes claim units."""

from collections import Counter

import pytest

from peridotspoke.hashing import choose_member
from peridotspoke.nodes.capacity import rank_claimants
from peridotspoke.nodes.view import NodeRecord

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
    """Return the owner of each unit if first choices claim, in `order`."""
    owners = dict(owners or {})
    for unit in order or free:
        if unit in owners:
            continue
        left = [name for name in free if name not in owners]
        owners[unit] = rank_claimants(unit, left, nodes, owners.values())[0]
    return owners


def test_units_fall_to_different_nodes_that_can_carry_them():
    """Small nodes are many, but none of them is needed."""
    owners = choose_owners(make_nodes(large=8, small=27))
    assert all(name.startswith("large") for name in owners.values())
    assert len(set(owners.values())) == len(UNITS)


def test_units_that_lose_their_owners_together_fall_to_different_free_nodes():
    """Owners that have a unit already come after those that have none."""
    nodes = make_nodes(large=8, small=27)
    owners = choose_owners(nodes)
    gone = {owners.pop("p1"), owners.pop("p2")}
    for name in gone:
        del nodes[name]
    again = choose_owners(nodes, owners)
    assert all(name.startswith("large") for name in again.values())
    assert len(set(again.values())) == len(UNITS)


def test_units_are_served_by_small_nodes_when_no_larger_one_lives():
    """A weak owner is better than none."""
    owners = choose_owners(make_nodes(small=27))
    assert len(set(owners.values())) == len(UNITS)


@pytest.mark.parametrize("order", [UNITS, UNITS[::-1], sorted(UNITS)])
def test_the_order_in_which_claims_arrive_does_not_change_the_owners(order):
    """Each node that sees some claims before others finds the same first choices."""
    nodes = make_nodes(large=8, small=27)
    assert choose_owners(nodes, order=order) == choose_owners(nodes)


@pytest.mark.parametrize("count", [2, 3, 6, 8])
def test_equal_nodes_share_units_at_least_as_evenly_as_by_hashing(count):
    """No node has two units more than another."""
    nodes = make_nodes(equal=count)
    loads = Counter(choose_owners(nodes).values())
    hashed = Counter(choose_member(unit, nodes) for unit in UNITS)
    most = max(loads.values())
    assert most <= max(hashed.values())
    assert most - min(loads[name] for name in nodes) <= 1


def test_no_live_node_is_an_empty_order():
    """Nothing can be claimed before a node is known."""
    assert rank_claimants("p1", ["p1"], {}, []) == []
