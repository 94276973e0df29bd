"""Tests of a node's lease and of the units owned under it."""

import asyncio
from dataclasses import replace

import pytest

from peridotspoke.exceptions import AnswerLostError
from peridotspoke.nodes.keys import key_lease_statement, key_owner
from peridotspoke.nodes.ownership import (
    ORDER_MARGIN,
    RENEWAL_RETRY_DELAY,
    RENEWAL_TIMEOUTS,
    RENEWALS_PER_LEASE,
    Ownership,
)
from peridotspoke.nodes.records import LeaseStatement, decode_value
from peridotspoke.nodes.tests.stores import InMemoryStore, make_parts, make_settings
from peridotspoke.store import FollowedRecords, Put, Transaction


class NodeDouble:
    """An `Ownership` whose view is updated from the store only by `update_view`."""

    def __init__(self, name, store, units=("pool",), size=(1.0, 100.0)):
        self.parts = make_parts(name, store)
        self.parts.settings = replace(
            self.parts.settings, processors=size[0], link=size[1]
        )
        self.gained, self.lost = [], []
        self.waits = {}
        self.ownership = Ownership(
            self.parts.settings,
            store,
            self.parts.view,
            self.parts.clock,
            lambda: list(units),
            self.gained.append,
            self.lost.append,
            lambda holding: dict(self.waits),
        )

    async def check_owners(self, seconds=2.0):
        """Update the view, advance the clock by `seconds` and check the units."""
        self.update_view()
        self.ownership._check_owners()
        self.parts.clock.advance(seconds)
        self.ownership._check_owners()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.update_view()
        self.ownership._check_owners()

    def update_view(self):
        """Update the view from the store."""
        records = self.parts.store.records
        view = self.parts.view
        known = {f"work/owner/{unit}" for unit in view.owners}
        known |= {f"work/leases/{unit}" for unit in view.statements}
        gone = known - records.keys()
        followed = FollowedRecords(
            records, frozenset({*records, *gone}), 0.0, self.parts.store.revision
        )
        view.apply_work(followed)

    async def acquire_lease(self):
        await self.ownership._revoke_former_lease()
        await self.ownership._acquire_lease()
        self.ownership._lease = self.ownership._lease.__class__(
            self.ownership._lease.lease_id, 1e6, self.parts.clock.read_monotonic()
        )


async def test_one_of_two_nodes_owns_a_unit_and_fences_only_rise():
    """The other node takes over, under a higher fence, once the first lease ends."""
    store = InMemoryStore()
    first, second = NodeDouble("n1", store), NodeDouble("n2", store)
    await first.acquire_lease()
    await first.check_owners()
    await second.acquire_lease()
    await second.check_owners()
    assert len(first.gained) == 1
    assert second.gained == []
    store.end_lease(first.ownership._lease.lease_id)
    await second.check_owners()
    assert second.gained[0].fence > first.gained[0].fence
    assert second.gained[0].previous == "n1"
    await first.check_owners()
    assert first.lost == first.gained


async def test_a_claim_whose_answer_was_lost_is_found_in_the_view():
    """The owner record names this incarnation, so the node adopts its own claim."""
    store = InMemoryStore()
    node = NodeDouble("n1", store)
    await node.acquire_lease()
    store.faults = ["lost"]
    await node.check_owners()
    assert node.gained[0].fence == store.records[key_owner("pool")].create_revision


async def test_an_adopted_claim_knows_the_owner_before_it():
    # Guards against tasks that last and stand (LOST): an owner whose claim got no
    # answer waited for its predecessor's leases as if it had said nothing of them.
    store = InMemoryStore()
    first, second = NodeDouble("n1", store), NodeDouble("n2", store)
    for node in (first, second):
        await node.acquire_lease()
        await node.check_owners()
    store.end_lease(first.ownership._lease.lease_id)
    store.faults = ["lost"]
    await second.check_owners()
    predecessor = second.gained[0].predecessor
    assert predecessor.process.incarnation == first.ownership.incarnation
    assert predecessor.fence == first.gained[0].fence
    assert predecessor.publishes_first


