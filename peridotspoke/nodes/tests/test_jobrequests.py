"""Tests that the answers to callers are true, whatever faults the store has."""

import heapq
import math
from dataclasses import replace

import pytest

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformUnavailableError,
    RequestError,
)
from peridotspoke.nodes import jobanswers as answers
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import (
    key_identity,
    key_job,
    key_owner,
    key_progress,
    key_queue_counts,
    prefix_jobs,
)
from peridotspoke.nodes.lookups import TOMBSTONE
from peridotspoke.nodes.records import OwnerRecord, QueueCounts, encode_value
from peridotspoke.nodes.tests.stores import JOB, make_parts
from peridotspoke.store import FollowedRecords, Put, Record, Transaction
from peridotspoke.workloads.configuration import Configuration, WorkPool
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.jobs import Job, Step
from peridotspoke.workloads.progress import JobOutcome, JobProgress, encode_progress

OTHER_JOB = "0123456789abcdef"


def decode(body, job_id, queue, wall):
    if body == b"bad":
        raise RequestError("unreadable", step="read job")
    steps = (Step(0),) if body == b"empty" else (Step(1),)
    return Job(job_id, queue.name, queue.pool, "spec", steps, accepted_at=wall)


def decode_long(body, job_id, queue, wall):
    """Return a job that keeps its worth for longer than a caller is sent away."""
    steps = (Step(1, estimate=2.0),)
    return Job(job_id, queue.name, queue.pool, "spec", steps, accepted_at=wall)


def make_handler():
    parts = make_parts()
    return parts, JobRequestHandler(parts, decode)


def follow_jobs(parts, pool="pool"):
    """Let the node follow a pool's jobs and read their current records."""
    records = {
        key: record
        for key, record in parts.store.records.items()
        if key.startswith(prefix_jobs(pool))
    }
    jobs = parts.view.jobs.setdefault(pool, PoolJobs(pool))
    now = parts.clock.read_monotonic()
    jobs.apply_records(
        FollowedRecords(records, frozenset(records), now, parts.store.revision)
    )


def advance(parts, seconds):
    """Advance the clock while the configuration is confirmed to be the newest."""
    parts.clock.advance(seconds)
    parts.view.configured_at = parts.clock.read_monotonic()


def follow_owner(parts, fence, published_by, waiting, published_age=0.0, pool="pool"):
    """Let the node read a pool's owner and the counts of one of its queues.

    `fence` is the fencing token of the owner, `published_by` that of the owner which
    published the counts, and `published_age` the age of the counts in seconds when they
    were published.
    """
    owner = encode_value(OwnerRecord("n9", "i9"))
    counts = encode_value(QueueCounts(published_by, {"queue": waiting}, published_age))
    records = {
        key_owner(pool): Record(key_owner(pool), owner, fence, 1, fence),
        key_queue_counts(pool): Record(key_queue_counts(pool), counts, fence + 1),
    }
    now = parts.clock.read_monotonic()
    followed = FollowedRecords(records, frozenset(records), now, fence + 1)
    parts.view.apply_work(followed)


async def submit(handler, body=b"good", path=f"/q/{JOB}"):
    return await handler.submit("host", path, body)


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


@pytest.mark.parametrize(("age", "waiting"), [(1.9, 1), (2.1, 2)])
async def test_a_queue_is_not_counted_from_an_outdated_view(age, waiting):
    # The watch of the jobs is lost while another node accepts one more job.
    parts, handler = make_handler()
    await submit(handler)
    follow_jobs(parts)
    await submit(
        JobRequestHandler(make_parts("n2", parts.store), decode), path=f"/q/{OTHER_JOB}"
    )
    advance(parts, age)
    assert await handler.show("host", "/q/") == answers.Counted(waiting)


async def test_a_queue_whose_jobs_are_not_followed_is_counted():
    # A node that has just started has read no jobs.
    parts, handler = make_handler()
    await submit(JobRequestHandler(make_parts("n2", parts.store), decode))
    assert await handler.show("host", "/q/") == answers.Counted(1)


@pytest.mark.parametrize(
    ("age", "published_age", "fence", "published_by", "waiting"),
    [
        (1.9, 0.0, 7, 7, 5),
        (2.1, 0.0, 7, 7, 1),
        (1.0, 0.9, 7, 7, 5),
        (1.0, 1.1, 7, 7, 1),
        (0.0, 0.0, 7, 6, 1),
        (0.0, 0.0, 7, 8, 1),
    ],
)
async def test_only_recent_counts_of_the_current_owner_are_used(
    age, published_age, fence, published_by, waiting
):
    """The store is read if the counts are outdated or those of another owner.

    The age includes the time before the owner published them.
    """
    parts, handler = make_handler()
    await submit(handler)
    follow_owner(parts, fence, published_by, 5, published_age)
    advance(parts, age)
    assert await handler.show("host", "/q/") == answers.Counted(waiting)


async def test_jobs_of_a_queue_that_moved_are_counted_in_both_pools():
    """Jobs accepted before the move stay in the former pool."""
    parts, handler = make_handler()
    await submit(handler)
    follow_owner(parts, 9, 9, 3, pool="former")
    assert await handler.show("host", "/q/") == answers.Counted(4)


