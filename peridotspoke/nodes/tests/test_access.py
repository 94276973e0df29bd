"""Tests of callers' API keys on a node: unknown, newer and other's ones."""

import asyncio
from dataclasses import replace
from itertools import pairwise

import pytest
from loguru import logger

from peridotspoke.exceptions import PlatformError
from peridotspoke.nodes import jobanswers as answers
from peridotspoke.nodes.access import READ_INTERVAL
from peridotspoke.nodes.keys import key_identity, key_job
from peridotspoke.nodes.tests.handlers import (
    OTHER_JOB,
    follow_jobs,
    follow_owner,
)
from peridotspoke.nodes.tests.operators import (
    NEW,
    OLIVE,
    PLUM,
    WORKSPACES,
    OperatorStore,
    call_all,
    follow_operator,
    make_configuration,
    make_node,
    run_tasks,
)
from peridotspoke.nodes.tests.stores import JOB, make_parts
from peridotspoke.workloads.access import CallerKey, KeyFault
from peridotspoke.workloads.configuration import Workspace
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.progress import decode_job

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


@pytest.mark.parametrize(
    ("key", "fault"),
    [
        (CallerKey(), KeyFault.ABSENT),
        (CallerKey(OLIVE.lines * 2), KeyFault.REPEATED),
        (CallerKey(("\udcff",)), KeyFault.NOT_TEXT),
        (CallerKey(("x" * 8192,)), KeyFault.TOO_LONG),
    ],
)
async def test_a_call_without_a_valid_key_has_no_effect(key, fault):
    # Guards against work of callers that no customer stands behind, and against reads
    # of the store that they cause.
    parts, handler = make_node()
    refused = answers.KeyRefused(fault)
    assert await call_all(handler, key, PATH) == [refused] * 4
    assert await handler.check_head("host", PATH, key) == refused
    assert parts.store.records == {}
    assert parts.store.config_reads == []
    absent = await handler.show("host", "/absent/", key)
    assert isinstance(absent, answers.UnknownQueue)


async def test_calls_with_a_key_are_served_and_the_job_belongs_to_its_workspace():
    parts, handler = make_node(revocation=5.0)
    assert await handler.check_head("host", PATH, OLIVE) is None
    assert isinstance(await handler.submit("host", PATH, b"", OLIVE), answers.Accepted)
    stored = decode_job(parts.store.records[key_job("pool", JOB)])
    assert stored.workspace == "olive"
    assert await handler.show("host", PATH, OLIVE) == answers.Shown("queued")
    assert await handler.show("host", "/q/", PLUM) == answers.Counted(1)
    assert isinstance(await handler.cancel("host", PATH, OLIVE), answers.Accepted)
    assert parts.store.config_reads == []


async def test_without_workspaces_no_key_is_needed_and_none_is_read():
    # Guards against any change for operators that don't use workspaces.
    parts, handler = make_node(revocation=5.0)
    parts.view.apply_configuration(make_configuration(3, ()))
    parts.clock.advance(60.0)
    parts.view.configured_at = parts.clock.read_monotonic()
    parts.record_store_call("watch", "200", served=True)
    assert not handler.checks_keys
    results = await call_all(handler, CallerKey(), PATH)
    assert not any(isinstance(result, answers.KeyRefused) for result in results)
    assert results[1] == answers.Shown("queued")
    assert parts.store.config_reads == []


async def test_an_anonymous_queue_needs_no_key_and_its_jobs_no_workspace():
    parts, handler = make_node(revocation=5.0)
    parts.clock.advance(60.0)
    parts.view.configured_at = parts.clock.read_monotonic()
    parts.record_store_call("watch", "200", served=True)
    results = await call_all(handler, CallerKey(), OPEN_PATH)
    assert isinstance(results[0], answers.Accepted)
    assert results[1:] == [
        answers.Shown("queued"),
        answers.Accepted(),
        answers.Counted(0),
    ]
    assert decode_job(parts.store.records[key_job("pool", JOB)]).workspace == ""


