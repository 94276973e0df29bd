"""Tests of the fleet's owner: moves and maintenance through lost records."""

import msgspec
import pytest

from peridotspoke.nodes.fleet import FLEET, RESIZE, FleetKeeper
from peridotspoke.nodes.keys import key_owner, key_withdrawal
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.tests.stores import make_parts
from peridotspoke.nodes.view import Withdrawal, encode_value
from peridotspoke.store import FollowedRecords, Put, Transaction
from peridotspoke.workloads.configuration import Configuration, WorkPool
from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.machines import Machine, MachineState
from peridotspoke.workloads.sizing import PoolDemand


class MachinesDouble:
    """Lists machines and notes the orders that it is given."""

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
    """A fleet's owner with its store, and machines that it may order about."""

    def __init__(self, pools):
        self.parts = make_parts()
        self.parts.ownership = OwnershipDouble()
        self.parts.machines = self.machines = MachinesDouble(pools)
        work_pools = (WorkPool("pool"), WorkPool("spare", spare=True))
        self.parts.view.note_configuration(Configuration(2, (), work_pools))
        self.store = self.parts.store

    async def open(self, previous=""):
        created = await self.put(key_owner(FLEET), b'{"name":"n1","incarnation":"x"}')
        now = self.parts.clock.read_monotonic()
        self.holding = Holding(FLEET, created, now, previous)
        self.keeper = FleetKeeper(
            self.parts, self.holding, msgspec.json.encode, "status/{}".format
        )
        self.look()

    async def put(self, key, value):
        result = await self.store.commit(Transaction((), (Put(key, value),)))
        return result.revision

    async def withdraw(self, name):
        withdrawal = Withdrawal(f"i-{name}", "pool", RESIZE, 1)
        await self.put(key_withdrawal(name), encode_value(withdrawal))
        self.look()

    def look(self):
        """Let the view catch up with the store."""
        records = self.store.records
        gone = {
            key_withdrawal(name) for name in self.parts.view.withdrawals
        } - records.keys()
        changed = frozenset({*records, *gone})
        followed = FollowedRecords(records, changed, 0.0, self.store.revision)
        self.parts.view.note_work(followed)

    def demand(self, cores):
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
    await double.open()
    return double


async def test_a_withdrawal_that_goes_while_others_are_ended_is_left_alone(fleet):
    """Each removal waits for the store, and the watch may tell of more meanwhile."""
    await fleet.withdraw("m1")
    await fleet.withdraw("m2")
    fleet.demand(96.0)
    commit = fleet.store.commit

    async def commit_and_look(transaction, timeout=None):
        result = await commit(transaction)
        fleet.parts.view.withdrawals.clear()
        return result

    fleet.store.commit = commit_and_look
    await fleet.keeper._run_round()
    assert key_withdrawal("m1") not in fleet.store.records
    assert key_withdrawal("m2") not in fleet.store.records
