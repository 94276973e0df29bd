"""Tests of what a node believes of executors through outages of the store."""

import pytest

from peridotspoke.nodes.settings import LINK, PROCESSORS
from peridotspoke.nodes.tests.stores import make_parts
from peridotspoke.nodes.view import NodeRecord, decode_value
from peridotspoke.store import FollowedRecords, Record
from peridotspoke.workloads.executors import Condition, ExecutorEntry
from peridotspoke.workloads.jobs import Need

KEY = "entries/i1"


def decode(record):
    condition = Condition(record.value.decode())
    return ExecutorEntry("i1", "pool", "a:1", "z", condition, Need(), (), 1, 1)


def follow(parts, value):
    """Let the view see the entry with a condition, or without the entry."""
    records = {KEY: Record(KEY, value, 1)} if value else {}
    followed = FollowedRecords(records, frozenset({KEY}))
    parts.view.note_entries(followed, decode, parts.find_lapse_end())
    parts.view.drop_lapsed(parts.clock.read_monotonic())


@pytest.fixture
def parts():
    made = make_parts()
    made.clock.advance(100.0)
    return made


def lose_store(parts):
    for _ in range(3):
        parts.note_store_call("watch", "503", served=False)
    parts.clock.advance(5.0)
    parts.note_store_call("watch", "200", served=True)


def test_an_entry_that_lapsed_in_an_outage_is_kept_until_it_is_back(parts):
    """Its executor lives and goes on taking work meanwhile."""
    follow(parts, b"ready")
    lose_store(parts)
    follow(parts, b"")
    assert "i1" in parts.view.entries
    parts.clock.advance(1.0)
    follow(parts, b"ready")
    parts.clock.advance(9.0)
    parts.view.drop_lapsed(parts.clock.read_monotonic())
    assert "i1" in parts.view.entries


def test_an_entry_that_does_not_come_back_after_an_outage_is_dropped(parts):
    """What is still missing then is gone."""
    follow(parts, b"ready")
    lose_store(parts)
    follow(parts, b"")
    parts.clock.advance(3.0)
    parts.view.drop_lapsed(parts.clock.read_monotonic())
    assert parts.view.entries == {}


@pytest.mark.parametrize(("value", "outage"), [(b"ready", False), (b"draining", True)])
def test_other_entries_that_vanish_are_dropped_at_once(parts, value, outage):
    """They were removed on purpose, or their executor was leaving."""
    follow(parts, value)
    if outage:
        lose_store(parts)
    follow(parts, b"")
    assert parts.view.entries == {}


def test_a_record_of_a_node_that_does_not_tell_its_size_is_read():
    """Older processes write it while a new version is rolled out."""
    record = Record("work/node/n1", b'{"name":"n1","incarnation":"1"}', 1)
    node = decode_value(record, NodeRecord)
    assert (node.processors, node.link) == (PROCESSORS, LINK)
