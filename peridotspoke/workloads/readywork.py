"""Lists the tasks of a pool's jobs that may start, the most urgent first.

It answers a backlog that arrives within seconds and that the executors work off only
slowly: the ready steps of a job are listed again only once the job has changed.
"""

from dataclasses import dataclass, replace

from peridotspoke.workloads.checking import MAX_TASKS
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runs import compute_need
from peridotspoke.workloads.urgency import (
    JobTiming,
    compute_critical_path,
    compute_timing,
    rank_timing,
)

__all__ = [
    "ReadyWork",
    "StepWork",
    "list_step_work",
    "list_timings",
    "open_due_occurrences",
    "sum_ready",
]

MAX_READY_WORK_AGE_S = 0.5


@dataclass(frozen=True, slots=True)
class StepWork:
    """The waiting tasks of a step that may start.

    Parameters
    ----------
    progress : JobProgress
    occurrence : int
        Number of the job's occurrence.
    step_number : int
        Number of the step in the job.
    tasks : tuple of TaskProgress
    timing : JobTiming
        The timing of the occurrence.
    predicted_duration : float
        Predicted duration of one task, seconds.
    """

    progress: object
    occurrence: int
    step_number: int
    tasks: tuple
    timing: JobTiming
    predicted_duration: float


@dataclass(frozen=True, slots=True)
class ReadyWork:
    """The steps of a job that have tasks to start, as of a time.

    Parameters
    ----------
    steps : tuple of StepWork
    computed_at : float
        Seconds since the Unix epoch.
    """

    steps: tuple
    computed_at: float


def open_due_occurrences(ledger, wall):
    """Open the occurrences of all open jobs that are due.

    A job has at most `MAX_TASKS` tasks open at once, as one that isn't repeated has;
    further occurrences open as earlier ones end. It answers a small job that is due a
    hundred thousand times at once.

    Parameters
    ----------
    ledger : PoolLedger
    wall : float
        Current time, seconds since the Unix epoch.
    """
    for progress in ledger.jobs.values():
        if progress.outcome is not JobOutcome.OPEN:
            continue
        while progress.next_occurrence < progress.job.occurrences:
            if progress.job.compute_due(progress.next_occurrence) > wall:
                break
            if not progress.has_room_for_occurrence(MAX_TASKS):
                break
            progress.open_occurrence(progress.next_occurrence)
            ledger.ready_work.pop(progress.job.job_id, None)


def list_step_work(ledger, wall):
    """Return the steps of all open jobs that have tasks to start.

    Parameters
    ----------
    ledger : PoolLedger
    wall : float
        Current time, seconds since the Unix epoch.

    Returns
    -------
    list of StepWork
        The most urgent first; of equally urgent steps, the longest tasks first.
    """
    ranked = []
    for progress in ledger.jobs.values():
        if progress.outcome is not JobOutcome.OPEN:
            continue
        ready = _find_ready_work(ledger, progress, wall)
        if not ready.steps:
            continue
        waited = 0.0 if progress.job.is_long_running else wall - ready.computed_at
        for item in ready.steps:
            rank = (*rank_timing(item.timing, waited), -item.predicted_duration)
            ranked.append((rank, item))
    ranked.sort(key=lambda row: row[0])
    return [item for _, item in ranked]


def _find_ready_work(ledger, progress, wall):
    """Return the `ReadyWork` of a job, computed anew if the job changed or it is old.

    It grows old because the predicted durations of tasks change with other jobs.
    """
    job_id = progress.job.job_id
    known = ledger.ready_work.get(job_id)
    if known is not None and 0.0 <= wall - known.computed_at < MAX_READY_WORK_AGE_S:
        return known
    steps = tuple(
        item
        for occurrence in progress.occurrences
        for item in _list_ready_steps(ledger, progress, occurrence, wall)
    )
    ready = ledger.ready_work[job_id] = ReadyWork(steps, wall)
    return ready


def _list_ready_steps(ledger, progress, occurrence, wall):
    """Yield the `StepWork` of an occurrence.

    A step is left out while a step that it comes after is not done. A gang is left out
    unless all its tasks wait, as they run only together.
    """
    job = progress.job
    steps = progress.occurrences[occurrence]
    done = {
        number
        for number, tasks in enumerate(steps)
        if all(task.status is TaskStatus.DONE for task in tasks)
    }
    durations = [
        ledger.durations.predict(job.queue, step.estimate) for step in job.steps
    ]
    timing = None
    for number, tasks in enumerate(steps):
        step = job.steps[number]
        if number in done or not done.issuperset(step.after):
            continue
        waiting = [task for task in tasks if task.status is TaskStatus.WAITING]
        if not waiting or (step.gang and len(waiting) < len(tasks)):
            continue
        if timing is None:
            timing = _compute_job_timing(job, steps, durations, done, occurrence, wall)
        duration = durations[number]
        yield StepWork(progress, occurrence, number, tuple(waiting), timing, duration)


def sum_ready(ledger):
    """Return the processors that all finite tasks of steps that may start need.

    These are the tasks that wait and those that run already. Jobs with a lasting step
    are left out.

    Parameters
    ----------
    ledger : PoolLedger

    Returns
    -------
    float
        Cores.
    """
    cores = 0.0
    for progress in ledger.jobs.values():
        job = progress.job
        if progress.outcome is not JobOutcome.OPEN or job.is_long_running:
            continue
        for occurrence, steps in progress.occurrences.items():
            for number, tasks in enumerate(steps):
                step = job.steps[number]
                if all(
                    progress.is_step_done(occurrence, prior) for prior in step.after
                ):
                    undone = sum(task.status is not TaskStatus.DONE for task in tasks)
                    cores += undone * compute_need(step).cpu / 1000
    return cores


def list_timings(ledger, wall):
    """Yield the `JobTiming` of each open occurrence of the jobs without lasting steps.

    Parameters
    ----------
    ledger : PoolLedger
    wall : float
        Current time, seconds since the Unix epoch.
    """
    for progress in ledger.jobs.values():
        job = progress.job
        if progress.outcome is not JobOutcome.OPEN or job.is_long_running:
            continue
        durations = [
            ledger.durations.predict(job.queue, step.estimate) for step in job.steps
        ]
        for occurrence, steps in progress.occurrences.items():
            done = {
                number
                for number in range(len(steps))
                if progress.is_step_done(occurrence, number)
            }
            yield _compute_job_timing(job, steps, durations, done, occurrence, wall)


def _compute_job_timing(job, steps, durations, done, occurrence, wall):
    """Return the `JobTiming` of an occurrence.

    Parameters
    ----------
    job : Job
    steps : list of list of TaskProgress
        The occurrence's tasks by step.
    durations : list of float
        Predicted duration of a task of each step, seconds.
    done : set of int
        Numbers of the steps that are done.
    occurrence : int
    wall : float
        Current time, seconds since the Unix epoch.
    """
    critical_path = compute_critical_path(job, durations)
    remaining_time = compute_critical_path(job, durations, done)
    remaining_work = sum(
        durations[number] * job.steps[number].need.cpu / 1000
        for number, tasks in enumerate(steps)
        for task in tasks
        if task.status is not TaskStatus.DONE
    )
    due = job.compute_due(occurrence)
    timing = compute_timing(
        job, critical_path, remaining_time, remaining_work, wall, due, occurrence
    )
    if job.is_long_running:
        # It has no end that could be late: each second without its tasks is lost.
        return replace(timing, slack=0.0)
    return timing
