"""A pool's jobs and the runs of their tasks."""

from dataclasses import dataclass

from peridotspoke.workloads.estimation import DurationModel
from peridotspoke.workloads.executors import StopOrder
from peridotspoke.workloads.progress import (
    JobOutcome,
    TaskStatus,
    encode_progress,
)
from peridotspoke.workloads.runs import ExecutorState, Run, RunPhase

__all__ = ["LedgerRules", "RunLedger", "StopCommand", "StoredBatch"]

STRIKE_LIFE = 8.0  # seconds after which a suspicion has lost half of its weight
MOST_STRIKES = 6.0


@dataclass(frozen=True, slots=True)
class LedgerRules:
    """Times in seconds.

    Parameters
    ----------
    inherited_life : float
        How long runs of an earlier owner may still live where they can't be seen.
    margin : float
        Waited beyond the end of a lease, as executors' clocks may be slow.
    """

    inherited_life: float
    margin: float


@dataclass(frozen=True, slots=True)
class StopCommand:
    """Tells the executor to stop a run."""

    executor_id: str
    order: StopOrder


@dataclass(frozen=True, slots=True)
class StoredBatch:
    """Progress to store: bytes by job, and what depends on their being stored.

    `runs` may start once it is stored, and the jobs in `ended` be forgotten.
    """

    values: dict[str, bytes]
    runs: tuple[Run, ...]
    ended: frozenset[str]


