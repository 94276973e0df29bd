"""The runs of a pool's tasks: planned, stored, started, stopped and released."""

from peridotspoke.workloads.estimation import DurationModel
from peridotspoke.workloads.evidence import describe_evidence
from peridotspoke.workloads.executors import StopOrder
from peridotspoke.workloads.latestarts import record_late_start
from peridotspoke.workloads.ledgertypes import (
    JobRuns,
    LeaseBound,
    StopCommand,
    StoredBatch,
)
from peridotspoke.workloads.progress import JobOutcome, TaskStatus, encode_progress
from peridotspoke.workloads.runs import Run, RunPhase

__all__ = ["RunLedger"]

MAX_BEGIN_DELAY_S = 1.0  # until the begin of a job is stored; tells callers its state


class RunLedger:
    """The jobs and runs of one pool during one ownership.

    The ledger only changes state in memory. Its caller stores the batches that
    `take_batch` returns and sends the starts and stops.

    Parameters
    ----------
    pool : str
    fence : int
        Fencing token of the ownership.
    rules : LedgerRules
    now : float
        Monotonic time at which the pool was taken over, seconds.
    note : callable, optional
        Called with an event's name and fields to log each decision.

    Attributes
    ----------
    jobs : dict of str to JobProgress
        The jobs by identity; ended ones until that is stored and no run is left.
    executors : dict of str to ExecutorState
        The executors by identity.
    dirty : set of str
        Jobs that have changed since they were last put into a batch.
    begun_jobs : dict of str to float
        Jobs that are to be stored only to show that they have begun, and when they
        had, monotonic seconds.
    ready_work : dict of str to ReadyWork
        By job, the work that may start, as long as the job does not change.
    unproven_runs : set of Run
        Runs that are being stopped or that reports don't list, whose end is not proved.
    requested_reports : set of str
        Executors from which a fresh report is needed.
    durations : DurationModel
    failed_on : dict of TaskKey to set of str
        Executors on which a task failed or stalled.
    slow_stops : dict of TaskKey to int
        Number of runs of a task that were stopped as stalled or slow.
    job_runs : dict of str to JobRuns
        How often the tasks of each job were started and stopped, by the job's identity.
    held_places : dict of TaskKey to HeldPlace
        Capacity that is kept for long-running tasks that are being moved.
    late_starts : dict of TaskKey to LateStart
        Starts of tasks, or of their earlier runs, that may still be carried out.
    copied_runs : set of tuple of (TaskKey, int)
        Runs, by task and run number, that were given up so that a copy could start.
    given_up_runs : list of tuple of (Run, float, float)
        The same of jobs with a workspace, as `LeaseLedger.record_given_up` tells.
    taken_over_at : float
        Monotonic time at which the pool was taken over, seconds.
    former_bound : LeaseBound
        Bounds the leases that earlier owners granted.
    stated_ends : dict of str to float
        By executor, when every lease has ended by the last owner's statement, seconds.
    late_ends : dict of str to float
        By executor, when every lease has ended that calls to earlier incarnations have
        granted, as earlier owners published, seconds.
    unstated_late_end : float
        The same for executors of which earlier owners published nothing, seconds.
    left_executors : dict of str to ExecutorState
        Executors that were removed a moment ago.
    """

    def __init__(self, pool, fence, rules, now, note=None):
        self.pool = pool
        self.fence = fence
        self.jobs = {}
        self.executors = {}
        self.dirty = set()
        self.begun_jobs = {}
        self.ready_work = {}
        self.unproven_runs = set()
        self.requested_reports = set()
        self.durations = DurationModel()
        self.failed_on = {}
        self.slow_stops = {}
        self.job_runs = {}
        self.held_places = {}
        self.late_starts = {}
        self.copied_runs, self.given_up_runs = set(), []
        self.rules = rules
        self.taken_over_at = now
        self.former_bound = LeaseBound(now + rules.inherited_lease, "takeover", now)
        self.stated_ends = {}
        self.late_ends = {}
        self.unstated_late_end = float("-inf")
        self.left_executors = {}
        self.note = note or (lambda event, **fields: None)

    @property
    def former_lease_end(self):
        """When all leases that earlier owners granted have ended, monotonic seconds."""
        return self.former_bound.end

    def mark_changed(self, job_id):
        """Record that a job's progress has changed and is to be stored."""
        self.dirty.add(job_id)
        self.ready_work.pop(job_id, None)

    def mark_begun(self, progress, now):
        """Record that an executor has certainly started a task of a job.

        Only callers who ask for the job's state need to know, so that it is stored with
        a later change of any job, or by itself after `MAX_BEGIN_DELAY_S` seconds.

        Parameters
        ----------
        progress : JobProgress
        now : float
            Monotonic seconds.
        """
        if not progress.begun:
            progress.begun = True
            self.begun_jobs[progress.job.job_id] = now

    def hasten_begun_jobs(self, now):
        """Let the jobs be stored that have begun `MAX_BEGIN_DELAY_S` seconds before."""
        self.dirty.update(
            job_id
            for job_id, since in self.begun_jobs.items()
            if now - since >= MAX_BEGIN_DELAY_S and job_id in self.jobs
        )

    def drop_ended(self, job_id):
        """Remove an ended job from the ledger, unless runs of its tasks are left."""
        progress = self.jobs.get(job_id)
        if progress is None or progress.outcome is JobOutcome.OPEN:
            return
        for task in progress.list_tasks():
            state = self.executors.get(task.executor)
            if state is not None and task.key in state.runs:
                return
        del self.jobs[job_id]
        self.ready_work.pop(job_id, None)
        self.begun_jobs.pop(job_id, None)
        self.job_runs.pop(job_id, None)
        self.failed_on = {
            key: names for key, names in self.failed_on.items() if key.job_id != job_id
        }
        self.slow_stops = {
            key: count for key, count in self.slow_stops.items() if key.job_id != job_id
        }
        self.copied_runs = {
            item for item in self.copied_runs if item[0].job_id != job_id
        }

    def plan_run(self, progress, task, executor_id, now, ticket=""):
        """Assign a waiting task to an executor.

        The run starts only after the assignment is stored, so that a later owner
        knows of every run that may have started.

        Parameters
        ----------
        progress : JobProgress
        task : TaskProgress
        executor_id : str
        now : float
            Monotonic seconds.
        ticket : str, optional
            Ticket of the advice service that is sent with the start.

        Returns
        -------
        Run
        """
        state = self.executors[executor_id]
        task.status = TaskStatus.ASSIGNED
        task.run += 1
        task.executor = executor_id
        task.incarnation = state.incarnation
        task.confirmed = False
        step = progress.job.steps[task.key.step]
        run = Run(task, progress, step, task.run, executor_id, RunPhase.PLANNED, now)
        run.ticket = ticket
        run.resumed = bool(task.checkpoint)
        state.runs[task.key] = run
        counts = self.find_job_runs(progress.job.job_id)
        counts.most_runs = max(counts.most_runs, task.run)
        self.mark_changed(progress.job.job_id)
        return run

    def list_planned(self, job_ids):
        """Return a tuple of the planned runs of the jobs in `job_ids`."""
        return tuple(
            run
            for state in self.executors.values()
            for run in state.runs.values()
            if run.phase is RunPhase.PLANNED and run.key.job_id in job_ids
        )

    def take_batch(self, max_jobs, exclude=frozenset()):
        """Return the changed jobs that are to be stored next, which are then clean.

        Jobs that have only begun fill the batch up.

        Parameters
        ----------
        max_jobs : int
            Maximum number of jobs in the batch.
        exclude : set of str, optional
            Jobs to leave for a later batch, because an earlier state of them is being
            stored.

        Returns
        -------
        StoredBatch or None
            None if no job is to be stored.
        """
        job_ids = sorted(self.dirty - exclude)[:max_jobs]
        if not job_ids:
            return None
        begun = self.begun_jobs.keys() - exclude - set(job_ids)
        job_ids += sorted(begun)[: max_jobs - len(job_ids)]
        self.dirty.difference_update(job_ids)
        for job_id in job_ids:
            self.begun_jobs.pop(job_id, None)
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
        """Handle that a batch is stored, and return its runs that are to start now.

        Runs that were released meanwhile, or whose job has ended, do not start.

        Parameters
        ----------
        batch : StoredBatch

        Returns
        -------
        list of Run
        """
        started = []
        for run in batch.runs:
            if run.phase is not RunPhase.PLANNED or not self.is_current(run):
                continue
            if run.progress.outcome is not JobOutcome.OPEN:
                self._release_unsent(run, "job ended")
                continue
            run.phase = RunPhase.STARTING
            run.start_pending = True
            started.append(run)
        for job_id in batch.ended:
            self.drop_ended(job_id)
        return started

    def stop_run(self, run, reason):
        """Begin to stop a run; its task can run again once the run has certainly ended.

        Parameters
        ----------
        run : Run
        reason : str
            Logged.
        """
        if run.phase is RunPhase.STOPPING:
            return
        if run.phase is RunPhase.PLANNED:
            self._release_unsent(run, reason)
            self._mark_waiting(run)
            return
        self.note("run-stopping", task=run.key, run=run.number, reason=reason)
        run.phase = RunPhase.STOPPING
        if run.key.job_id in self.jobs:
            self.find_job_runs(run.key.job_id).count_stop(reason)

    def _release_unsent(self, run, reason):
        """Release a run that was planned and whose start was not sent."""
        self.release(run)
        self._note_run("run-unsent", run, reason=reason)

    def _note_run(self, event, run, **fields):
        """Log an event of a run with its number and executor."""
        executor_id = run.executor_id
        self.note(event, task=run.key, run=run.number, executor=executor_id, **fields)

    def list_stops(self):
        """Yield a `StopCommand` for each foreign run and each unanswered stop."""
        for state in self.executors.values():
            due = [
                (run.key, run.number)
                for run in state.runs.values()
                if run.phase is RunPhase.STOPPING and run.stop_answered_at is None
            ]
            for key, number in [*due, *state.foreign]:
                order = StopOrder(key, number, self.fence)
                yield StopCommand(state.executor_id, order)

    def find_job_runs(self, job_id):
        """Return the `JobRuns` of a job, which is created if there is none."""
        return self.job_runs.setdefault(job_id, JobRuns())

    def find_run(self, task):
        """Return the current `Run` of a task, or None if it has none."""
        state = self.executors.get(task.executor)
        return None if state is None else state.runs.get(task.key)

    def is_current(self, run):
        """Return whether a run is still in the ledger: not released or replaced."""
        state = self.executors.get(run.executor_id)
        return state is not None and state.runs.get(run.key) is run

    def release(self, run):
        """Remove a run from the ledger, unless it is removed already."""
        if self.is_current(run):
            del self.executors[run.executor_id].runs[run.key]

    def requeue(self, run, now, reason, proved_from=None, **fields):
        """Release a run and let its task wait for another run.

        The run must have certainly ended, unless the step allows copies. What proves
        that holds for one incarnation of the executor: a start without an answer may
        still be carried out by the next one, so that it is recorded.

        Parameters
        ----------
        run : Run
        now : float
            Monotonic seconds.
        reason : str
            Logged.
        proved_from : float or None, optional
            From when on a report that doesn't list the run has proved its end,
            monotonic seconds; None if none has.
        **fields
            Logged as well.
        """
        self.release(run)
        if run.start_pending:
            record_late_start(self, run, now, proved_from)
        self._note_run(
            "run-over",
            run,
            reason=reason,
            **describe_evidence(self.executors[run.executor_id], run, now),
            **fields,
        )
        self._mark_waiting(run)

    def _mark_waiting(self, run):
        if run.task.status is TaskStatus.ASSIGNED:
            run.task.status = TaskStatus.WAITING
        self.mark_changed(run.key.job_id)

    def list_runs(self):
        """Yield the runs of all executors."""
        for state in self.executors.values():
            yield from state.runs.values()
