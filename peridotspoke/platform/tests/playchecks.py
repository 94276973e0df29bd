"""Checks of a `FleetPlay` by what its stand-ins and clients saw.

The quoted sentences are of the platform's rules.
"""

import math

from peridotspoke.platform.tests.playexecutors import CAPACITY_CPU
from peridotspoke.platform.tests.playlimitchecks import compute_free_quota

__all__ = ["find_breaks", "find_late_pairs"]

CONTACT = 3.0  # seconds, as contactMs
DRAIN = 2.0  # seconds, as drainMs
CANCEL = 3.0  # seconds, as cancel_ms
STOP = 0.4  # seconds, as stopMs
UPKEEP = 2.0  # seconds, as upkeepS
# Changes of the configuration and more jobs are no disruption.
CALM_KINDS = {"config", "revoke", "limit", "burst"}
KINDS_BESIDE_DRAINS = CALM_KINDS | {"drain"}  # may be near a drain that is judged
REJECTIONS = {400, 401, 404, 429, 503}
SHOWN = 1.0  # second in which starts may follow once a job was shown as completed
STANDING = 3.0  # seconds in which a job that stands has nothing running


def find_breaks(play):
    """Return what broke a rule, each with the rule's name first."""
    by_task = _sort_runs(play)
    runs = sorted(play.site.runs, key=lambda run: run.began_at)
    checks = [
        _find_twice(by_task),
        _find_started_after_completion(play, runs),
        _find_orders_out_of_turn(play, by_task),
        _find_refused(play, runs),
        _find_unasked(play, runs),
        _find_running_on(play, runs),
        _find_alone(play, runs),
        _find_mixed(play, by_task),
        _find_lost(play, by_task),
        _find_one(play),
        _find_waves(play),
        _find_drain(play, runs),
    ]
    return [text for check in checks for text in check]


def find_late_pairs(play):
    """Return the pairs of runs beside `TWICE` that no owner can prevent.

    One run of each pair was started late, by a life that the order was not meant for.
    Before that, and before the other run began, a life that it was meant for or one
    between the two had answered the stop by which the owner gave the run up, and would
    have refused it from then on. The next life knows neither the stop nor a fence, and
    no call of the owner is certain to reach it before the late order does: the owner
    could only wait for as long as calls may be late before each second run. Such pairs
    have a name of their own and count as well, unless the late run's end was taken note
    of before the other run began, which the owner could then leave undone: those are
    pairs like any other.

    All other pairs with such a start are breaks: without the answer to a stop the owner
    knows that the order may still be carried out.
    """
    return [
        f"LATE-START on a later life: {text}"
        for run, later, text in _list_pairs(_sort_runs(play))
        if _is_beyond_prevention(run, later)
    ]


def _sort_runs(play):
    """Return the runs of each task in the order in which they began."""
    by_task = {}
    for run in sorted(play.site.runs, key=lambda run: run.began_at):
        by_task.setdefault(run.task, []).append(run)
    return by_task


def _find_twice(by_task):
    for run, later, text in _list_pairs(by_task):
        if not _is_beyond_prevention(run, later):
            yield f"TWICE {text}"


def _is_beyond_prevention(run, later):
    return any(
        late.was_late
        and late.was_for_former
        and late.given_up_at < other.began_at < late.noted_at
        for late, other in ((run, later), (later, run))
    )


def _list_pairs(by_task):
    """Yield the pairs of runs of a task of which there may be only one, with a text."""
    for task, runs in by_task.items():
        for number, run in enumerate(runs):
            for later in runs[number + 1 :]:
                if text := _describe_pair(run, later):
                    yield run, later, f"{task}: {text}"


def _describe_pair(run, later):
    name = f"run {later.run} on {later.executor_id}{_describe_order(later)} began"
    first = f"run {run.run} on {run.executor_id}{_describe_order(run)}"
    if later.began_at < run.ended_at:
        overlap = run.ended_at - later.began_at
        return f"{name} {overlap:.2f} s before {first} ({run.kind})"
    if _is_done_and_noted(run):
        return f"{name} after {first} was done and noted"
    if run.run == later.run:
        return f"{name} with the number of {first}"
    return None