async def test_a_job_without_a_workspace_is_visible_with_any_key():
    # Guards against jobs of earlier builds that nobody can cancel any more.
    parts, handler = make_node()
    await handler.submit("host", OPEN_PATH, b"", OLIVE)
    assert decode_job(parts.store.records[key_job("pool", JOB)]).workspace == ""
    for key in (OLIVE, PLUM):
        assert await handler.show("host", PATH, key) == answers.Shown("queued")
        submitted = await handler.submit("host", PATH, b"", key)
        assert isinstance(submitted, answers.Accepted)


@pytest.mark.parametrize("is_followed", [False, True], ids=["store", "view"])
@pytest.mark.parametrize(
    ("key", "path"), [(PLUM, PATH), (CallerKey(), OPEN_PATH), (PLUM, OPEN_PATH)]
)
async def test_another_workspaces_job_is_unknown_and_its_id_in_use(
    key, path, is_followed
):
    # Guards against a caller that reads, cancels or replaces another customer's job,
    # also through an anonymous queue of the same pool.
    parts, handler = make_node()
    await handler.submit("host", PATH, b"", OLIVE)
    if is_followed:
        follow_jobs(parts)
    before = dict(parts.store.records)
    results = await call_all(handler, key, path)
    assert results[0] == answers.Conflict()
    assert results[1:3] == [answers.UnknownJob(), answers.UnknownJob()]
    assert parts.store.records == before
    repeated = await handler.submit("host", PATH, b"", OLIVE)
    assert isinstance(repeated, answers.Accepted)


@pytest.mark.parametrize("faults", [["lost"], ["delayed"], ["delayed"] * 3])
async def test_the_id_of_another_workspaces_job_is_in_use_whatever_answers_are_lost(
    faults,
):
    # Guards against "accepted" for a job that a lost write seems to have stored.
    parts, handler = make_node()
    await handler.submit("host", PATH, b"", OLIVE)
    parts.store.faults = list(faults)
    assert await handler.submit("host", PATH, b"", PLUM) == answers.Conflict()
    parts.store.faults = list(faults)
    repeated = await handler.submit("host", PATH, b"", OLIVE)
    assert isinstance(repeated, answers.Accepted)


async def test_a_stored_job_whose_workspace_is_not_known_is_not_accepted():
    # Guards against "accepted" under the ID of another workspace's job.
    parts, handler = make_node()
    await handler.submit("host", PATH, b"", OLIVE)
    del parts.store.records[key_job("pool", JOB)]
    answer = await handler.submit("host", PATH, b"", PLUM)
    assert isinstance(answer, answers.Unknown)


async def test_a_repeat_without_room_tells_whose_the_stored_job_is():
    # Guards against 429 for a stored job, and against 200 for another workspace's.
    parts, handler = make_node()
    await handler.submit("host", PATH, b"", OLIVE)
    follow_owner(parts, 7, 7, waiting=5)
    parts.view.pools["pool"] = PoolDemand(wait=30.0)
    repeated = await handler.submit("host", PATH, b"", OLIVE)
    assert isinstance(repeated, answers.Accepted)
    assert await handler.submit("host", PATH, b"", PLUM) == answers.Conflict()
    refused = await handler.submit("host", f"/q/{OTHER_JOB}", b"", PLUM)
    assert isinstance(refused, answers.Refused)
    name = "workspace_refusals"
    assert parts.metrics.get_count(name, workspace="plum", reason="no-room") == 1


async def test_an_unknown_key_is_refused_by_a_read_that_was_sent_after_the_call():
    # Guards against a 401 that only an older proof supports.
    parts, handler = make_node()
    parts.clock.advance(0.01)
    answer = await handler.show("host", PATH, NEW)
    assert answer == answers.KeyRefused(KeyFault.UNKNOWN)
    assert parts.store.config_reads == [100.01]
    assert parts.view.proved_at == 100.01
    assert parts.metrics.get_count("keys_refused", cause="unknown") == 1


async def test_a_key_of_a_newer_configuration_is_accepted_and_that_one_applied():
    # Guards against 401 for a key that its customer has just been given.
    parts, handler = make_node()
    parts.store.publish(
        make_configuration(3, (*WORKSPACES, Workspace("new", frozenset(NEW.lines))))
    )
    parts.clock.advance(0.01)
    assert await handler.check_head("host", PATH, NEW) is None
    assert parts.view.configuration.version == 3
    assert isinstance(await handler.submit("host", PATH, b"", NEW), answers.Accepted)
    assert decode_job(parts.store.records[key_job("pool", JOB)]).workspace == "new"


