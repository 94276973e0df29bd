"""Chooses executors for the waiting tasks of a pool.

It answers a backlog that the executors can't take at once: a round looks at most once
for a place for tasks of one size.
"""

from peridotspoke.workloads.latestarts import (
    drop_past_starts,
    find_bound_executor,
    may_start_bound,
)
from peridotspoke.workloads.placement import Offer, choose_executor, find_gang
from peridotspoke.workloads.places import drop_old_places, release_place
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.quotarounds import RoundQuotas
from peridotspoke.workloads.readywork import list_step_work, open_due_occurrences
from peridotspoke.workloads.runs import compute_need

__all__ = ["make_offers", "plan_runs"]


def make_offers(ledger, now):
    """Return the free resources of each executor that takes new runs.

    Places that are held for tasks that are being moved are not free.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic seconds.

    Returns
    -------
    dict of str to Offer
        By the executor's identity.
    """
    offers = {}
    for state in ledger.executors.values():
        if not state.accepts_runs(now):
            continue
        free = state.compute_free()
        offer = Offer(
            state.executor_id,
            state.entry.rack,
            frozenset(state.entry.labels),
            free.cpu,
            free.memory,
            free.accelerators,
            penalty=int(ledger.compute_penalty(state, now) + 0.5),
        )
        for run in state.runs.values():
            group = _make_group_key(run.key)
            offer.counts[group] = offer.counts.get(group, 0) + 1
            offer.lasting += run.step.lasting
        offers[state.executor_id] = offer
    for key, place in ledger.held_places.items():
        if place.executor_id in offers:
            offers[place.executor_id].reserve(place.need, _make_group_key(key))
    return offers


def plan_runs(ledger, now, wall, tickets=None, shares=None, quotas=None):
    """Assign waiting tasks to executors that have room, the most urgent first.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic seconds.
    wall : float
        Seconds since the Unix epoch.
    tickets : callable, optional
        Called with a `StepWork` whose queue needs tickets and the offers by executor.
        Returns the valid tickets by executor, or None while they are not
        known; the step then waits.
    shares : PoolShares, optional
        Decides which steps come first where the executors lack room for all of them;
        None without workspaces.
    quotas : QuotaBook, optional
        Asked before each task, for a gang for all its tasks together; None if no
        workspace has a limit.

    Returns
    -------
    list of Run
        The new runs, which start once they are stored.
    """
    open_due_occurrences(ledger, wall)
    drop_past_starts(ledger, now)
    drop_old_places(ledger, now)
    work = list_step_work(ledger, wall)
    if not work:
        if shares is not None:
            shares.latest = None
        return []
    offers = make_offers(ledger, now)
    planned, unplaced_needs = [], []
    if shares is not None:
        work = shares.order_work(ledger, work, offers, planned, quotas)
    quotas = quotas and RoundQuotas(quotas, offers)
    for item in work:
        step = item.progress.job.steps[item.step_number]
        need = compute_need(step)
        if _fail_used_up_job(ledger, item, wall):
            continue
        tasks = _list_held_first(ledger, item.tasks)
        if any(_covers(need, unplaced) for unplaced in unplaced_needs):
            tasks = [task for task in tasks if task.key in ledger.held_places]
            if not tasks:
                continue
        if quotas is not None and quotas.is_held_back(item, tasks):
            continue
        granted = None
        if item.progress.job.terms.advised and tickets is not None:
            granted = tickets(item, offers)
            if granted is None:
                continue
        if step.gang:
            planned += _plan_gang(ledger, item, offers, now, granted, quotas)
            continue
        runs = list(_plan_tasks(ledger, item, tasks, offers, now, granted, quotas))
        planned += runs
        if quotas is not None and quotas.has_held_back(item):
            continue
        if _fits_by_size_alone(step, granted) and _has_unplaced(ledger, tasks):
            unplaced_needs.append(need)
    return planned


def _covers(need, other):
    """Return whether a need is at least as large as another in each resource."""
    return (
        need.cpu >= other.cpu
        and need.memory >= other.memory
        and need.accelerators >= other.accelerators
    )


