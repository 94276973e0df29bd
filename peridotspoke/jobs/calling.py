"""Makes the calls to workers: starts, ends and exchanges."""

from collections import defaultdict

from peridotspoke.jobs.actions import CallEnd, CallExchange, CallStart
from peridotspoke.jobs.messages import JobPhase
from peridotspoke.jobs.tasks import make_task_id
from peridotspoke.store.workers import EndTasks, Exchange, StartTask, TaskStop

__all__ = [
    "make_end_calls",
    "make_ends",
    "make_exchanges",
    "make_start",
    "resend_starts",
]

IDLE_WAITS = 2  # an idle worker's exchange is held so many times as long


def make_start(state, place, now):
    """Return the `CallStart` of a job whose start is written, or None.

    Parameters
    ----------
    state : PoolState
    place : JobPlace
    now : float
    """
    job = state.held.active.get(place)
    if job is None or job.state.cancel_asked:
        return None
    attempt = job.state.attempt
    task = make_task_id(place.get_id(), attempt.number)
    if not state.attempts.may_call("start", task, now, state.settings.resend_after):
        return None
    state.attempts.since.setdefault(task, now)
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
    """Return the starts that no worker has answered.

    A worker runs each attempt at most once, so that a repeat does no harm.
    """
    calls = []
    attempts = state.attempts
    for place, job in state.held.active.items():
        if job.state.phase is not JobPhase.STARTING:
            continue
        task = make_task_id(place.get_id(), job.state.attempt.number)
        known = task in attempts.seen or task in attempts.ended
        if not known and task not in attempts.leaving:
            calls.append(make_start(state, place, now))
    return [call for call in calls if call is not None]


def make_ends(state, now):
    """Return the calls that end tasks: those cancelled and those giving way."""
    attempts = state.attempts
    interval = state.settings.resend_after
    ends = []
    for place, job in state.held.active.items():
        task = make_task_id(place.get_id(), job.state.attempt.number)
        how = attempts.leaving.get(task)
        if job.state.cancel_asked:
            how = TaskStop.STOP
        if how is None or task in attempts.ended:
            continue
        if attempts.may_call(how, task, now, interval):
            ends.append((task, job.state.attempt, how))
        if len(ends) >= state.settings.max_ends:
            break
    return make_end_calls(ends)


def make_end_calls(ends):
    """Return a list of `CallEnd`, one for each worker and way to end.

    Parameters
    ----------
    ends : list of (str, Attempt, TaskStop)
        Each task with its attempt and how it ends.
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
    """Return one `CallExchange` for each worker that isn't being asked."""
    settings = state.settings
    renewed = defaultdict(list)
    for place, job in state.held.active.items():
        attempt = job.state.attempt
        task = make_task_id(place.get_id(), attempt.number)
        renewed[attempt.worker].append(task)
    calls = []
    for name, worker in state.workers.items():
        if worker.asking:
            continue
        worker.asking = True
        wait = settings.exchange_wait if worker.report is not None else 0.0
        if not renewed[name]:
            wait *= IDLE_WAITS
        confirmed = tuple(sorted(state.confirmed[name]))
        exchange = Exchange(tuple(renewed[name]), confirmed, settings.lease_ttl, wait)
        calls.append(CallExchange(name, exchange))
    return calls
