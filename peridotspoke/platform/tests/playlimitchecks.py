"""Checks of what the workspaces of a play have running against their limits."""

import math

from peridotspoke.platform.tests.playversions import (
    RESOURCES,
    list_in_force,
    read_versions,
)

__all__ = ["compute_free_quota", "find_over_limits"]

IN_FORCE = 3.0  # seconds for which a replaced limit may still be in force
STANDING = 3.0  # seconds in which a job gets what its workspace doesn't use
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


def compute_free_quota(play, job, at):
    """Return the share of the limit of a job's workspace that was free for a while.

    The most that the workspace had running at a time in the last `STANDING` counts. The
    share is 0 if one of the job's tasks, or a gang of them, doesn't fit beside that. In
    two plays with the seed 5, a gang that needed the whole limit waited for a lasting
    job whose cancellation had been refused, and a job waited while others of its
    workspace used the limit up by turns.

    Parameters
    ----------
    play : FleetPlay
    job : Job
    at : float
        Monotonic seconds.
    """
    if not job.workspace:
        return 1.0
    limits = read_versions(play.site.store.configurations)[-1].limits[job.workspace]
    runs = [
        (run, _find_needs(run.task, other))
        for run in play.site.runs
        if (other := play.jobs.get(run.task.partition(".")[0])) is not None
        and other.workspace == job.workspace
        and run.began_at <= at
        and run.ended_at > at - STANDING
    ]
    moments = [max(run.began_at, at - STANDING) for run, _ in runs]
    shares = []
    for number, limit in enumerate(limits):
        peak = max(
            (
                sum(
                    needs[number]
                    for run, needs in runs
                    if run.began_at <= moment < run.ended_at
                )
                for moment in moments
            ),
            default=0,
        )
        fits = _find_largest(job, number) <= limit - peak
        shares.append(1 - peak / limit if fits else 0.0)
    return min(shares)


def _find_largest(job, number):
    """Return the most that a task or a gang of a job needs of a resource."""
    return max(
        step[RESOURCES[number]] * (step["count"] if step.get("gang") else 1)
        for step in job.body["steps"]
    )