async def test_the_queue_is_found_again_in_a_newer_configuration():
    # Guards against an answer by a queue that the read configuration no longer has.
    parts, handler = make_node()
    parts.store.publish(make_configuration(3, WORKSPACES, ()))
    parts.clock.advance(0.01)
    parts.view.configured_at = parts.clock.read_monotonic()
    answer = await handler.show("host", PATH, NEW)
    assert isinstance(answer, answers.UnknownQueue)


async def test_callers_share_reads_of_which_one_at_most_is_in_flight():
    # Guards against a read for each call with an unknown key.
    parts, handler = make_node()
    parts.store.may_read.clear()
    parts.clock.advance(1.0)
    first = [asyncio.ensure_future(handler.show("host", PATH, NEW)) for _ in range(50)]
    await run_tasks()
    assert len(parts.store.config_reads) == 1
    parts.clock.advance(0.01)
    later = [asyncio.ensure_future(handler.show("host", PATH, NEW)) for _ in range(50)]
    await run_tasks()
    assert len(parts.store.config_reads) == 1
    parts.store.may_read.set()
    results = await asyncio.gather(*first, *later)
    assert set(results) == {answers.KeyRefused(KeyFault.UNKNOWN)}
    # The later callers need a read that was sent after they came.
    assert len(parts.store.config_reads) == 2
    begun = parts.store.config_reads
    assert begun[1] - begun[0] >= READ_INTERVAL


async def test_reads_start_at_most_once_in_an_interval():
    # Guards against a node that takes up the reads which all nodes may send.
    parts, handler = make_node()
    for _ in range(8):
        parts.clock.advance(0.01)
        await handler.show("host", PATH, NEW)
    begun = parts.store.config_reads
    pauses = [later - earlier for earlier, later in pairwise(begun)]
    assert len(begun) == 8
    assert min(pauses) >= READ_INTERVAL - 1e-9


async def test_the_failure_of_a_read_is_told_only_to_callers_from_before_it():
    # Guards against 503 for a caller whose own read would have succeeded.
    parts, handler = make_node()
    parts.store.may_read.clear()
    parts.clock.advance(1.0)
    first = asyncio.ensure_future(handler.show("host", PATH, NEW))
    await run_tasks()
    parts.clock.advance(0.01)
    later = asyncio.ensure_future(handler.show("host", PATH, NEW))
    await run_tasks()
    parts.store.is_away = True
    parts.store.may_read.set()
    refused = await first
    parts.store.is_away = False
    assert isinstance(refused, answers.Refused)
    assert await later == answers.KeyRefused(KeyFault.UNKNOWN)


@pytest.mark.parametrize("fault", ["away", "lost", "unreadable"])
async def test_an_unknown_key_is_refused_for_now_while_the_store_can_not_tell(fault):
    # Guards against a 401 that nothing proves. A known key is served meanwhile.
    parts, handler = make_node()
    if fault == "unreadable":
        parts.store.publish(None)
    parts.store.is_away = fault != "unreadable"
    if fault == "away":
        for _ in range(3):
            parts.record_store_call("read", "503", served=False)
    parts.clock.advance(0.01)
    for answer in await call_all(handler, NEW, PATH):
        assert isinstance(answer, answers.Refused)
        assert answer.retry_after > 0
    assert len(parts.store.config_reads) <= 4
    if fault == "unreadable":
        shown = await handler.show("host", PATH, OLIVE)
        assert isinstance(shown, answers.UnknownJob)


async def test_a_task_above_its_workspaces_limit_is_refused_with_both_numbers():
    # Guards against a job that is accepted and can never start.
    parts, handler = make_node()
    parts.clock.advance(0.01)
    answer = await handler.submit("host", PATH, b"1001", OLIVE)
    assert isinstance(answer, answers.Invalid)
    assert "1001 cpu" in answer.reason
    assert "1000" in answer.reason
    assert parts.store.records == {}
    accepted = await handler.submit("host", PATH, b"1000", OLIVE)
    assert isinstance(accepted, answers.Accepted)
    unlimited = await handler.submit("host", f"/q/{OTHER_JOB}", b"9000", PLUM)
    assert isinstance(unlimited, answers.Accepted)
    assert len(parts.store.config_reads) == 1


