"""Tests that the number of waiting jobs of a queue is true and recent."""

import pytest

from peridotspoke.exceptions import (
    AnswerLostError,
)
from peridotspoke.nodes import jobanswers as answers
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.keys import (
    key_progress,
)
from peridotspoke.nodes.tests.handlers import (
    OTHER_JOB,
    advance,
    decode,
    follow_jobs,
    follow_owner,
    make_handler,
    submit,
)
from peridotspoke.nodes.tests.stores import JOB, make_parts
from peridotspoke.store import Put, Transaction
from peridotspoke.workloads.progress import JobProgress, encode_progress


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
