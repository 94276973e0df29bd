"""Supervises the jobs of all pools that a controller owns: I/O for the job boards."""

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
from peridotspoke.jobs.environment import JobPoolView
from peridotspoke.jobs.messages import JobBatch
from peridotspoke.jobs.records import prefix_pool
from peridotspoke.jobs.retention import RetentionLease
from peridotspoke.logs import log_event
from peridotspoke.store import (
    FollowingRules,
    decode_record,
    follow_prefix,
    swap_stored,
)

__all__ = ["JobsTask"]

MAX_RETRY_SHARE = 1 / 8  # maximum retry delay as a share of the TTL of a task's lease

# A controller watches one prefix for each pool that it owns, so that the checks of
# silent watches make up most of its calls.
FOLLOWING_RULES = FollowingRules(check_interval=5.0)


class JobsTask:
    """Supervises the jobs of all pools that a controller owns.

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
        """Supervise the pools of `views` and stop the supervision of all others.

        Parameters
        ----------
        views : dict of str to JobPoolView
        """
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
        """Return an upper bound of the number of jobs on a worker of a pool.

        It is at least 1 until the pool's batches have been read and the worker is not
        usable for new jobs.
        """
        supervisor = self._supervisors.get(pool)
        return 1 if supervisor is None else supervisor.count_tasks(worker)

    async def stop(self):
        """Stop supervision; tasks on workers continue to run."""
        await self.update_pools({})


@dataclass(frozen=True, slots=True)
class _ChangesDelivered:
    """Marks in the inbox that all changes up to some revision were put before it."""


class PoolSupervisor:
    """Runs the job board of one pool and carries out its actions.

    After the controller's lease has lapsed and was regained, a new board reads all
    batches again before it acts.

    Parameters
    ----------
    pool : str
    settings : JobsSettings
    environment : JobsEnvironment
    retention : RetentionLease
    """

    def __init__(self, pool, settings, environment, retention):
        self._pool = pool
        self._settings = settings
        self._environment = environment
        self._retention = retention
        self._board = JobBoard(pool, settings.board)
        self._view = JobPoolView((), {}, {})
        self._inbox = asyncio.Queue()
        self._ready = False
        self._suspended = False
        self._tasks = set()
        self._failures = {}
        self._loops = []

    def start(self):
        """Start to watch the pool's batches and to run rounds."""
        self._loops = [
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._run()),
        ]

    async def stop(self):
        """Cancel all tasks."""
        tasks = [*self._loops, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_view(self, view):
        """Replace the pool's workers and quotas by those of a `JobPoolView`."""
        self._view = view
        self._board.set_workers(view.workers, self._environment.clock.read_monotonic())
        self._board.set_quotas(view.quotas)

    def count_tasks(self, worker):
        """Return an upper bound of the number of jobs on `worker`."""
        capacities = [item for item in self._view.workers if item.worker == worker]
        if not self._ready or any(item.usable for item in capacities):
            return max(1, self._board.count_tasks(worker))
        return self._board.count_tasks(worker)

    async def _follow(self):
        prefix = prefix_pool(self._pool)
        service = self._environment.service
        async for followed in follow_prefix(service, prefix, rules=FOLLOWING_RULES):
            for key in followed.changed:
                message = _read_record(key, followed.records.get(key))
                if message is not None:
                    self._inbox.put_nowait(message)
            self._inbox.put_nowait(_ChangesDelivered())

    async def _run(self):
        while True:
            await self._process_messages()
            try:
                self._run_round()
            except Exception as error:
                # An unexpected error must not end the supervision of the pool for good.
                log_event("job-round-failed", "ERROR", pool=self._pool, error=error)
                self._restart()
            await asyncio.sleep(self._settings.round_gap)

    def _run_round(self):
        lease_held = self._check_lease()
        if not self._ready:
            return
        if lease_held:
            now = self._environment.clock.read_monotonic()
            self._start_actions(self._board.run_round(now))
        else:
            self._start_actions(self._board.renew_only())

    async def _process_messages(self):
        try:
            async with asyncio.timeout(self._settings.round_interval):
                message = await self._inbox.get()
        except TimeoutError:
            return
        while True:
            self._process_message(message)
            if self._inbox.empty():
                return
            message = self._inbox.get_nowait()

    def _process_message(self, message):
        if isinstance(message, _ChangesDelivered):
            self._ready = True
            return
        now = self._environment.clock.read_monotonic()
        self._start_actions(self._board.handle(message, now))

    def _check_lease(self):
        """Return whether the controller holds its lease; restart after a lapse."""
        lease_held = self._environment.holds_lease()
        if not lease_held:
            self._suspended = True
        elif self._suspended:
            self._suspended = False
            self._restart()
        return lease_held

    def _restart(self):
        log_event("jobs-read-again", pool=self._pool)
        self._ready = False
        self._inbox = asyncio.Queue()
        for task in self._tasks:
            task.cancel()
        previous = self._board.state
        self._board = JobBoard(self._pool, self._settings.board)
        self._board.state.estimator = previous.estimator
        self._board.state.evidence = previous.evidence
        self.update_view(self._view)
        self._loops[0].cancel()
        self._loops[0] = asyncio.create_task(self._follow())

    def _start_actions(self, actions):
        for action in actions:
            task = asyncio.create_task(self._execute(action, self._inbox))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _execute(self, action, inbox):
        """Carry out an action and put the resulting message into `inbox`."""
        try:
            message = await _ACTION_HANDLERS[type(action)](self, action)
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
                await asyncio.sleep(self._draw_retry_delay(action.worker))
                message = ExchangeFailed(action.worker)
            elif isinstance(action, ReadBatch):
                await asyncio.sleep(self._settings.retry_interval)
                message = WriteLost(action.key)
        if message is not None:
            inbox.put_nowait(message)

    def _draw_retry_delay(self, worker):
        """Return the delay in seconds before the next exchange with a worker.

        It is short enough for several retries within the TTL of a task's lease.
        """
        failures = self._failures[worker] = self._failures.get(worker, 0) + 1
        max_delay = self._settings.board.lease_ttl * MAX_RETRY_SHARE
        initial_delay = min(self._settings.retry_interval, max_delay)
        rules = BackoffRules(initial_delay, max_delay)
        return compute_backoff(rules, failures, self._environment.random)

    async def _write(self, action):
        environment = self._environment
        if not environment.holds_lease():
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
        if not self._environment.holds_lease():
            return None
        end = await self._get_worker(action.worker).start_task(action.start)
        if end is None:
            return EndsSeen(action.worker, (), (action.start.task,))
        return EndsSeen(action.worker, (end,))

    async def _end_tasks(self, action):
        if not self._environment.holds_lease():
            return None
        ends = await self._get_worker(action.worker).end_tasks(action.end)
        return EndsSeen(action.worker, ends)

    async def _throttle(self, action):
        await self._get_worker(action.worker).throttle_tasks(action.throttle)

    async def _exchange(self, action):
        worker = self._get_worker(action.worker)
        return ReportSeen(await worker.exchange(action.exchange))

    async def _request_removal(self, action):
        log_event(
            "worker-suspected", "WARNING", worker=action.worker, reason=action.reason
        )
        await self._environment.request_removal(action)

    def _get_worker(self, name):
        address = self._view.addresses.get(name)
        if address is None:
            raise PlatformError("the worker's address is not known", peer=name)
        return self._environment.make_worker(address)


def _read_record(key, record):
    """Return the message about the record of `key`, or None if it is invalid."""
    if record is None:
        return BatchGone(key)
    try:
        stored = decode_record(record, JobBatch)
    except PlatformError as error:
        log_event("job-record-rejected", "ERROR", error=error)
        return None
    return BatchSeen(key, record.revision, stored, record.lease)


_ACTION_HANDLERS = {
    WriteBatch: PoolSupervisor._write,
    ReadBatch: PoolSupervisor._read,
    CallStart: PoolSupervisor._start_task,
    CallEnd: PoolSupervisor._end_tasks,
    CallThrottle: PoolSupervisor._throttle,
    CallExchange: PoolSupervisor._exchange,
    TakeOutWorker: PoolSupervisor._request_removal,
}
