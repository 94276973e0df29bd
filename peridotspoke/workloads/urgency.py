"""The order in which jobs are placed, and what they can still gain."""

from dataclasses import dataclass

__all__ = ["JobTiming", "compute_chain", "compute_timing", "rank_timing"]

LATE_FACTOR = 3.0  # objectives after which a job earns nothing, from the rules


@dataclass(frozen=True, slots=True)
class JobTiming:
    """When a job should be done, and how long it takes at the least.

    Parameters
    ----------
    objective_at : float
        Seconds since the Unix epoch.
    remaining : float
        Longest chain of work that is left, seconds.
    slack : float
        Seconds that the job may still wait to be in time.
    work : float
        Processor-seconds that are left.
    priority : int
    """

    objective_at: float
    remaining: float
    slack: float
    work: float
    priority: int


def compute_chain(job, durations, skip=frozenset()):
    """Return the longest chain of a job's steps in seconds.

    Parameters
    ----------
    job : Job
    durations : sequence of float
        Seconds of each step's longest task.
    skip : set of int, optional
        Steps that are done.

    Examples
    --------
    >>> from peridotspoke.workloads.jobs import Job, Step
    >>> steps = (Step(2), Step(1), Step(4, after=(0, 1)))
    >>> compute_chain(Job("a", "q", "p", "", steps), (1.0, 3.0, 2.0))
    5.0
    """
    ends = []
    for number, step in enumerate(job.steps):
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + (0.0 if number in skip else durations[number]))
    return max(ends, default=0.0)


def compute_timing(job, chain, remaining, work, wall, due=0.0):
    """Return the `JobTiming` of a job at the time `wall`, seconds since the epoch."""
    begin = max(job.accepted_at, due)
    objective_at = begin + job.terms.stretch * chain + job.terms.latency
    slack = objective_at - wall - remaining
    return JobTiming(objective_at, remaining, slack, work, job.terms.priority)


def rank_timing(timing):
    """Return the key by which jobs are sorted for placement.

    Jobs that can still be in time go first, the most urgent before the others. Of
    those that are late, the smaller go first.
    """
    if timing.slack >= 0:
        return (0, timing.priority, timing.slack)
    return (1, timing.work, timing.slack)
