"""A handler of callers' requests on a node in memory, for tests."""

from peridotspoke.exceptions import RequestError
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.keys import key_owner, key_queue_counts, prefix_jobs
from peridotspoke.nodes.records import OwnerRecord, QueueCounts, encode_value
from peridotspoke.nodes.tests.stores import JOB, make_parts
from peridotspoke.store import FollowedRecords, Record
from peridotspoke.workloads.jobs import Job, Step

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