def _describe_order(run):
    if not run.was_late:
        return ""
    return f" (late {run.late_by:.1f} s{', former life' * run.was_for_former})"


def _is_done_and_noted(run):
    # "An end is taken note of when `ackCursor` reaches it, unless the executor's lease
    # lapsed between the two; that stands for good."
    return run.kind == "done" and run.noted_at < math.inf and not run.has_lapsed


def _find_started_after_completion(play, runs):
    for run in runs:
        job = _find_job(play, run)
        if job is None or run.was_late:
            continue  # "not for orders that an executor carried out late"
        told = [at for _, at, _, state in job.states if state == "completed"]
        # "a start by a machine in touch, over a second after [...] the job was shown as
        # `completed`"
        if told and run.began_at > min(told) + SHOWN:
            if _is_calm(play, run.began_at, run.began_at):
                yield f"TWICE {run.task}: run {run.run} began after its job's end"


def _find_orders_out_of_turn(play, by_task):
    for task, runs in by_task.items():
        job_id, occurrence, step, _ = task.split(".")
        job = play.jobs.get(job_id)
        if job is None:
            continue  # reported as UNASKED
        for before in job.body["steps"][int(step)].get("after", ()):
            prefix = f"{job_id}.{occurrence}.{before}."
            count = job.body["steps"][before]["count"]
            for run in runs:
                done = sum(
                    _is_done_by(by_task.get(f"{prefix}{index}", ()), run.began_at)
                    for index in range(count)
                )
                if done < count:
                    yield f"ORDER {task}: run {run.run} began with {done} of {count}"


def _is_done_by(runs, at):
    return any(run.kind == "done" and run.ended_at <= at for run in runs)


def _find_job(play, run):
    """Return the `Job` of a run, or None if no client sent it."""
    return play.jobs.get(run.task.partition(".")[0])


def _find_refused(play, runs):
    for run in runs:
        job = _find_job(play, run)
        if job is None:
            yield f"UNASKED {run.task}: no client sent its job"
        elif job.answers and all(status in REJECTIONS for status in job.answers):
            # "all client attempts to hand its job in were rejected"; one without an
            # answer was not.
            yield f"REFUSED {run.task}: its job's hand-ins got {job.answers}"


def _is_calm(play, begin, end, calm_kinds=CALM_KINDS):
    """Return whether no disruption is near a span of monotonic seconds."""
    return not any(
        kind not in calm_kinds and began_at < end and ended_at > begin - CONTACT
        for kind, began_at, ended_at in play.troubles.spans
    )


def _find_unasked(play, runs):
    for run in runs:
        job = _find_job(play, run)
        if job is None or job.cancelled_at is None or run.was_late:
            # "those with a time bound not for orders that an executor carried out late"
            continue
        limit = job.cancelled_at + CANCEL
        # "a machine in touch starts a task later than `cancel_ms`"
        if run.began_at > limit and _is_calm(play, run.began_at, run.began_at):
            yield f"UNASKED {run.task}: run {run.run} began after the cancel"


def _find_running_on(play, runs):
    last_trouble = max((end for _, _, end in play.troubles.spans), default=0.0)
    for run in runs:
        job = _find_job(play, run)
        if job is not None and job.cancelled_at is not None:
            # "a task of a cancelled job has to be gone after any such stretch of
            # `cancel_ms` + `stopMs`"
            begin = max(job.cancelled_at, last_trouble + CONTACT)
            if run.was_late:  # "counted from `contactMs` after its start"
                begin = max(begin, run.began_at + CONTACT)
            limit = begin + CANCEL + STOP
            if run.ended_at > limit:
                yield f"UNASKED {run.task}: run {run.run} works on after the cancel"


