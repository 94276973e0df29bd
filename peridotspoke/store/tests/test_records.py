"""Noted changes under random losses, late effects and races; the lasting trail."""

import asyncio

import msgspec
import pytest
from hypothesis import (
    given,
    strategies as st,
)

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PlatformUnavailableError,
)
from peridotspoke.standins import MemoryKeyValueService, StoreStandIn
from peridotspoke.store import (
    AUDIT_PREFIX,
    ArchivedChanges,
    ChangeNote,
    KeyValueService,
    Lease,
    RateLimitedKeyValueService,
    Stored,
    decode_record,
    encode_stored,
    swap_stored,
)
from peridotspoke.tokenbucket import TokenBucket

KEY = "instances/i1"
MOST_WAITS = 1000
FATES = ("kept", "lost", "dropped", "late", "refused", "overtaken", "removed")


class LossyService(MemoryKeyValueService):
    """Loses answers and delays effects as the drawn fates say."""

    def __init__(self, store, fates):
        super().__init__(store, ManualClock())
        self._fates = list(fates)
        self.late = []

    async def swap(self, key, value, expected_revision, lease_id=0):
        await asyncio.sleep(0)
        fate = self._fates.pop() if self._fates else "kept"
        if fate == "refused":
            raise PlatformUnavailableError("refused")
        arguments = (key, value, expected_revision, lease_id)
        if fate == "late":
            self.late.append(arguments)
        if fate in ("late", "dropped"):
            raise AnswerLostError("no answer")
        result = await super().swap(*arguments)
        if fate == "overtaken":
            self._overtake()
        if fate == "removed":
            self._write(None)
        if fate in ("lost", "overtaken", "removed"):
            raise AnswerLostError("no answer")
        return result

    def _overtake(self):
        """Change the record so often that no earlier change is left in it."""
        notes = [make_note(f"o{self._store.revision}-{n}") for n in range(16)]
        self._write(encode_stored(Stored(0, tuple(notes))))

    def _write(self, value):
        current = self._store.records.get(KEY)
        self._store.swap(KEY, value, current.revision if current else 0, 0, 0.0)

    async def read(self, key):
        await asyncio.sleep(0)
        await self.deliver_one()
        if self._fates and self._fates[-1] == "dropped":
            self._fates.pop()
            raise AnswerLostError("no answer")
        return await super().read(key)

    async def deliver_one(self):
        if self.late:
            await super().swap(*self.late.pop(0))


async def change_record(service, operation):
    """Note one change and return what the writer is told."""
    try:
        record = await service.read(KEY)
        stored = decode_record(record, int) if record else Stored(0)
        changed = stored.replace(stored.body + 1, make_note(operation))
        revision = record.revision if record else 0
    except AnswerLostError:
        return "unread"
    try:
        await swap_stored(service, KEY, changed, revision)
    except OperationConflictError:
        return "conflict"
    except PlatformUnavailableError:
        return "unavailable"
    except AnswerLostError:
        return "unknown"
    return "won"


def make_note(operation):
    return ChangeNote(operation, "writer", "count", "test", 0.0)


async def run_writers(fates, counts, deletes):
    store = StoreStandIn()
    service = LossyService(store, fates)
    told = {}

    async def run_writer(name, count):
        for number in range(count):
            operation = f"{name}-{number}"
            told[operation] = await change_record(service, operation)
            if deletes and number % 7 == 6:
                current = store.records.get(KEY)
                store.swap(KEY, None, current.revision if current else 0, 0, 0.0)

    await asyncio.gather(*(run_writer(f"w{n}", c) for n, c in enumerate(counts)))
    while service.late:
        await service.deliver_one()
    return store, told


def list_effects(store):
    """Return the newest operation of each state that the record went through."""
    states = [item.record for item in store.history if item.key == KEY]
    return [decode_record(state, int).changes[0].operation for state in states if state]


@given(
    st.lists(st.sampled_from(FATES), max_size=60),
    st.lists(st.integers(1, 24), min_size=1, max_size=3),
    st.booleans(),
)
def test_a_change_takes_effect_at_most_once_and_is_told_truly(fates, counts, deletes):
    store, told = asyncio.run(run_writers(fates, counts, deletes))
    effects = list_effects(store)
    for operation, outcome in told.items():
        found = effects.count(operation)
        assert found <= 1
        if outcome == "won":
            assert found == 1, operation
        if outcome in ("conflict", "unavailable", "unread"):
            assert found == 0, (operation, outcome)


async def write_many(count):
    store = StoreStandIn()
    service = MemoryKeyValueService(store, ManualClock())
    for number in range(count):
        assert await change_record(service, f"op-{number}") == "won"
    return store


@pytest.mark.parametrize("count", [7, 16, 17, 100])
def test_no_change_is_lost_from_the_trail(count):
    store = asyncio.run(write_many(count))
    archived = [
        note.operation
        for key, record in store.records.items()
        if key.startswith(AUDIT_PREFIX)
        for note in msgspec.json.decode(record.value, type=ArchivedChanges).changes
    ]
    kept = [note.operation for note in decode_record(store.records[KEY], int).changes]
    assert sorted(archived + kept) == sorted(f"op-{n}" for n in range(count))
    assert len(kept) >= min(count, 8)
    assert store.calls["kv/txn"] - count <= count / 8


def test_a_change_says_what_was_before_and_after():
    store = asyncio.run(write_many(2))
    newest = decode_record(store.records[KEY], int).changes[0]
    assert (newest.before, newest.after) == ("1", "2")


class CountingService(MemoryKeyValueService):
    """Notes the order of the calls that arrive."""

    def __init__(self, store, clock):
        super().__init__(store, clock)
        self.order = []
        self.waits = 0

    async def swap(self, *arguments):
        self.order.append("swap")
        return await super().swap(*arguments)

    async def renew_lease(self, lease):
        self.order.append("lease")
        return await super().renew_lease(lease)


async def exhaust_share(limit):
    clock = ManualClock()
    inner = CountingService(StoreStandIn(), clock)

    async def sleep(seconds):
        inner.waits += 1
        assert inner.waits < MOST_WAITS, "a call waits for a token that never comes"
        await asyncio.sleep(0)

    writes, reads = (TokenBucket(10, 20) for _ in range(2))
    service = RateLimitedKeyValueService(inner, writes, reads, clock, limit, sleep)
    swaps = [asyncio.create_task(service.swap(f"jobs/{n}", b"", 0)) for n in range(100)]
    await asyncio.sleep(0)
    for _ in range(2):
        await service.renew_lease(Lease(1, 5.0, 0.0))
    clock.advance(limit + 0.5)
    results = await asyncio.gather(*swaps, return_exceptions=True)
    return inner.order, results


def test_a_lease_renewal_goes_before_swaps_that_exhaust_the_share():
    order, results = asyncio.run(exhaust_share(limit=1.0))
    assert order[:20] == ["swap"] * 18 + ["lease"] * 2
    refused = [item for item in results if isinstance(item, PlatformUnavailableError)]
    assert len(order) + len(refused) == 102
    assert len(order) <= 20 + 15


def test_the_budget_passes_every_call_of_the_interface_on():
    calls = KeyValueService.__abstractmethods__ | {"check_prefix"}
    assert calls <= vars(RateLimitedKeyValueService).keys()
