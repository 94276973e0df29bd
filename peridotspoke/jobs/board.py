"""Scheduler of one pool's jobs: decides on placement and supervision, without I/O."""

from peridotspoke.jobs.actions import (
    BatchGone,
    BatchSeen,
    EndsSeen,
    ExchangeFailed,
    ReadBatch,
    ReportSeen,
    WriteLost,
    WriteWon,
)
from peridotspoke.jobs.batches import JobLocation
from peridotspoke.jobs.batchwrites import make_due_writes
from peridotspoke.jobs.failures import (
    find_workers_to_remove,
    record_outcome,
    set_aside_unrunnable_jobs,
)
from peridotspoke.jobs.lifecycle import JobStarting, WorkerLost
from peridotspoke.jobs.messages import JobPhase
from peridotspoke.jobs.needs import Resources, WorkerCapacity
from peridotspoke.jobs.placementround import place_jobs
from peridotspoke.jobs.poolstate import PoolState, WorkerState
from peridotspoke.jobs.records import key_batch
from peridotspoke.jobs.settings import BoardSettings
from peridotspoke.jobs.tasks import (
    interpret_absence,
    interpret_end,
    make_task_id,
    parse_task_id,
)
from peridotspoke.jobs.workercalls import (
    make_due_ends,
    make_exchanges,
    make_start,
    resend_starts,
)
from peridotspoke.store.workers import TaskStop

__all__ = ["JobBoard"]

PRUNE_INTERVAL_S = 30.0
ACTIVE_PHASES = (JobPhase.STARTING, JobPhase.RUNNING)


