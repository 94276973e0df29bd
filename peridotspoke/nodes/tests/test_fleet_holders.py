"""Tests of the wait between two holders of the fleet."""

from peridotspoke.nodes.tests.test_fleet import (
    gain_fleet_after_order,
    run_round,
)


async def test_a_holder_that_regains_the_fleet_still_waits_for_anothers_order():
    """Its own record repeats the other's order, whose holder may be in touch."""
    fleet = await gain_fleet_after_order()
    await run_round(fleet)
    assert [order[:2] for order in fleet.machines.orders] == [("m3", "pool")]
    fleet.machines.pools["m3"] = "pool"
    del fleet.store.records[f"work/owner/{fleet.holding.unit}"]
    await fleet.gain_ownership("n1")
    fleet.set_demand(96.0)
    await run_round(fleet)
    fleet.parts.clock.advance(0.6)
    await run_round(fleet)
    assert [order[0] for order in fleet.machines.orders] == ["m3"]
