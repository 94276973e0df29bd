"""Sets aside jobs that can never run and detects workers that fail every job."""

from peridotspoke.jobs.actions import TakeOutWorker
from peridotspoke.jobs.lifecycle import JobFailed, JobFinished, JobSetAside
from peridotspoke.jobs.needs import Resources
from peridotspoke.jobs.tasks import make_task_id

__all__ = ["find_workers_to_remove", "record_outcome", "set_aside_unrunnable_jobs"]


def find_workers_to_remove(state, now):
    """Return a `TakeOutWorker` for each worker suspected for `suspect_after`.

    If more than half of the workers would be suspected, none is: the jobs are then
    more likely to be at fault, and some workers must keep trying them.

    Parameters
    ----------
    state : PoolState
    now : float
        Monotonic time in seconds.
    """
    suspects = {}
    for name in state.workers:
        verdict = state.evidence.judge_worker(name, now)
        if verdict.suspect:
            suspects[name] = verdict.reason
    if 2 * len(suspects) > len(state.workers):
        suspects = {}
    actions = []
    for name, worker in state.workers.items():
        if name not in suspects:
            worker.suspect_since, worker.removal_requested = None, False
            continue
        if worker.suspect_since is None:
            worker.suspect_since = now
        waited = now >= worker.suspect_since + state.settings.suspect_after
        if waited and not worker.removal_requested:
            worker.removal_requested = True
            actions.append(TakeOutWorker(name, suspects[name]))
    return actions


def set_aside_unrunnable_jobs(state, now):
    """Add a `JobSetAside` event for each queued job that can never run.

    Nothing is done while no worker is usable.

    Parameters
    ----------
    state : PoolState
    now : float
        Monotonic time in seconds.
    """
    usable = sum(1 for item in state.workers.values() if state.is_usable(item, now))
    if not usable:
        return
    for location, job in state.cache.iterate_queued():
        reason = _find_reason(state, location, job, now, usable)
        if reason:
            state.add_event(location, JobSetAside(reason), now)


def _find_reason(state, location, job, now, usable):
    if job.state.failed_on:
        return state.evidence.judge_job(job.state.failed_on, now, usable).reason
    need = Resources(job.spec.cores, job.spec.memory, job.spec.accelerators)
    if any(need.fits(worker.capacity.size) for worker in state.workers.values()):
        return ""
    since = state.queued_since.get((location, job.state.attempts), now)
    if now < since + state.settings.unrunnable_after:
        return ""
    return (
        f"needs {need.cores:g} cores, {need.memory} bytes and {need.accelerators} "
        f"accelerators, more than any of {len(state.workers)} workers has"
    )


def record_outcome(state, location, job, event, now):
    """Record the failure, or the success and usage, that a stored event reports.

    Parameters
    ----------
    state : PoolState
    location : JobLocation
    job : Job
        The job before the event.
    event : JobEvent
    now : float
        Monotonic time in seconds.
    """
    attempt = job.state.attempt
    if attempt is None:
        return
    if isinstance(event, JobFailed):
        state.evidence.record_failure(attempt.worker, job.spec.name, now)
    elif isinstance(event, JobFinished):
        state.evidence.record_success(attempt.worker, job.spec.name)
        task = make_task_id(location.get_id(), attempt.number)
        cores, memory = state.attempts.peak_usage.get(task, (0.0, 0))
        # The run time that the worker reports is not trusted.
        run_time = now - state.attempts.started_at.get(task, now)
        state.estimator.note_finished(job.spec.name, cores, memory, run_time)
