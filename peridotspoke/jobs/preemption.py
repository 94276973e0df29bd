"""Selects the jobs that are preempted for urgent ones, and those that go on in full."""

from peridotspoke.jobs.messages import Urgency
from peridotspoke.jobs.needs import Resources

__all__ = ["preempt_for_urgent", "restore_throttled"]


def preempt_for_urgent(state, unplaced):
    """Select the jobs that are preempted for the urgent jobs that were not placed.

    Parameters
    ----------
    state : RoundState
    unplaced : list of QueuedJob
    """
    for item in unplaced[: state.settings.max_preempting]:
        if not _reserve_being_freed(state, item):
            _preempt(state, item)


def _reserve_being_freed(state, item):
    """Reserve resources that are being freed; return whether they suffice."""
    for name, capacity in state.capacities.items():
        if not capacity.usable or name in item.avoid:
            continue
        available_soon = state.free[name].add(state.being_freed[name])
        if item.need.fits(available_soon):
            state.occupy(item, name)
            return True
    return False


def _preempt(state, item):
    """Preempt the set of jobs on one worker whose stop loses the least work."""
    best = None
    for name in state.list_suitable(item):
        victims = _choose_victims(state, item, name)
        if victims is None:
            continue
        cost = sum(_compute_lost_work(victim) for victim, _ in victims)
        if best is None or (cost, name) < best[:2]:
            best = (cost, name, victims)
    if best is None:
        return
    _, name, victims = best
    for victim, throttled in victims:
        state.running[name].remove(victim)
        (state.throttles if throttled else state.stops).append(victim.job)
        freed = _compute_freed(state, victim, throttled)
        state.being_freed[name] = state.being_freed[name].add(freed)
    state.occupy(item, name)


def _choose_victims(state, item, name):
    free = state.free[name].add(state.being_freed[name])
    candidates = [job for job in state.running[name] if _is_preemptible(state, job)]
    candidates.sort(key=lambda job: (_compute_lost_work(job), job.job))
    throttles = _choose_throttles(state, item, free, candidates)
    if throttles is not None:
        return throttles
    chosen = []
    for job in candidates:
        if len(chosen) >= state.settings.max_victims:
            return None
        if not job.spec.idempotent and not job.spec.checkpointable:
            continue
        chosen.append((job, False))
        free = free.add(job.need)
        if item.need.fits(free):
            return _drop_unneeded(item, free, chosen)
    return None


def _choose_throttles(state, item, free, candidates):
    """Return the jobs to throttle if only cores are missing, else None."""
    if item.need.memory > free.memory or item.need.accelerators > free.accelerators:
        return None
    chosen = []
    for job in candidates:
        if job.throttled or len(chosen) >= state.settings.max_victims:
            continue
        chosen.append((job, True))
        free = free.add(_compute_freed(state, job, True))
        if item.need.fits(free):
            return chosen
    return None


def _drop_unneeded(item, free, chosen):
    kept = list(chosen)
    for pair in reversed(chosen):
        reduced = free.add(pair[0].need, -1)
        if item.need.fits(reduced):
            free = reduced
            kept.remove(pair)
    return kept


def _compute_freed(state, job, throttled):
    if not throttled:
        return job.need
    return Resources(job.need.cores * (1 - state.settings.throttle_share), 0, 0)


def _is_preemptible(state, job):
    return (
        job.spec.urgency is Urgency.MAY_WAIT
        and not job.stopping
        and job.preemptions < state.settings.max_preemptions
    )


def _compute_lost_work(job):
    return 0.0 if job.spec.checkpointable else job.unsaved


def restore_throttled(state):
    """Return the throttled jobs whose full cores are free again, a tuple of str.

    The cores count as occupied from now on.
    """
    restored = []
    for name, jobs in state.running.items():
        for job in jobs:
            if not job.throttled or job.full is None:
                continue
            increase = job.full.add(job.need, -1)
            if increase.fits(state.free[name]):
                state.free[name] = state.free[name].add(increase, -1)
                restored.append(job.job)
    return tuple(restored)