class RunLedger:
    """Jobs and runs of one pool under one ownership, and what is stored of them.

    Parameters
    ----------
    pool : str
    fence : int
    rules : LedgerRules
    now : float
        Monotonic time at which the pool was taken over, seconds.
    note : callable, optional
        Called with an event's name and fields for each decision.
    """

    def __init__(self, pool, fence, rules, now, note=None):
        self.pool = pool
        self.fence = fence
        self.jobs = {}
        self.executors = {}
        self.dirty = set()
        self.wanted_looks = set()
        self.durations = DurationModel()
        self.failed_on = {}
        self.copied = set()
        self.rules = rules
        self.taken_at = now
        self.note = note or (lambda event, **fields: None)

    def add_job(self, progress):
        """Take in a job that is not known yet, with the runs of an earlier owner."""
        job_id = progress.job.job_id
        if job_id in self.jobs or progress.outcome is not JobOutcome.OPEN:
            return
        self.jobs[job_id] = progress
        for task in progress.list_tasks():
            if task.status is TaskStatus.ASSIGNED:
                self._inherit(progress, task)

    def cancel_job(self, job_id, wall):
        """End a job that is open as cancelled and stop its runs."""
        progress = self.jobs.get(job_id)
        if progress is not None and progress.outcome is JobOutcome.OPEN:
            self.end_job(progress, JobOutcome.CANCELLED, wall)

    def drop_ended(self, job_id):
        """Forget a job that has ended, once that is stored and nothing runs."""
        progress = self.jobs.get(job_id)
        if progress is None or progress.outcome is JobOutcome.OPEN:
            return
        for task in progress.list_tasks():
            state = self.executors.get(task.executor)
            if state is not None and task.key in state.runs:
                return
        del self.jobs[job_id]
        self.failed_on = {
            key: val for key, val in self.failed_on.items() if key.job_id != job_id
        }
        self.copied = {item for item in self.copied if item[0].job_id != job_id}

    def _inherit(self, progress, task):
        state = self.executors.get(task.executor)
        if state is None:
            state = ExecutorState(task.executor, born=task.born)
            self.executors[task.executor] = state
        life_end = self.taken_at + self.rules.inherited_life
        state.lease_end = max(state.lease_end, life_end)
        step = progress.job.steps[task.key.step]
        state.runs[task.key] = Run(
            task,
            progress,
            step,
            task.run,
            task.executor,
            RunPhase.INHERITED,
            self.taken_at,
            moved_at=self.taken_at,
        )

    def end_job(self, progress, outcome, wall):
        """End an open job and stop its runs."""
        progress.outcome = outcome
        progress.ended_at = wall
        self.dirty.add(progress.job.job_id)
        job = progress.job
        age = wall - job.accepted_at
        self.note("job-ended", job=job.job_id, outcome=str(outcome), age=age)
        for task in progress.list_tasks():
            run = self.find_run(task)
            if run is not None:
                self.stop_run(run, "job ended")

    def finish_given_up(self, progress, task, wall):
        """Take a task as done by a run that was given up; stop the present one."""
        run = self.find_run(task)
        task.status = TaskStatus.DONE
        if run is not None:
            self.stop_run(run, "an earlier run is done")
        if progress.outcome is JobOutcome.OPEN:
            self._close_occurrence(progress, task.key.occurrence, wall)

    def finish(self, run, wall):
        """Take a run's task, or its whole gang, as done."""
        progress, key = run.progress, run.key
        tasks = [run.task]
        if run.step.gang and key.occurrence in progress.occurrences:
            tasks = progress.occurrences[key.occurrence][key.step]
        for task in tasks:
            other = self.find_run(task)
            if other is not None and other.number == run.number:
                self.release(other)
            task.status = TaskStatus.DONE
        is_open = key.occurrence in progress.occurrences
        if is_open and progress.outcome is JobOutcome.OPEN:
            self._close_occurrence(progress, key.occurrence, wall)

    def _close_occurrence(self, progress, occurrence, wall):
        steps = range(len(progress.job.steps))
        if not all(progress.is_step_done(occurrence, step) for step in steps):
            return
        del progress.occurrences[occurrence]
        if not progress.occurrences and (
            progress.next_occurrence >= progress.job.occurrences
        ):
            self.end_job(progress, JobOutcome.COMPLETED, wall)

    def fail(self, state, run, now, wall):
        """Count a failed attempt; the last one that is allowed ends the job."""
        progress, task = run.progress, run.task
        self.failed_on.setdefault(task.key, set()).add(state.executor_id)
        self.strike(state, now, 1.0)
        counted = [task]
        if run.step.gang:
            counted = progress.occurrences[task.key.occurrence][task.key.step]
        for member in counted:
            member.failures += 1
        self.requeue(run, now, "failed")
        most = progress.job.terms.max_attempts
        if run.step.lasting or task.failures < most:
            return
        if progress.outcome is JobOutcome.OPEN:
            self.end_job(progress, JobOutcome.FAILED, wall)

    def strike(self, state, now, weight):
        """Suspect an executor more."""
        strikes = self.read_strikes(state, now) + weight
        state.strikes = min(strikes, MOST_STRIKES)
        state.struck_at = now

    def read_strikes(self, state, now):
        """Return how much an executor is suspected; suspicion fades with time."""
        return state.strikes * 0.5 ** ((now - state.struck_at) / STRIKE_LIFE)

    def plan_run(self, progress, task, executor_id, now, ticket=""):
        """Assign a waiting task to an executor; it starts once that is stored."""
        state = self.executors[executor_id]
        task.status = TaskStatus.ASSIGNED
        task.run += 1
        task.executor = executor_id
        task.born = state.born
        step = progress.job.steps[task.key.step]
        run = Run(task, progress, step, task.run, executor_id, RunPhase.PLANNED, now)
        run.ticket = ticket
        run.resumed = bool(task.checkpoint)
        state.runs[task.key] = run
        progress.begun = True
        self.dirty.add(progress.job.job_id)
        return run

    def list_planned(self, job_ids):
        """Return the planned runs of jobs."""
        return tuple(
            run
            for state in self.executors.values()
            for run in state.runs.values()
            if run.phase is RunPhase.PLANNED and run.key.job_id in job_ids
        )

    def take_batch(self, most, but=frozenset()):
        """Return a `StoredBatch` of at most `most` jobs that have changed, or None.

        The jobs in `but`, which are being stored, wait for another batch.
        """
        job_ids = sorted(self.dirty - but)[:most]
        if not job_ids:
            return None
        self.dirty.difference_update(job_ids)
        values = {
            job_id: encode_progress(self.jobs[job_id])
            for job_id in job_ids
            if job_id in self.jobs
        }
        ended = frozenset(
            job_id
            for job_id in values
            if self.jobs[job_id].outcome is not JobOutcome.OPEN
        )
        return StoredBatch(values, self.list_planned(values), ended)

    def note_stored(self, batch):
        """Return the runs of a stored batch that are to be started now."""
        started = []
        for run in batch.runs:
            if run.phase is not RunPhase.PLANNED or not self.is_current(run):
                continue
            if run.progress.outcome is not JobOutcome.OPEN:
                self.release(run)
                continue
            run.phase = RunPhase.STARTING
            started.append(run)
        for job_id in batch.ended:
            self.drop_ended(job_id)
        return started

    def stop_run(self, run, reason):
        """Stop a run; its task waits again once the end is certain."""
        if run.phase is RunPhase.STOPPING:
            return
        if run.phase is RunPhase.PLANNED:
            self._requeue_planned(run)
            return
        self.note("run-stopping", task=run.key, run=run.number, reason=reason)
        run.phase = RunPhase.STOPPING

    def _requeue_planned(self, run):
        self.release(run)
        self._wait_again(run)

    def list_stops(self):
        """Yield a `StopCommand` for each run whose stop is not answered yet."""
        for state in self.executors.values():
            due = [
                (run.key, run.number)
                for run in state.runs.values()
                if run.phase is RunPhase.STOPPING and run.stop_answered_at is None
            ]
            for key, number in [*due, *state.foreign]:
                order = StopOrder(key, number, self.fence)
                yield StopCommand(state.executor_id, order)

    def find_run(self, task):
        """Return the `Run` of a task's latest run, or None once it is over."""
        state = self.executors.get(task.executor)
        return None if state is None else state.runs.get(task.key)

    def is_current(self, run):
        """Return whether a run was not released meanwhile."""
        state = self.executors.get(run.executor_id)
        return state is not None and state.runs.get(run.key) is run

    def release(self, run):
        """Forget a run that is over."""
        if self.is_current(run):
            del self.executors[run.executor_id].runs[run.key]

    def requeue(self, run, now, reason):
        """Let the task of a run that has certainly ended wait for another."""
        self.release(run)
        self.note("run-over", task=run.key, run=run.number, reason=reason)
        self._wait_again(run)

    def _wait_again(self, run):
        if run.task.status is TaskStatus.ASSIGNED:
            run.task.status = TaskStatus.WAITING
        self.dirty.add(run.key.job_id)

    def list_runs(self):
        """Yield all runs."""
        for state in self.executors.values():
            yield from state.runs.values()
