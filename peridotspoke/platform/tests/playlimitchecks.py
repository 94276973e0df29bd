"""Checks of what the workspaces of a play have running against their limits."""

import math

from peridotspoke.platform.tests.playversions import (
    RESOURCES,
    list_in_force,
    read_versions,
)

__all__ = ["compute_free_quota", "find_over_limits"]

IN_FORCE = 3.0  # seconds for which a replaced limit may still be in force
NO_LIMIT = (math.inf,) * len(RESOURCES)


def find_over_limits(runs, jobs, versions):
    """Return the starts that brought a workspace too far above its limit.

    A limit that was replaced less than `IN_FORCE` before the start may have been in
    force for the node that ordered it; the highest one counts. A total above it by up
    to the task that was started is no break: a task that was accepted before the limit
    was lowered may run alone.

    Parameters
    ----------
    runs : iterable of RunRecord
    jobs : dict of str to Job
    versions : list of Version
    """
    texts = []
    by_workspace = {}
    for run in sorted(runs, key=lambda run: run.began_at):
        job = jobs.get(run.task.partition(".")[0])
        if job is not None and job.workspace:
            earlier = by_workspace.setdefault(job.workspace, [])
            earlier.append((run, _find_needs(run.task, job)))
            if not run.was_late:
                texts += _check_start(run, job.workspace, earlier, versions)
    return texts


def _check_start(run, workspace, earlier, versions):
    """Yield by which resources the last of some runs is above the limit."""
    span = list_in_force(versions, run.began_at - IN_FORCE, run.began_at)
    own = earlier[-1][1]
    for number, resource in enumerate(RESOURCES):
        limit = max(
            (item.limits.get(workspace, NO_LIMIT)[number] for item in span),
            default=math.inf,
        )
        total = sum(
            needs[number] for other, needs in earlier if other.ended_at > run.began_at
        )
        if total - limit > own[number]:
            yield (
                f"QUOTA {run.task}: run {run.run} on {run.executor_id} began at "
                f"{run.began_at:.3f} and brought {workspace} to {total} {resource} of "
                f"{limit:g}"
            )


def _find_needs(task, job):
    step = job.body["steps"][int(task.split(".")[2])]
    return tuple(step[name] for name in RESOURCES)


def compute_free_quota(play, job):
    """Return the free share of the limit of a job's workspace at the end of a play.

    It is 0 if one of the job's tasks, or a gang of them, doesn't fit what is free. In a
    play with the seed 5, a gang that needed the whole limit waited for a lasting job of
    its workspace whose cancellation had been refused.
    """
    if not job.workspace:
        return 1.0
    limits = read_versions(play.site.store.configurations)[-1].limits[job.workspace]
    used = [
        _find_needs(task, other)
        for executor in play.site.executors
        if executor.is_alive
        for task in executor.running
        if (other := play.jobs.get(task.partition(".")[0])) is not None
        and other.workspace == job.workspace
    ]
    shares = []
    for number, limit in enumerate(limits):
        free = limit - sum(needs[number] for needs in used)
        fits = _find_largest(job, number) <= free
        shares.append(free / limit if fits and limit < math.inf else float(fits))
    return min(shares)


def _find_largest(job, number):
    """Return the most that a task or a gang of a job needs of a resource."""
    return max(
        step[RESOURCES[number]] * (step["count"] if step.get("gang") else 1)
        for step in job.body["steps"]
    )
