"""Decides which queued jobs start on which workers, and what gives way to them."""

import heapq
import itertools
from dataclasses import dataclass, field

from peridotspoke.jobs.messages import Urgency
from peridotspoke.jobs.needs import Need, Placement, PlacementPlan, PlacementSettings

__all__ = ["plan_placements"]

URGENCY_ORDER = (Urgency.URGENT, Urgency.NORMAL, Urgency.MAY_WAIT)


@dataclass(slots=True)
class _Round:
    settings: PlacementSettings
    rooms: dict
    free: dict
    coming: dict
    racks: dict
    held: dict
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
        Also jobs whose start has been written and not confirmed.
    workers : iterable of WorkerRoom
    quotas : dict of str to Need
        What each team may hold at once; a team that isn't named has no bound.
    now : float
    settings : PlacementSettings, optional

    Notes
    -----
    Urgent jobs go before normal ones, those before jobs that may wait. Within a
    class the team that holds the smallest share of its quota goes next, by the
    larger share of cores and accelerators [1]_. A job goes to the worker on which
    it leaves the least room; among equals to the rack with the fewest jobs of its
    name. Each round looks at a bounded number of jobs for each team, so that jobs
    that don't fit can't hold others. Only jobs that may wait give way, and only to
    urgent ones.

    References
    ----------
    .. [1] A. Ghodsi et al., "Dominant resource fairness: fair allocation of
       multiple resource types", NSDI 2011.
    """
    settings = settings or PlacementSettings()
    state = _begin_round(settings, running, workers)
    queues = _sort_queue(queued, now)
    blocked = False
    waiting_urgent = 0
    for urgency in URGENCY_ORDER:
        if urgency is Urgency.MAY_WAIT and blocked:
            break
        missed = _place_class(state, queues.get(urgency, {}), quotas)
        if urgency is Urgency.URGENT:
            waiting_urgent = len(missed)
            _make_room(state, missed)
            blocked = any(_fits_some(state, item) for item in missed)
        if urgency is Urgency.NORMAL:
            _hold_room(state, missed)
    restores = () if blocked else _restore_throttled(state)
    return PlacementPlan(
        tuple(state.starts),
        tuple(state.stops),
        tuple(state.throttles),
        restores,
        waiting_urgent,
    )


def _begin_round(settings, running, workers):
    rooms = {room.worker: room for room in workers}
    free = {name: room.size for name, room in rooms.items()}
    coming = {name: Need(0.0, 0, 0) for name in rooms}
    held, racks = {}, {}
    by_worker = {name: [] for name in rooms}
    for item in running:
        held[item.spec.team] = held.get(item.spec.team, Need(0, 0)).add(item.need)
        if item.worker not in rooms:
            continue
        by_worker[item.worker].append(item)
        free[item.worker] = free[item.worker].add(item.need, -1)
        place = (item.spec.name, rooms[item.worker].rack)
        racks[place] = racks.get(place, 0) + 1
        if item.leaving:
            coming[item.worker] = coming[item.worker].add(item.need)
    return _Round(settings, rooms, free, coming, racks, held, by_worker)


def _sort_queue(queued, now):
    """Return the jobs that may start by class and team, the oldest last."""
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
    """Start jobs of one class; return those that found no room."""
    heap = [(_weigh_team(state, team, quotas), team) for team in teams]
    heapq.heapify(heap)
    failed = {team: [] for team in teams}
    missed = []
    while heap and len(state.starts) < state.settings.max_starts:
        _, team = heapq.heappop(heap)
        item = _take_next(teams[team], failed[team], state.settings)
        if item is None:
            continue
        within = not _exceeds_quota(state, item, quotas)
        if not within or not _place(state, item):
            failed[team].append(item)
            if within:
                missed.append(item)
        if len(failed[team]) < state.settings.max_looks:
            heapq.heappush(heap, (_weigh_team(state, team, quotas), team))
    return missed


def _take_next(items, failed, settings):
    """Return the next job that may find room where `failed` found none, or None."""
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


def _weigh_team(state, team, quotas):
    held = state.held.get(team)
    if held is None:
        return 0.0
    quota = quotas.get(team)
    if quota is None:
        return held.cores + held.accelerators
    return max(
        held.cores / max(quota.cores, 1), held.accelerators / max(quota.accelerators, 1)
    )


def _exceeds_quota(state, item, quotas):
    quota = quotas.get(item.spec.team)
    if quota is None:
        return False
    held = state.held.get(item.spec.team, Need(0, 0)).add(item.need)
    return held.cores > quota.cores + 1e-9 or held.accelerators > quota.accelerators


def _place(state, item):
    best = None
    for name, room in state.rooms.items():
        free = state.free[name]
        if not room.usable or name in item.avoid or not item.need.fits(free):
            continue
        together = state.racks.get((item.spec.name, room.rack), 0)
        left = free.add(item.need, -1)
        score = (left.accelerators, round(left.cores, 6), left.memory, together, name)
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
    state.held[team] = state.held.get(team, Need(0, 0)).add(item.need)
    place = (item.spec.name, state.rooms[worker].rack)
    state.racks[place] = state.racks.get(place, 0) + 1


def _fits_some(state, item):
    return any(
        room.usable and item.need.fits(room.size) and name not in item.avoid
        for name, room in state.rooms.items()
    )


def _hold_room(state, missed):
    """Keep jobs that may wait off the workers that normal ones wait for."""
    fitting = (item for item in missed if _fits_some(state, item))
    for item in itertools.islice(fitting, state.settings.max_holds):
        names = [
            name
            for name, room in state.rooms.items()
            if room.usable and item.need.fits(room.size) and name not in item.avoid
        ]
        name = max(names, key=lambda name: (state.free[name].cores, name))
        state.free[name] = state.free[name].add(item.need, -1)


def _make_room(state, missed):
    """Choose what gives way to the urgent jobs that found no room."""
    for item in missed[: state.settings.max_preempting]:
        if not _reserve_coming(state, item):
            _preempt(state, item)


def _reserve_coming(state, item):
    """Set aside room that is being freed; return whether it suffices."""
    for name, room in state.rooms.items():
        if not room.usable or name in item.avoid:
            continue
        soon = state.free[name].add(state.coming[name])
        if item.need.fits(soon):
            _occupy(state, item, name)
            return True
    return False


def _preempt(state, item):
    """Take the set of jobs on one worker whose end loses the least work."""
    best = None
    for name, room in state.rooms.items():
        if not room.usable or name in item.avoid or not item.need.fits(room.size):
            continue
        victims = _choose_victims(state, item, name)
        if victims is None:
            continue
        cost = sum(_weigh_loss(victim) for victim, _ in victims)
        if best is None or (cost, name) < best[:2]:
            best = (cost, name, victims)
    if best is None:
        return
    _, name, victims = best
    for victim, throttled in victims:
        state.running[name].remove(victim)
        (state.throttles if throttled else state.stops).append(victim.job)
        freed = _count_freed(state, victim, throttled)
        state.coming[name] = state.coming[name].add(freed)
    _occupy(state, item, name)


def _choose_victims(state, item, name):
    room = state.free[name].add(state.coming[name])
    candidates = [job for job in state.running[name] if _may_give_way(state, job)]
    candidates.sort(key=lambda job: (_weigh_loss(job), job.job))
    throttles = _choose_throttles(state, item, room, candidates)
    if throttles is not None:
        return throttles
    chosen = []
    for job in candidates:
        if len(chosen) >= state.settings.max_victims:
            return None
        if not job.spec.idempotent and not job.spec.checkpointable:
            continue
        chosen.append((job, False))
        room = room.add(job.need)
        if item.need.fits(room):
            return _drop_needless(item, room, chosen)
    return None


def _choose_throttles(state, item, room, candidates):
    """Return the jobs to throttle where cores are all that lacks, or None."""
    if item.need.memory > room.memory or item.need.accelerators > room.accelerators:
        return None
    chosen = []
    for job in candidates:
        if job.throttled or len(chosen) >= state.settings.max_victims:
            continue
        chosen.append((job, True))
        room = room.add(_count_freed(state, job, True))
        if item.need.fits(room):
            return chosen
    return None


def _drop_needless(item, room, chosen):
    kept = list(chosen)
    for pair in reversed(chosen):
        without = room.add(pair[0].need, -1)
        if item.need.fits(without):
            room = without
            kept.remove(pair)
    return kept


def _count_freed(state, job, throttled):
    if not throttled:
        return job.need
    return Need(job.need.cores * (1 - state.settings.throttle_share), 0, 0)


def _may_give_way(state, job):
    return (
        job.spec.urgency is Urgency.MAY_WAIT
        and not job.leaving
        and job.preemptions < state.settings.max_preemptions
    )


def _weigh_loss(job):
    return 0.0 if job.spec.checkpointable else job.unsaved


def _restore_throttled(state):
    restored = []
    for name, jobs in state.running.items():
        for job in jobs:
            if not job.throttled or job.full is None:
                continue
            more = job.full.add(job.need, -1)
            if more.fits(state.free[name]):
                state.free[name] = state.free[name].add(more, -1)
                restored.append(job.job)
    return tuple(restored)
