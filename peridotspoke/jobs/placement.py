"""Places queued jobs on workers: by urgency, by teams' shares and by best fit."""

import heapq
import itertools

from peridotspoke.jobs.messages import Urgency
from peridotspoke.jobs.needs import (
    Placement,
    PlacementPlan,
    PlacementSettings,
    Resources,
)
from peridotspoke.jobs.preemption import preempt_for_urgent, restore_throttled
from peridotspoke.jobs.roundstate import begin_round

__all__ = ["plan_placements"]

URGENCY_ORDER = (Urgency.URGENT, Urgency.NORMAL, Urgency.MAY_WAIT)


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
    state = begin_round(settings, running, workers)
    queues = _sort_queue(queued, now)
    urgent_blocked = False
    waiting_urgent = 0
    for urgency in URGENCY_ORDER:
        if urgency is Urgency.MAY_WAIT and urgent_blocked:
            break
        unplaced = _place_class(state, queues.get(urgency, {}), quotas)
        if urgency is Urgency.URGENT:
            waiting_urgent = len(unplaced)
            preempt_for_urgent(state, unplaced)
            urgent_blocked = any(state.list_suitable(item) for item in unplaced)
        if urgency is Urgency.NORMAL:
            _reserve_for_normal(state, unplaced)
    restores = () if urgent_blocked else restore_throttled(state)
    return PlacementPlan(
        tuple(state.starts),
        tuple(state.stops),
        tuple(state.throttles),
        restores,
        waiting_urgent,
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
    state.occupy(item, best[1])
    state.starts.append(Placement(item.job, best[1]))
    return True


def _reserve_for_normal(state, unplaced):
    """Reserve resources for waiting normal jobs.

    Otherwise jobs that may wait would take each bit of a worker that becomes free,
    and a larger normal job would never fit.
    """
    suitable = ((item, state.list_suitable(item)) for item in unplaced)
    fitting = ((item, names) for item, names in suitable if names)
    for item, names in itertools.islice(fitting, state.settings.max_reservations):
        name = max(names, key=lambda name: (state.free[name].cores, name))
        state.free[name] = state.free[name].add(item.need, -1)
