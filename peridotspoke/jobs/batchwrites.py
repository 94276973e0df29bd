"""Chooses the batches whose pending events are written now, the most urgent first."""

from peridotspoke.jobs.actions import WriteBatch
from peridotspoke.jobs.batches import JobLocation
from peridotspoke.jobs.lifecycle import JobRunning, JobStarting
from peridotspoke.jobs.messages import JobPhase, Urgency
from peridotspoke.jobs.poolstate import WriteInFlight
from peridotspoke.jobs.tasks import make_task_id

__all__ = ["make_due_writes"]


def make_due_writes(state, now):
    """Return the due `WriteBatch` actions, those with urgent starts first.

    Their events are counted as being written from now on.

    Parameters
    ----------
    state : PoolState
    now : float
        Monotonic seconds.

    Returns
    -------
    list of WriteBatch
    """
    due = []
    for key, cached in state.cache.batches.items():
        if not cached.pending or cached.stale or key in state.writes_in_flight:
            continue
        rank = min(_rank_event(cached, index, event) for index, event in cached.pending)
        if rank < 2 or now >= cached.pending_since + state.settings.write_delay:
            due.append((rank, cached.stored.body.accepted_at, key))
    due.sort()
    writes = []
    for rank, _, key in due:
        if len(writes) >= state.settings.max_writes:
            break
        write = _make_write(state, key, rank == 0)
        if write is not None:
            writes.append(write)
    return writes


def _make_write(state, key, urgent):
    cached = state.cache.batches[key]
    _add_running(state, key, cached)
    batch = cached.make_successor()
    if batch is None:
        cached.pending.clear()
        return None
    events, cached.pending = tuple(cached.pending), []
    state.writes_in_flight[key] = WriteInFlight(events, cached.stored.body)
    names = sorted({type(event).__name__ for _, event in events})
    reasons = {getattr(event, "reason", "") for _, event in events} - {""}
    return WriteBatch(
        key,
        cached.revision,
        cached.stored,
        batch,
        f"{', '.join(names)} of {len(events)}",
        "; ".join(sorted(reasons)[:3]),
        urgent,
    )


def _add_running(state, key, cached):
    """Add `JobRunning` events for jobs that workers reported as running.

    They are written only along with other events, to save writes.
    """
    for index, job in enumerate(cached.stored.body.jobs):
        if job.state.phase is not JobPhase.STARTING:
            continue
        number = job.state.attempt.number
        task = make_task_id(JobLocation(key, index).get_id(), number)
        if task in state.attempts.reported_running:
            cached.pending.insert(0, (index, JobRunning(number)))


def _rank_event(cached, index, event):
    if not isinstance(event, JobStarting):
        return 2
    return 0 if cached.stored.body.jobs[index].spec.urgency is Urgency.URGENT else 1
