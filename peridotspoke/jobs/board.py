"""The decision core for one pool's jobs: places them and supervises them."""

from peridotspoke.jobs.actions import (
    BatchGone,
    BatchSeen,
    EndsSeen,
    ExchangeFailed,
    ReadBatch,
    ReportSeen,
    WriteBatch,
    WriteLost,
    WriteWon,
)
from peridotspoke.jobs.calling import (
    make_ends,
    make_exchanges,
    make_start,
    resend_starts,
)
from peridotspoke.jobs.holdings import HeldWorker, JobPlace, PoolState, Writing
from peridotspoke.jobs.judging import judge_workers, learn_event, set_unfit_aside
from peridotspoke.jobs.lifecycle import JobRunning, JobStarting, WorkerLost
from peridotspoke.jobs.messages import JobPhase, Urgency
from peridotspoke.jobs.needs import Need, WorkerRoom
from peridotspoke.jobs.placing import place_jobs
from peridotspoke.jobs.records import key_batch
from peridotspoke.jobs.settings import BoardSettings
from peridotspoke.jobs.tasks import (
    interpret_absence,
    interpret_end,
    make_task_id,
    parse_task_id,
)
from peridotspoke.store.workers import TaskStop

__all__ = ["JobBoard"]

FORGET_INTERVAL = 30.0  # seconds
ACTIVE = (JobPhase.STARTING, JobPhase.RUNNING)


