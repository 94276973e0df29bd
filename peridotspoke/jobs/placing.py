"""Joins placement to what a pool's board holds: from the queue to events and calls."""

import itertools

from peridotspoke.jobs.actions import CallThrottle
from peridotspoke.jobs.calling import make_end_calls
from peridotspoke.jobs.lifecycle import JobStarting
from peridotspoke.jobs.messages import Attempt
from peridotspoke.jobs.needs import QueuedJob, RunningJob, WorkerRoom, shrink_need
from peridotspoke.jobs.placement import plan_placements
from peridotspoke.jobs.tasks import make_task_id
from peridotspoke.store.workers import TaskStop, ThrottleTasks

__all__ = ["place_jobs"]

MAX_DOUBLINGS = 10


def place_jobs(state, now):
    """Plan one round: add the starts as events and return the calls.

    Parameters
    ----------
    state : PoolState
    now : float

    Returns
    -------
    list of CallEnd and CallThrottle
    """
    planned = state.list_starts()
    places = {}
    queued = []
    for jobs in state.held.queues.values():
        waiting = (place for place in jobs if place not in planned)
        for place in itertools.islice(waiting, state.settings.max_looked):
            if not state.held.batches[place.key].stale:
                places[place.get_id()] = place
                queued.append(_make_queued(state, place, jobs[place]))
    running = _list_running(state, planned, now)
    plan = plan_placements(
        queued,
        running,
        [_make_room(state, worker, now) for worker in state.workers.values()],
        state.quotas,
        now,
        state.settings.placement,
    )
    for start in plan.starts:
        _add_start(state, places[start.job], start.worker, now)
    return _give_way(state, plan)


def _make_queued(state, place, job):
    since = state.queued_since.get((place, job.state.attempts), 0.0)
    return QueuedJob(
        place.get_id(),
        job.spec,
        state.estimator.estimate_need(job.spec, state.find_largest()),
        state.held.batches[place.key].stored.body.accepted_at,
        since + compute_backoff(state.settings, job.state),
        job.state.failed_on,
    )


def compute_backoff(settings, state):
    """Return the seconds that a job waits before its next attempt."""
    if not state.attempts:
        return 0.0
    doublings = min(state.attempts - 1, MAX_DOUBLINGS)
    return min(settings.backoff * 2**doublings, settings.max_backoff)


def _list_running(state, planned, now):
    running = []
    for place, worker in planned.items():
        job = state.held.get_job(place)
        if job is not None and place not in state.held.active:
            running.append(_make_running(state, place, job, worker, "", now))
    for place, job in state.held.active.items():
        task = make_task_id(place.get_id(), job.state.attempt.number)
        if task not in state.attempts.ended:
            worker = job.state.attempt.worker
            running.append(_make_running(state, place, job, worker, task, now))
    return running


def _make_running(state, place, job, worker, task, now):
    full = state.estimator.estimate_need(job.spec, state.find_largest())
    throttled = task in state.attempts.throttled
    since = state.attempts.since.get(task, now)
    return RunningJob(
        place.get_id(),
        job.spec,
        shrink_need(full, state.settings.placement) if throttled else full,
        worker,
        unsaved=full.cores * max(0.0, now - since),
        preemptions=job.state.preemptions,
        leaving=task in state.attempts.leaving,
        throttled=throttled,
        full=full,
    )


def _make_room(state, worker, now):
    room = worker.room
    usable = state.is_usable(worker, now)
    return WorkerRoom(room.worker, room.rack, room.size, usable)


def _add_start(state, place, name, now):
    worker = state.workers[name]
    attempt = Attempt(
        state.held.get_job(place).state.attempts + 1,
        name,
        worker.report.incarnation,
        worker.estimate_clock(now) + state.settings.start_ttl,
    )
    state.add_event(place, JobStarting(attempt), now)


def _give_way(state, plan):
    active = {place.get_id(): job for place, job in state.held.active.items()}
    stops = []
    for job_id in plan.stops:
        job = active.get(job_id)
        if job is None:
            continue
        task = make_task_id(job_id, job.state.attempt.number)
        how = TaskStop.CHECKPOINT if job.spec.checkpointable else TaskStop.STOP
        state.attempts.leaving[task] = how
        stops.append((task, job.state.attempt, how))
    calls = make_end_calls(stops)
    for job_id in (*plan.throttles, *plan.restores):
        if job_id in active:
            throttled = job_id in plan.throttles
            calls.append(_throttle(state, job_id, active[job_id], throttled))
    return calls


def _throttle(state, job_id, job, throttled):
    task = make_task_id(job_id, job.state.attempt.number)
    full = state.estimator.estimate_need(job.spec, state.find_largest())
    if throttled:
        state.attempts.throttled.add(task)
        state.dirty = True
        cores = shrink_need(full, state.settings.placement).cores
    else:
        state.attempts.throttled.discard(task)
        cores = max(full.cores, job.spec.cores)
    return CallThrottle(job.state.attempt.worker, ThrottleTasks((task,), cores))
