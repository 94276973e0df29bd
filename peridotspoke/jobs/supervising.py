"""Tasks that act for the job boards of the pools that a controller holds."""

import asyncio
from dataclasses import dataclass

from peridotspoke.backoff import BackoffRules, compute_backoff
from peridotspoke.exceptions import PeridotspokeError, PlatformError
from peridotspoke.identities import make_operation_id
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
from peridotspoke.jobs.board import JobBoard
from peridotspoke.jobs.environment import PoolView
from peridotspoke.jobs.messages import JobBatch
from peridotspoke.jobs.records import prefix_pool
from peridotspoke.logs import log_event
from peridotspoke.store import (
    FollowingRules,
    decode_record,
    follow_prefix,
    swap_stored,
)

__all__ = ["JobsTask"]

LONGEST_RETRY_SHARE = 1 / 8  # of a task's lease
# A controller follows one prefix for each pool that it owns, so that the checks of
# silent watches are the larger part of its calls.
FOLLOWING = FollowingRules(check_interval=5.0)


class JobsTask:
    """Supervises the jobs of all pools that a controller holds.

    Parameters
    ----------
    settings : JobsSettings
    environment : JobsEnvironment
    """

    def __init__(self, settings, environment):
        self._settings = settings
        self._environment = environment
        self._retention = RetentionLease(settings, environment)
        self._supervisors = {}

    async def update_pools(self, views):
        """Supervise exactly the pools of `views`, a dict of pool to `PoolView`."""
        for pool in self._supervisors.keys() - views.keys():
            await self._supervisors.pop(pool).stop()
        for pool, view in views.items():
            if pool not in self._supervisors:
                supervisor = PoolSupervisor(
                    pool, self._settings, self._environment, self._retention
                )
                self._supervisors[pool] = supervisor
                supervisor.start()
            self._supervisors[pool].update_view(view)

    def count_tasks(self, pool, worker):
        """Return the number of jobs that may be on a worker of a pool.

        It is at least one until the pool has been read and the worker is known to
        take no more jobs.
        """
        supervisor = self._supervisors.get(pool)
        return 1 if supervisor is None else supervisor.count_tasks(worker)

    async def stop(self):
        """End all tasks; what runs on workers runs on."""
        await self.update_pools({})


@dataclass(frozen=True, slots=True)
class _ChangesTaken:
    """All changes up to some revision of the service were put into the inbox."""


class RetentionLease:
    """A lease shared by the batches that ended within some time of each other.

    Records attached to it vanish with it, so that no call is needed to delete them.
    """

    def __init__(self, settings, environment):
        self._settings = settings
        self._environment = environment
        self._lease = None
        self._lock = asyncio.Lock()

    async def get(self):
        """Return the lease's identity, or 0 where none could be granted."""
        window = self._settings.retention / 10
        async with self._lock:
            now = self._environment.clock.read_monotonic()
            if self._lease is None or now > self._lease.asked_at + window:
                ttl = self._settings.retention + window
                try:
                    self._lease = await self._environment.service.grant_lease(ttl)
                except PlatformError as error:
                    log_event("retention-not-granted", "WARNING", error=error)
                    return 0
            return self._lease.lease_id


