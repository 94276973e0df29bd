"""Decides whether a job can still be served when it is handed in.

It answers peaks that stay above what can be brought in: work queues up, and a job that
would be done only after it is worth nothing would take room from others.
"""

from peridotspoke.workloads.urgency import LATE_FACTOR, compute_chain

__all__ = ["compute_patience", "find_room_wait"]

LEAST_PATIENCE = 3.0  # seconds
PRIORITY_SHARE = 0.8  # of the patience, for each lower priority
LOWEST_SHARE = 0.5


def compute_patience(job):
    """Return the seconds after which a job is worth nothing any more.

    Examples
    --------
    >>> from peridotspoke.workloads.jobs import Job, QueueTerms, Step
    >>> terms = QueueTerms(stretch=2.0, latency=1.0)
    >>> job = Job("a", "q", "p", "", (Step(1, estimate=1.5),), terms)
    >>> compute_patience(job)
    12.0
    """
    chain = compute_chain(job, [step.estimate for step in job.steps])
    objective = job.terms.stretch * chain + job.terms.latency
    return max(LEAST_PATIENCE, LATE_FACTOR * objective)


def find_room_wait(job, demand):
    """Return the seconds after which room is expected, or None to accept the job.

    Parameters
    ----------
    job : Job
    demand : PoolDemand or None
        What the pool's owner last said; None accepts.

    Notes
    -----
    Jobs that last or that are due later are always accepted. A less urgent queue is
    turned away earlier, so that the more urgent ones keep their part of the room.
    """
    if demand is None or job.lasts or job.repeats:
        return None
    share = max(LOWEST_SHARE, PRIORITY_SHARE**job.terms.priority)
    over = demand.wait - share * compute_patience(job)
    return over if over > 0 else None
