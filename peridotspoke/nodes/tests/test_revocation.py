"""Tests of how long a revoked API key works on a node."""

import asyncio

import pytest
from loguru import logger

from peridotspoke.nodes import jobanswers as answers
from peridotspoke.nodes.tests.operators import (
    NEW,
    OLIVE,
    PLUM,
    WORKSPACES,
    call_all,
    follow_operator,
    make_configuration,
    make_node,
    run_tasks,
)
from peridotspoke.nodes.tests.stores import JOB
from peridotspoke.workloads.access import KeyFault
from peridotspoke.workloads.configuration import Workspace

PATH = f"/q/{JOB}"
OPEN_PATH = f"/open/{JOB}"


@pytest.fixture
def lines():
    """Collect the logged lines."""
    collected = []
    sink = logger.add(
        lambda message: collected.append(str(message)), format="{message}"
    )
    yield collected
    logger.remove(sink)


async def test_a_known_key_is_refused_once_its_proof_is_too_old(lines):
    # Guards against calls with a revoked key on a node that is cut off from the store.
    parts, handler = make_node(revocation=5.0)
    await handler.submit("host", PATH, b"", OLIVE)
    parts.store.is_away = True
    parts.clock.advance(4.7)
    assert await handler.check_head("host", PATH, OLIVE) is None
    before = dict(parts.store.records)
    parts.clock.advance(0.1)
    parts.record_store_call("watch", "200", served=True)
    results = await call_all(handler, OLIVE, PATH)
    for answer in results:
        assert answer.cause is answers.RefusalCause.UNPROVED
        assert answer.retry_after > 0
    assert parts.store.records == before
    assert parts.metrics.get_count("refusals", reason="unproved") == 4
    told = [line for line in lines if "event=configuration-unproved" in line]
    assert len(told) == 1
    assert "workspace=olive" in told[0]
    assert "proof_age=4.8 bound=5" in told[0]
    assert any("event=job-submit" in line and "outage=" in line for line in lines)


async def test_the_proofs_age_is_checked_again_once_the_body_has_arrived():
    # Guards against a call whose body takes longer than the bound.
    parts, handler = make_node(revocation=5.0)
    assert await handler.check_head("host", PATH, OLIVE) is None
    parts.clock.advance(4.8)
    answer = await handler.submit("host", PATH, b"", OLIVE)
    assert answer.cause is answers.RefusalCause.UNPROVED
    assert parts.store.records == {}


def revoke_plum(store, version=3):
    store.publish(make_configuration(version, WORKSPACES[:1]))


async def test_a_frozen_process_takes_no_old_answer_as_a_proof():
    # Guards against a process that wakes up, reads the answer that came before the
    # revocation and serves the revoked key.
    parts, handler = make_node(revocation=5.0)
    following = await follow_operator(parts)
    assert parts.view.proved_at == 100.0
    parts.clock.advance(1.5)
    revoke_plum(parts.store)
    parts.clock.advance(10.0)
    parts.store.may_poll.set()
    await run_tasks()
    parts.record_store_call("watch", "200", served=True)
    assert parts.view.proved_at == 100.0
    assert parts.view.configuration.version == 2
    for answer in await call_all(handler, PLUM, PATH):
        assert answer.cause is answers.RefusalCause.UNPROVED
    parts.store.may_poll.set()
    await run_tasks()
    refused = await handler.show("host", PATH, PLUM)
    assert refused == answers.KeyRefused(KeyFault.UNKNOWN)
    following.cancel()


async def test_a_frozen_process_takes_no_late_fresh_read_as_a_proof():
    # Guards against a key that was revoked while the answer of the read was in the
    # buffer of a stopped process.
    new = Workspace("new", frozenset(NEW.lines))
    parts, handler = make_node(revocation=5.0)
    parts.store.publish(make_configuration(3, (*WORKSPACES, new)))
    parts.clock.advance(0.01)
    parts.store.read_time = 10.0
    answer = await handler.show("host", PATH, NEW)
    assert answer.cause is answers.RefusalCause.UNPROVED


@pytest.mark.parametrize("fault", ["silent watch", "refused for this node"])
async def test_a_node_without_news_stops_serving_keys_until_it_has_a_proof(fault):
    # Guards against revoked keys on a node whose watch is cut or which is refused.
    parts, handler = make_node(revocation=5.0)
    following = await follow_operator(parts)
    revoke_plum(parts.store)
    if fault != "silent watch":
        parts.store.is_away = True
        parts.store.may_poll.set()
        await run_tasks()
    parts.clock.advance(4.7)
    parts.record_store_call("read", "200", served=True)
    assert await handler.check_head("host", PATH, PLUM) is None
    parts.clock.advance(0.1)
    refused = await handler.check_head("host", PATH, PLUM)
    assert refused.cause is answers.RefusalCause.UNPROVED
    parts.store.is_away = False
    async with asyncio.timeout(20):
        while parts.view.configuration.version < 3:
            parts.store.may_poll.set()
            await asyncio.sleep(0.02)
    refused = await handler.check_head("host", PATH, PLUM)
    assert refused == answers.KeyRefused(KeyFault.UNKNOWN)
    assert await handler.check_head("host", PATH, OLIVE) is None
    following.cancel()


async def test_a_newest_configuration_that_can_not_be_read_proves_nothing():
    # Guards against revoked keys that work on since the revocation can't be decoded.
    parts, handler = make_node(revocation=5.0)
    following = await follow_operator(parts)
    parts.store.publish(None)
    for _ in range(4):
        parts.store.may_poll.set()
        await run_tasks()
        parts.clock.advance(1.5)
    parts.record_store_call("read", "200", served=True)
    answer = await handler.check_head("host", PATH, OLIVE)
    assert answer.cause is answers.RefusalCause.UNPROVED
    parts.store.publish(make_configuration(3))
    for _ in range(2):
        parts.store.may_poll.set()
        await run_tasks()
    assert await handler.check_head("host", PATH, OLIVE) is None
    following.cancel()
