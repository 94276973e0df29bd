"""Tests of when the tasks of an executor that is away may run elsewhere."""

import asyncio

import pytest

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.nodes.tests.doubles import HeldOwnership, RunningCalls
from peridotspoke.nodes.tests.stores import make_parts, own_unit
from peridotspoke.nodes.tests.test_supervising import FENCE, make_jobs, run_round
from peridotspoke.store import FollowedRecords, Record
from peridotspoke.workloads.executors import ExecutorCondition
from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.tests.ledgers import make_entry


class OwnedPool:
    """A pool whose one task runs on the executor e1, which is draining."""

    def __init__(self):
        self.parts, self.calls = make_parts(), RunningCalls()
        self.parts.ownership = HeldOwnership()
        own_unit(self.parts.store, "pool", FENCE)
        self.parts.open_executor = lambda entry: self.calls
        self.list_executor(
            make_entry("e1", condition=ExecutorCondition.DRAINING, remaining=2.0)
        )
        self.supervisor, self.task = run_round(self.parts, make_jobs(), FENCE)

    def list_executor(self, entry):
        """Let the view read the entry of e1, or that there is none."""
        records = {"entries/e1": Record("entries/e1", b"", 1)} if entry else {}
        now = self.parts.clock.read_monotonic()
        followed = FollowedRecords(records, frozenset({"entries/e1"}), now, 1)
        self.parts.view.apply_entries(followed, lambda record: entry)
        if hasattr(self, "supervisor"):
            self.supervisor._changed_entries.add("e1")

    async def poll(self):
        """Let the owner poll the executor once, and handle what comes of it.

        The store serves the owner meanwhile.
        """
        self.parts.record_store_call("watch", "200", served=True)
        self.supervisor._run_round()
        await asyncio.sleep(0)
        session, loop_task, _ = self.supervisor._sessions["e1"]
        loop_task.cancel()
        await session._poll()
        await self.supervisor._receive_messages()
        self.supervisor._run_round()

    def is_held(self):
        """Return whether the task still counts as running on the executor."""
        return self.task.status is TaskStatus.ASSIGNED and self.task.run == 1

    def close(self):
        self.supervisor._tasks.cancel()


@pytest.mark.parametrize(
    "error",
    [
        PlatformUnavailableError("could not connect", step="renew leases"),
        AnswerLostError("no complete response", step="renew leases"),
    ],
)
async def test_an_unlisted_executor_that_refuses_calls_holds_its_task_for_its_lease(
    error,
):
    # Guards against two runs of one task (review/2): a draining executor that is cut
    # off loses its entry and takes no connection, but runs on until its lease ends.
    pool = OwnedPool()
    for _ in range(3):
        pool.parts.clock.advance(2.0)
        await pool.poll()
    lease = pool.parts.settings.run_lease
    pool.list_executor(None)
    pool.calls.error = error
    await pool.poll()
    for _ in range(2):
        pool.parts.clock.advance(lease / 2 - 0.1)
        await pool.poll()
        assert pool.is_held()
    pool.parts.clock.advance(0.4)
    pool.supervisor._run_round()
    assert not pool.is_held()
    pool.close()
    await asyncio.sleep(0)


async def test_a_session_goes_on_after_an_unexpected_error(monkeypatch):
    # Guards against an executor that is never polled again.
    monkeypatch.setattr("peridotspoke.nodes.tasksets.RESTART_DELAY", 0.0)
    pool = OwnedPool()
    pool.calls.error = KeyError("an answer of an unexpected form")
    async with asyncio.timeout(20):
        while not pool.calls.orders:
            await asyncio.sleep(0.01)
        pool.calls.error, failed = None, len(pool.calls.orders)
        while len(pool.calls.orders) <= failed + 1:
            await asyncio.sleep(0.01)
    pool.close()
