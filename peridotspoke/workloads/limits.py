"""Finds work that does not fit a workspace's limit even if nothing else runs."""

from dataclasses import fields

from peridotspoke.workloads.jobs import Need

__all__ = ["describe_excess"]


def describe_excess(job, workspace):
    """Return why no run of a job's tasks fits its workspace's limit, or None.

    The members of a gang run only all at the same time, so that their needs count
    together.

    Parameters
    ----------
    job : Job
    workspace : Workspace or None

    Returns
    -------
    str or None
        Names the first step that doesn't fit, its need and the limit.

    Examples
    --------
    >>> from peridotspoke.workloads.configuration import Workspace
    >>> from peridotspoke.workloads.jobs import Job, Step
    >>> job = Job("a", "q", "p", "", (Step(4, Need(cpu=500)),))
    >>> describe_excess(job, Workspace("w", limit=Need(cpu=500)))
    >>> describe_excess(job, Workspace("w", limit=Need(cpu=400)))
    'step 0 needs 500 cpu at once, above the limit of 400 of its workspace'
    """
    if workspace is None or not workspace.has_limit:
        return None
    for number, step in enumerate(job.steps):
        members = step.count if step.gang else 1
        for resource in fields(Need):
            limit = getattr(workspace.limit, resource.name)
            need = getattr(step.need, resource.name) * members
            if limit and need > limit:
                return (
                    f"step {number} needs {need} {resource.name} at once, above the "
                    f"limit of {limit} of its workspace"
                )
    return None
