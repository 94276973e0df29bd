"""Tests of the fleet's owner: moves and maintenance despite lost or delayed writes."""

import asyncio

import msgspec
import pytest
from loguru import logger

from peridotspoke.exceptions import AnswerLostError
from peridotspoke.nodes.fleet import FLEET, RESIZE_REASON, FleetSupervisor
from peridotspoke.nodes.fleetrecords import OrderRecord, RecentOrder, WaveRecord
from peridotspoke.nodes.keys import WORK_PREFIX, key_orders, key_owner, key_withdrawal
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.records import Withdrawal, encode_value
from peridotspoke.nodes.tests.stores import make_parts
from peridotspoke.store import FollowedRecords, Put, Transaction
from peridotspoke.workloads.configuration import (
    Configuration,
    MaintenanceWave,
    WorkPool,
)
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.executors import ExecutorCondition
from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.machines import Machine, MachineState
from peridotspoke.workloads.sizing import SizingRules
from peridotspoke.workloads.tests.ledgers import make_entry


class MachinesDouble:
    """Lists machines and records the orders that it receives."""

    def __init__(self, pools):
        self.pools = dict(pools)
        self.orders = []

    async def list(self):
        return tuple(
            Machine(
                name,
                pool,
                MachineState.UP,
                "zone",
                ("a", "rack"),
                Need(32_000, 65_536, 0),
                "" if pool == "spare" else f"i-{name}",
            )
            for name, pool in self.pools.items()
        )

    async def move(self, machine, pool, token):
        self.orders.append((machine, pool, token))

    async def maintain(self, machine, wave, token):
        self.orders.append((machine, wave, token))


class OwnershipDouble:
    def may_order(self):
        return True

    def give_up(self, holding, reason):
        raise AssertionError(reason)


class FleetDouble:
    """A fleet's owner with a store and machines that record its orders."""

    def __init__(self, pools):
        self.parts = make_parts()
        self.parts.ownership = OwnershipDouble()
        self.parts.machines = self.machines = MachinesDouble(pools)
        work_pools = (WorkPool("pool"), WorkPool("spare", spare=True))
        self.parts.view.apply_configuration(Configuration(2, (), work_pools))
        self.store = self.parts.store

    async def gain_ownership(self, previous=""):
        created = await self.put(key_owner(FLEET), b'{"name":"n1","incarnation":"x"}')
        now = self.parts.clock.read_monotonic()
        self.holding = Holding(FLEET, created, now, previous)
        self.supervisor = FleetSupervisor(
            self.parts, self.holding, msgspec.json.encode, "status/{}".format
        )
        self.update_view()

    async def put(self, key, value):
        result = await self.store.commit(Transaction((), (Put(key, value),)))
        return result.revision

    async def withdraw(self, name):
        withdrawal = Withdrawal(f"i-{name}", "pool", RESIZE_REASON, 1)
        await self.put(key_withdrawal(name), encode_value(withdrawal))
        self.update_view()

    def update_view(self):
        """Update the view from the store."""
        records = {
            key: record
            for key, record in self.store.records.items()
            if key.startswith(WORK_PREFIX)
        }
        gone = {
            key_withdrawal(name) for name in self.parts.view.withdrawals
        } - records.keys()
        changed = frozenset({*records, *gone})
        followed = FollowedRecords(records, changed, 0.0, self.store.revision)
        self.parts.view.apply_work(followed)

    def set_demand(self, cores):
        self.parts.view.pools["pool"] = PoolDemand(
            cores=cores,
            removable=tuple(
                f"i-{name}"
                for name, pool in self.machines.pools.items()
                if pool == "pool"
            ),
        )


@pytest.fixture
async def fleet():
    pools = {"m1": "pool", "m2": "pool", "m3": "pool", "m4": "spare"}
    double = FleetDouble(pools)
    await double.gain_ownership()
    return double