def _fits_by_size_alone(step, granted):
    """Return whether only free resources decide where a step's tasks can be placed."""
    return not (step.requires or step.most_per_executor or granted is not None)


def _fail_used_up_job(ledger, item, wall):
    """End the job of an item if a task of it has used up its attempts.

    A run that went on when an earlier one's failure was learned of has ended since,
    without an outcome of its own. Return whether the job has ended.
    """
    for task in item.tasks:
        ledger.fail_job(item.progress, task, wall)
    return item.progress.outcome is not JobOutcome.OPEN


def _has_unplaced(ledger, tasks):
    """Return whether a task waits that could have been placed on any executor."""
    return any(
        task.status is TaskStatus.WAITING and task.key not in ledger.late_starts
        for task in tasks
    )


def _list_held_first(ledger, tasks):
    """Return the tasks for which a place is held, and then the others."""
    return sorted(tasks, key=lambda task: task.key not in ledger.held_places)


def _plan_tasks(ledger, item, tasks, offers, now, granted, quotas):
    """Yield a run for each of an item's tasks up to one that fits nowhere.

    A task may use the place that is held for it, or a better one; one that is bound to
    an executor waits for that alone. The quota is asked only for a task that fits, so
    that none is requested without use.
    """
    step = item.progress.job.steps[item.step_number]
    need = compute_need(step)
    for number, task in enumerate(tasks):
        group = _make_group_key(task.key)
        candidates = _list_candidates(ledger, item, task, offers)
        held = release_place(ledger, task.key, offers)
        avoid = ledger.failed_on.get(task.key, frozenset())
        offer = choose_executor(candidates, step, need, group, avoid, granted)
        if offer is None:
            if held is not None:
                held.reserve(need, group)
            elif task.key not in ledger.late_starts:
                return
            continue
        if quotas is not None and not quotas.take(item, tasks[number:], 1):
            if held is not None:
                held.reserve(need, group)
            return
        ledger.held_places.pop(task.key, None)
        offer.reserve(need, group)
        offer.lasting += step.lasting
        ticket = granted[offer.executor_id] if granted else ""
        yield ledger.plan_run(
            item.progress, task, offer.executor_id, now, ticket=ticket
        )


def _list_candidates(ledger, item, task, offers):
    """Return the offers of the executors on which a task may start now."""
    bound_to = find_bound_executor(ledger, task.key)
    if bound_to is None:
        return offers.values()
    max_attempts = item.progress.job.terms.max_attempts
    if bound_to not in offers or not may_start_bound(ledger, task, max_attempts):
        return ()
    return (offers[bound_to],)


def _plan_gang(ledger, item, offers, now, granted, quotas):
    """Yield one run for each task of a gang if all of them fit, and else none.

    The runs get the same number and resume from the same checkpoint: of the tasks'
    checkpoints the longest text, and of several such the last in text order.
    """
    step = item.progress.job.steps[item.step_number]
    group = _make_group_key(item.tasks[0].key)
    need = compute_need(step)
    candidates = [_list_candidates(ledger, item, task, offers) for task in item.tasks]
    chosen = find_gang(candidates, step, need, group, granted)
    if chosen is None:
        return
    if quotas is not None and not quotas.take(item, item.tasks, step.count):
        for offer in chosen:
            offer.release(need, group)
        return
    latest_run = max(task.run for task in item.tasks)
    checkpoint = max(
        (task.checkpoint for task in item.tasks), key=lambda text: (len(text), text)
    )
    for task, offer in zip(item.tasks, chosen, strict=True):
        task.run = latest_run
        task.checkpoint = checkpoint
        ticket = granted[offer.executor_id] if granted else ""
        yield ledger.plan_run(
            item.progress, task, offer.executor_id, now, ticket=ticket
        )


def _make_group_key(key):
    """Return the key that all tasks of one step of an occurrence share."""
    return (key.job_id, key.occurrence, key.step)
