"""Creates the calls to workers: starts, stops and exchanges."""

from collections import defaultdict

from peridotspoke.jobs.actions import CallEnd, CallExchange, CallStart
from peridotspoke.jobs.messages import JobPhase
from peridotspoke.jobs.tasks import make_task_id
from peridotspoke.store.workers import EndTasks, Exchange, StartTask, TaskStop

__all__ = [
    "make_end_calls",
    "make_due_ends",
    "make_exchanges",
    "make_start",
    "resend_starts",
]

IDLE_WAIT_FACTOR = 2  # applied to the exchange wait of a worker without jobs


def make_start(state, location, now):
    """Return the `CallStart` of a job whose start is stored.

    Parameters
    ----------
    state : PoolState
    location : JobLocation
    now : float
        Monotonic time in seconds.

    Returns
    -------
    CallStart or None
        None if the job is not active, if its cancellation was requested, or if the
        latest call is too recent to be repeated.
    """
    job = state.cache.active.get(location)
    if job is None or job.state.cancel_asked:
        return None
    attempt = job.state.attempt
    task = make_task_id(location.get_id(), attempt.number)
    if not state.attempts.is_call_due("start", task, now, state.settings.resend_after):
        return None
    state.attempts.started_at.setdefault(task, now)
    need = state.estimator.estimate_need(job.spec, state.find_largest())
    start = StartTask(
        task,
        attempt.incarnation,
        attempt.start_by,
        state.settings.lease_ttl,
        job.spec.command,
        max(need.cores, job.spec.cores),
        max(need.memory, job.spec.memory),
        job.spec.accelerators,
        job.state.checkpoint,
    )
    return CallStart(attempt.worker, start)


def resend_starts(state, now):
    """Return a list of `CallStart` that repeats unanswered start calls.

    Start calls are idempotent: a worker runs each attempt at most once.

    Parameters
    ----------
    state : PoolState
    now : float
        Monotonic time in seconds.
    """
    calls = []
    attempts = state.attempts
    for location, job in state.cache.active.items():
        if job.state.phase is not JobPhase.STARTING:
            continue
        task = make_task_id(location.get_id(), job.state.attempt.number)
        known = task in attempts.reported_running or task in attempts.reported_ended
        if not known and task not in attempts.stopping:
            calls.append(make_start(state, location, now))
    return [call for call in calls if call is not None]


def make_due_ends(state, now):
    """Return a list of `CallEnd` for cancelled, preempted and drained tasks.

    Parameters
    ----------
    state : PoolState
    now : float
        Monotonic time in seconds.
    """
    attempts = state.attempts
    interval = state.settings.resend_after
    ends = []
    for location, job in state.cache.active.items():
        task = make_task_id(location.get_id(), job.state.attempt.number)
        how = attempts.stopping.get(task)
        if job.state.cancel_asked:
            how = TaskStop.STOP
        if how is None or task in attempts.reported_ended:
            continue
        if attempts.is_call_due(how, task, now, interval):
            ends.append((task, job.state.attempt, how))
        if len(ends) >= state.settings.max_ends:
            break
    return make_end_calls(ends)


def make_end_calls(ends):
    """Return a list of `CallEnd`, one for each worker, incarnation and manner.

    Parameters
    ----------
    ends : list of (str, Attempt, TaskStop)
        Tasks to stop, each with its attempt and the manner of the stop.
    """
    groups = defaultdict(list)
    for task, attempt, how in ends:
        groups[attempt.worker, attempt.incarnation, how].append((task, attempt))
    return [
        CallEnd(
            worker,
            EndTasks(
                tuple(task for task, _ in items),
                incarnation,
                how,
                max(attempt.start_by for _, attempt in items),
            ),
        )
        for (worker, incarnation, how), items in groups.items()
    ]


def make_exchanges(state):
    """Return a `CallExchange` for each worker without an exchange in flight."""
    settings = state.settings
    renewed = defaultdict(list)
    for location, job in state.cache.active.items():
        attempt = job.state.attempt
        task = make_task_id(location.get_id(), attempt.number)
        renewed[attempt.worker].append(task)
    calls = []
    for name, worker in state.workers.items():
        if worker.exchange_in_flight:
            continue
        worker.exchange_in_flight = True
        wait = settings.exchange_wait if worker.report is not None else 0.0
        if not renewed[name]:
            wait *= IDLE_WAIT_FACTOR
        confirmed = tuple(sorted(state.confirmed[name]))
        exchange = Exchange(tuple(renewed[name]), confirmed, settings.lease_ttl, wait)
        calls.append(CallExchange(name, exchange))
    return calls
