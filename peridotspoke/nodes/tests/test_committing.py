"""Tests of commits of job progress that are conditional on ownership."""

import random

import pytest

from peridotspoke.clock import ManualClock
from peridotspoke.nodes import committing
from peridotspoke.nodes.commits import MAX_TIMEOUT, MIN_TIMEOUT, TimedCommits
from peridotspoke.nodes.committing import (
    BATCHING_DELAY,
    MAX_JOBS_PER_COMMIT,
    CommitTracker,
    OwnershipLostError,
    ProgressWriter,
)
from peridotspoke.nodes.keys import key_owner, key_progress
from peridotspoke.nodes.ownership import Holding
from peridotspoke.nodes.tests.stores import JOB, InMemoryStore
from peridotspoke.store import CommitResult, Condition, Put, Transaction
from peridotspoke.workloads.executors import EndKind
from peridotspoke.workloads.jobs import Step
from peridotspoke.workloads.tests.ledgers import (
    add_job,
    end,
    make_ledger,
    report,
    start_all,
)


async def make_writer(monkeypatch):
    async def sleep(seconds):
        return None

    monkeypatch.setattr(committing.asyncio, "sleep", sleep)
    store = InMemoryStore()
    result = await store.commit(Transaction((), (Put(key_owner("pool"), b"me"),)))
    holding = Holding("pool", result.revision, 0.0)
    commits = TimedCommits(store, ManualClock(0.0))
    return store, ProgressWriter(commits, holding, {}, random.Random(1))


@pytest.mark.parametrize(
    "faults", [["lost"], ["delayed"], ["unavailable"], ["delayed", "lost"]]
)
async def test_a_write_is_repeated_until_its_outcome_is_certain(faults, monkeypatch):
    """Neither a lost answer nor a write that is applied late leaves an older state."""
    store, writer = await make_writer(monkeypatch)
    store.faults = list(faults)
    await writer.write({JOB: b"one"})
    await writer.write({JOB: b"two"})
    store.deliver_delayed()
    assert store.records[key_progress("pool", JOB)].value == b"two"


async def test_nothing_is_written_once_another_node_owns_the_pool(monkeypatch):
    """Each write is conditional on the revision of the owner record."""
    store, writer = await make_writer(monkeypatch)
    revision = store.records[key_owner("pool")].revision
    key = key_owner("pool")
    await store.commit(Transaction((Condition(key, revision),), (Put(key, b"you"),)))
    with pytest.raises(OwnershipLostError):
        await writer.write({JOB: b"one"})
    assert key_progress("pool", JOB) not in store.records


def test_a_commit_without_an_answer_does_not_hold_up_other_jobs():
    """Only its own jobs wait for it; others wait briefly, to form larger batches."""
    tracker = CommitTracker()
    tracker.begin({"a"}, now=0.0)
    assert not tracker.may_begin(1, now=BATCHING_DELAY / 2)
    assert tracker.may_begin(1, now=BATCHING_DELAY * 2)
    assert tracker.may_begin(MAX_JOBS_PER_COMMIT, now=0.0)
    assert tracker.list_jobs() == {"a"}
    for name in ("b", "c", "d"):
        tracker.begin({name}, now=1.0)
    assert not tracker.may_begin(MAX_JOBS_PER_COMMIT, now=9.0)


def test_ends_are_acknowledged_only_once_all_changed_jobs_are_stored():
    """Commits end in any order, and a job may change again while it is being stored."""
    tracker = CommitTracker()
    first = tracker.begin({"a"}, now=0.0)
    assert tracker.advance_cursors(lambda: {"i": (1, 7)}, {"a", "b"}) is None
    second = tracker.begin({"b"}, now=0.1)
    tracker.end(second)
    assert tracker.advance_cursors(lambda: {"i": (1, 9)}, {"a"}) is None
    tracker.end(first)
    assert tracker.advance_cursors(lambda: {"i": (1, 9)}, {"a"}) is None
    tracker.end(tracker.begin({"a"}, now=0.2))
    assert tracker.advance_cursors(lambda: {"i": (1, 9)}, set()) == {"i": (1, 7)}
    assert tracker.advance_cursors(lambda: {"i": (1, 9)}, set()) == {"i": (1, 9)}


def test_ends_are_acknowledged_after_a_changed_job_was_dropped():
    """A cancelled job's run ends while its end is being stored: nothing is left of it.

    The executors' ends would never be acknowledged again while this node owns the pool.
    """
    ledger, tracker = make_ledger("e1"), CommitTracker()
    add_job(ledger, Step(1))
    (run,) = start_all(ledger, 0.0)
    other = tracker.begin({"other"}, 0.9)
    assert tracker.advance_cursors(ledger.list_end_cursors, ledger.dirty) is None
    ledger.cancel_job(run.key.job_id, 1.0)
    batch = ledger.take_batch(MAX_JOBS_PER_COMMIT)
    number = tracker.begin(batch.values, 1.0)
    tracker.end(other)
    assert tracker.advance_cursors(ledger.list_end_cursors, ledger.dirty) is not None
    report(ledger, "e1", 1.1, ended=[end(1, run, EndKind.STOPPED)])
    assert tracker.advance_cursors(ledger.list_end_cursors, ledger.dirty) is None
    tracker.end(number)
    ledger.note_stored(batch)
    assert ledger.jobs == {}
    assert ledger.take_batch(MAX_JOBS_PER_COMMIT).values == {}
    cursors = tracker.advance_cursors(ledger.list_end_cursors, ledger.dirty)
    assert cursors == {"e1": (1, 1)}


async def test_a_first_try_is_given_up_as_soon_as_its_answer_is_overdue():
    """The time limit is short while the store responds fast, and longer when slow."""
    clock = ManualClock(0.0)
    store = InMemoryStore()
    response_times = [0.005] * 60 + [0.09] * 30
    timeouts = []

    async def commit(transaction, timeout=None):
        clock.advance(response_times[len(timeouts)])
        timeouts.append(timeout)
        return CommitResult(True, 1)

    store.commit = commit
    commits = TimedCommits(store, clock)
    for _ in response_times:
        await commits.commit(Transaction(()))
    assert timeouts[0] == MAX_TIMEOUT
    assert timeouts[59] == MIN_TIMEOUT
    assert MIN_TIMEOUT < timeouts[65] <= MAX_TIMEOUT
