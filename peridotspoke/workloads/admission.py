"""Admission control: rejects jobs that could not finish while they have value.

It handles load peaks that stay above the capacity that a pool can get. Work then
queues up, and a job that would finish only after its cutoff would take capacity from
jobs that are still worth running.
"""

import msgspec

from peridotspoke.workloads.urgency import CUTOFF_FACTOR, compute_critical_path

__all__ = ["compute_cutoff", "compute_retry_delay"]

MIN_CUTOFF = 3.0  # seconds
SHARE_PER_PRIORITY = 0.8  # of the cutoff that a wait may reach, per priority level
MIN_SHARE = 0.5  # of the cutoff, for the lowest priorities


def compute_cutoff(job):
    """Return the time after which finishing a job has no value, seconds.

    It is a multiple of the job's objective, but at least `MIN_CUTOFF`.

    Examples
    --------
    >>> from peridotspoke.workloads.jobs import Job, QueueTerms, Step
    >>> terms = QueueTerms(stretch=2.0, latency=1.0)
    >>> job = Job("a", "q", "p", "", (Step(1, estimate=1.5),), terms)
    >>> compute_cutoff(job)
    12.0
    """
    critical_path = compute_critical_path(job, [step.estimate for step in job.steps])
    objective = job.terms.stretch * critical_path + job.terms.latency
    return max(MIN_CUTOFF, CUTOFF_FACTOR * objective)


def compute_retry_delay(job, demand):
    """Return how long to wait before submitting a job again, or None to accept it.

    Parameters
    ----------
    job : Job
    demand : PoolDemand or None
        Latest description by the pool's owner; None accepts the job.

    Returns
    -------
    float or None
        Time after which the backlog should be short enough, seconds.

    Notes
    -----
    Long-running and repeated jobs are always accepted. Jobs of a lower-priority queue
    are rejected at a shorter backlog, which reserves capacity for higher priorities.
    A job of a workspace is judged by the wait of its workspace, if the demand has such
    waits, so that the excess of one workspace is refused and not the others' jobs.
    """
    if demand is None or job.is_long_running or job.repeats:
        return None
    share = max(MIN_SHARE, SHARE_PER_PRIORITY**job.terms.priority)
    excess = _find_wait(job, demand) - share * compute_cutoff(job)
    return excess if excess > 0 else None


def _find_wait(job, demand):
    if not job.workspace or demand.workspace_waits is msgspec.UNSET:
        return demand.wait
    return demand.workspace_waits.get(job.workspace, 0.0)
