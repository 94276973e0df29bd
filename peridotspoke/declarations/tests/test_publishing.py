"""Publishing and following under concurrent writes, lost answers and lost data."""

import asyncio
import random
from contextlib import suppress
from unittest.mock import patch

import pytest
from hypothesis import (
    given as hypothesis_given,
    settings,
    strategies as st,
)
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.clock import ManualClock
from peridotspoke.declarations import (
    ConfigurationFollower,
    ConfigurationHead,
    publish_declarations,
    publishing,
    read_head,
    read_texts,
)
from peridotspoke.declarations.configuration import HEAD_KEY, PARTS_PREFIX
from peridotspoke.exceptions import (
    AnswerLostError,
    OperationConflictError,
    PlatformUnavailableError,
)
from peridotspoke.peers.records import MemberRecord, key_member
from peridotspoke.standins import MemoryKeyValueService, StoreStandIn
from peridotspoke.store import Stored, decode_record, encode_stored

scenarios("publishing.feature")

FOLLOW_TIMEOUT = 20.0  # seconds
MEMBER = MemberRecord("entry-1", "entry", "vlbg-a", "127.0.0.1:1", 1, 3)


def make_texts(need):
    service = f'service = "lustenau"\n[need]\ninstances = {need}\n'
    return {"service/lustenau": service}


class FaultyService(MemoryKeyValueService):
    """Injects a fault into swaps of keys with a prefix, and outages of reads."""

    def __init__(self, store):
        super().__init__(store, ManualClock())
        self.fault = ""
        self.faulty_prefix = HEAD_KEY
        self.outage = 0

    async def swap(self, key, value, expected_revision, lease_id=0):
        fault = self.fault if key.startswith(self.faulty_prefix) else ""
        if fault == "refuses the swap":
            raise PlatformUnavailableError("refused")
        if fault == "loses the swap":
            raise AnswerLostError("no answer")
        result = await super().swap(key, value, expected_revision, lease_id)
        if fault:
            self.fault = ""
            self.outage = 3 if fault == "loses the answer and goes down" else 0
            raise AnswerLostError("no answer")
        return result

    async def read(self, key):
        if self.outage and key.startswith(self.faulty_prefix):
            self.outage -= 1
            raise PlatformUnavailableError("down")
        return await super().read(key)


class World:
    """A store, a key-value service over it and a process that follows it."""

    def __init__(self):
        self.store = StoreStandIn()
        self.service = FaultyService(self.store)
        self.random = random.Random(1)
        self.follower = None
        self.snapshots = {}

    async def publish(self, operator, need, reason="", expected_version=None):
        publication = await publish_declarations(
            self.service,
            make_texts(need),
            operator,
            reason,
            ManualClock(),
            self.random,
            expected_version,
            sleep=lambda seconds: asyncio.sleep(0),
        )
        record = self.store.records[HEAD_KEY]
        self.snapshots[publication.version] = record.value
        return publication.version

    async def write(self, key, value):
        """Write without the injected faults, as another client of the service would."""
        current = self.store.records.get(key)
        revision = current.revision if current else 0
        await MemoryKeyValueService.swap(self.service, key, value, revision)

    async def follow_until(self, version):
        async with asyncio.timeout(FOLLOW_TIMEOUT):
            while self.follower.version != version:
                await asyncio.sleep(0.01)


@pytest.fixture
def world(runner):
    """Yield a `World` and stop its follower at the end of the test."""
    made = World()
    yield made
    if made.follower is not None:
        made.task.cancel()
        with suppress(asyncio.CancelledError):
            runner.run(asyncio.wait_for(made.task, FOLLOW_TIMEOUT))


@given(parsers.parse("version {count:d} is published"))
def publish_versions(world, runner, count):
    for number in range(count):
        runner.run(world.publish("ana", number + 1))


@when(
    parsers.parse(
        "ana publishes a change based on version 3 after beto has published {times}"
    ),
    target_fixture="result",
)
def publish_after_beto(world, runner, times):
    for number in range({"once": 1, "thrice": 3}[times]):
        runner.run(world.publish("beto", 10 + number, f"b-{number}"))
    return runner.run(report_result(world.publish("ana", 20, expected_version=3)))


async def report_result(publishing):
    try:
        return str(await publishing)
    except OperationConflictError as error:
        return f"conflict {error}"
    except PlatformUnavailableError:
        return "unavailable"
    except AnswerLostError:
        return "unknown"


@then(parsers.parse("the result reported to ana is {expected}"))
def check_result(result, expected):
    assert result == expected or (result.startswith("conflict") and expected in result)


@then(parsers.parse("version {version:d} with beto's change is published"))
def check_change_of_beto(world, runner, version):
    stored, _ = runner.run(read_head(world.service))
    assert stored.body.version == version
    texts = runner.run(read_texts(world.service, stored.body))
    assert texts["service/lustenau"] == make_texts(7 + version - 1)["service/lustenau"]


