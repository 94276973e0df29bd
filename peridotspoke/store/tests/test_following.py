"""Tests that only a read or a check confirms that followed records are complete."""

import asyncio
import random
from contextlib import aclosing

import pytest

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import PlatformUnavailableError
from peridotspoke.standins import MemoryKeyValueService, StoreStandIn
from peridotspoke.store import (
    Change,
    FollowingRules,
    Record,
    Snapshot,
    WatchBatch,
    follow_prefix,
)

MAX_WRITES = 500
RULES = FollowingRules(check_interval=0.02)


async def test_check_but_not_change_advances_confirmed_at():
    clock = ManualClock(start=100.0)
    service = MemoryKeyValueService(StoreStandIn(), clock)
    follow = follow_prefix(
        service, "pools/", rules=RULES, clock=clock, chance=random.Random(1)
    )
    async with aclosing(follow) as updates:
        first = await anext(updates)
        clock.advance(10.0)
        await service.swap("pools/p1", b"{}", 0)
        changed = await anext(updates)
        checked = await anext(updates)
    assert (first.confirmed_at, changed.confirmed_at) == (100.0, 100.0)
    assert changed.changed == {"pools/p1"}
    assert (checked.confirmed_at, checked.changed) == (110.0, frozenset())


async def test_busy_watch_is_confirmed_without_being_reopened():
    clock = ManualClock(start=100.0)
    store = StoreStandIn()
    service = MemoryKeyValueService(store, clock)
    follow = follow_prefix(
        service, "pools/", rules=RULES, clock=clock, chance=random.Random(1)
    )

    async def write():
        for number in range(MAX_WRITES):
            clock.advance(0.001)
            await service.swap(f"pools/p{number}", b"{}", 0)
            await asyncio.sleep(0.002)

    writer = asyncio.create_task(write())
    async with aclosing(follow) as updates:
        async for update in updates:
            if update.confirmed_at > 100.0 or len(update.records) == MAX_WRITES:
                break
    writer.cancel()
    assert 0 < len(update.records) < MAX_WRITES
    assert update.confirmed_at > 100.0
    assert store.calls["watch"] == 1


class SlowWatchService:
    """Service whose watch takes 3 s for each batch, with or without changes."""

    watch_is_complete = True

    def __init__(self, clock, batches):
        self._clock = clock
        self._batches = batches

    async def read_prefix(self, prefix):
        return Snapshot((), 1)

    async def watch(self, prefix, from_revision):
        for batch in self._batches:
            self._clock.advance(3.0)
            yield batch
        raise PlatformUnavailableError("refused", step="watch")


@pytest.mark.parametrize(("changes", "confirmed_at"), [(True, 100.5), (False, 103.5)])
async def test_delayed_batch_with_changes_confirms_only_as_of_its_request(
    changes, confirmed_at
):
    # Other changes may have been made while the batch was in transit.
    clock = ManualClock(start=100.0)
    record = Record("pools/p1", b"{}", 2)
    change = (Change(record.key, record, 2),) if changes else ()
    service = SlowWatchService(clock, [WatchBatch(change, 2)])
    follow = follow_prefix(service, "pools/", clock=clock, chance=random.Random(1))
    async with aclosing(follow) as updates:
        await anext(updates)
        clock.advance(0.5)
        update = await anext(updates)
    assert update.confirmed_at == confirmed_at


@pytest.mark.parametrize("changes", [True, False])
async def test_a_batch_that_is_read_late_proves_the_records_as_of_its_poll(changes):
    # Guards against a process that was stopped for 3 s and takes an answer from before
    # that as proof that its copy is current.
    clock = ManualClock(start=100.0)
    record = Record("pools/p1", b"{}", 2)
    change = (Change(record.key, record, 2),) if changes else ()
    service = SlowWatchService(clock, [WatchBatch(change, 2)] * 2)
    follow = follow_prefix(service, "pools/", clock=clock, chance=random.Random(1))
    async with aclosing(follow) as updates:
        first = await anext(updates)
        clock.advance(0.5)
        second = await anext(updates)
        clock.advance(0.25)
        third = await anext(updates)
    proofs = (first.proved_at, second.proved_at, third.proved_at)
    assert proofs == (100.0, 100.5, 103.75)


async def test_a_check_proves_the_records_as_of_its_request():
    # Guards against proof by a batch of a watch that may have missed other changes.
    clock = ManualClock(start=100.0)
    service = MemoryKeyValueService(StoreStandIn(), clock)
    follow = follow_prefix(
        service, "pools/", rules=RULES, clock=clock, chance=random.Random(1)
    )
    async with aclosing(follow) as updates:
        await anext(updates)
        clock.advance(10.0)
        await service.swap("pools/p1", b"{}", 0)
        changed = await anext(updates)
        checked = await anext(updates)
    assert (changed.proved_at, checked.proved_at) == (100.0, 110.0)
