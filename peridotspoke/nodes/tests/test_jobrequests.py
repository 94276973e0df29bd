"""Tests that the answers to callers are true, whatever faults the store has."""

from dataclasses import replace

import pytest

from peridotspoke.nodes import jobanswers as answers
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.keys import (
    key_identity,
    key_job,
    key_progress,
)
from peridotspoke.nodes.lookups import TOMBSTONE
from peridotspoke.nodes.tests.handlers import (
    OTHER_JOB,
    decode,
    follow_jobs,
    follow_owner,
    make_handler,
    submit,
)
from peridotspoke.nodes.tests.stores import JOB, make_parts
from peridotspoke.store import Put, Transaction
from peridotspoke.workloads.configuration import Configuration, WorkPool
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.progress import JobOutcome, JobProgress, encode_progress


@pytest.mark.parametrize(
    ("faults", "outcome", "stored"),
    [
        ([], answers.Accepted, True),
        (["lost"], answers.Accepted, True),
        (["unavailable"], answers.Refused, False),
        (["delayed"], answers.Accepted, True),
        (["delayed", "delayed"], answers.Accepted, True),
        (["delayed", "delayed", "delayed"], answers.Refused, False),
        (["lost", "unavailable"], answers.Accepted, True),
        (["delayed", "unavailable", "unavailable"], answers.Refused, False),
        (
            ["delayed", "unavailable", "unavailable", "unavailable"],
            answers.Unknown,
            None,
        ),
        (["delayed", "delayed", "delayed", "delayed"], answers.Unknown, None),
    ],
)
async def test_a_refused_job_never_runs_and_an_accepted_one_is_stored(
    faults, outcome, stored
):
    """Writes that the store applies late do not change that."""
    parts, handler = make_handler()
    parts.store.faults = list(faults)
    assert isinstance(await submit(handler), outcome)
    parts.store.deliver_delayed()
    if stored is not None:
        assert (key_job("pool", JOB) in parts.store.records) is stored
        identity = parts.store.records.get(key_identity(JOB))
        assert (identity is not None and identity.value != TOMBSTONE) is stored


async def test_a_refused_job_can_be_submitted_again():
    """The tombstone that invalidated the lost write is replaced."""
    parts, handler = make_handler()
    parts.store.faults = ["delayed", "delayed", "delayed"]
    assert isinstance(await submit(handler), answers.Refused)
    assert isinstance(await submit(handler), answers.Accepted)
    parts.store.deliver_delayed()
    assert parts.store.records[key_identity(JOB)].value == b"pool"
    assert key_job("pool", JOB) in parts.store.records


async def test_a_job_submitted_to_two_nodes_is_stored_once():
    """The second node finds the record of the first one."""
    parts, handler = make_handler()
    other_parts = make_parts("n2", parts.store)
    other = JobRequestHandler(other_parts, decode)
    assert isinstance(await submit(handler), answers.Accepted)
    before = parts.store.records[key_job("pool", JOB)].revision
    assert isinstance(await submit(other), answers.Accepted)
    assert parts.store.records[key_job("pool", JOB)].revision == before


async def test_a_job_is_stored_once_when_its_queue_moves_to_another_pool():
    """A repeat on a node with the newer configuration finds the first record."""
    parts, handler = make_handler()
    assert isinstance(await submit(handler), answers.Accepted)
    other_parts = make_parts("n2", parts.store)
    queue = replace(other_parts.view.configuration.queues[0], pool="other")
    pools = (WorkPool("pool"), WorkPool("other"))
    other_parts.view.apply_configuration(Configuration(2, (queue,), pools))
    other = JobRequestHandler(other_parts, decode)
    assert isinstance(await submit(other), answers.Accepted)
    assert key_job("other", JOB) not in parts.store.records
    assert await other.show("host", f"/q/{JOB}") == answers.Shown("queued")
    assert isinstance(await other.cancel("host", f"/q/{JOB}"), answers.Accepted)
    assert await handler.show("host", f"/q/{JOB}") == answers.Shown("cancelled")


@pytest.mark.parametrize(
    ("path", "body", "outcome"),
    [
        ("/other/5c0e7a21d94b36f8", b"good", answers.UnknownQueue),
        ("/q/not-an-id", b"good", answers.Invalid),
        (f"/q/{JOB}", b"bad", answers.Invalid),
        (f"/q/{JOB}", b"empty", answers.Invalid),
        (f"/q/{JOB}", b"x" * 300_000, answers.Invalid),
    ],
)
async def test_an_invalid_submission_is_answered_and_not_stored(path, body, outcome):
    """Invalid input causes no write to the store."""
    parts, handler = make_handler()
    assert isinstance(await submit(handler, body, path), outcome)
    assert parts.store.records == {}


