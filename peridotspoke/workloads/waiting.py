"""Tells which tasks that last don't run, for how long, and why.

It answers a pool in which a few such tasks stand beside much finite work: the line
about them is one for the whole pool, and looking for them is bounded by their number.
"""

import enum
from collections import Counter
from dataclasses import dataclass

from peridotspoke.workloads.placement import fits
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runs import RunPhase, compute_need
from peridotspoke.workloads.scheduling import make_offers

__all__ = [
    "WaitReason",
    "WaitSummary",
    "WaitingTasks",
    "find_reason",
    "list_waiting",
]


class WaitReason(enum.StrEnum):
    """Why a task that lasts doesn't run.

    Attributes
    ----------
    LEASE
        The lease of an earlier run has not certainly ended.
    START
        A run is planned, but not stored, or was sent and not answered.
    LATE_START
        An earlier start may still be carried out, and its executor takes no work now,
        or still runs it.
    TICKET
        No executor that takes work has a ticket for it.
    EXECUTORS
        No executor takes work.
    LABEL, ACCELERATORS, MEMORY, PROCESSORS
        The nearest executors lack this.
    ANTI_AFFINITY
        The nearest executors have as many tasks of the step as they may have.
    GANG
        It starts only together with others, which can't all start.
    ROUND
        An executor has room; the next round can place it.
    """

    LEASE = "lease"
    START = "start"
    LATE_START = "late-start"
    TICKET = "ticket"
    EXECUTORS = "executors"
    LABEL = "label"
    ACCELERATORS = "accelerators"
    MEMORY = "memory"
    PROCESSORS = "processors"
    ANTI_AFFINITY = "anti-affinity"
    GANG = "gang"
    ROUND = "round"


@dataclass(frozen=True, slots=True)
class WaitSummary:
    """The tasks of a pool that last and don't run.

    Parameters
    ----------
    counts : dict of WaitReason to int
        Number of tasks by reason.
    longest : float
        Longest time that one of them has waited, seconds.
    example : TaskKey
        The task that has waited longest.
    reason : WaitReason
        Why that one waits.
    """

    counts: dict
    longest: float
    example: object
    reason: WaitReason


def find_reason(offers, step, group, allowed=None):
    """Return why a task without a run can't be placed.

    Of the executors that take work those count that lack the fewest things; of what
    these lack, the most frequent is the reason.

    Parameters
    ----------
    offers : collection of Offer
        The executors that take work.
    step : Step
    group : tuple of (str, int, int)
        Job ID, occurrence and step.
    allowed : container of str or None, optional
        Executors with a ticket for the step; None if it needs none.

    Returns
    -------
    WaitReason
    """
    if not offers:
        return WaitReason.EXECUTORS
    offers = [
        offer for offer in offers if allowed is None or offer.executor_id in allowed
    ]
    if not offers:
        return WaitReason.TICKET
    need = compute_need(step)
    if any(fits(offer, step, need, group) for offer in offers):
        return WaitReason.GANG if step.gang else WaitReason.ROUND
    lacks = [_list_lacks(offer, step, need, group) for offer in offers]
    fewest = min(len(lacking) for lacking in lacks)
    counts = Counter(
        reason for lacking in lacks if len(lacking) == fewest for reason in lacking
    )
    return counts.most_common(1)[0][0]


def _list_lacks(offer, step, need, group):
    """Return the reasons for which an executor can't take a task, in a fixed order."""
    most = step.most_per_executor
    checks = (
        (WaitReason.LABEL, step.requires and step.requires not in offer.labels),
        (WaitReason.ACCELERATORS, offer.accelerators < need.accelerators),
        (WaitReason.MEMORY, offer.memory < need.memory),
        (WaitReason.PROCESSORS, offer.cpu < need.cpu),
        (WaitReason.ANTI_AFFINITY, most and offer.counts.get(group, 0) >= most),
    )
    return [reason for reason, is_lacking in checks if is_lacking]


def list_waiting(ledger, now, find_tickets):
    """Return the tasks that last, may run and don't, with the reason of each.

    A task whose executor is not reachable or not listed counts as one that doesn't run.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic seconds.
    find_tickets : callable
        Takes a step's job ID, occurrence and number; returns the executors with a
        valid ticket.

    Returns
    -------
    dict of TaskKey to WaitReason
    """
    waiting, offers = {}, None
    for progress, step, tasks in _list_lasting_steps(ledger):
        group, reason = tasks[0].key[:3], None
        for task in tasks:
            if task.status is TaskStatus.ASSIGNED:
                held = _find_hold(ledger, task)
                if held is not None:
                    waiting[task.key] = held
            elif task.key in ledger.late_starts:
                waiting[task.key] = WaitReason.LATE_START
            elif task.status is TaskStatus.WAITING:
                if offers is None:
                    offers = tuple(make_offers(ledger, now).values())
                if reason is None:
                    advised = progress.job.terms.advised
                    allowed = find_tickets(group) if advised else None
                    reason = find_reason(offers, step, group, allowed)
                waiting[task.key] = reason
    return waiting


def _list_lasting_steps(ledger):
    """Yield the job's progress, the step and the tasks of each step that may run."""
    for progress in ledger.jobs.values():
        job = progress.job
        if progress.outcome is not JobOutcome.OPEN or not job.is_long_running:
            continue
        for occurrence, steps in progress.occurrences.items():
            for number, tasks in enumerate(steps):
                step = job.steps[number]
                if step.lasting and all(
                    progress.is_step_done(occurrence, prior) for prior in step.after
                ):
                    yield progress, step, tasks


def _find_hold(ledger, task):
    """Return why an assigned task doesn't run, or None if it does or is stopping."""
    run = ledger.find_run(task)
    if run is None or run.phase in (RunPhase.PLANNED, RunPhase.STARTING):
        return WaitReason.START
    state = ledger.executors[run.executor_id]
    is_lost = not state.reachable or state.entry is None
    return WaitReason.LEASE if is_lost or run.phase is RunPhase.INHERITED else None


class WaitingTasks:
    """Remembers since when each task that lasts has been waiting.

    The times count from when this owner first saw the task wait.

    Parameters
    ----------
    min_wait : float
        Time in seconds that a task waits before it counts.
    """

    def __init__(self, min_wait):
        self._min_wait = min_wait
        self._since = {}

    def update(self, waiting, now):
        """Return a `WaitSummary` of the tasks that wait, or None if none does.

        Parameters
        ----------
        waiting : dict of TaskKey to WaitReason
        now : float
            Monotonic seconds.
        """
        self._since = {key: self._since.get(key, now) for key in waiting}
        due = [
            key for key, since in self._since.items() if now - since >= self._min_wait
        ]
        if not due:
            return None
        example = min(due, key=lambda key: (self._since[key], key))
        return WaitSummary(
            dict(Counter(waiting[key] for key in due)),
            now - self._since[example],
            example,
            waiting[example],
        )