class JobBoard:
    """Receives messages about one pool and returns actions to carry out.

    All times are monotonic, in seconds, on the controller's clock.

    Parameters
    ----------
    pool : str
    settings : BoardSettings, optional
    """

    def __init__(self, pool, settings=None):
        self.state = PoolState(pool, settings or BoardSettings())
        self._placed_at = float("-inf")
        self._unrunnable_checked_at = float("-inf")
        self._pruned_at = float("-inf")

    def set_quotas(self, quotas):
        """Replace the quotas by a dict of team to `Resources`."""
        self.state.quotas = quotas

    def set_workers(self, capacities, now):
        """Replace the pool's workers by `capacities`, an iterable of `WorkerCapacity`.

        A worker that is no longer listed is kept while it has active jobs, but is
        not usable for new ones.
        """
        workers = self.state.workers
        capacities_by_name = {capacity.worker: capacity for capacity in capacities}
        active = self.state.cache.active.values()
        busy = {job.state.attempt.worker for job in active}
        for name in (busy | workers.keys()) - capacities_by_name.keys():
            if name in busy:
                capacity = WorkerCapacity(name, "", Resources(0.0, 0, 0), usable=False)
                capacities_by_name[name] = capacity
            else:
                del workers[name]
        for name, capacity in capacities_by_name.items():
            if name not in workers:
                workers[name] = WorkerState(capacity, now)
                self.state.needs_placement = True
            workers[name].capacity = capacity

    def handle(self, message, now):
        """Process a message; return a list of actions to carry out at once."""
        return _HANDLERS[type(message)](self, message, now)

    def count_tasks(self, worker):
        """Return the number of jobs that are active on `worker` or about to start."""
        active = self.state.cache.active.values()
        names = [job.state.attempt.worker for job in active]
        names += self.state.list_starts().values()
        return names.count(worker)

    def renew_only(self):
        """Return only the list of exchanges that renew the leases of running tasks.

        For a controller that can't renew its own lease, for example during an
        outage of the platform's service: it must not change records or start jobs.
        """
        return make_exchanges(self.state)

    def run_round(self, now):
        """Return the list of all actions that are due at the time `now`."""
        state = self.state
        self._handle_lost_workers(now)
        actions = [ReadBatch(key) for key in sorted(state.keys_to_read)]
        state.keys_to_read.clear()
        if now >= self._unrunnable_checked_at + state.settings.unrunnable_interval:
            self._unrunnable_checked_at = now
            set_aside_unrunnable_jobs(state, now)
        actions += find_workers_to_remove(state, now)
        if (
            state.needs_placement
            or now >= self._placed_at + state.settings.place_interval
        ):
            state.needs_placement = False
            self._placed_at = now
            actions += place_jobs(state, now)
        self._checkpoint_on_drained_workers()
        actions += make_due_ends(state, now)
        actions += resend_starts(state, now)
        actions += make_due_writes(state, now)
        actions += make_exchanges(state)
        self._prune(now)
        return actions

    def _handle_batch_seen(self, message, now):
        state = self.state
        if state.cache.take(message.key, message.revision, message.stored):
            state.needs_placement = True
            cached = state.cache.batches.get(message.key)
            for index, job in enumerate(cached.stored.body.jobs if cached else ()):
                seen = (JobLocation(message.key, index), job.state.attempts)
                if job.state.phase is JobPhase.QUEUED:
                    state.queued_since.setdefault(seen, now)
        return []

    def _handle_batch_gone(self, message, now):
        self.state.cache.drop(message.key)
        return []

    def _handle_write_won(self, message, now):
        in_flight = self.state.writes_in_flight.pop(message.key, None)
        events = in_flight.events if in_flight else ()
        for index, event in events:
            location = JobLocation(message.key, index)
            record_outcome(
                self.state, location, in_flight.before.jobs[index], event, now
            )
        seen = BatchSeen(message.key, message.revision, message.stored)
        self._handle_batch_seen(seen, now)
        calls = [
            make_start(self.state, JobLocation(message.key, index), now)
            for index, event in events
            if isinstance(event, JobStarting)
        ]
        return [call for call in calls if call is not None]

    def _handle_write_lost(self, message, now):
        cached = self.state.cache.batches.get(message.key)
        in_flight = self.state.writes_in_flight.pop(message.key, None)
        if cached is not None:
            cached.retry(in_flight.events if in_flight else ())
        return [ReadBatch(message.key)]

    def _handle_report(self, message, now):
        report = message.report
        state = self.state
        worker = state.workers.get(report.worker)
        if worker is None:
            return []
        worker.exchange_in_flight = False
        known = worker.report
        if known is not None and report.incarnation < known.incarnation:
            return []
        if known is None or report.incarnation != known.incarnation:
            state.evidence.forget_worker(report.worker)
            state.needs_placement = True
        worker.report = report
        worker.heard_at = now
        state.confirmed[report.worker] &= {end.task for end in report.ended}
        for load in report.running:
            state.attempts.record_load(load)
        self._record_ends(report.worker, report.ended, now)
        self._handle_absent_tasks(report, now)
        return []

    def _handle_ends(self, message, now):
        self.state.attempts.reported_running.update(message.running)
        self._record_ends(message.worker, message.ends, now)
        return []

    def _handle_exchange_failed(self, message, now):
        worker = self.state.workers.get(message.worker)
        if worker is not None:
            worker.exchange_in_flight = False
        return []

    def _record_ends(self, worker, ends, now):
        state = self.state
        for end in ends:
            job_id, number = parse_task_id(end.task)
            location = JobLocation(key_batch(state.pool, job_id.batch), job_id.index)
            job = state.cache.get_job(location)
            if job is None and location.key in state.cache.done:
                state.confirmed[worker].add(end.task)
            elif job is None or job.state.attempts < number:
                # Another controller has written a newer state. The end is confirmed
                # only after it is known to be stored.
                state.keys_to_read.add(location.key)
            elif (
                job.state.phase in ACTIVE_PHASES and job.state.attempt.number == number
            ):
                state.attempts.reported_ended.add(end.task)
                state.needs_placement = True
                state.add_event(location, interpret_end(number, end), now)
            else:
                state.confirmed[worker].add(end.task)

    def _handle_absent_tasks(self, report, now):
        reported = {load.task for load in report.running}
        reported |= {end.task for end in report.ended}
        state = self.state
        for location, job in state.cache.active.items():
            attempt = job.state.attempt
            task = make_task_id(location.get_id(), attempt.number)
            if attempt.worker != report.worker or task in reported:
                continue
            event = interpret_absence(
                job.state, report, task in state.attempts.reported_running
            )
            if event is not None and task not in state.attempts.reported_ended:
                state.add_event(location, event, now)

    def _handle_lost_workers(self, now):
        state = self.state
        lost = {
            name
            for name, worker in state.workers.items()
            if now >= worker.heard_at + state.settings.lost_after
        }
        for location, job in state.cache.active.items() if lost else ():
            attempt = job.state.attempt
            if attempt.worker in lost:
                event = WorkerLost(attempt.number, f"worker {attempt.worker} vanished")
                state.add_event(location, event, now)

    def _checkpoint_on_drained_workers(self):
        """Stop checkpointable jobs, with a checkpoint, on unusable workers."""
        state = self.state
        for location, job in state.cache.active.items():
            worker = state.workers.get(job.state.attempt.worker)
            if worker is None or worker.capacity.usable or not job.spec.checkpointable:
                continue
            task = make_task_id(location.get_id(), job.state.attempt.number)
            if task in state.attempts.reported_running:
                state.attempts.stopping.setdefault(task, TaskStop.CHECKPOINT)

    def _prune(self, now):
        """Delete the state of attempts and queued jobs that are no longer current."""
        if now < self._pruned_at + PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        state = self.state
        state.attempts.keep_only(
            {
                make_task_id(location.get_id(), job.state.attempt.number)
                for location, job in state.cache.active.items()
            }
        )
        queued = {
            (location, job.state.attempts)
            for location, job in state.cache.iterate_queued()
        }
        for seen in state.queued_since.keys() - queued:
            del state.queued_since[seen]
        # An end reported for one of these batches causes it to be read again.
        state.cache.done.clear()


_HANDLERS = {
    BatchSeen: JobBoard._handle_batch_seen,
    BatchGone: JobBoard._handle_batch_gone,
    WriteWon: JobBoard._handle_write_won,
    WriteLost: JobBoard._handle_write_lost,
    ReportSeen: JobBoard._handle_report,
    EndsSeen: JobBoard._handle_ends,
    ExchangeFailed: JobBoard._handle_exchange_failed,
}
