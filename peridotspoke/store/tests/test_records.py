"""Tests of audited swaps under faults, of the audit trail and of the rate limit.

The faults are lost requests and answers, delayed effects and concurrent writers, in
random order.
"""

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
MAX_WAITS = 1000
CALL_RESULTS = (
    "answered",
    "answer lost",
    "request lost",
    "delayed",
    "refused",
    "overwritten",
    "deleted",
)


class FaultyService(MemoryKeyValueService):
    """Loses requests and answers and delays effects, as `call_results` tells."""

    def __init__(self, store, call_results):
        super().__init__(store, ManualClock())
        self._call_results = list(call_results)
        self.delayed = []

    async def swap(self, key, value, expected_revision, lease_id=0):
        await asyncio.sleep(0)
        call_result = self._call_results.pop() if self._call_results else "answered"
        if call_result == "refused":
            raise PlatformUnavailableError("refused")
        arguments = (key, value, expected_revision, lease_id)
        if call_result == "delayed":
            self.delayed.append(arguments)
        if call_result in ("delayed", "request lost"):
            raise AnswerLostError("no answer")
        result = await super().swap(*arguments)
        if call_result == "overwritten":
            self._overwrite()
        if call_result == "deleted":
            self._write(None)
        if call_result in ("answer lost", "overwritten", "deleted"):
            raise AnswerLostError("no answer")
        return result

    def _overwrite(self):
        """Replace all changes that the record lists by those of other operations."""
        notes = [make_note(f"o{self._store.revision}-{n}") for n in range(16)]
        self._write(encode_stored(Stored(0, tuple(notes))))

    def _write(self, value):
        current = self._store.records.get(KEY)
        self._store.swap(KEY, value, current.revision if current else 0, 0, 0.0)

    async def read(self, key):
        await asyncio.sleep(0)
        await self.apply_delayed_swap()
        if self._call_results and self._call_results[-1] == "request lost":
            self._call_results.pop()
            raise AnswerLostError("no answer")
        return await super().read(key)

    async def apply_delayed_swap(self):
        if self.delayed:
            await super().swap(*self.delayed.pop(0))


async def change_record(service, operation):
    """Increment the record's body and return the reported outcome."""
    try:
        record = await service.read(KEY)
        stored = decode_record(record, int) if record else Stored(0)
        changed = stored.replace(stored.body + 1, make_note(operation))
        revision = record.revision if record else 0
    except AnswerLostError:
        return "read failed"
    try:
        await swap_stored(service, KEY, changed, revision)
    except OperationConflictError:
        return "conflict"
    except PlatformUnavailableError:
        return "unavailable"
    except AnswerLostError:
        return "unknown"
    return "succeeded"


def make_note(operation):
    return ChangeNote(operation, "writer", "count", "test", 0.0)


async def run_writers(call_results, counts, deletes):
    store = StoreStandIn()
    service = FaultyService(store, call_results)
    outcomes = {}

    async def run_writer(name, count):
        for number in range(count):
            operation = f"{name}-{number}"
            outcomes[operation] = await change_record(service, operation)
            if deletes and number % 7 == 6:
                current = store.records.get(KEY)
                store.swap(KEY, None, current.revision if current else 0, 0, 0.0)

    await asyncio.gather(*(run_writer(f"w{n}", c) for n, c in enumerate(counts)))
    while service.delayed:
        await service.apply_delayed_swap()
    return store, outcomes


def list_applied_operations(store):
    """Return the newest operation of each state in the record's history."""
    states = [item.record for item in store.history if item.key == KEY]
    return [decode_record(state, int).changes[0].operation for state in states if state]


@given(
    st.lists(st.sampled_from(CALL_RESULTS), max_size=60),
    st.lists(st.integers(1, 24), min_size=1, max_size=3),
    st.booleans(),
)
def test_swap_takes_effect_at_most_once_and_reports_a_true_outcome(
    call_results, counts, deletes
):
    store, outcomes = asyncio.run(run_writers(call_results, counts, deletes))
    applied = list_applied_operations(store)
    for operation, outcome in outcomes.items():
        times_applied = applied.count(operation)
        assert times_applied <= 1
        if outcome == "succeeded":
            assert times_applied == 1, operation
        if outcome in ("conflict", "unavailable", "read failed"):
            assert times_applied == 0, (operation, outcome)


async def write_changes(count):
    store = StoreStandIn()
    service = MemoryKeyValueService(store, ManualClock())
    for number in range(count):
        assert await change_record(service, f"op-{number}") == "succeeded"
    return store


@pytest.mark.parametrize("count", [7, 16, 17, 100])
def test_audit_trail_keeps_every_change(count):
    store = asyncio.run(write_changes(count))
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


def test_change_note_describes_the_values_before_and_after():
    store = asyncio.run(write_changes(2))
    newest = decode_record(store.records[KEY], int).changes[0]
    assert (newest.before, newest.after) == ("1", "2")


class RecordingService(MemoryKeyValueService):
    """Records the order of the calls that it receives."""

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


async def exhaust_rate_limit(limit):
    clock = ManualClock()
    inner = RecordingService(StoreStandIn(), clock)

    async def sleep(seconds):
        inner.waits += 1
        assert inner.waits < MAX_WAITS, "a call waits for a token that is never issued"
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


def test_lease_renewal_precedes_swaps_that_exhaust_the_rate_limit():
    order, results = asyncio.run(exhaust_rate_limit(limit=1.0))
    assert order[:20] == ["swap"] * 18 + ["lease"] * 2
    refused = [item for item in results if isinstance(item, PlatformUnavailableError)]
    assert len(order) + len(refused) == 102
    assert len(order) <= 20 + 15


def test_rate_limit_covers_every_method_of_the_interface():
    methods = KeyValueService.__abstractmethods__ | {"check_prefix"}
    assert methods <= vars(RateLimitedKeyValueService).keys()