async def test_a_claim_under_a_lease_that_has_ended_is_not_adopted():
    """The node has another lease by the time its late view shows the claim.

    It would order and extend leases beside the unit's next owner.
    """
    store = InMemoryStore()
    node, other = NodeDouble("n1", store), NodeDouble("n2", store)
    await node.acquire_lease()
    store.faults = ["lost"]
    node.update_view()
    node.ownership._check_owners()
    node.parts.clock.advance(2.0)
    node.ownership._check_owners()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    records, revision = dict(store.records), store.revision
    assert key_owner("pool") in records
    store.end_lease(node.ownership._lease.lease_id)
    await other.acquire_lease()
    await other.check_owners()
    assert len(other.gained) == 1
    node.ownership._lease = None
    late = FollowedRecords(records, frozenset(records), 0.0, revision)
    node.parts.view.apply_work(late)
    node.ownership._check_owners()
    await node.acquire_lease()
    node.ownership._check_owners()
    assert node.gained == []


async def test_a_unit_that_was_given_up_is_never_held_under_the_same_fence():
    """Orders sent under the old fence may still arrive."""
    store = InMemoryStore()
    node = NodeDouble("n1", store)
    await node.acquire_lease()
    await node.check_owners()
    node.ownership.give_up(node.gained[0], "fenced by an executor")
    for _ in range(3):
        await node.check_owners()
    fences = [holding.fence for holding in node.gained]
    assert len(fences) == 2
    assert fences[1] > fences[0]


async def test_a_restarted_node_takes_its_units_back_without_waiting_for_its_lease():
    """Its former process is dead; waiting for the lease would leave units idle."""
    store = InMemoryStore()
    first, other = NodeDouble("n1", store), NodeDouble("n2", store)
    await first.acquire_lease()
    await first.check_owners()
    await other.acquire_lease()
    restarted = NodeDouble("n1", store)
    await restarted.acquire_lease()
    await restarted.check_owners(seconds=0.0)
    assert restarted.gained[0].fence > first.gained[0].fence
    assert other.gained == []


async def test_a_node_of_the_same_name_elsewhere_does_not_end_a_live_lease():
    """The process at the other address may still be working while it is replaced."""
    store = InMemoryStore()
    first, second = NodeDouble("n1", store), NodeDouble("n1", store)
    second.ownership._settings = replace(second.parts.settings, front="127.0.0.9:1")
    await first.acquire_lease()
    await first.check_owners()
    await second.acquire_lease()
    assert first.ownership._lease.lease_id in store.leases


async def test_a_renewal_without_an_answer_leaves_time_for_another():
    """With a longer time limit the lease would end before a second renewal is sent."""
    store = InMemoryStore()
    node = NodeDouble("n1", store)
    await node.acquire_lease()
    never = asyncio.Event()

    async def never_answer(lease):
        await never.wait()

    store.renew_lease = never_answer
    with pytest.raises(AnswerLostError):
        await node.ownership._renew_lease(failures=0)
    lease = make_settings().lease
    spent = lease / RENEWALS_PER_LEASE + RENEWAL_TIMEOUTS[0] + RENEWAL_RETRY_DELAY
    assert spent + RENEWAL_TIMEOUTS[0] < lease - ORDER_MARGIN


async def test_units_fall_to_larger_nodes_and_not_all_to_one_of_them():
    """A pool's owner with a slow link reads late and delays the work of all pools."""
    store = InMemoryStore()
    units = ["p1", "p2", "p3"]
    sizes = {f"large-{number}": (2.15, 100.0) for number in range(3)}
    sizes |= {f"small-{number}": (0.516, 5.0) for number in range(12)}
    nodes = [NodeDouble(name, store, units, size) for name, size in sizes.items()]
    for node in nodes:
        await node.acquire_lease()
    for _ in range(12):
        for node in nodes:
            node.update_view()
            node.ownership._check_owners()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for node in nodes:
            node.parts.clock.advance(0.1)
    owners = [node.parts.settings.name for node in nodes for _ in node.gained]
    assert sorted(owners) == ["large-0", "large-1", "large-2"]


async def hand_over(former, *others):
    """Let a node stop, and the others see it and claim its unit."""
    await former.ownership.release_all()
    for other in others:
        await other.check_owners()


async def test_the_next_owner_knows_how_long_the_leases_of_one_that_stopped_last():
    """It would otherwise wait anew for as long as any owner may hold alone."""
    store = InMemoryStore()
    first, second = NodeDouble("n1", store), NodeDouble("n2", store)
    for node in (first, second):
        await node.acquire_lease()
        await node.check_owners()
    first.waits = {"e1": 4.0}
    seen_at = second.parts.clock.read_monotonic()
    await hand_over(first, second)
    assert second.gained[0].lease_ends == {"e1": seen_at + 4.0}
    assert not first.ownership.may_extend_leases()


