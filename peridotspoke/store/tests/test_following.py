"""Dates of followed records: only a reading or a check proves them complete."""

import asyncio
import random
from contextlib import aclosing

from peridotspoke.clock import ManualClock
from peridotspoke.standins import MemoryKeyValueService, StoreStandIn
from peridotspoke.store import FollowingRules, follow_prefix

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
