"""Tests of the writes of progress under an ownership."""

import random

import pytest

from peridotspoke.nodes import committing
from peridotspoke.nodes.committing import OwnershipLostError, ProgressWriter
from peridotspoke.nodes.keys import key_owner, key_progress
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.tests.stores import JOB, StoreStandIn
from peridotspoke.store import Condition, Put, Transaction


async def make_writer(monkeypatch):
    async def sleep(seconds):
        return None

    monkeypatch.setattr(committing.asyncio, "sleep", sleep)
    store = StoreStandIn()
    result = await store.commit(Transaction((), (Put(key_owner("pool"), b"me"),)))
    holding = Holding("pool", result.revision, 0.0)
    return store, ProgressWriter(store, holding, {}, random.Random(1))


@pytest.mark.parametrize("faults", [["lost"], ["late"], ["away"], ["late", "lost"]])
async def test_a_write_is_repeated_until_its_outcome_is_certain(faults, monkeypatch):
    """Neither a lost answer nor a late write leaves an older state."""
    store, writer = await make_writer(monkeypatch)
    store.faults = list(faults)
    await writer.write({JOB: b"one"})
    await writer.write({JOB: b"two"})
    store.deliver_late()
    assert store.records[key_progress(JOB)].value == b"two"


async def test_nothing_is_written_once_another_node_owns_the_pool(monkeypatch):
    """The owner's record is a condition of each write."""
    store, writer = await make_writer(monkeypatch)
    revision = store.records[key_owner("pool")].revision
    key = key_owner("pool")
    await store.commit(Transaction((Condition(key, revision),), (Put(key, b"you"),)))
    with pytest.raises(OwnershipLostError):
        await writer.write({JOB: b"one"})
    assert key_progress(JOB) not in store.records
