"""Runs placement on the state of a pool and turns its plan into events and calls."""

import itertools

from peridotspoke.jobs.actions import CallThrottle
from peridotspoke.jobs.lifecycle import JobStarting
from peridotspoke.jobs.messages import Attempt
from peridotspoke.jobs.needs import QueuedJob, RunningJob, WorkerCapacity, shrink_need
from peridotspoke.jobs.placement import plan_placements
from peridotspoke.jobs.tasks import make_task_id
from peridotspoke.jobs.workercalls import make_end_calls
from peridotspoke.store.workers import TaskStop, ThrottleTasks

__all__ = ["place_jobs"]

MAX_DOUBLINGS = 10


def place_jobs(state, now):
    """Run a placement round: add starts as pending events and return other calls.

    Parameters
    ----------
    state : PoolState
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of CallEnd and CallThrottle
    """
    planned = state.list_starts()
    locations = {}
    queued = []
    for jobs in state.cache.queues.values():
        waiting = (location for location in jobs if location not in planned)
        for location in itertools.islice(waiting, state.settings.max_queued_considered):
            if not state.cache.batches[location.key].stale:
                locations[location.get_id()] = location
                queued.append(_make_queued(state, location, jobs[location]))
    running = _list_running(state, planned, now)
    plan = plan_placements(
        queued,
        running,
        [_describe_capacity(state, worker, now) for worker in state.workers.values()],
        state.quotas,
        now,
        state.settings.placement,
    )
    for start in plan.starts:
        _add_start(state, locations[start.job], start.worker, now)
    return _make_preemption_calls(state, plan)


def _make_queued(state, location, job):
    since = state.queued_since.get((location, job.state.attempts), 0.0)
    return QueuedJob(
        location.get_id(),
        job.spec,
        state.estimator.estimate_need(job.spec, state.find_largest()),
        state.cache.batches[location.key].stored.body.accepted_at,
        since + compute_backoff(state.settings, job.state),
        job.state.failed_on,
    )


def compute_backoff(settings, state):
    """Return the time in seconds that a job waits before its next attempt.

    Parameters
    ----------
    settings : BoardSettings
    state : JobState
    """
    if not state.attempts:
        return 0.0
    doublings = min(state.attempts - 1, MAX_DOUBLINGS)
    return min(settings.backoff * 2**doublings, settings.max_backoff)


def _list_running(state, planned, now):
    running = []
    for location, worker in planned.items():
        job = state.cache.get_job(location)
        if job is not None and location not in state.cache.active:
            running.append(_make_running(state, location, job, worker, "", now))
    for location, job in state.cache.active.items():
        task = make_task_id(location.get_id(), job.state.attempt.number)
        if task not in state.attempts.reported_ended:
            worker = job.state.attempt.worker
            running.append(_make_running(state, location, job, worker, task, now))
    return running


def _make_running(state, location, job, worker, task, now):
    full = state.estimator.estimate_need(job.spec, state.find_largest())
    throttled = task in state.attempts.throttled
    since = state.attempts.started_at.get(task, now)
    return RunningJob(
        location.get_id(),
        job.spec,
        shrink_need(full, state.settings.placement) if throttled else full,
        worker,
        unsaved=full.cores * max(0.0, now - since),
        preemptions=job.state.preemptions,
        stopping=task in state.attempts.stopping,
        throttled=throttled,
        full=full,
    )


def _describe_capacity(state, worker, now):
    capacity = worker.capacity
    usable = state.is_usable(worker, now)
    return WorkerCapacity(capacity.worker, capacity.rack, capacity.size, usable)


def _add_start(state, location, name, now):
    worker = state.workers[name]
    attempt = Attempt(
        state.cache.get_job(location).state.attempts + 1,
        name,
        worker.report.incarnation,
        worker.estimate_clock(now) + state.settings.start_ttl,
    )
    state.add_event(location, JobStarting(attempt), now)


def _make_preemption_calls(state, plan):
    active = {location.get_id(): job for location, job in state.cache.active.items()}
    stops = []
    for job_id in plan.stops:
        job = active.get(job_id)
        if job is None:
            continue
        task = make_task_id(job_id, job.state.attempt.number)
        how = TaskStop.CHECKPOINT if job.spec.checkpointable else TaskStop.STOP
        state.attempts.stopping[task] = how
        stops.append((task, job.state.attempt, how))
    calls = make_end_calls(stops)
    for job_id in (*plan.throttles, *plan.restores):
        if job_id in active:
            throttled = job_id in plan.throttles
            calls.append(_make_throttle_call(state, job_id, active[job_id], throttled))
    return calls


def _make_throttle_call(state, job_id, job, throttled):
    task = make_task_id(job_id, job.state.attempt.number)
    full = state.estimator.estimate_need(job.spec, state.find_largest())
    if throttled:
        state.attempts.throttled.add(task)
        state.needs_placement = True
        cores = shrink_need(full, state.settings.placement).cores
    else:
        state.attempts.throttled.discard(task)
        cores = max(full.cores, job.spec.cores)
    return CallThrottle(job.state.attempt.worker, ThrottleTasks((task,), cores))
