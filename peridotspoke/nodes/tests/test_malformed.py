"""Malformed records and unexpected errors end neither a node nor its long tasks."""

import asyncio

import msgspec
import pytest

from peridotspoke.exceptions import RecordError
from peridotspoke.nodes.ownership import Ownership
from peridotspoke.nodes.records import NodeRecord, decode_value
from peridotspoke.nodes.tasksets import keep_running
from peridotspoke.nodes.tests.stores import InMemoryStore, make_parts
from peridotspoke.platform.keyvalue import _Items
from peridotspoke.store import Record
from peridotspoke.workloads.progress import (
    ProgressSummary,
    TaskStatus,
    decode_progress,
    encode_progress,
)
from peridotspoke.workloads.tests.ledgers import add_job, make_ledger, plan

ROW_OF_SIX = b"\x96"  # MessagePack's mark of an array: a summary and one field more
ROW_OF_ELEVEN = 0x9B  # MessagePack: an array of eleven items


async def test_a_task_without_which_the_node_cannot_go_on_starts_again(monkeypatch):
    """One unexpected error ended the task for good; the process went on without it."""
    monkeypatch.setattr("peridotspoke.nodes.tasksets.RESTART_DELAY", 0.0)
    starts = []
    healthy = asyncio.Event()

    async def follow():
        starts.append(True)
        if len(starts) < 3:
            raise KeyError("a record of an unexpected form")
        healthy.set()
        await asyncio.Event().wait()

    task = asyncio.ensure_future(keep_running("follow", follow))
    async with asyncio.timeout(20):
        await healthy.wait()
    task.cancel()
    assert len(starts) == 3


async def test_an_ownership_whose_renewal_fails_says_so():
    """Otherwise the node would neither renew its lease nor claim units, silently."""
    store = InMemoryStore()
    parts = make_parts("n1", store)

    async def grant_lease(ttl):
        raise KeyError("a response of an unexpected form")

    store.grant_lease = grant_lease
    ownership = Ownership(
        parts.settings, store, parts.view, parts.clock, list, print, print
    )
    with pytest.raises(KeyError):
        async with asyncio.timeout(20):
            await ownership.run()


async def test_a_lease_granted_while_the_process_stops_is_revoked():
    """Its units would stay without an owner until it expires."""
    store = InMemoryStore()
    parts = make_parts("n1", store)
    ownership = Ownership(
        parts.settings, store, parts.view, parts.clock, list, print, print
    )
    grant = store.grant_lease

    async def grant_and_stop(ttl):
        lease = await grant(ttl)
        await ownership.release_all()
        return lease

    store.grant_lease = grant_and_stop
    await ownership._acquire_lease()
    assert not ownership.may_order()
    assert not store.leases


def encode_summary(outcome="", tasks=b""):
    return msgspec.msgpack.encode(ProgressSummary(outcome, False, 0.0, 0, tasks))


def test_unknown_outcomes_and_states_of_tasks_are_unreadable_records():
    """They raised another error, which ended the supervision of the whole pool."""
    ledger = make_ledger("e1")
    progress = add_job(ledger)
    with pytest.raises(RecordError):
        decode_progress(progress.job, Record("k", encode_summary("exploded"), 1))
    plan(ledger, 0.0)
    stored = encode_progress(progress)
    first_task = bytes([ROW_OF_ELEVEN, 0, 0, 0, TaskStatus.ASSIGNED])
    broken = stored.replace(first_task, bytes([ROW_OF_ELEVEN, 0, 0, 0, 9]))
    assert broken != stored
    with pytest.raises(RecordError):
        decode_progress(progress.job, Record("k", broken, 1))


def test_deeply_nested_records_are_unreadable_records():
    # Guards against followers and supervisors that end by another error (review/3).
    job = add_job(make_ledger()).job
    fields = encode_summary()[1:]
    nested = b"\x91" * 2000  # MessagePack: each an array of one item
    with pytest.raises(RecordError):
        decode_progress(job, Record("k", ROW_OF_SIX + fields + nested, 1))
    with pytest.raises(RecordError):
        decode_value(Record("k", b'{"x":' + b"[" * 2000, 1), NodeRecord)


def test_an_item_that_is_not_base64_does_not_hide_the_others():
    items = msgspec.json.decode(
        b'{"items":[{"key":"a","value":"eAA","revision":1},'
        b'{"key":"b","value":"eA==","revision":2}]}',
        type=_Items,
    ).items
    assert [item.decode().value for item in items] == [b"", b"x"]