def _find_alone(play, runs):
    for run in runs:
        job = _find_job(play, run)
        # "before its job is cancelled, with its sender in touch and no disruption near"
        is_cancelled = job is not None and job.cancel_sent_at is not None
        if run.kind == "alone" and not is_cancelled:
            if _is_calm(play, run.began_at, run.ended_at):
                yield f"GANG {run.task}: run {run.run} ended alone"


def _list_tasks(job):
    for occurrence in range(job.body.get("repeatCount", 0) or 1):
        for step, fields in enumerate(job.body["steps"]):
            for index in range(fields["count"]):
                yield f"{job.job_id}.{occurrence}.{step}.{index}"


def _find_mixed(play, by_task):
    for job in play.jobs.values():
        for _, told_at, _, state in job.states:
            if state == "completed":
                left = [
                    task
                    for task in _list_tasks(job)
                    if not _is_done_by(by_task.get(task, ()), told_at)
                ]
                if left:
                    yield f"MIXED {job.job_id} is completed without {left}"
                break


def _find_lost(play, by_task):
    for job in play.jobs.values():
        if not job.is_owed:
            continue
        for asked_at, _, status, state in job.states:
            if asked_at > job.accepted_at + CONTACT and status == 410:
                # "410 by a machine in touch, later than `visible_ms`"
                if _is_calm(play, asked_at, asked_at) or asked_at > play.asked_at:
                    yield f"LOST {job.job_id}: unknown"
                    break
            if state in ("failed", "cancelled"):
                yield f"LOST {job.job_id}: shown as {state}"
                break
        last = job.states[-1] if job.states else (0, 0, 0, None)
        if job.kind != "lasting" and last[3] != "completed":
            runs = [run for task in _list_tasks(job) for run in by_task.get(task, ())]
            free = _find_free_cpu(play, job)
            free = min(free, compute_free_quota(play, job, last[1]))
            if all(run.ended_at < last[1] - STANDING for run in runs) and free > 0.5:
                yield f"LOST {job.job_id} ({job.kind}): {last[2]} {last[3]} at the end"


def _find_free_cpu(play, job):
    """Return the free share of the pool's capacity at the end."""
    # "there is capacity for it twice over, and under half of the service's capacity
    # is in use"
    pool = job.path.split("/")[1].partition("-")[2]
    executors = [
        item for item in play.site.executors if item.pool == pool and item.is_alive
    ]
    used = sum(item.specs[task].cpu for item in executors for task in item.running)
    return 1 - used / (len(executors) * CAPACITY_CPU) if executors else 0.0


def _find_one(play):
    highest, holders = {}, {}
    for _, name, machine, holder, fence in play.site.machines.orders:
        if fence < highest.get(machine, 0):
            yield f"ONE {name} {machine}: {fence} after {highest[machine]}"
        highest[machine] = max(fence, highest.get(machine, 0))
        if holders.setdefault((machine, fence), holder) != holder:
            yield f"ONE {machine}: two holders with the token {fence}"


def _find_waves(play):
    begins = {}
    for at, name, machine, wave in play.site.machines.upkeeps:
        down = [begin for begin in begins.get(wave, ()) if begin + UPKEEP > at]
        if len(down) >= play.site.waves[wave]["maxCount"]:
            yield f"LIMIT {name} {machine}: {len(down)} of wave {wave} are down"
        begins.setdefault(wave, []).append(at)
    for wave, left in play.site.store.completed_waves:
        if left:
            yield f"MIXED wave {wave} is completed without {left}"


def _find_drain(play, runs):
    for executor_id, drained_at, ended_at in play.troubles.drains:
        for run in runs:
            # "a machine in touch starts a task later than `drainMs` after a machine in
            # touch acknowledged that the executor is `draining`"
            if (
                run.executor_id == executor_id
                and drained_at + DRAIN < run.began_at < ended_at
                and not run.was_late
                and _is_calm(
                    play, run.began_at - DRAIN, run.began_at, KINDS_BESIDE_DRAINS
                )
            ):
                yield f"DRAIN {run.task}: run {run.run} began on {executor_id}"
