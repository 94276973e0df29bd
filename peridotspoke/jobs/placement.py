"""Places queued jobs on workers and selects the jobs that are preempted for them."""

import heapq
import itertools
from dataclasses import dataclass, field

from peridotspoke.jobs.messages import Urgency
from peridotspoke.jobs.needs import (
    Placement,
    PlacementPlan,
    PlacementSettings,
    Resources,
)

__all__ = ["plan_placements"]

URGENCY_ORDER = (Urgency.URGENT, Urgency.NORMAL, Urgency.MAY_WAIT)


@dataclass(slots=True)
class _Round:
    settings: PlacementSettings
    capacities: dict
    free: dict
    being_freed: dict
    rack_counts: dict
    team_usage: dict
    running: dict
    starts: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    throttles: list = field(default_factory=list)


def plan_placements(queued, running, workers, quotas, now, settings=None):
    """Return the `PlacementPlan` of one round.

    Parameters
    ----------
    queued : iterable of QueuedJob
    running : iterable of RunningJob
        Includes jobs whose start is planned or written but not confirmed yet.
    workers : iterable of WorkerCapacity
    quotas : dict of str to Resources
        Resources that each team may occupy at once. Teams that are not listed have
        no limit.
    now : float
        Current time in seconds, on the clock of `QueuedJob.not_before`.
    settings : PlacementSettings, optional

    Notes
    -----
    Jobs are placed in the order urgent, normal, may-wait. Within a class, the team
    with the smallest dominant share of its quota, the larger of its shares of
    cores and accelerators, is served next [1]_. A job is placed on the worker with
    the best fit, that is with the least resources left; ties go to the rack with
    the fewest jobs of the same name. Each round considers a bounded number of jobs
    of each team, so that jobs that don't fit can't block others. Only jobs that may
    wait are preempted, and only for urgent jobs.

    References
    ----------
    .. [1] A. Ghodsi et al., "Dominant resource fairness: fair allocation of
       multiple resource types", NSDI 2011.
    """
    settings = settings or PlacementSettings()
    state = _begin_round(settings, running, workers)
    queues = _sort_queue(queued, now)
    urgent_blocked = False
    waiting_urgent = 0
    for urgency in URGENCY_ORDER:
        if urgency is Urgency.MAY_WAIT and urgent_blocked:
            break
        unplaced = _place_class(state, queues.get(urgency, {}), quotas)
        if urgency is Urgency.URGENT:
            waiting_urgent = len(unplaced)
            _preempt_for_urgent(state, unplaced)
            urgent_blocked = any(_fits_any_worker(state, item) for item in unplaced)
        if urgency is Urgency.NORMAL:
            _reserve_for_normal(state, unplaced)
    restores = () if urgent_blocked else _restore_throttled(state)
    return PlacementPlan(
        tuple(state.starts),
        tuple(state.stops),
        tuple(state.throttles),
        restores,
        waiting_urgent,
    )


def _begin_round(settings, running, workers):
    capacities = {capacity.worker: capacity for capacity in workers}
    free = {name: capacity.size for name, capacity in capacities.items()}
    being_freed = {name: Resources(0.0, 0, 0) for name in capacities}
    team_usage, rack_counts = {}, {}
    by_worker = {name: [] for name in capacities}
    for item in running:
        team_usage[item.spec.team] = team_usage.get(
            item.spec.team, Resources(0, 0)
        ).add(item.need)
        if item.worker not in capacities:
            continue
        by_worker[item.worker].append(item)
        free[item.worker] = free[item.worker].add(item.need, -1)
        rack_key = (item.spec.name, capacities[item.worker].rack)
        rack_counts[rack_key] = rack_counts.get(rack_key, 0) + 1
        if item.stopping:
            being_freed[item.worker] = being_freed[item.worker].add(item.need)
    return _Round(
        settings, capacities, free, being_freed, rack_counts, team_usage, by_worker
    )


def _sort_queue(queued, now):
    """Return the jobs that may start now by class and team, the oldest last."""
    queues = {}
    for item in queued:
        if item.not_before <= now:
            teams = queues.setdefault(item.spec.urgency, {})
            teams.setdefault(item.spec.team, []).append(item)
    for teams in queues.values():
        for items in teams.values():
            items.sort(key=lambda item: (item.order, item.job), reverse=True)
    return queues


