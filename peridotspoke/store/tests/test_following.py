"""Dates of followed records: only a reading or a check proves them complete."""

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

MOST_CHANGES = 500
RULES = FollowingRules(check_interval=0.02)


async def test_a_change_does_not_date_the_records_and_a_check_does():
    clock = ManualClock(start=100.0)
    service = MemoryKeyValueService(StoreStandIn(), clock)
    follow = follow_prefix(
        service, "pools/", rules=RULES, clock=clock, chance=random.Random(1)
    )
    async with aclosing(follow) as steps:
        first = await anext(steps)
        clock.advance(10.0)
        await service.swap("pools/p1", b"{}", 0)
        changed = await anext(steps)
        checked = await anext(steps)
    assert (first.confirmed_at, changed.confirmed_at) == (100.0, 100.0)
    assert changed.changed == {"pools/p1"}
    assert (checked.confirmed_at, checked.changed) == (110.0, frozenset())


async def test_a_busy_watch_is_confirmed_without_a_second_reading():
    clock = ManualClock(start=100.0)
    store = StoreStandIn()
    service = MemoryKeyValueService(store, clock)
    follow = follow_prefix(
        service, "pools/", rules=RULES, clock=clock, chance=random.Random(1)
    )

    async def write():
        for number in range(MOST_CHANGES):
            clock.advance(0.001)
            await service.swap(f"pools/p{number}", b"{}", 0)
            await asyncio.sleep(0.002)

    writer = asyncio.create_task(write())
    async with aclosing(follow) as steps:
        async for step in steps:
            if step.confirmed_at > 100.0 or len(step.records) == MOST_CHANGES:
                break
    writer.cancel()
    assert 0 < len(step.records) < MOST_CHANGES
    assert step.confirmed_at > 100.0
    assert store.calls["watch"] == 1


class SlowWatch:
    """Each of its answers, with or without a change, takes 3 s of the clock."""

    watch_confirms = True

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
async def test_changes_on_a_slow_link_do_not_date_the_records_by_their_arrival(
    changes, confirmed_at
):
    # What else had changed while they were on their way is not known.
    clock = ManualClock(start=100.0)
    record = Record("pools/p1", b"{}", 2)
    change = (Change(record.key, record, 2),) if changes else ()
    service = SlowWatch(clock, [WatchBatch(change, 2)])
    follow = follow_prefix(service, "pools/", clock=clock, chance=random.Random(1))
    async with aclosing(follow) as steps:
        await anext(steps)
        clock.advance(0.5)
        followed = await anext(steps)
    assert followed.confirmed_at == confirmed_at