async def test_a_withdrawal_that_disappears_during_a_removal_is_ignored(fleet):
    """The watch may remove withdrawals from the view while a removal is stored."""
    await fleet.withdraw("m1")
    await fleet.withdraw("m2")
    fleet.set_demand(96.0)
    commit = fleet.store.commit

    async def commit_and_clear_view(transaction, timeout=None):
        result = await commit(transaction)
        fleet.parts.view.withdrawals.clear()
        return result

    fleet.store.commit = commit_and_clear_view
    await fleet.supervisor._run_round()
    assert key_withdrawal("m1") not in fleet.store.records
    assert key_withdrawal("m2") not in fleet.store.records


async def test_an_executor_that_has_left_stays_withdrawn_while_it_is_listed(fleet):
    """Its entry outlasts it, so its pool would start runs on it again."""
    withdrawal = Withdrawal("i-former", "pool", RESIZE_REASON, 1, empty=True)
    await fleet.put(key_withdrawal("m1"), encode_value(withdrawal))
    fleet.update_view()
    fleet.parts.view.entries["i-former"] = make_entry("i-former")
    await run_round(fleet)
    assert key_withdrawal("m1") in fleet.store.records
    del fleet.parts.view.entries["i-former"]
    await run_round(fleet)
    assert key_withdrawal("m1") not in fleet.store.records


async def test_a_machine_is_counted_while_its_former_executor_is_withdrawn(fleet):
    """Its new executor serves the pool, so the pool needs no other machine."""
    withdrawal = Withdrawal("i-former", "spare", RESIZE_REASON, 1, empty=True)
    await fleet.put(key_withdrawal("m1"), encode_value(withdrawal))
    fleet.update_view()
    fleet.parts.view.entries["i-former"] = make_entry("i-former")
    fleet.set_demand(96.0 / SizingRules().headroom)
    await run_round(fleet)
    assert fleet.machines.orders == []


async def test_the_size_of_a_pool_tells_how_many_machines_take_work(fleet):
    """A pool whose executors drain looked as if it had all its machines."""
    entries = fleet.parts.view.entries
    entries["i-m1"] = make_entry("i-m1", condition=ExecutorCondition.DRAINING)
    entries["i-m2"] = make_entry("i-m2")
    entries["i-m3"] = make_entry("i-m3")
    await fleet.withdraw("m3")
    fleet.set_demand(128.0)
    lines = []
    sink = logger.add(lambda text: lines.append(str(text)), format="{message}")
    await run_round(fleet)
    logger.remove(sink)
    (line,) = [line for line in lines if "event=pool-sized" in line]
    assert "present=3 taking=1" in line


async def run_round(fleet):
    """Run one round and wait until its orders are sent."""
    await fleet.supervisor._run_round()
    for _ in range(10):
        await asyncio.sleep(0)
    fleet.update_view()


async def gain_fleet_after_order():
    """Return a new holder of the fleet, after another has recently ordered m2."""
    fleet = FleetDouble({"m1": "pool", "m2": "spare", "m3": "spare"})
    record = OrderRecord("other", {"m2": RecentOrder("", pool="spare")})
    await fleet.put(key_orders(), encode_value(record))
    await fleet.gain_ownership()
    fleet.set_demand(64.0)
    return fleet


async def test_machines_without_a_recent_order_are_moved_at_once_by_a_new_holder():
    """Only a machine that had an order from another holder shortly before must wait."""
    fleet = await gain_fleet_after_order()
    await run_round(fleet)
    assert [order[:2] for order in fleet.machines.orders] == [("m3", "pool")]
    fleet.set_demand(96.0)
    fleet.parts.clock.advance(4.0)
    await run_round(fleet)
    assert fleet.machines.orders[1][:2] == ("m2", "pool")


