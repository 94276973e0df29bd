"""How the events of a pool's owner read in the log."""

from datetime import UTC, datetime

from peridotspoke.workloads.progress import TaskStatus

__all__ = ["count_assigned", "describe_step", "format_fields"]


def format_fields(fields, clock):
    """Return the fields of an event as they are logged.

    Parameters
    ----------
    fields : dict of str to object
        ``task`` is a `TaskKey`, and ``held_until`` a monotonic time in seconds, where
        they are given.
    clock : Clock

    Returns
    -------
    dict of str to object
        The task in two fields, its job and its place there; times in UTC.
    """
    shown = dict(fields)
    key = shown.pop("task", None)
    if key is not None:
        place = f"{key.occurrence}.{key.step}.{key.index}"
        shown = {"job": key.job_id, "task": place, **shown}
    if "held_until" in shown:
        wall = clock.read_wall() + shown["held_until"] - clock.read_monotonic()
        held_until = datetime.fromtimestamp(wall, UTC)
        shown["held_until"] = held_until.isoformat(timespec="milliseconds")
    return shown


def count_assigned(progress):
    """Return how many tasks of a `JobProgress` an earlier owner had assigned."""
    return sum(task.status is TaskStatus.ASSIGNED for task in progress.list_tasks())


def describe_step(step):
    """Return a step's summary for the log, with its need in thousandths of a core."""
    marks = (
        ("gang", step.gang),
        ("lasting", step.lasting),
        ("fills", step.fills),
        ("saves", step.checkpointing),
        ("copies", step.speculative),
        (f"target={step.target:g}", step.target),
        (f"miss={step.may_miss}", step.may_miss),
        (f"apart={step.most_per_executor}", step.most_per_executor),
    )
    shown = "".join(f",{mark}" for mark, is_set in marks if is_set)
    return f"{step.count}x{step.need.cpu}m@{step.estimate:g}s{shown}"