def _place_class(state, teams, quotas):
    """Place jobs of one class; return those within quota that fit no worker now."""
    heap = [(_compute_dominant_share(state, team, quotas), team) for team in teams]
    heapq.heapify(heap)
    failed = {team: [] for team in teams}
    unplaced = []
    while heap and len(state.starts) < state.settings.max_starts:
        _, team = heapq.heappop(heap)
        item = _pop_next_candidate(teams[team], failed[team], state.settings)
        if item is None:
            continue
        within = not _exceeds_quota(state, item, quotas)
        if not within or not _place(state, item):
            failed[team].append(item)
            if within:
                unplaced.append(item)
        if len(failed[team]) < state.settings.max_failed_tries:
            heapq.heappush(heap, (_compute_dominant_share(state, team, quotas), team))
    return unplaced


def _pop_next_candidate(items, failed, settings):
    """Return the next job that may fit although those in `failed` did not, or None."""
    for _ in range(settings.max_skips):
        if not items:
            return None
        item = items.pop()
        if not any(
            other.need.fits(item.need) and set(other.avoid) <= set(item.avoid)
            for other in failed
        ):
            return item
    return None


def _compute_dominant_share(state, team, quotas):
    team_usage = state.team_usage.get(team)
    if team_usage is None:
        return 0.0
    quota = quotas.get(team)
    if quota is None:
        return team_usage.cores + team_usage.accelerators
    return max(
        team_usage.cores / max(quota.cores, 1),
        team_usage.accelerators / max(quota.accelerators, 1),
    )


def _exceeds_quota(state, item, quotas):
    quota = quotas.get(item.spec.team)
    if quota is None:
        return False
    team_usage = state.team_usage.get(item.spec.team, Resources(0, 0)).add(item.need)
    return (
        team_usage.cores > quota.cores + 1e-9
        or team_usage.accelerators > quota.accelerators
    )


def _place(state, item):
    best = None
    for name, capacity in state.capacities.items():
        free = state.free[name]
        if not capacity.usable or name in item.avoid or not item.need.fits(free):
            continue
        same_name_count = state.rack_counts.get((item.spec.name, capacity.rack), 0)
        remaining = free.add(item.need, -1)
        score = (
            remaining.accelerators,
            round(remaining.cores, 6),
            remaining.memory,
            same_name_count,
            name,
        )
        if best is None or score < best[0]:
            best = (score, name)
    if best is None:
        return False
    _occupy(state, item, best[1])
    state.starts.append(Placement(item.job, best[1]))
    return True


def _occupy(state, item, worker):
    state.free[worker] = state.free[worker].add(item.need, -1)
    team = item.spec.team
    state.team_usage[team] = state.team_usage.get(team, Resources(0, 0)).add(item.need)
    rack_key = (item.spec.name, state.capacities[worker].rack)
    state.rack_counts[rack_key] = state.rack_counts.get(rack_key, 0) + 1


def _fits_any_worker(state, item):
    return any(
        capacity.usable and item.need.fits(capacity.size) and name not in item.avoid
        for name, capacity in state.capacities.items()
    )


def _reserve_for_normal(state, unplaced):
    """Reserve resources for waiting normal jobs.

    Otherwise jobs that may wait would take each bit of a worker that becomes free,
    and a larger normal job would never fit.
    """
    fitting = (item for item in unplaced if _fits_any_worker(state, item))
    for item in itertools.islice(fitting, state.settings.max_reservations):
        names = [
            name
            for name, capacity in state.capacities.items()
            if capacity.usable
            and item.need.fits(capacity.size)
            and name not in item.avoid
        ]
        name = max(names, key=lambda name: (state.free[name].cores, name))
        state.free[name] = state.free[name].add(item.need, -1)


def _preempt_for_urgent(state, unplaced):
    """Select the jobs that are preempted for the urgent jobs that were not placed."""
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
            _occupy(state, item, name)
            return True
    return False


def _preempt(state, item):
    """Preempt the set of jobs on one worker whose stop loses the least work."""
    best = None
    for name, capacity in state.capacities.items():
        if (
            not capacity.usable
            or name in item.avoid
            or not item.need.fits(capacity.size)
        ):
            continue
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
    _occupy(state, item, name)


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


def _restore_throttled(state):
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
