"""Tests of the logs and metrics about a node's view of the store."""

import asyncio
from contextlib import aclosing
from dataclasses import replace

import pytest
from loguru import logger

from peridotspoke.exceptions import AnswerLostError
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.jobviews import PoolJobs
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.poolrecords import PoolRecords
from peridotspoke.nodes.tasksets import TaskSet
from peridotspoke.nodes.tests.stores import JOB, make_parts
from peridotspoke.store import FollowedRecords, Record, Snapshot, follow_prefix
from peridotspoke.workloads.executors import ExecutorCondition
from peridotspoke.workloads.jobs import Job, Step
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.ledgertypes import LedgerRules
from peridotspoke.workloads.tests.ledgers import make_entry


@pytest.fixture
def lines():
    """Collect the logged lines."""
    collected = []
    sink = logger.add(
        lambda message: collected.append(str(message)), format="{message}"
    )
    yield collected
    logger.remove(sink)


class FailingStore:
    """A store whose second read of a prefix fails, as do all its watches."""

    watch_is_complete = True

    def __init__(self, clock):
        self._clock = clock
        self._reads = 0

    async def read_prefix(self, prefix):
        self._reads += 1
        if self._reads == 2:
            raise AnswerLostError("no answer", step="range")
        self._clock.advance(0.5)
        return Snapshot((Record(f"{prefix}a", b"four", 1),), 7)

    async def watch(self, prefix, from_revision):
        self._clock.advance(2.0)
        raise AnswerLostError("no answer", step="watch")
        yield


async def test_log_lines_give_the_age_of_a_view_and_the_time_of_a_prefix_read(lines):
    clock = make_parts().clock

    async def pause(seconds):
        await asyncio.sleep(0)

    follow = follow_prefix(FailingStore(clock), "work/", sleep=pause, clock=clock)
    async with aclosing(follow) as steps:
        await anext(steps)
        await anext(steps)
    reads = [line for line in lines if "event=prefix-read" in line]
    lost = [line for line in lines if "event=watch-lost" in line]
    assert "records=1 bytes=4 revision=7 seconds=0.5" in reads[0]
    assert "age=" not in reads[0]
    assert "age=3" in reads[1]
    assert ["age=2.5 records=1 failures=1", "age=2.5 records=1 failures=2"] == [
        line[line.index("age=") : line.index(" error=")] for line in lost
    ]


async def test_a_count_is_logged_with_the_age_of_its_view(lines):
    parts = make_parts()
    now = parts.clock.read_monotonic()
    jobs = parts.view.jobs["pool"] = PoolJobs("pool")
    jobs.apply_records(FollowedRecords({}, frozenset(), now - 1.5, 40))
    await JobRequestHandler(parts, None).show("host", "/q/")
    counted = [line for line in lines if "event=jobs-counted" in line]
    assert counted[0].rstrip().endswith("queue=queue waiting=0 source=view age=1.5")
    assert parts.metrics.get_quantile(
        "count_age_seconds", 1.0, source="view"
    ) == pytest.approx(1.5, rel=0.02)


def test_the_bytes_and_the_time_of_calls_to_the_store_are_counted_by_kind():
    parts = make_parts()
    parts.record_store_call("range", "200", served=True, size=700, seconds=0.25)
    parts.record_store_call("range", "200", served=True, size=300, seconds=0.25)
    assert parts.metrics.get_count("store_bytes", kind="range") == 1000
    assert parts.metrics.get_quantile(
        "store_call_seconds", 1.0, kind="range"
    ) == pytest.approx(0.25, rel=0.02)


def decode(body, job_id, queue, wall):
    return Job(job_id, queue.name, queue.pool, "", (Step(1, estimate=2.0),))


async def test_a_refusal_tells_the_outage_and_the_delay_and_is_counted_by_reason(lines):
    """Callers sent away for the store and for lack of room can be told apart."""
    parts = make_parts()
    handler = JobRequestHandler(parts, decode)
    for _ in range(3):
        parts.record_store_call("commit", "AnswerLostError", served=False)
    parts.clock.advance(2.5)
    answer = await handler.submit("host", f"/q/{JOB}", b"")
    refused = next(line for line in lines if "event=job-submit" in line)
    assert 'reason="the store is away"' in refused
    assert "outage=2.5" in refused
    assert f"delay={answer.retry_after:.6g}" in refused
    assert parts.metrics.get_count("refusals", reason="store-away") == 1


async def test_every_refusal_is_counted_by_its_reason():
    """Refusals of counts and for an old configuration as well."""
    parts = make_parts()
    handler = JobRequestHandler(parts, decode)
    parts.clock.advance(parts.settings.bounds.rollout + 0.1)
    await handler.show("host", "/q/")
    await handler.submit("host", "/unknown/", b"")
    assert parts.metrics.get_count("refusals", reason="configuration") == 2


async def test_a_described_demand_counts_the_executors_of_its_pool_only(lines):
    """One of the pool's four executors drains, one is withdrawn, one doesn't answer."""
    parts = make_parts()
    now = parts.clock.read_monotonic()
    rules = LedgerRules(inherited_lease=12.0, margin=0.1)
    ledger = PoolLedger("pool", 1, rules, now)
    conditions = [ExecutorCondition.READY] * 3 + [ExecutorCondition.DRAINING]
    for number, condition in enumerate(conditions):
        ledger.see_entry(replace(make_entry(f"i{number}"), condition=condition), now)
    ledger.set_withdrawn({"i0"})
    ledger.note_unreachable("i1", "no answer", now)
    for number in range(40):
        parts.view.entries[f"i{number}"] = make_entry(f"i{number}")
    tasks = TaskSet("pool")
    records = PoolRecords(
        parts, Holding("pool", 1, now), PoolJobs("pool"), ledger, tasks, print
    )
    records.update_demand(now)
    described = next(line for line in lines if "event=demand-described" in line)
    assert "listed=4 present=2 reachable=1" in described
    tasks.cancel()


async def test_the_answers_about_a_job_name_its_queue(lines):
    """Which queue's callers were refused could be told only from the job's owner."""
    parts = make_parts()
    follow_empty_jobs(parts)
    handler = JobRequestHandler(parts, make_job)
    await handler.submit("host", f"/q/{JOB}", b"")
    await handler.show("host", "/q/0123456789abcdef")
    await handler.cancel("host", f"/q/{JOB}")
    told = [line for line in lines if "event=job-" in line]
    steps = [line.partition("event=job-")[2].split()[0] for line in told]
    assert steps == ["submit", "show", "cancel"]
    assert all(" queue=queue " in line for line in told)


def follow_empty_jobs(parts):
    now = parts.clock.read_monotonic()
    jobs = parts.view.jobs["pool"] = PoolJobs("pool")
    jobs.apply_records(FollowedRecords({}, frozenset(), now, parts.store.revision))


def make_job(body, job_id, queue, wall):
    return Job(job_id, queue.name, queue.pool, "spec", (Step(1),), accepted_at=wall)