async def test_a_statement_does_not_outlast_the_owner_that_came_after_it():
    """The one that came between was lost without a word, and may extend leases."""
    store = InMemoryStore()
    first, second, third = (NodeDouble(name, store) for name in ("n1", "n2", "n3"))
    for node in (first, second, third):
        await node.acquire_lease()
        await node.check_owners()
    first.waits = {"e1": 4.0}
    await hand_over(first, second)
    third.update_view()
    store.end_lease(second.ownership._lease.lease_id)
    await third.check_owners()
    assert third.gained[0].lease_ends == {}


async def test_a_claim_fails_while_the_last_owners_statement_is_not_known():
    """A view that lags may name the one of an owner before it, or none."""
    store = InMemoryStore()
    first, second = NodeDouble("n1", store), NodeDouble("n2", store)
    for node in (first, second):
        await node.acquire_lease()
        await node.check_owners()
    first.waits = {"e1": 4.0}
    await first.ownership.release_all()
    await second.ownership._claim("pool")
    assert second.gained == []


async def test_an_owner_whose_statement_is_not_stored_still_ends_its_lease():
    """The next owners wait for longer, but need not wait for the lease."""
    store = InMemoryStore()
    node = NodeDouble("n1", store)
    await node.acquire_lease()
    await node.check_owners()
    node.waits = {"e1": 4.0}
    store.faults = ["unavailable"]
    await node.ownership.release_all()
    assert key_owner("pool") not in store.records


async def test_an_unreadable_statement_does_not_keep_a_unit_without_an_owner():
    """It may come from another version; the next owner waits for the longest time."""
    store = InMemoryStore()
    node = NodeDouble("n1", store)
    await node.acquire_lease()
    key = key_lease_statement("pool")
    await store.commit(Transaction((), (Put(key, b"?"),)))
    await node.check_owners()
    assert node.gained[0].lease_ends == {}
    assert node.gained[0].predecessor is None
    statement = decode_value(store.records[key], LeaseStatement)
    assert statement.owner.incarnation == node.ownership.incarnation


async def test_the_next_owner_knows_which_process_was_killed_before_it():
    """Also where it has just started and has seen nothing of the former owner."""
    store = InMemoryStore()
    first = NodeDouble("n1", store)
    await first.acquire_lease()
    await first.check_owners()
    store.end_lease(first.ownership._lease.lease_id)
    second = NodeDouble("n2", store)
    await second.acquire_lease()
    await second.check_owners()
    predecessor = second.gained[0].predecessor
    assert predecessor.process.incarnation == first.ownership.incarnation
    assert predecessor.fence == first.gained[0].fence


async def test_a_process_that_regains_a_unit_knows_the_leases_that_it_granted():
    """Its lease in the store had ended; it has extended nothing since."""
    store = InMemoryStore()
    node = NodeDouble("n1", store)
    node.ownership._list_lease_waits = lambda holding: {"e1": 4.0}
    await node.acquire_lease()
    await node.check_owners()
    store.end_lease(node.ownership._lease.lease_id)
    lost_at = node.parts.clock.read_monotonic()
    await node.check_owners(seconds=0.0)
    await node.acquire_lease()
    await node.check_owners()
    assert len(node.gained) == 2
    assert node.gained[1].lease_ends == {"e1": lost_at + 4.0}


async def test_the_leases_of_an_owner_in_between_are_not_taken_for_ones_own():
    """Another node owned the unit for a while and may extend its leases."""
    store = InMemoryStore()
    first, second = NodeDouble("n1", store), NodeDouble("n2", store)
    first.ownership._list_lease_waits = lambda holding: {"e1": 4.0}
    for node in (first, second):
        await node.acquire_lease()
        await node.check_owners()
        store.end_lease(node.ownership._lease.lease_id)
        await node.check_owners(seconds=0.0)
    await first.acquire_lease()
    await first.check_owners()
    assert first.gained[-1].lease_ends == {}
    assert first.gained[-1].predecessor.fence == second.gained[0].fence


async def test_a_late_registration_of_a_former_process_has_no_effect():
    """It would make the present process look as if it had ended."""
    store = InMemoryStore()
    first, restarted = NodeDouble("n1", store), NodeDouble("n1", store)
    store.faults = ["delayed"]
    with pytest.raises(AnswerLostError):
        await first.acquire_lease()
    await restarted.acquire_lease()
    store.deliver_delayed()
    restarted.update_view()
    record = restarted.parts.view.nodes["n1"]
    assert record.incarnation == restarted.ownership.incarnation