async def test_a_node_without_the_store_refuses_at_once():
    """The store counts as unavailable after three failed calls in a row."""
    parts, handler = make_handler()
    for _ in range(3):
        parts.record_store_call("commit", "AnswerLostError", served=False)
    answer = await submit(handler)
    assert isinstance(answer, answers.Refused)
    assert answer.retry_after > 0
    assert not handler.is_ready()


async def test_an_unknown_job_is_looked_up_in_the_store():
    """A job that another node has just stored is found."""
    parts, handler = make_handler()
    assert isinstance(await handler.show("host", f"/q/{JOB}"), answers.UnknownJob)
    other = JobRequestHandler(make_parts("n2", parts.store), decode)
    await submit(other)
    assert await handler.show("host", f"/q/{JOB}") == answers.Shown("queued")
    assert await handler.show("host", "/q/") == answers.Counted(1)


async def test_a_repeat_of_a_stored_job_is_accepted_without_free_capacity():
    """A refusal would tell the caller that the job never runs."""
    parts, handler = make_handler()
    await submit(handler)
    follow_owner(parts, 7, 7, waiting=5)
    parts.view.pools["pool"] = PoolDemand(wait=30.0)
    assert isinstance(await submit(handler), answers.Accepted)
    other = await submit(handler, path=f"/q/{OTHER_JOB}")
    assert isinstance(other, answers.Refused)


async def test_a_job_that_has_ended_is_shown_from_a_view_of_any_age():
    """The state of an ended job does not change any more."""
    parts, handler = make_handler()
    await submit(handler)
    job = decode(b"good", JOB, parts.view.configuration.queues[0], 0.0)
    progress = JobProgress(job, JobOutcome.COMPLETED, begun=True)
    put = Put(key_progress("pool", JOB), encode_progress(progress))
    await parts.store.commit(Transaction((), (put,)))
    follow_jobs(parts)
    parts.clock.advance(60.0)
    parts.store.records.clear()
    assert await handler.show("host", f"/q/{JOB}") == answers.Shown("completed")


async def test_a_stored_job_that_can_not_be_decoded_is_not_reported_as_unknown():
    """Its identity shows that it exists."""
    parts, handler = make_handler()
    await submit(handler)
    put = Put(key_job("pool", JOB), b"not a job")
    await parts.store.commit(Transaction((), (put,)))
    assert isinstance(await handler.show("host", f"/q/{JOB}"), answers.Refused)


async def test_a_cancelled_job_is_shown_as_cancelled():
    """Cancelling is idempotent."""
    _, handler = make_handler()
    await submit(handler)
    for _ in range(2):
        assert isinstance(await handler.cancel("host", f"/q/{JOB}"), answers.Accepted)
    assert await handler.show("host", f"/q/{JOB}") == answers.Shown("cancelled")


async def test_a_job_that_would_finish_too_late_is_refused_with_a_retry_delay():
    """The delay is the time until capacity is expected; otherwise jobs are accepted."""
    parts, handler = make_handler()
    follow_owner(parts, 7, 7, waiting=5)
    parts.view.pools["pool"] = PoolDemand(wait=30.0)
    answer = await submit(handler)
    assert isinstance(answer, answers.Refused)
    assert answer.overloaded
    assert answer.retry_after > 20.0
    assert parts.store.records == {}
    parts.view.pools["pool"] = PoolDemand(wait=1.0)
    assert isinstance(await submit(handler), answers.Accepted)


@pytest.mark.parametrize(("age", "published_by"), [(5.1, 7), (0.0, 6)])
async def test_no_job_is_refused_because_of_an_outdated_demand(age, published_by):
    # The owner is stuck, or another node owns the pool now.
    parts, handler = make_handler()
    follow_owner(parts, 7, published_by, waiting=5)
    parts.view.pools["pool"] = PoolDemand(wait=30.0)
    parts.clock.advance(age)
    parts.record_store_call("watch", "200", served=True)
    assert isinstance(await submit(handler), answers.Accepted)


async def test_the_time_to_accept_a_job_is_measured_by_outcome():
    """The metrics show how long callers waited for each kind of answer."""
    parts, handler = make_handler()
    await submit(handler)
    shown = parts.metrics.render().decode()
    assert 'job_acceptance_seconds_count{outcome="Accepted"} 1.0' in shown