class JobBoard:
    """Takes what is seen of one pool and returns what is to be done.

    Parameters
    ----------
    pool : str
    settings : BoardSettings, optional
    """

    def __init__(self, pool, settings=None):
        self.state = PoolState(pool, settings or BoardSettings())
        self._placed_at = float("-inf")
        self._judged_at = float("-inf")
        self._forgot_at = float("-inf")

    def set_quotas(self, quotas):
        """Replace the quotas, a dict of team to `Need`."""
        self.state.quotas = quotas

    def set_workers(self, rooms, now):
        """Replace the pool's workers by `rooms`, an iterable of `WorkerRoom`.

        A worker that isn't listed stays known while jobs are on it, and takes no
        more.
        """
        workers = self.state.workers
        named = {room.worker: room for room in rooms}
        active = self.state.held.active.values()
        busy = {job.state.attempt.worker for job in active}
        for name in (busy | workers.keys()) - named.keys():
            if name in busy:
                room = WorkerRoom(name, "", Need(0.0, 0, 0), usable=False)
                named[name] = room
            else:
                del workers[name]
        for name, room in named.items():
            if name not in workers:
                workers[name] = HeldWorker(room, now)
                self.state.dirty = True
            workers[name].room = room

    def handle(self, message, now):
        """Take one message; return a list of actions that don't wait for a round."""
        return _HANDLERS[type(message)](self, message, now)

    def count_tasks(self, worker):
        """Return the number of jobs that are on `worker` or are to start there."""
        active = self.state.held.active.values()
        names = [job.state.attempt.worker for job in active]
        names += self.state.list_starts().values()
        return names.count(worker)

    def renew_only(self):
        """Return the exchanges that keep running tasks alive, and nothing else.

        A controller whose own lease can't be renewed, such as in an outage of the
        platform's service, does this much: it changes no record and starts nothing.
        """
        return make_exchanges(self.state)

    def run_round(self, now):
        """Return the list of actions that are due at the time `now`."""
        state = self.state
        self._find_lost_workers(now)
        actions = [ReadBatch(key) for key in sorted(state.unread)]
        state.unread.clear()
        if now >= self._judged_at + state.settings.unfit_interval:
            self._judged_at = now
            set_unfit_aside(state, now)
        actions += judge_workers(state, now)
        if state.dirty or now >= self._placed_at + state.settings.place_interval:
            state.dirty = False
            self._placed_at = now
            actions += place_jobs(state, now)
        self._leave_drained_workers()
        actions += make_ends(state, now)
        actions += resend_starts(state, now)
        actions += self._write(now)
        actions += make_exchanges(state)
        self._forget(now)
        return actions

    def _see_batch(self, message, now):
        state = self.state
        if state.held.take(message.key, message.revision, message.stored):
            state.dirty = True
            held = state.held.batches.get(message.key)
            for index, job in enumerate(held.stored.body.jobs if held else ()):
                seen = (JobPlace(message.key, index), job.state.attempts)
                if job.state.phase is JobPhase.QUEUED:
                    state.queued_since.setdefault(seen, now)
        return []

    def _see_batch_gone(self, message, now):
        self.state.held.drop(message.key)
        return []

    def _win_write(self, message, now):
        writing = self.state.writing.pop(message.key, None)
        events = writing.events if writing else ()
        for index, event in events:
            place = JobPlace(message.key, index)
            learn_event(self.state, place, writing.before.jobs[index], event, now)
        seen = BatchSeen(message.key, message.revision, message.stored)
        self._see_batch(seen, now)
        calls = [
            make_start(self.state, JobPlace(message.key, index), now)
            for index, event in events
            if isinstance(event, JobStarting)
        ]
        return [call for call in calls if call is not None]

    def _lose_write(self, message, now):
        held = self.state.held.batches.get(message.key)
        writing = self.state.writing.pop(message.key, None)
        if held is not None:
            held.retry(writing.events if writing else ())
        return [ReadBatch(message.key)]

    def _see_report(self, message, now):
        report = message.report
        state = self.state
        worker = state.workers.get(report.worker)
        if worker is None:
            return []
        worker.asking = False
        known = worker.report
        if known is not None and report.incarnation < known.incarnation:
            return []
        if known is None or report.incarnation != known.incarnation:
            state.evidence.forget_worker(report.worker)
            state.dirty = True
        worker.report = report
        worker.heard_at = now
        state.confirmed[report.worker] &= {end.task for end in report.ended}
        for load in report.running:
            state.attempts.note_load(load)
        self._take_ends(report.worker, report.ended, now)
        self._check_absent(report, now)
        return []

    def _see_ends(self, message, now):
        self.state.attempts.seen.update(message.running)
        self._take_ends(message.worker, message.ends, now)
        return []

    def _fail_exchange(self, message, now):
        worker = self.state.workers.get(message.worker)
        if worker is not None:
            worker.asking = False
        return []

    def _take_ends(self, worker, ends, now):
        state = self.state
        for end in ends:
            job_id, number = parse_task_id(end.task)
            place = JobPlace(key_batch(state.pool, job_id.batch), job_id.index)
            job = state.held.get_job(place)
            if job is None and place.key in state.held.done:
                state.confirmed[worker].add(end.task)
            elif job is None or job.state.attempts < number:
                # Another controller knows more; the end is confirmed only once its
                # effect is known to stand in the service.
                state.unread.add(place.key)
            elif job.state.phase in ACTIVE and job.state.attempt.number == number:
                state.attempts.ended.add(end.task)
                state.dirty = True
                state.add_event(place, interpret_end(number, end), now)
            else:
                state.confirmed[worker].add(end.task)

    def _check_absent(self, report, now):
        named = {load.task for load in report.running}
        named |= {end.task for end in report.ended}
        state = self.state
        for place, job in state.held.active.items():
            attempt = job.state.attempt
            task = make_task_id(place.get_id(), attempt.number)
            if attempt.worker != report.worker or task in named:
                continue
            event = interpret_absence(job.state, report, task in state.attempts.seen)
            if event is not None and task not in state.attempts.ended:
                state.add_event(place, event, now)

    def _find_lost_workers(self, now):
        state = self.state
        lost = {
            name
            for name, worker in state.workers.items()
            if now >= worker.heard_at + state.settings.lost_after
        }
        for place, job in state.held.active.items() if lost else ():
            attempt = job.state.attempt
            if attempt.worker in lost:
                event = WorkerLost(attempt.number, f"worker {attempt.worker} vanished")
                state.add_event(place, event, now)

    def _leave_drained_workers(self):
        """Let jobs that can save their progress leave workers that take no more."""
        state = self.state
        for place, job in state.held.active.items():
            worker = state.workers.get(job.state.attempt.worker)
            if worker is None or worker.room.usable or not job.spec.checkpointable:
                continue
            task = make_task_id(place.get_id(), job.state.attempt.number)
            if task in state.attempts.seen:
                state.attempts.leaving.setdefault(task, TaskStop.CHECKPOINT)

    def _write(self, now):
        """Return the swaps that are due, those with urgent starts first."""
        due = []
        for key, held in self.state.held.batches.items():
            if not held.pending or held.stale or key in self.state.writing:
                continue
            rank = min(_rank_event(held, index, event) for index, event in held.pending)
            if rank < 2 or now >= held.pending_since + self.state.settings.linger:
                due.append((rank, held.stored.body.accepted_at, key))
        due.sort()
        writes = []
        for rank, _, key in due:
            if len(writes) >= self.state.settings.max_writes:
                break
            write = self._make_write(key, rank == 0)
            if write is not None:
                writes.append(write)
        return writes

    def _make_write(self, key, urgent):
        held = self.state.held.batches[key]
        self._add_running(key, held)
        batch = held.make_successor()
        if batch is None:
            held.pending.clear()
            return None
        events, held.pending = tuple(held.pending), []
        self.state.writing[key] = Writing(events, held.stored.body)
        names = sorted({type(event).__name__ for _, event in events})
        reasons = {getattr(event, "reason", "") for _, event in events} - {""}
        return WriteBatch(
            key,
            held.revision,
            held.stored,
            batch,
            f"{', '.join(names)} of {len(events)}",
            "; ".join(sorted(reasons)[:3]),
            urgent,
        )

    def _add_running(self, key, held):
        """Let jobs that were seen running be noted with the swap that is due."""
        for index, job in enumerate(held.stored.body.jobs):
            if job.state.phase is not JobPhase.STARTING:
                continue
            number = job.state.attempt.number
            task = make_task_id(JobPlace(key, index).get_id(), number)
            if task in self.state.attempts.seen:
                held.pending.insert(0, (index, JobRunning(number)))

    def _forget(self, now):
        """Drop what is remembered of attempts and waits that are over."""
        if now < self._forgot_at + FORGET_INTERVAL:
            return
        self._forgot_at = now
        state = self.state
        state.attempts.keep_only(
            {
                make_task_id(place.get_id(), job.state.attempt.number)
                for place, job in state.held.active.items()
            }
        )
        queued = {
            (place, job.state.attempts) for place, job in state.held.iterate_queued()
        }
        for seen in state.queued_since.keys() - queued:
            del state.queued_since[seen]
        state.held.done.clear()  # An end of such a batch lets it be read again.


def _rank_event(held, index, event):
    if not isinstance(event, JobStarting):
        return 2
    return 0 if held.stored.body.jobs[index].spec.urgency is Urgency.URGENT else 1


_HANDLERS = {
    BatchSeen: JobBoard._see_batch,
    BatchGone: JobBoard._see_batch_gone,
    WriteWon: JobBoard._win_write,
    WriteLost: JobBoard._lose_write,
    ReportSeen: JobBoard._see_report,
    EndsSeen: JobBoard._see_ends,
    ExchangeFailed: JobBoard._fail_exchange,
}