async def test_a_limit_that_was_raised_since_is_read_before_a_task_is_refused():
    # Guards against 400 for a task that fits the limit which its customer has now.
    parts, handler = make_node()
    raised = replace(WORKSPACES[0], limit=Need(cpu=2000))
    parts.store.publish(make_configuration(3, (raised, WORKSPACES[1])))
    parts.clock.advance(0.01)
    answer = await handler.submit("host", PATH, b"1001", OLIVE)
    assert isinstance(answer, answers.Accepted)
    assert decode_job(parts.store.records[key_job("pool", JOB)]).workspace == "olive"


async def test_a_task_above_its_limit_is_refused_for_now_while_the_store_fails():
    # Guards against a final 400 that only an old configuration supports.
    parts, handler = make_node()
    parts.store.is_away = True
    parts.clock.advance(0.01)
    answer = await handler.submit("host", PATH, b"1001", OLIVE)
    assert isinstance(answer, answers.Refused)


async def test_a_repeat_of_a_job_from_before_the_limit_was_lowered_is_accepted():
    # Guards against 400, "it had no effect", for a job that is stored and will run.
    parts, handler = make_node()
    await handler.submit("host", PATH, b"1000", OLIVE)
    lowered = replace(WORKSPACES[0], limit=Need(cpu=500))
    parts.store.publish(make_configuration(3, (lowered, WORKSPACES[1])))
    parts.view.apply_configuration(parts.store.configuration)
    answer = await handler.submit("host", PATH, b"1000", OLIVE)
    assert isinstance(answer, answers.Accepted)


async def test_no_key_is_logged_counted_or_told(lines):
    # Guards against keys in the logs, which more people read than have the keys.
    parts, handler = make_node(revocation=5.0)
    results = []
    keys = [OLIVE, PLUM, NEW, CallerKey(), CallerKey(OLIVE.lines * 2)]
    for age in (0.01, 4.0, 2.0):
        parts.clock.advance(age)
        parts.record_store_call("watch", "200", served=True)
        for key in keys:
            results += await call_all(handler, key, PATH)
    parts.store.publish(None)
    following = await follow_operator(parts)
    parts.clock.advance(0.01)
    results += await call_all(handler, NEW, PATH)
    following.cancel()
    shown = (
        f"{results!r} {parts.view.configuration!r} {keys!r} {parts.store.config_reads}"
    )
    text = "".join(lines) + shown + parts.render_metrics().decode()
    assert "event=key-refused queue=queue" in text
    assert 'cause="unknown key"' in text
    assert "configuration_proof_age_seconds" in text
    assert "SECRET" not in text


async def test_refused_keys_are_logged_once_a_second_with_their_number(lines):
    # Guards against a log that callers without a key can fill.
    parts, handler = make_node()
    for _ in range(100):
        await handler.show("host", PATH, CallerKey())
    parts.clock.advance(1.1)
    await handler.show("host", PATH, CallerKey())
    told = [line for line in lines if "event=key-refused" in line]
    assert [line.split("calls=")[1].split()[0] for line in told] == ["1", "100"]
    assert parts.metrics.get_count("keys_refused", cause="absent") == 101


async def test_the_proofs_age_is_shown_only_where_there_are_workspaces():
    parts, _ = make_node()
    parts.clock.advance(1.5)
    name = b"peridotspoke_configuration_proof_age_seconds 1.5"
    assert name in parts.render_metrics()
    assert b"proof_age" not in make_parts().render_metrics()


async def test_a_read_that_fails_is_told_as_an_error_of_the_platform():
    # Guards against waiting callers that a failed read leaves without an answer.
    parts, _ = make_node(store=OperatorStore())
    parts.store.is_away = True
    with pytest.raises(PlatformError):
        await parts.fresh_reads.prove(100.01)
    parts.store.is_away = False
    parts.clock.advance(0.02)
    await parts.fresh_reads.prove(100.01)
    assert key_identity(JOB) not in parts.store.records