async def test_a_count_that_takes_too_long_to_read_is_refused():
    """The pages of a pool are read one after the other, so a read can be slow."""
    parts, handler = make_handler()
    read_prefix = parts.store.read_prefix

    async def read_slowly(prefix):
        snapshot = await read_prefix(prefix)
        advance(parts, 2.1)
        return snapshot

    parts.store.read_prefix = read_slowly
    assert isinstance(await handler.show("host", "/q/"), answers.Refused)


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


async def test_a_count_without_recent_records_is_refused():
    """The node follows no jobs of the pool, and the store does not answer."""
    parts, handler = make_handler()

    async def read_prefix(prefix):
        raise AnswerLostError("no answer", step="range")

    parts.store.read_prefix = read_prefix
    assert isinstance(await handler.show("host", "/q/"), answers.Refused)


async def test_a_count_excludes_jobs_that_have_begun():
    """The progress of a job is taken into account in the store and in the view."""
    parts, handler = make_handler()
    await submit(handler)
    await submit(handler, path=f"/q/{OTHER_JOB}")
    job = decode(b"good", JOB, parts.view.configuration.queues[0], 0.0)
    progress = JobProgress(job, begun=True)
    put = Put(key_progress("pool", JOB), encode_progress(progress))
    await parts.store.commit(Transaction((), (put,)))
    assert await handler.show("host", "/q/") == answers.Counted(1)
    follow_jobs(parts)
    assert await handler.show("host", "/q/") == answers.Counted(1)


@pytest.mark.parametrize(
    ("path", "outcome"),
    [("/other/x", answers.UnknownQueue), ("/q/", answers.Counted)],
)
async def test_an_outdated_configuration_is_not_used_for_unknown_queues_or_counts(
    path, outcome
):
    # A queue may have been added or removed in a configuration not read yet.
    parts, handler = make_handler()
    bound = parts.settings.bounds.rollout
    parts.clock.advance(bound)
    assert isinstance(await handler.show("host", path), outcome)
    parts.clock.advance(0.1)
    answer = await handler.show("host", path)
    assert isinstance(answer, answers.Refused)
    assert answer.retry_after > 0


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


async def play_outage(length, retries=4, interval=0.025):
    """Return the share of callers that end refused in an outage of the store.

    Callers arrive every `interval` seconds through an outage of `length` seconds, and
    come back after the delay that they are told, in whole seconds.
    """
    parts = make_parts()
    handler = JobRequestHandler(parts, decode_long)
    began_at = parts.clock.read_monotonic()
    for _ in range(3):
        parts.record_store_call("commit", "AnswerLostError", served=False)
    callers = round(length / interval)
    attempts = [(number * interval, number, retries) for number in range(callers)]
    refused = 0
    while attempts and attempts[0][0] < length:
        time, number, left = heapq.heappop(attempts)
        advance(parts, began_at + time - parts.clock.read_monotonic())
        answer = await submit(handler, path=f"/q/{number:016x}")
        if left:
            delay = math.ceil(answer.retry_after)
            heapq.heappush(attempts, (time + delay, number, left - 1))
        else:
            refused += 1
    return refused / callers


@pytest.mark.parametrize("length", [2.0, 6.0, 8.0, 10.0, 12.0])
async def test_callers_do_not_spend_their_retries_inside_an_outage_of_the_store(length):
    """Each refusal told them to come back soon, however old the outage was."""
    assert await play_outage(length) < 0.1


async def make_refusals(age):
    """Return the answers to each kind of request, `age` seconds into an outage."""
    parts, handler = make_handler()
    await submit(handler)
    for _ in range(3):
        parts.record_store_call("commit", "AnswerLostError", served=False)

    async def fail(*arguments):
        raise PlatformUnavailableError("unavailable", step="read")

    parts.store.read = parts.store.read_prefix = fail
    advance(parts, age)
    path = f"/q/{OTHER_JOB}"
    return [
        await submit(handler, path=path),
        await handler.cancel("host", path),
        await handler.show("host", path),
        await handler.show("host", "/q/"),
    ]


async def test_every_refusal_for_the_absent_store_follows_the_age_of_the_outage():
    """Jittered by half, the longest delay is at least 1.5 s and at most 4.5 s."""
    answers_of_all = [await make_refusals(20.0) for _ in range(10)]
    for kind in zip(*answers_of_all, strict=True):
        assert all(isinstance(answer, answers.Refused) for answer in kind)
        assert all(1.5 <= answer.retry_after <= 4.5 for answer in kind)
        assert all(answer.outage == pytest.approx(20.0) for answer in kind)


async def test_a_write_that_fails_in_an_outage_tells_its_age():
    """Other calls have failed before, but the store does not count as away yet."""
    parts, handler = make_handler()
    advance(parts, 1.9)
    parts.store.faults = ["unavailable"]
    answer = await submit(handler)
    assert answer.outage == pytest.approx(1.9)


async def test_no_caller_is_sent_away_for_longer_than_its_job_keeps_its_worth():
    """The job has no worth 3 s after its submission; others wait for up to 4.5 s."""
    parts, handler = make_handler()
    for _ in range(3):
        parts.record_store_call("commit", "AnswerLostError", served=False)
    advance(parts, 60.0)
    for number in range(20):
        answer = await submit(handler, path=f"/q/{number:016x}")
        assert answer.retry_after <= 3.0
