"""The jobs of a pool: how they are taken over and how they and their tasks end."""

from peridotspoke.workloads.latestarts import inherit_late_start
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runledger import RunLedger
from peridotspoke.workloads.runs import ExecutorState, Run, RunPhase

__all__ = ["JobLedger"]

FAILURE_PENALTY = 1.0  # added to an executor's penalty for each failed run
MAX_PENALTY = 6.0
PENALTY_HALF_LIFE_S = 8.0
LATE_CALL_S = (
    15.0  # in which a call without an answer may be carried out, and some more
)


class JobLedger(RunLedger):
    """A `RunLedger` that takes over jobs and ends them with their tasks."""

    def add_job(self, progress):
        """Add an open job, with the runs that an earlier owner assigned.

        A job that is in the ledger already, or has ended, is ignored.

        Parameters
        ----------
        progress : JobProgress
        """
        job_id = progress.job.job_id
        if job_id in self.jobs or progress.outcome is not JobOutcome.OPEN:
            return
        self.jobs[job_id] = progress
        for task in progress.list_tasks():
            if task.status is TaskStatus.ASSIGNED:
                self._add_inherited_run(progress, task)
            if task.late_start and task.status is not TaskStatus.DONE:
                inherit_late_start(self, progress, task)

    def cancel_job(self, job_id, wall):
        """End an open job as cancelled and stop its runs.

        Parameters
        ----------
        job_id : str
        wall : float
            Current time, seconds since the Unix epoch.
        """
        progress = self.jobs.get(job_id)
        if progress is not None and progress.outcome is JobOutcome.OPEN:
            self.end_job(progress, JobOutcome.CANCELLED, wall)

    def expect_lease_ends(self, stated_ends):
        """Take the last owner's statement of when its executors' leases end.

        This is to be called before jobs are added.

        Parameters
        ----------
        stated_ends : dict of str to float
            Monotonic seconds by executor.
        """
        self.stated_ends = dict(stated_ends)

    def expect_late_ends(self, late_ends):
        """Take what earlier owners published of the leases that late calls granted.

        This is to be called before jobs and entries are added.

        Parameters
        ----------
        late_ends : dict of str to float
            As the attribute.
        """
        self.late_ends = dict(late_ends)

    def add_executor(self, executor_id, now):
        """Return the state of an executor, which is added if there is none.

        One that this owner has not seen before has no earlier incarnation to which
        calls may be under way, once those of earlier owners have ended. They send
        polls for as long as they grant leases.

        Parameters
        ----------
        executor_id : str
        now : float
            Monotonic seconds.

        Returns
        -------
        ExecutorState
        """
        state = self.executors.get(executor_id)
        if state is None:
            state = ExecutorState(executor_id)
            state.late_end = self.late_ends.get(executor_id, self.unstated_late_end)
            former = self.left_executors.pop(executor_id, None)
            if former is not None:
                state.fence, state.late_end = former.fence, former.late_end
            calls_end = max(self.taken_over_at, self.former_lease_end) + LATE_CALL_S
            state.may_be_reborn = former is not None or now <= calls_end
            self.executors[executor_id] = state
        return state

    def remove_executor(self, state, now):
        """Remove an executor that is not listed and has no runs.

        It is remembered for as long as calls to it may be carried out late.

        Parameters
        ----------
        state : ExecutorState
        now : float
            Monotonic seconds.
        """
        del self.executors[state.executor_id]
        state.removed_at = now
        self.left_executors[state.executor_id] = state
        self.left_executors = {
            name: left
            for name, left in self.left_executors.items()
            if now - left.removed_at <= LATE_CALL_S
        }

    def _add_inherited_run(self, progress, task):
        """Add the run of a task that an earlier owner assigned.

        Its lease is taken to last as long as the last owner stated, or else as long as
        an earlier owner can have extended it. A later incarnation may have carried out
        a start that is not known to be confirmed.
        """
        state = self.add_executor(task.executor, self.taken_over_at)
        state.incarnation = max(state.incarnation, task.incarnation)
        excess = 0.0 if task.confirmed else self.rules.restart_excess
        stated_end = self.stated_ends.get(task.executor, float("inf"))
        inherited_end = min(self.former_lease_end, stated_end - excess)
        state.inherited_end = max(state.inherited_end, inherited_end)
        step = progress.job.steps[task.key.step]
        state.runs[task.key] = Run(
            task,
            progress,
            step,
            task.run,
            task.executor,
            RunPhase.INHERITED,
            self.taken_over_at,
            start_pending=not task.confirmed,
            start_lost_at=self.taken_over_at,
            lease_excess=excess,
        )

    def end_job(self, progress, outcome, wall):
        """End an open job and stop its runs.

        Parameters
        ----------
        progress : JobProgress
        outcome : JobOutcome
        wall : float
            Current time, seconds since the Unix epoch.
        """
        progress.outcome = outcome
        progress.ended_at = wall
        self.mark_changed(progress.job.job_id)
        job = progress.job
        age = wall - job.accepted_at
        runs = self.find_job_runs(job.job_id)
        self.note(
            "job-ended",
            job=job.job_id,
            outcome=str(outcome),
            age=age,
            most_runs=runs.most_runs,
            stops=runs.describe_stops(),
        )
        for task in progress.list_tasks():
            run = self.find_run(task)
            if run is not None:
                self.stop_run(run, "job ended")

    def finish_by_earlier_run(self, progress, task, wall):
        """Mark a task done by an earlier run and stop its current run.

        Parameters
        ----------
        progress : JobProgress
        task : TaskProgress
        wall : float
            Current time, seconds since the Unix epoch.
        """
        run = self.find_run(task)
        task.status = TaskStatus.DONE
        if run is not None:
            self.stop_run(run, "task completed by an earlier run")
        if progress.outcome is JobOutcome.OPEN:
            self._close_occurrence(progress, task.key.occurrence, wall)

    def finish(self, run, wall):
        """Mark the task of a completed run done; for a gang, all tasks of the step.

        Parameters
        ----------
        run : Run
        wall : float
            Current time, seconds since the Unix epoch.
        """
        progress, key = run.progress, run.key
        tasks = [run.task]
        if run.step.gang and key.occurrence in progress.occurrences:
            tasks = progress.occurrences[key.occurrence][key.step]
        for task in tasks:
            task_run = self.find_run(task)
            if task_run is not None and task_run.number == run.number:
                self.release(task_run)
            task.status = TaskStatus.DONE
        is_open = key.occurrence in progress.occurrences
        if is_open and progress.outcome is JobOutcome.OPEN:
            self._close_occurrence(progress, key.occurrence, wall)

    def _close_occurrence(self, progress, occurrence, wall):
        """Remove an occurrence whose tasks are all done; the last one ends the job."""
        steps = range(len(progress.job.steps))
        if not all(progress.is_step_done(occurrence, step) for step in steps):
            return
        del progress.occurrences[occurrence]
        if not progress.occurrences and (
            progress.next_occurrence >= progress.job.occurrences
        ):
            self.end_job(progress, JobOutcome.COMPLETED, wall)

    def fail(self, state, run, now, wall):
        """Count a failed run, and end the job once its attempts are used up.

        The failure of one task of a gang counts for every task of the gang. Lasting
        tasks are retried without limit.

        Parameters
        ----------
        state : ExecutorState
            The executor on which the run failed.
        run : Run
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        progress, task = run.progress, run.task
        self.failed_on.setdefault(task.key, set()).add(state.executor_id)
        self.penalize(state, now, FAILURE_PENALTY)
        failed_tasks = [task]
        if run.step.gang:
            failed_tasks = progress.occurrences[task.key.occurrence][task.key.step]
        for member in failed_tasks:
            member.failures += 1
        self.requeue(run, now, "task failed")
        self.fail_job(progress, task, wall)

    def fail_job(self, progress, task, wall):
        """End an open job as failed if a finite task has used up its attempts.

        Parameters
        ----------
        progress : JobProgress
        task : TaskProgress
        wall : float
            Seconds since the Unix epoch.
        """
        step, terms = progress.job.steps[task.key.step], progress.job.terms
        if step.lasting or task.failures < terms.max_attempts:
            return
        if progress.outcome is JobOutcome.OPEN:
            self.end_job(progress, JobOutcome.FAILED, wall)

    def penalize(self, state, now, weight):
        """Raise the penalty of an executor by `weight`, up to `MAX_PENALTY`.

        Parameters
        ----------
        state : ExecutorState
        now : float
            Monotonic seconds.
        weight : float
        """
        penalty = self.compute_penalty(state, now) + weight
        state.penalty = min(penalty, MAX_PENALTY)
        state.penalized_at = now

    def compute_penalty(self, state, now):
        """Return the penalty of an executor, which decays exponentially.

        Parameters
        ----------
        state : ExecutorState
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            0.0 for an executor that was never penalized.
        """
        return state.penalty * 0.5 ** ((now - state.penalized_at) / PENALTY_HALF_LIFE_S)
