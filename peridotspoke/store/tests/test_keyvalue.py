"""Tests of the key-value client against the platform's stand-in, under faults."""

import asyncio
from contextlib import AsyncExitStack, suppress

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.backoff import BackoffRules
from peridotspoke.clock import SystemClock
from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PlatformUnavailableError,
    RecordError,
)
from peridotspoke.standins import PlatformFaults, PlatformStandIn, start_server
from peridotspoke.store import (
    MAX_VALUE,
    ChangeNote,
    FollowingRules,
    GatewayKeyValueService,
    Lease,
    Record,
    Stored,
    decode_record,
    follow_prefix,
    swap_stored,
)

scenarios("keyvalue.feature")

ZONE = "vlbg-a"
KEY = "pools/lustenau"
CALL_TIMEOUT = 0.2  # seconds
WAIT_TIMEOUT = 20.0  # seconds until a test fails
RULES = FollowingRules(check_interval=0.05, backoff=BackoffRules(0.01, 0.05))
FAULTS = {
    "platform down": PlatformFaults(down=True),
    "slow answers": PlatformFaults(delay=2 * CALL_TIMEOUT),
    "one answer lost": PlatformFaults(lose_answers=1, lose_after="kv/txn"),
    "two answers lost": PlatformFaults(lose_answers=2, lose_after="kv/txn"),
    "delayed effect": PlatformFaults(lose_answers=1, late_effect=CALL_TIMEOUT),
    "zone cut off": PlatformFaults(cut_zones=(ZONE,)),
    "malformed answers": PlatformFaults(babble=True),
}


class Harness:
    """The platform's stand-in, its client and the records that it followed."""

    def __init__(self):
        self.value = b"{}"
        self.lease_id = 0
        self.followed_records = {}

    async def start(self, stack):
        self.platform = PlatformStandIn(SystemClock())
        self.server, address = await start_server(self.platform.make_application())
        stack.push_async_callback(self.server.cleanup)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(headers={"Peridotspoke-Zone": ZONE})
        )
        self.service = GatewayKeyValueService(
            f"http://{address}", CALL_TIMEOUT, SystemClock(), session
        )

    async def follow(self):
        async for update in follow_prefix(
            self.service, "pools/", rules=RULES, clock=SystemClock()
        ):
            self.followed_records = dict(update.records)


@pytest.fixture
def harness(runner):
    """Yield a harness; close its server and session after the test."""
    stack = AsyncExitStack()
    created = Harness()
    runner.run(created.start(stack))
    yield created
    runner.run(stack.aclose())


@given("the platform's stand-in and its client")
def write_first_record(harness, runner):
    runner.run(harness.platform.write_record("pools/common", b"{}"))


@given(parsers.parse('the fault "{fault}"'))
def inject_fault(harness, runner, fault):
    harness.platform.faults = FAULTS.get(fault, PlatformFaults())
    if fault == "server stopped":
        runner.run(harness.server.cleanup())
    if fault == "oversized value":
        harness.value = bytes(MAX_VALUE + 1)
    if fault == "revoked lease":
        lease = runner.run(harness.service.grant_lease(1))
        runner.run(harness.service.revoke_lease(Lease(lease.lease_id, 1, 0.0)))
        harness.lease_id = lease.lease_id
    if fault == "conflicting write":
        runner.run(harness.platform.write_record(KEY, b"{}"))


@when("a record is created by a single swap", target_fixture="outcome")
def create_record(harness, runner):
    swap = harness.service.swap(KEY, harness.value, 0, harness.lease_id)
    return runner.run(_describe_outcome(swap))


@when("a record is created by a swap with a change note", target_fixture="outcome")
def create_noted_record(harness, runner):
    note = ChangeNote("op", "ana", "adopt", "test", 0.0)
    swap = swap_stored(harness.service, KEY, Stored({}, (note,)), 0)
    return runner.run(_describe_outcome(swap))


async def _describe_outcome(swap):
    errors = {
        AnswerLostError: "unknown",
        PlatformUnavailableError: "unavailable",
        OperationConflictError: "conflict",
        RecordError: "rejected",
    }
    try:
        result = await swap
    except tuple(errors) as error:
        return errors[type(error)]
    return "succeeded" if getattr(result, "succeeded", True) else "conflict"


@then(parsers.parse("the reported outcome is {expected}"))
def check_outcome(outcome, expected):
    assert outcome == expected


@then(parsers.parse("the record is {stored}"))
def check_stored(harness, runner, stored):
    if stored == "present":
        runner.run(_wait_until(lambda: KEY in harness.platform.store.records))
    else:
        runner.run(asyncio.sleep(2 * CALL_TIMEOUT))
        assert KEY not in harness.platform.store.records


async def _wait_until(condition):
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.01)


@given("a process that follows a prefix")
def start_following(harness, runner):
    async def start():
        harness.task = asyncio.create_task(harness.follow())
        await _wait_until(lambda: harness.platform.store.calls["watch"])

    runner.run(start())
    yield
    harness.task.cancel()
    with suppress(asyncio.CancelledError):
        runner.run(_finish(harness.task))


async def _finish(task):
    await task


@when(
    parsers.parse("the platform's watches are {fault} and a record is {change}"),
)
def disturb_watches(harness, runner, fault, change):
    key = KEY if change == "written" else "pools/common"
    value = b"{}" if change == "written" else None

    async def disturb():
        if fault == "silent":
            harness.platform.faults = PlatformFaults(mute_watches=True)
        elif fault != "healthy":
            harness.platform.faults = PlatformFaults(down=True)
            await asyncio.sleep(CALL_TIMEOUT)
        await harness.platform.write_record(key, value)
        if fault == "dropped and compacted":
            await harness.platform.write_record("jobs/other", b"{}")
            harness.platform.store.compact()
        if fault == "down for a while":
            await asyncio.sleep(CALL_TIMEOUT)
        if fault != "silent":
            harness.platform.faults = PlatformFaults()

    runner.run(disturb())


@then(parsers.parse("the process sees the record {change}"))
def check_followed_change(harness, runner, change):
    keys = {"pools/common", KEY} if change == "written" else set()
    runner.run(_wait_until(lambda: harness.followed_records.keys() == keys))


@when(parsers.parse("{count:d} records are written"))
def write_records(harness, runner, count):
    for number in range(count):
        runner.run(harness.platform.write_record(f"pools/p{number}", b"{}"))


@then("the process sees all of them")
def check_all_followed(harness, runner):
    runner.run(_wait_until(lambda: len(harness.followed_records) == 21))


@then(parsers.parse("the stand-in has counted {count:d} watch"))
def check_watch_calls(harness, count):
    assert harness.platform.store.calls["watch"] == count


@given("a record whose value has an unexpected form", target_fixture="record")
def make_malformed_record():
    return Record(KEY, b'{"body": 3, "changes": 4}', 7)


@then("its error names the key")
def check_decoding_error(record):
    with pytest.raises(RecordError, match=f"peer={KEY}"):
        decode_record(record, dict)
