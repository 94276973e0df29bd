"""Tests of the answers to callers: each one is true, whatever the store does."""

import pytest

from peridotspoke.exceptions import RequestError
from peridotspoke.nodes import desk as answers
from peridotspoke.nodes.desk import JobDesk
from peridotspoke.nodes.keys import key_job
from peridotspoke.nodes.tests.stores import JOB, make_parts
from peridotspoke.nodes.view import TOMBSTONE
from peridotspoke.store import FollowedRecords
from peridotspoke.workloads.demand import PoolDemand
from peridotspoke.workloads.jobs import Job, Step


def decode(body, job_id, queue, wall):
    if body == b"bad":
        raise RequestError("unreadable", step="read job")
    steps = (Step(0),) if body == b"empty" else (Step(1),)
    return Job(job_id, queue.name, queue.pool, "spec", steps, accepted_at=wall)


def make_desk():
    parts = make_parts()
    return parts, JobDesk(parts, decode)


def see_store(parts):
    """Let the view see the records of the store as they are now."""
    records = parts.store.records
    now = parts.clock.read_monotonic()
    followed = FollowedRecords(records, frozenset(records), now, parts.store.revision)
    parts.view.note_work(followed)


async def submit(desk, body=b"good", path=f"/q/{JOB}"):
    return await desk.submit("host", path, body)


@pytest.mark.parametrize(
    ("faults", "outcome", "stored"),
    [
        ([], answers.Accepted, True),
        (["lost"], answers.Accepted, True),
        (["away"], answers.Refused, False),
        (["late"], answers.Accepted, True),
        (["late", "late"], answers.Accepted, True),
        (["late", "late", "late"], answers.Refused, False),
        (["lost", "away"], answers.Accepted, True),
        (["late", "away", "away"], answers.Refused, False),
        (["late", "away", "away", "away"], answers.Unknown, None),
        (["late", "late", "late", "late"], answers.Unknown, None),
    ],
)
async def test_a_refused_job_never_runs_and_an_accepted_one_is_stored(
    faults, outcome, stored
):
    """Writes that are carried out late change neither."""
    parts, desk = make_desk()
    parts.store.faults = list(faults)
    assert isinstance(await submit(desk), outcome)
    parts.store.deliver_late()
    record = parts.store.records.get(key_job(JOB))
    if stored is not None:
        assert (record is not None and record.value != TOMBSTONE) is stored


async def test_a_refused_job_may_be_handed_in_again():
    """The tombstone of the lost write is replaced."""
    parts, desk = make_desk()
    parts.store.faults = ["late", "late", "late"]
    assert isinstance(await submit(desk), answers.Refused)
    assert isinstance(await submit(desk), answers.Accepted)
    parts.store.deliver_late()
    assert parts.store.records[key_job(JOB)].value != TOMBSTONE


async def test_the_same_job_at_another_node_stays_one_job():
    """The second node finds the first one's record."""
    parts, desk = make_desk()
    other_parts = make_parts("n2", parts.store)
    other = JobDesk(other_parts, decode)
    assert isinstance(await submit(desk), answers.Accepted)
    before = parts.store.records[key_job(JOB)].revision
    assert isinstance(await submit(other), answers.Accepted)
    assert parts.store.records[key_job(JOB)].revision == before


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
async def test_what_can_not_be_a_job_is_answered_and_not_stored(path, body, outcome):
    """Nothing is written because of bad input."""
    parts, desk = make_desk()
    assert isinstance(await submit(desk, body, path), outcome)
    assert parts.store.records == {}


async def test_a_node_without_the_store_refuses_at_once():
    """Three failed calls in a row are enough to know."""
    parts, desk = make_desk()
    for _ in range(3):
        parts.note_store_call("commit", "AnswerLostError", served=False)
    answer = await submit(desk)
    assert isinstance(answer, answers.Refused)
    assert answer.retry_after > 0
    assert not desk.is_ready()


async def test_an_unknown_job_is_read_from_the_store_before_it_is_denied():
    """A job that another node has just stored is shown."""
    parts, desk = make_desk()
    assert isinstance(await desk.show("host", f"/q/{JOB}"), answers.UnknownJob)
    other = JobDesk(make_parts("n2", parts.store), decode)
    await submit(other)
    assert await desk.show("host", f"/q/{JOB}") == answers.Shown("queued")
    see_store(parts)
    assert await desk.show("host", "/q/") == answers.Counted(1)


@pytest.mark.parametrize(
    ("age", "outcome"), [(1.9, answers.Counted), (2.1, answers.Refused)]
)
async def test_a_queue_is_not_counted_from_an_old_view(age, outcome):
    # The watch of the jobs is lost, while other nodes accept more of them.
    parts, desk = make_desk()
    await submit(desk)
    see_store(parts)
    parts.clock.advance(age)
    assert isinstance(await desk.show("host", "/q/"), outcome)


async def test_a_queue_is_not_counted_before_its_jobs_were_read():
    # A node that has just started knows of no job.
    _, desk = make_desk()
    assert isinstance(await desk.show("host", "/q/"), answers.Refused)


async def test_a_cancelled_job_is_shown_as_cancelled():
    """Cancelling twice gives the same answer."""
    _, desk = make_desk()
    await submit(desk)
    for _ in range(2):
        assert isinstance(await desk.cancel("host", f"/q/{JOB}"), answers.Accepted)
    assert await desk.show("host", f"/q/{JOB}") == answers.Shown("cancelled")


async def test_a_job_that_would_be_done_too_late_is_turned_away_with_a_time():
    """It hears when room is expected; jobs that can be served are accepted."""
    parts, desk = make_desk()
    parts.view.pools["pool"] = PoolDemand(wait=30.0)
    answer = await submit(desk)
    assert isinstance(answer, answers.Refused)
    assert answer.overloaded
    assert answer.retry_after > 20.0
    assert parts.store.records == {}
    parts.view.pools["pool"] = PoolDemand(wait=1.0)
    assert isinstance(await submit(desk), answers.Accepted)


async def test_the_time_of_each_acceptance_is_measured_by_its_outcome():
    """The metrics tell how long callers waited for which answer."""
    parts, desk = make_desk()
    await submit(desk)
    shown = parts.metrics.render().decode()
    assert 'job_acceptance_seconds_count{outcome="Accepted"} 1.0' in shown