@when(
    parsers.parse("the platform {fault} as ana publishes a change"),
    target_fixture="result",
)
def publish_under_fault(world, runner, fault):
    world.service.fault = fault
    if "part" in fault:
        world.service.faulty_prefix = PARTS_PREFIX
    return runner.run(report_result(world.publish("ana", 20)))


@then(parsers.parse("version {version:d} is published"))
def check_version(world, runner, version):
    world.service.outage = 0
    stored, _ = runner.run(read_head(world.service))
    assert stored.body.version == version
    assert sum("publish" in note.action for note in stored.changes) == version


@given("a live process has version 3 in force")
def start_process(world, runner):
    member = encode_stored(Stored(MEMBER))
    runner.run(world.write(key_member("entry-1"), member))
    start_follower(world, runner)
    runner.run(world.follow_until(3))


def start_follower(world, runner):
    async def start():
        world.follower = ConfigurationFollower(world.service)
        world.task = asyncio.create_task(world.follower.run())

    runner.run(start())


@when(
    parsers.parse("the key-value service {event} and ana publishes a change"),
    target_fixture="result",
)
def publish_after_loss(world, runner, event):
    lose_data(world, runner, event)
    return runner.run(report_result(world.publish("ana", 20)))


@when(parsers.parse("the key-value service {event}"))
def lose_data(world, runner, event):
    if event == "restores version 1":
        runner.run(world.write(HEAD_KEY, world.snapshots[1]))
    elif event == "loses the head":
        runner.run(world.write(HEAD_KEY, None))
    else:
        for key in [key for key in world.store.records if key.startswith("config")]:
            runner.run(world.write(key, None))


@then(parsers.parse("the process puts version {version:d} into force"))
def check_in_force(world, runner, version):
    runner.run(world.follow_until(version))


@then(parsers.parse("the process keeps version {version:d} in force"))
def check_kept(world, runner, version):
    for _ in range(20):
        runner.run(asyncio.sleep(0.01))
        assert world.follower.version == version


@given(
    "a process for which the platform is down between reading the head and its parts"
)
def start_in_outage(world, runner):
    world.service.faulty_prefix = PARTS_PREFIX
    world.service.outage = 1
    start_follower(world, runner)


@when(parsers.parse("{count:d} further versions are published"))
def publish_further(world, runner, count):
    for number in range(count):
        runner.run(world.publish("ana", 100 + number))


@then(
    parsers.parse("at most {most:d} parts are stored, among them each part of the head")
)
def check_parts(world, runner, most):
    stored_parts = {key for key in world.store.records if key.startswith(PARTS_PREFIX)}
    stored, _ = runner.run(read_head(world.service))
    assert len(stored_parts) <= most
    assert {
        PARTS_PREFIX + digest for digest in stored.body.parts.values()
    } <= stored_parts


class InterleavedService(FaultyService):
    """Lets other tasks run before a call takes effect.

    Parameters
    ----------
    store : StoreStandIn
    pauses : list of int
        Event loop turns to wait before each call, taken from the end; then 1.
    """

    def __init__(self, store, pauses):
        super().__init__(store)
        self._pauses = list(pauses)

    async def swap(self, *arguments):
        await self._pause()
        return await super().swap(*arguments)

    async def read(self, key):
        await self._pause()
        return await super().read(key)

    async def read_prefix(self, prefix):
        await self._pause()
        return await super().read_prefix(prefix)

    async def _pause(self):
        for _ in range(self._pauses.pop() if self._pauses else 1):
            await asyncio.sleep(0)


async def race_publishers(pauses, needs):
    world = World()
    world.service = InterleavedService(world.store, pauses)

    async def publish_all(operator, wanted):
        for need in wanted:
            await report_result(world.publish(operator, need))

    await asyncio.gather(*(publish_all(f"o{n}", item) for n, item in enumerate(needs)))
    return world.store.history


@settings(max_examples=200)
@hypothesis_given(
    st.lists(st.sampled_from([0, 1, 6]), min_size=20, max_size=120),
    st.lists(
        st.lists(st.integers(1, 3), min_size=4, max_size=10), min_size=2, max_size=2
    ),
)
def test_parts_of_each_head_are_stored_under_concurrent_publishers(pauses, needs):
    with patch.object(publishing, "PRUNE_INTERVAL", 1):
        history = asyncio.run(race_publishers(pauses, needs))
    kept, versions = {}, []
    for change in history:
        kept[change.key] = change.record
        if kept.get(HEAD_KEY) is None:
            continue
        head = decode_record(kept[HEAD_KEY], ConfigurationHead).body
        versions.append(head.version)
        for digest in head.parts.values():
            assert kept.get(PARTS_PREFIX + digest) is not None
    assert versions == sorted(versions)
