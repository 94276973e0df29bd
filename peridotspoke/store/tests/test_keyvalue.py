"""The adapter of the key-value service against the stand-in, under faults."""

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
LIMIT = 0.2  # seconds, of one call
PATIENCE = 20.0  # seconds, until a test gives up
RULES = FollowingRules(check_interval=0.05, backoff=BackoffRules(0.01, 0.05))
FAULTS = {
    "down": PlatformFaults(down=True),
    "slow": PlatformFaults(delay=2 * LIMIT),
    "losing an answer": PlatformFaults(lose_answers=1, lose_after="kv/txn"),
    "losing two answers": PlatformFaults(lose_answers=2, lose_after="kv/txn"),
    "late with an effect": PlatformFaults(lose_answers=1, late_effect=LIMIT),
    "cut off": PlatformFaults(cut_zones=(ZONE,)),
    "babbling": PlatformFaults(babble=True),
}


class World:
    """The stand-in, the adapter and what the steps found."""

    def __init__(self):
        self.value = b"{}"
        self.lease_id = 0
        self.seen = {}

    async def start(self, stack):
        self.platform = PlatformStandIn(SystemClock())
        self.server, address = await start_server(self.platform.make_application())
        stack.push_async_callback(self.server.cleanup)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(headers={"Peridotspoke-Zone": ZONE})
        )
        self.service = GatewayKeyValueService(
            f"http://{address}", LIMIT, SystemClock(), session
        )

    async def follow(self):
        async for followed in follow_prefix(
            self.service, "pools/", rules=RULES, clock=SystemClock()
        ):
            self.seen = dict(followed.records)


@pytest.fixture
def world(runner):
    """Yield the world, whose sockets close with the test."""
    stack = AsyncExitStack()
    made = World()
    runner.run(made.start(stack))
    yield made
    runner.run(stack.aclose())


@given("the platform's stand-in and its adapter")
def use_world(world, runner):
    runner.run(world.platform.write_record("pools/common", b"{}"))


@given(parsers.parse("a platform that is {fault}"))
def show_fault(world, runner, fault):
    world.platform.faults = FAULTS.get(fault, PlatformFaults())
    if fault == "stopped":
        runner.run(world.server.cleanup())
    if fault == "full":
        world.value = bytes(MAX_VALUE + 1)
    if fault == "without the lease":
        lease = runner.run(world.service.grant_lease(1))
        runner.run(world.service.revoke_lease(Lease(lease.lease_id, 1, 0.0)))
        world.lease_id = lease.lease_id
    if fault == "written by another":
        runner.run(world.platform.write_record(KEY, b"{}"))


@when("a writer creates a record once", target_fixture="told")
def create_record(world, runner):
    swap = world.service.swap(KEY, world.value, 0, world.lease_id)
    return runner.run(_describe_outcome(swap))


@when("a writer makes a noted change", target_fixture="told")
def note_change(world, runner):
    note = ChangeNote("op", "ana", "adopt", "test", 0.0)
    swap = swap_stored(world.service, KEY, Stored({}, (note,)), 0)
    return runner.run(_describe_outcome(swap))


async def _describe_outcome(swap):
    errors = {
        AnswerLostError: "unknown",
        PlatformUnavailableError: "unavailable",
        OperationConflictError: "conflict",
        RecordError: "refused",
    }
    try:
        result = await swap
    except tuple(errors) as error:
        return errors[type(error)]
    return "won" if getattr(result, "won", True) else "conflict"


@then(parsers.parse("the writer is told {expected}"))
def check_told(told, expected):
    assert told == expected


@then(parsers.parse("the record is {stored}"))
def check_stored(world, runner, stored):
    if stored == "present":
        runner.run(_wait_until(lambda: KEY in world.platform.store.records))
    else:
        runner.run(asyncio.sleep(2 * LIMIT))
        assert KEY not in world.platform.store.records


async def _wait_until(condition):
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.01)


@given("a process that follows a prefix")
def start_following(world, runner):
    async def start():
        world.task = asyncio.create_task(world.follow())
        await _wait_until(lambda: world.platform.store.calls["watch"])

    runner.run(start())
    yield
    world.task.cancel()
    with suppress(asyncio.CancelledError):
        runner.run(_finish(world.task))


async def _finish(task):
    await task


@when(
    parsers.parse("the platform's watches are {fault} and a record is {change}"),
)
def disturb_watches(world, runner, fault, change):
    key = KEY if change == "written" else "pools/common"
    value = b"{}" if change == "written" else None

    async def disturb():
        if fault == "muted":
            world.platform.faults = PlatformFaults(mute_watches=True)
        elif fault != "well":
            world.platform.faults = PlatformFaults(down=True)
            await asyncio.sleep(LIMIT)
        await world.platform.write_record(key, value)
        if fault == "dropped and compacted":
            await world.platform.write_record("jobs/other", b"{}")
            world.platform.store.compact()
        if fault == "down for a while":
            await asyncio.sleep(LIMIT)
        if fault != "muted":
            world.platform.faults = PlatformFaults()

    runner.run(disturb())


@then(parsers.parse("the process sees the record {change}"))
def check_seen(world, runner, change):
    keys = {"pools/common", KEY} if change == "written" else set()
    runner.run(_wait_until(lambda: world.seen.keys() == keys))


@when(parsers.parse("{count:d} records are written"))
def write_records(world, runner, count):
    for number in range(count):
        runner.run(world.platform.write_record(f"pools/p{number}", b"{}"))


@then("the process sees all of them")
def check_all_seen(world, runner):
    runner.run(_wait_until(lambda: len(world.seen) == 21))


@then(parsers.parse("the stand-in has counted {count:d} watch"))
def check_watch_calls(world, count):
    assert world.platform.store.calls["watch"] == count


@given("a record whose value is not of the expected form", target_fixture="record")
def make_bad_record():
    return Record(KEY, b'{"body": 3, "changes": 4}', 7)


@then("its error names the key")
def check_record_error(record):
    with pytest.raises(RecordError, match=f"peer={KEY}"):
        decode_record(record, dict)