class PoolSupervisor:
    """Owns one pool's board and carries its messages.

    After the controller's lease lapsed, a fresh board reads all batches again
    before it acts.
    """

    def __init__(self, pool, settings, environment, retention):
        self._pool = pool
        self._settings = settings
        self._environment = environment
        self._retention = retention
        self._board = JobBoard(pool, settings.board)
        self._view = PoolView((), {}, {})
        self._inbox = asyncio.Queue()
        self._ready = False
        self._suspended = False
        self._tasks = set()
        self._failures = {}
        self._loops = []

    def start(self):
        """Begin to follow the pool's batches and to run rounds."""
        self._loops = [
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._run()),
        ]

    async def stop(self):
        """End all tasks."""
        tasks = [*self._loops, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_view(self, view):
        """Replace the pool's workers and quotas."""
        self._view = view
        self._board.set_workers(view.rooms, self._environment.clock.read_monotonic())
        self._board.set_quotas(view.quotas)

    def count_tasks(self, worker):
        """Return the number of jobs that may be on `worker`."""
        rooms = [room for room in self._view.rooms if room.worker == worker]
        if not self._ready or any(room.usable for room in rooms):
            return max(1, self._board.count_tasks(worker))
        return self._board.count_tasks(worker)

    async def _follow(self):
        prefix = prefix_pool(self._pool)
        service = self._environment.service
        async for followed in follow_prefix(service, prefix, rules=FOLLOWING):
            for key in followed.changed:
                message = _read_record(key, followed.records.get(key))
                if message is not None:
                    self._inbox.put_nowait(message)
            self._inbox.put_nowait(_ChangesTaken())

    async def _run(self):
        while True:
            await self._take_messages()
            try:
                self._run_round()
            except Exception as error:
                # One pool's fault must not end the supervision of its jobs for good.
                log_event("job-round-failed", "ERROR", pool=self._pool, error=error)
                self._restart()
            await asyncio.sleep(self._settings.round_gap)

    def _run_round(self):
        may_act = self._check_lease()
        if not self._ready:
            return
        if may_act:
            now = self._environment.clock.read_monotonic()
            self._carry_out(self._board.run_round(now))
        else:
            self._carry_out(self._board.renew_only())

    async def _take_messages(self):
        try:
            async with asyncio.timeout(self._settings.round_interval):
                message = await self._inbox.get()
        except TimeoutError:
            return
        while True:
            self._take(message)
            if self._inbox.empty():
                return
            message = self._inbox.get_nowait()

    def _take(self, message):
        if isinstance(message, _ChangesTaken):
            self._ready = True
            return
        now = self._environment.clock.read_monotonic()
        self._carry_out(self._board.handle(message, now))

    def _check_lease(self):
        """Return whether this controller may act; start anew after a lapse."""
        held = self._environment.may_act()
        if not held:
            self._suspended = True
        elif self._suspended:
            self._suspended = False
            self._restart()
        return held

    def _restart(self):
        log_event("jobs-read-again", pool=self._pool)
        self._ready = False
        self._inbox = asyncio.Queue()
        for task in self._tasks:
            task.cancel()
        old = self._board.state
        self._board = JobBoard(self._pool, self._settings.board)
        self._board.state.estimator = old.estimator
        self._board.state.evidence = old.evidence
        self.update_view(self._view)
        self._loops[0].cancel()
        self._loops[0] = asyncio.create_task(self._follow())

    def _carry_out(self, actions):
        for action in actions:
            task = asyncio.create_task(self._act(action, self._inbox))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _act(self, action, inbox):
        """Carry out one action and put its outcome into `inbox`."""
        try:
            message = await _CARRIERS[type(action)](self, action)
            if isinstance(action, CallExchange):
                self._failures.pop(action.worker, None)
        except PeridotspokeError as error:
            log_event(
                "job-call-failed",
                "WARNING",
                pool=self._pool,
                step=type(action).__name__,
                error=error,
            )
            message = None
            if isinstance(action, CallExchange):
                await asyncio.sleep(self._draw_retry_wait(action.worker))
                message = ExchangeFailed(action.worker)
            elif isinstance(action, ReadBatch):
                await asyncio.sleep(self._settings.retry_interval)
                message = WriteLost(action.key)
        if message is not None:
            inbox.put_nowait(message)

    def _draw_retry_wait(self, worker):
        """Return seconds to wait; some tries fall within the lease of a task."""
        failures = self._failures[worker] = self._failures.get(worker, 0) + 1
        most = self._settings.board.lease_ttl * LONGEST_RETRY_SHARE
        first = min(self._settings.retry_interval, most)
        rules = BackoffRules(first, most)
        return compute_backoff(rules, failures, self._environment.random)

    async def _write(self, action):
        environment = self._environment
        if not environment.may_act():
            return WriteLost(action.key)
        stored = action.make_stored(
            make_operation_id(environment.random),
            self._settings.author,
            environment.clock.read_wall(),
        )
        lease_id = await self._retention.get() if action.batch.is_done() else 0
        try:
            record = await swap_stored(
                environment.service,
                action.key,
                stored,
                action.expected_revision,
                lease_id,
            )
        except PlatformError as error:
            log_event("job-write-lost", "WARNING", key=action.key, error=error)
            return WriteLost(action.key)
        return WriteWon(action.key, record.revision, stored)

    async def _read(self, action):
        record = await self._environment.service.read(action.key)
        return _read_record(action.key, record)

    async def _start_task(self, action):
        if not self._environment.may_act():
            return None
        end = await self._get_worker(action.worker).start_task(action.start)
        if end is None:
            return EndsSeen(action.worker, (), (action.start.task,))
        return EndsSeen(action.worker, (end,))

    async def _end_tasks(self, action):
        if not self._environment.may_act():
            return None
        ends = await self._get_worker(action.worker).end_tasks(action.end)
        return EndsSeen(action.worker, ends)

    async def _throttle(self, action):
        await self._get_worker(action.worker).throttle_tasks(action.throttle)

    async def _exchange(self, action):
        worker = self._get_worker(action.worker)
        return ReportSeen(await worker.exchange(action.exchange))

    async def _take_out(self, action):
        log_event(
            "worker-suspected", "WARNING", worker=action.worker, reason=action.reason
        )
        await self._environment.take_out(action)

    def _get_worker(self, name):
        address = self._view.addresses.get(name)
        if address is None:
            raise PlatformError("expected an address, found none", peer=name)
        return self._environment.make_worker(address)


def _read_record(key, record):
    """Return the message that tells a board what stands at `key`."""
    if record is None:
        return BatchGone(key)
    try:
        stored = decode_record(record, JobBatch)
    except PlatformError as error:
        log_event("job-record-rejected", "ERROR", error=error)
        return None
    return BatchSeen(key, record.revision, stored, record.lease)


_CARRIERS = {
    WriteBatch: PoolSupervisor._write,
    ReadBatch: PoolSupervisor._read,
    CallStart: PoolSupervisor._start_task,
    CallEnd: PoolSupervisor._end_tasks,
    CallThrottle: PoolSupervisor._throttle,
    CallExchange: PoolSupervisor._exchange,
    TakeOutWorker: PoolSupervisor._take_out,
}
