"""Plans which waiting tasks of a pool's ledger start where."""

from dataclasses import dataclass

from peridotspoke.workloads.placement import Offer, choose_executor, find_gang
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runs import compute_need
from peridotspoke.workloads.urgency import (
    JobTiming,
    compute_chain,
    compute_timing,
    rank_timing,
)

__all__ = [
    "StepWork",
    "list_timings",
    "list_work",
    "make_offers",
    "open_due",
    "plan_runs",
    "sum_ready",
]


@dataclass(frozen=True, slots=True)
class StepWork:
    """Tasks of one step that may start, with the job's timing."""

    progress: object
    occurrence: int
    number: int
    tasks: tuple
    timing: JobTiming
    tail: float


def open_due(ledger, wall):
    """Open the occurrences that are due at `wall`, seconds since the Unix epoch."""
    for progress in ledger.jobs.values():
        if progress.outcome is not JobOutcome.OPEN:
            continue
        while progress.next_occurrence < progress.job.occurrences:
            if progress.job.compute_due(progress.next_occurrence) > wall:
                break
            progress.open_occurrence(progress.next_occurrence)


def list_work(ledger, wall):
    """Return the `StepWork` of all jobs, the most urgent first."""
    work = []
    for progress in ledger.jobs.values():
        if progress.outcome is JobOutcome.OPEN:
            for occurrence in progress.occurrences:
                work += _list_occurrence(ledger, progress, occurrence, wall)
    work.sort(key=lambda item: (*rank_timing(item.timing), -item.tail))
    return work


def _list_occurrence(ledger, progress, occurrence, wall):
    job = progress.job
    steps = progress.occurrences[occurrence]
    done = {
        number
        for number, tasks in enumerate(steps)
        if all(task.status is TaskStatus.DONE for task in tasks)
    }
    durations = [
        ledger.durations.predict(job.queue, step.estimate) for step in job.steps
    ]
    timing = None
    for number, tasks in enumerate(steps):
        step = job.steps[number]
        if number in done or not done.issuperset(step.after):
            continue
        waiting = [task for task in tasks if task.status is TaskStatus.WAITING]
        if not waiting or (step.gang and len(waiting) < len(tasks)):
            continue
        if timing is None:
            timing = _time_job(job, steps, durations, done, occurrence, wall)
        tail = durations[number]
        yield StepWork(progress, occurrence, number, tuple(waiting), timing, tail)


def sum_ready(ledger):
    """Return the processors used if all finite tasks that may start ran."""
    cores = 0.0
    for progress in ledger.jobs.values():
        job = progress.job
        if progress.outcome is not JobOutcome.OPEN or job.lasts:
            continue
        for occurrence, steps in progress.occurrences.items():
            for number, tasks in enumerate(steps):
                step = job.steps[number]
                if all(progress.is_step_done(occurrence, item) for item in step.after):
                    left = sum(task.status is not TaskStatus.DONE for task in tasks)
                    cores += left * compute_need(step).cpu / 1000
    return cores


def list_timings(ledger, wall):
    """Yield the `JobTiming` of each occurrence of the open finite jobs."""
    for progress in ledger.jobs.values():
        job = progress.job
        if progress.outcome is not JobOutcome.OPEN or job.lasts:
            continue
        durations = [
            ledger.durations.predict(job.queue, step.estimate) for step in job.steps
        ]
        for occurrence, steps in progress.occurrences.items():
            done = {
                number
                for number in range(len(steps))
                if progress.is_step_done(occurrence, number)
            }
            yield _time_job(job, steps, durations, done, occurrence, wall)


def _time_job(job, steps, durations, done, occurrence, wall):
    chain = compute_chain(job, durations)
    remaining = compute_chain(job, durations, done)
    work = sum(
        durations[number] * job.steps[number].need.cpu / 1000
        for number, tasks in enumerate(steps)
        for task in tasks
        if task.status is not TaskStatus.DONE
    )
    due = job.compute_due(occurrence)
    return compute_timing(job, chain, remaining, work, wall, due)


def make_offers(ledger, now):
    """Return the `Offer` of each executor that takes work, by its identity."""
    offers = {}
    for state in ledger.executors.values():
        if not state.takes_work(now):
            continue
        free = state.compute_free()
        offer = Offer(
            state.executor_id,
            state.entry.rack,
            frozenset(state.entry.labels),
            free.cpu,
            free.memory,
            free.accelerators,
            strikes=int(ledger.read_strikes(state, now) + 0.5),
        )
        for run in state.runs.values():
            group = _name_group(run.key)
            offer.counts[group] = offer.counts.get(group, 0) + 1
            offer.lasting += run.step.lasting
        offers[state.executor_id] = offer
    return offers


def plan_runs(ledger, now, wall, tickets=None):
    """Plan runs for the waiting tasks that fit, the most urgent first.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic seconds.
    wall : float
        Seconds since the Unix epoch.
    tickets : callable, optional
        Returns the valid tickets by executor of a step that needs advice, or None
        where it is not known yet.

    Returns
    -------
    list of Run
    """
    open_due(ledger, wall)
    work = list_work(ledger, wall)
    if not work:
        return []
    offers = make_offers(ledger, now)
    planned = []
    for item in work:
        granted = None
        if item.progress.job.terms.advised and tickets is not None:
            granted = tickets(item, tuple(offers))
            if granted is None:
                continue
        if item.progress.job.steps[item.number].gang:
            planned += _plan_gang(ledger, item, offers, now, granted)
        else:
            planned += _plan_tasks(ledger, item, offers, now, granted)
    return planned


def _plan_tasks(ledger, item, offers, now, granted):
    step = item.progress.job.steps[item.number]
    need = compute_need(step)
    for task in item.tasks:
        group = _name_group(task.key)
        avoid = ledger.failed_on.get(task.key, frozenset())
        offer = choose_executor(offers.values(), step, need, group, avoid, granted)
        if offer is None:
            return
        offer.take(need, group)
        offer.lasting += step.lasting
        ticket = granted[offer.executor_id] if granted else ""
        yield ledger.plan_run(
            item.progress, task, offer.executor_id, now, ticket=ticket
        )


def _plan_gang(ledger, item, offers, now, granted):
    step = item.progress.job.steps[item.number]
    group = _name_group(item.tasks[0].key)
    need = compute_need(step)
    chosen = find_gang(list(offers.values()), step, need, group, granted)
    if chosen is None:
        return
    number = max(task.run for task in item.tasks)
    checkpoint = max(
        (task.checkpoint for task in item.tasks), key=lambda text: (len(text), text)
    )
    for task, offer in zip(item.tasks, chosen, strict=True):
        task.run = number
        task.checkpoint = checkpoint
        ticket = granted[offer.executor_id] if granted else ""
        yield ledger.plan_run(
            item.progress, task, offer.executor_id, now, ticket=ticket
        )


def _name_group(key):
    return (key.job_id, key.occurrence, key.step)