async def test_the_same_holder_waits_only_until_its_orders_have_arrived():
    """No other holder can have sent orders, and the list shows which had effect."""
    fleet = FleetDouble({"m1": "pool", "m2": "spare"})
    record = OrderRecord("n1", {"m2": RecentOrder("i-m2", pool="spare")})
    await fleet.put(key_orders(), encode_value(record))
    await fleet.gain_ownership()
    fleet.set_demand(64.0)
    await run_round(fleet)
    assert fleet.machines.orders == []
    fleet.parts.clock.advance(0.6)
    await run_round(fleet)
    assert fleet.machines.orders[0][:2] == ("m2", "pool")


async def test_an_order_is_not_sent_before_its_machine_is_stored():
    """Otherwise another holder would not know of the order."""
    fleet = FleetDouble({"m1": "pool", "m2": "spare"})
    await fleet.gain_ownership()
    fleet.set_demand(64.0)
    fleet.store.faults = ["lost"]
    await run_round(fleet)
    assert fleet.machines.orders == []
    await run_round(fleet)
    stored = msgspec.json.decode(
        fleet.store.records[key_orders()].value, type=OrderRecord
    )
    assert [order[0] for order in fleet.machines.orders] == ["m2"]
    assert (stored.holder, list(stored.orders)) == ("n1", ["m2"])


async def test_an_old_order_is_forgotten():
    """A later holder then need not wait before it orders the same machine."""
    fleet = FleetDouble({"m1": "pool", "m2": "spare"})
    await fleet.gain_ownership()
    fleet.set_demand(64.0)
    await run_round(fleet)
    fleet.machines.pools["m2"] = "pool"
    fleet.parts.clock.advance(4.0)
    await run_round(fleet)
    stored = msgspec.json.decode(
        fleet.store.records[key_orders()].value, type=OrderRecord
    )
    assert stored.orders == {}


async def test_a_new_holder_counts_the_machines_that_are_down_for_a_wave():
    """The previous holder's order may just have taken effect."""
    fleet = FleetDouble({"m1": "spare", "m2": "spare"})
    record = OrderRecord("other", {"m1": RecentOrder("", wave=1)})
    await fleet.put(key_orders(), encode_value(record))
    await fleet.gain_ownership()
    wave = MaintenanceWave(1, ("m1", "m2"), 20.0, 1)
    fleet.parts.view.waves[1] = (wave, fleet.parts.clock.read_monotonic())
    await run_round(fleet)
    assert fleet.machines.orders == []


async def test_a_delayed_write_of_a_wave_does_not_undo_its_completion():
    """The write is conditional on the revision that it replaces."""
    fleet = FleetDouble({"m1": "spare"})
    await fleet.gain_ownership()
    records = fleet.supervisor._records
    await records.write_wave(1, WaveRecord())
    fleet.store.faults = ["delayed"]
    with pytest.raises(AnswerLostError):
        await records.write_wave(1, WaveRecord(("m1",)))
    await records.write_wave(1, WaveRecord(("m1",), completed=True))
    fleet.store.deliver_delayed()
    assert (await records.read_wave(1)).completed


async def test_an_outcome_that_arrives_late_leaves_a_wave_completed():
    """The wave's last order may be answered after the list showed its effect."""
    fleet = FleetDouble({"m1": "spare"})
    await fleet.gain_ownership()
    fleet.supervisor._waves[1] = WaveRecord(completed=True)
    await fleet.supervisor._records.write_wave(1, WaveRecord(completed=True))
    await fleet.supervisor._store_begun("m1", 1)
    stored = await fleet.supervisor._records.read_wave(1)
    assert stored == WaveRecord(("m1",), completed=True)


async def test_a_delayed_write_of_orders_does_not_hide_later_ones():
    """Another holder must find the orders that were stored after it."""
    fleet = FleetDouble({"m1": "spare"})
    await fleet.gain_ownership()
    records = fleet.supervisor._records
    await records.write_orders({})
    fleet.store.faults = ["delayed"]
    with pytest.raises(AnswerLostError):
        await records.write_orders({"m1": RecentOrder("", pool="pool")})
    await records.write_orders({"m2": RecentOrder("", pool="pool")})
    fleet.store.deliver_delayed()
    assert list((await records.read_orders()).orders) == ["m2"]
