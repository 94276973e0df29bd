"""Sets aside jobs that can never run, and names workers that fail all they start."""

from peridotspoke.jobs.actions import TakeOutWorker
from peridotspoke.jobs.lifecycle import JobFailed, JobFinished, JobSetAside
from peridotspoke.jobs.needs import Need
from peridotspoke.jobs.tasks import make_task_id

__all__ = ["judge_workers", "learn_event", "set_unfit_aside"]


def judge_workers(state, now):
    """Return a `TakeOutWorker` for each worker that has long been suspected.

    Where more than half of the workers would be suspected, none is: then the jobs
    are more likely at fault, and some worker has to go on trying.

    Parameters
    ----------
    state : PoolState
    now : float
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
            worker.suspect_since, worker.asked_out = None, False
            continue
        if worker.suspect_since is None:
            worker.suspect_since = now
        waited = now >= worker.suspect_since + state.settings.suspect_after
        if waited and not worker.asked_out:
            worker.asked_out = True
            actions.append(TakeOutWorker(name, suspects[name]))
    return actions


def set_unfit_aside(state, now):
    """Add the event `JobSetAside` for each queued job that can never run."""
    usable = sum(1 for item in state.workers.values() if state.is_usable(item, now))
    if not usable:
        return
    for place, job in state.held.iterate_queued():
        reason = _find_reason(state, place, job, now, usable)
        if reason:
            state.add_event(place, JobSetAside(reason), now)


def _find_reason(state, place, job, now, usable):
    if job.state.failed_on:
        return state.evidence.judge_job(job.state.failed_on, now, usable).reason
    need = Need(job.spec.cores, job.spec.memory, job.spec.accelerators)
    if any(need.fits(worker.room.size) for worker in state.workers.values()):
        return ""
    since = state.queued_since.get((place, job.state.attempts), now)
    if now < since + state.settings.unfit_after:
        return ""
    return (
        f"needs {need.cores:g} cores, {need.memory} bytes and {need.accelerators} "
        f"accelerators, more than any of {len(state.workers)} workers has"
    )


def learn_event(state, place, job, event, now):
    """Take evidence and usage from an event that has been written.

    Parameters
    ----------
    state : PoolState
    place : JobPlace
    job : Job
        The job before the event.
    event : JobEvent
    now : float
    """
    attempt = job.state.attempt
    if attempt is None:
        return
    if isinstance(event, JobFailed):
        state.evidence.note_failure(attempt.worker, job.spec.name, now)
    elif isinstance(event, JobFinished):
        state.evidence.note_success(attempt.worker, job.spec.name)
        task = make_task_id(place.get_id(), attempt.number)
        cores, memory = state.attempts.peaks.get(task, (0.0, 0))
        # The worker's own word on the run time is not relied on.
        run_time = now - state.attempts.since.get(task, now)
        state.estimator.note_finished(job.spec.name, cores, memory, run_time)
