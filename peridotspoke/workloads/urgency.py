"""Computes deadlines and slack of jobs and ranks jobs for placement."""

from dataclasses import dataclass

__all__ = ["JobTiming", "compute_critical_path", "compute_timing", "rank_timing"]

CUTOFF_FACTOR = 3.0  # multiple of the objective; the rules give later jobs no value


@dataclass(frozen=True, slots=True)
class JobTiming:
    """When a job should finish and how much of it remains.

    Parameters
    ----------
    deadline : float
        When the job should be finished, seconds since the Unix epoch.
    remaining_time : float
        Length of the critical path of the unfinished steps, seconds.
    slack : float
        Time that the job can still wait and finish by its deadline, seconds;
        negative if it is late.
    remaining_work : float
        Unfinished work, processor-seconds.
    priority : int
        Priority of its queue; 0 comes first.
    workspace : str, optional
        The job's workspace; empty if it has none.
    occurrence : tuple of (str, int), optional
        Identity of the job and number of its occurrence.
    objective : float, optional
        Time from the job's acceptance, or from when it is due, to `deadline`, seconds.
    """

    deadline: float
    remaining_time: float
    slack: float
    remaining_work: float
    priority: int
    workspace: str = ""
    occurrence: tuple[str, int] = ("", 0)
    objective: float = 0.0


def compute_critical_path(job, durations, skip=frozenset()):
    """Return the length of the critical path through a job's steps, seconds.

    Parameters
    ----------
    job : Job
    durations : sequence of float
        Duration of the longest task of each step, seconds.
    skip : set of int, optional
        Numbers of the finished steps, which take no time.

    Examples
    --------
    >>> from peridotspoke.workloads.jobs import Job, Step
    >>> steps = (Step(2), Step(1), Step(4, after=(0, 1)))
    >>> compute_critical_path(Job("a", "q", "p", "", steps), (1.0, 3.0, 2.0))
    5.0
    """
    ends = []
    for number, step in enumerate(job.steps):
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + (0.0 if number in skip else durations[number]))
    return max(ends, default=0.0)


def compute_timing(
    job,
    critical_path,
    remaining_time,
    remaining_work,
    wall,
    due=0.0,
    occurrence=0,
):
    """Return the `JobTiming` of a job.

    Parameters
    ----------
    job : Job
    critical_path : float
        Length of the critical path of the whole job, seconds.
    remaining_time : float
        Length of the critical path of the unfinished steps, seconds.
    remaining_work : float
        Unfinished work, processor-seconds.
    wall : float
        Current time, seconds since the Unix epoch.
    due : float, optional
        When the occurrence of a repeated job is due, seconds since the Unix epoch.
    occurrence : int, optional
        Number of the occurrence, from 0.
    """
    begin = max(job.accepted_at, due)
    objective = job.terms.stretch * critical_path + job.terms.latency
    deadline = begin + objective
    slack = deadline - wall - remaining_time
    return JobTiming(
        deadline,
        remaining_time,
        slack,
        remaining_work,
        job.terms.priority,
        job.workspace,
        (job.job_id, occurrence),
        objective,
    )


def rank_timing(timing, elapsed=0.0):
    """Return the sort key of a job for placement.

    Jobs that can still finish by their deadline come first, by priority and then by
    slack. Late jobs follow, the one with the least unfinished work first.

    Parameters
    ----------
    timing : JobTiming
    elapsed : float, optional
        Time since the timing was computed, seconds, in which the job only waited.
    """
    slack = timing.slack - elapsed
    if slack >= 0:
        return (0, timing.priority, slack)
    return (1, timing.remaining_work, slack)
