"""Tests of the entries of executors that a node keeps during outages of the store."""

import pytest

from peridotspoke.nodes.records import NodeRecord, decode_value
from peridotspoke.nodes.settings import DEFAULT_LINK, DEFAULT_PROCESSORS
from peridotspoke.nodes.tests.stores import make_parts
from peridotspoke.store import FollowedRecords, Record
from peridotspoke.workloads.executors import ExecutorCondition, ExecutorEntry
from peridotspoke.workloads.jobs import Need

KEY = "entries/i1"


def decode(record):
    condition = ExecutorCondition(record.value.decode())
    return ExecutorEntry("i1", "pool", "a:1", "z", condition, Need(), (), 1, 1)


def follow(parts, value):
    """Let the view read a change of the entry.

    `value` is the condition of the executor, or empty if the entry is removed.
    """
    records = {KEY: Record(KEY, value, 1)} if value else {}
    followed = FollowedRecords(records, frozenset({KEY}))
    parts.view.apply_entries(followed, decode, parts.find_entry_grace_end())
    parts.view.remove_expired(parts.clock.read_monotonic())


@pytest.fixture
def parts():
    made = make_parts()
    made.clock.advance(100.0)
    return made


def interrupt_store(parts):
    for _ in range(3):
        parts.record_store_call("watch", "503", served=False)
    parts.clock.advance(5.0)
    parts.record_store_call("watch", "200", served=True)


def test_an_entry_that_expired_in_an_outage_is_kept_until_it_is_renewed(parts):
    """Its executor is live and accepts work in the meantime."""
    follow(parts, b"ready")
    interrupt_store(parts)
    follow(parts, b"")
    assert "i1" in parts.view.entries
    parts.clock.advance(1.0)
    follow(parts, b"ready")
    parts.clock.advance(9.0)
    parts.view.remove_expired(parts.clock.read_monotonic())
    assert "i1" in parts.view.entries


def test_an_entry_that_is_not_renewed_after_an_outage_is_removed(parts):
    """Live executors renew their entries within the grace period."""
    follow(parts, b"ready")
    interrupt_store(parts)
    follow(parts, b"")
    parts.clock.advance(3.0)
    parts.view.remove_expired(parts.clock.read_monotonic())
    assert parts.view.entries == {}


@pytest.mark.parametrize(("value", "outage"), [(b"ready", False), (b"draining", True)])
def test_other_entries_that_go_missing_are_removed_at_once(parts, value, outage):
    """The entry was removed on purpose, or its executor was draining."""
    follow(parts, value)
    if outage:
        interrupt_store(parts)
    follow(parts, b"")
    assert parts.view.entries == {}


def test_a_node_record_without_the_size_of_the_instance_is_read():
    """Processes of an older version write such records during a rolling upgrade."""
    record = Record("work/node/n1", b'{"name":"n1","incarnation":"1"}', 1)
    node = decode_value(record, NodeRecord)
    assert (node.processors, node.link) == (DEFAULT_PROCESSORS, DEFAULT_LINK)
