"""Tests of what a node does as the store serves again after an outage."""

import asyncio

import pytest

from peridotspoke.backoff import BackoffRules
from peridotspoke.exceptions import AnswerLostError
from peridotspoke.nodes import committing, node
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import key_owner
from peridotspoke.nodes.node import Node
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.parts import RETURN_SPAN, compute_pause
from peridotspoke.nodes.supervising import PoolSupervisor
from peridotspoke.nodes.tests.stores import JOB, InMemoryStore, make_parts
from peridotspoke.store import FollowingRules, Put, Snapshot, Transaction


def lose_store(parts):
    for _ in range(3):
        parts.clock.advance(0.8)
        parts.record_store_call("commit", "AnswerLostError", served=False, seconds=0.8)
    assert not parts.has_store()
    parts.clock.advance(5.0)


def regain_store(parts):
    parts.record_store_call("watch", "200", served=True, seconds=0.01)
    assert parts.has_store()


def test_calls_from_before_the_return_make_the_store_lost_again():
    """They are ended by the return, so that their failures say nothing about it."""
    parts = make_parts()
    lose_store(parts)
    ended = []
    parts.cancel_stale_calls = ended.append
    regain_store(parts)
    for _ in range(3):
        parts.record_store_call("renew", "AnswerLostError", served=False, seconds=0.6)
        assert parts.has_store()
    regain_store(parts)
    assert ended == [0.01]


def test_calls_sent_after_the_return_count_as_failures():
    parts = make_parts()
    lose_store(parts)
    regain_store(parts)
    lose_store(parts)


class LostReads(InMemoryStore):
    """A store whose reads of prefixes are lost while `is_away`."""

    is_away = True
    watch_is_complete = True

    async def read_prefix(self, prefix):
        if self.is_away:
            raise AnswerLostError("lost", step="read", peer="store")
        return Snapshot((), 9)


async def follow_once(parts):
    async for followed in Node(parts, None)._follow("work/"):
        return followed.revision


async def write_progress(parts):
    put = Put(key_owner("pool"), b"me")
    result = await parts.store.commit(Transaction((), (put,)))
    holding = Holding("pool", result.revision, 0.0)
    supervisor = PoolSupervisor(parts, holding, PoolJobs("pool"))
    parts.store.faults = ["lost"]
    await supervisor._writer.write({JOB: b"one"})
    return 9


@pytest.mark.parametrize("is_back", [False, True], ids=["in the pause", "before it"])
@pytest.mark.parametrize("repeat", [follow_once, write_progress])
async def test_a_backoff_from_the_outage_delays_the_first_try_after_it(
    repeat, is_back, monkeypatch
):
    """Followers and commits waited for up to 0.4 s although the store was back."""
    never = BackoffRules(3600.0, 3600.0)
    monkeypatch.setattr(node, "FOLLOWING_RULES", FollowingRules(backoff=never))
    monkeypatch.setattr(committing, "COMMIT_BACKOFF", never)
    parts = make_parts(store=LostReads())
    lose_store(parts)
    if is_back:
        regain_store(parts)
    repeating = asyncio.ensure_future(repeat(parts))
    for _ in range(10):
        await asyncio.sleep(0)
    assert not repeating.done()
    parts.store.is_away = False
    if not is_back:
        regain_store(parts)
    async with asyncio.timeout(5):
        assert await repeating == 9


def test_a_store_that_fails_after_its_return_is_asked_too_often():
    """Soon after the return a retry waits briefly, and later as long as it is told."""
    assert compute_pause(0.4, since_return=0.0) > 0
    assert compute_pause(0.4, since_return=RETURN_SPAN) == 0.4
    assert compute_pause(0.001, since_return=0.0) == 0.001
