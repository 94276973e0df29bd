"""Job boards, workers and a store on a simulated clock, with calls one by one."""

import itertools
import random

from peridotspoke.identities import make_operation_id
from peridotspoke.jobs import (
    BoardSettings,
    Job,
    JobBatch,
    JobBoard,
    Resources,
    WorkerCapacity,
)
from peridotspoke.jobs.actions import (
    BatchGone,
    BatchSeen,
    CallEnd,
    CallExchange,
    CallStart,
    CallThrottle,
    EndsSeen,
    ExchangeFailed,
    ReadBatch,
    ReportSeen,
    TakeOutWorker,
    WriteBatch,
    WriteLost,
    WriteWon,
)
from peridotspoke.jobs.lifecycle import CancelAsked, apply_event
from peridotspoke.jobs.records import key_batch
from peridotspoke.standins import StoreStandIn, TaskRunner
from peridotspoke.store import Record, Stored, decode_record, encode_stored
from peridotspoke.store.records import ChangeNote

POOL = "feldkirch"
SIZE = Resources(4.0, 16 << 30, 2)
SETTINGS = BoardSettings(
    start_ttl=4.0,
    lease_ttl=5.0,
    lost_after=8.0,
    exchange_wait=0.0,
    write_delay=0.0,
    unrunnable_after=5.0,
    unrunnable_interval=1.0,
)


class World:
    """The store, the workers and the clock that controllers share."""

    def __init__(self, workers=2, settings=SETTINGS):
        self.now = 1000.0
        self.store = StoreStandIn()
        self.settings = settings
        self.chance = random.Random(1)
        self.runners = {f"w{n}": TaskRunner(f"w{n}", 2) for n in range(workers)}
        self.offsets = {name: 50.0 * n for n, name in enumerate(self.runners)}
        self.taken_out = []
        self._numbers = itertools.count()

    def submit(self, specs):
        """Store jobs in one batch and return its key."""
        key = key_batch(POOL, f"b{next(self._numbers)}")
        batch = JobBatch(POOL, self.now, tuple(Job(spec) for spec in specs))
        note = ChangeNote("op", "entry", "accept", "", self.now)
        value = encode_stored(Stored(batch, (note,)))
        assert self.store.swap(key, value, 0, 0, self.now).succeeded
        return key

    def read(self, key):
        record = self.store.read(key, self.now)
        return record, decode_record(record, JobBatch)

    def cancel(self, key, index, read=None):
        """Write a cancellation; return the job, or None if the swap conflicted."""
        record, stored = read or self.read(key)
        jobs = list(stored.body.jobs)
        jobs[index] = apply_event(jobs[index], CancelAsked())
        body = JobBatch(POOL, stored.body.accepted_at, tuple(jobs))
        value = encode_stored(Stored(body, stored.changes))
        succeeded = self.store.swap(key, value, record.revision, 0, self.now).succeeded
        return jobs[index] if succeeded else None

    def list_jobs(self):
        """Yield the identifier and the `Job` of each accepted job."""
        for record in self.store.read_prefix("jobs/", self.now).records:
            batch = decode_record(record, JobBatch).body
            for index, job in enumerate(batch.jobs):
                yield f"{record.key.rpartition('/')[2]}.{index}", job

    def count_runs(self, job_id):
        return sum(
            count
            for runner in self.runners.values()
            for task, count in runner.runs.items()
            if task.rpartition("/")[0] == job_id
        )

    def call_worker(self, name, method, message):
        """Carry out a call on a worker by the worker's own clock."""
        runner = self.runners[name]
        return getattr(runner, method)(message, self.now + self.offsets[name])


class ControllerUnderTest:
    """A board whose actions are queued in `outbox` until `deliver` is called."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.board = JobBoard(POOL, world.settings)
        self.outbox = []
        self._revision = 0
        capacities = [WorkerCapacity(name, f"r-{name}", SIZE) for name in world.runners]
        self.board.set_workers(capacities, world.now)

    def watch(self):
        """Deliver all changes of the store since the last call."""
        store = self.world.store
        for change in store.list_changes("jobs/", self._revision):
            self._revision = change.revision
            self._deliver_message(self._describe(change.key, change.record))

    def run_round(self):
        self.outbox += self.board.run_round(self.world.now)

    def deliver(self, index=0, arrives=True, answered=True):
        """Carry out an action of the outbox and return it.

        Without `arrives` the call is lost and has no effect; without `answered` it
        takes effect but its answer is lost.
        """
        action = self.outbox.pop(index)
        message = self._execute(action) if arrives else None
        if not (arrives and answered):
            message = self._describe_loss(action)
        if message is not None:
            self._deliver_message(message)
        return action

    def run_without_faults(self):
        """Deliver changes, run a round and carry out all resulting actions."""
        self.watch()
        self.run_round()
        while self.outbox:
            self.deliver()

    def _deliver_message(self, message):
        self.outbox += self.board.handle(message, self.world.now)

    def _execute(self, action):
        match action:
            case WriteBatch():
                return self._write(action)
            case ReadBatch():
                record = self.world.store.read(action.key, self.world.now)
                return self._describe(action.key, record)
            case CallStart():
                end = self.world.call_worker(action.worker, "start_task", action.start)
                if end is None:
                    return EndsSeen(action.worker, (), (action.start.task,))
                return EndsSeen(action.worker, (end,))
            case CallEnd():
                ends = self.world.call_worker(action.worker, "end_tasks", action.end)
                return EndsSeen(action.worker, ends)
            case CallThrottle():
                self.world.call_worker(action.worker, "throttle_tasks", action.throttle)
            case CallExchange():
                return ReportSeen(
                    self.world.call_worker(action.worker, "exchange", action.exchange)
                )
            case TakeOutWorker():
                self.world.taken_out.append(action.worker)
        return None

    def _write(self, action):
        world = self.world
        operation = make_operation_id(world.chance)
        stored = action.make_stored(operation, self.name, world.now)
        result = world.store.swap(
            action.key, encode_stored(stored), action.expected_revision, 0, world.now
        )
        if result.succeeded:
            return WriteWon(action.key, result.revision, stored)
        return WriteLost(action.key)

    def _describe(self, key, record):
        if record is None:
            return BatchGone(key)
        record = Record(key, record.value, record.revision)
        return BatchSeen(key, record.revision, decode_record(record, JobBatch))

    def _describe_loss(self, action):
        match action:
            case WriteBatch() | ReadBatch():
                return WriteLost(action.key)
            case CallExchange():
                return ExchangeFailed(action.worker)
        return None
