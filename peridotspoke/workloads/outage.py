"""Tells callers when to come back while the store is away.

It is designed for outages of the store of unknown length, during which callers with a
handful of retries arrive at a steady rate. An outage that has lasted for some time is
expected to last about as long again, so the delay grows with its age: the same number
of retries then reaches further.
"""

import math

from peridotspoke.workloads.admission import compute_cutoff
from peridotspoke.workloads.urgency import compute_critical_path

__all__ = ["compute_outage_delay", "compute_patience"]

GROWTH = 0.75  # seconds of delay for each second that the outage has lasted
MIN_DELAY = 1.5  # seconds
MAX_DELAY = 3.0  # seconds, before jitter; bounds the return after the outage's end
JITTER = 0.5  # largest relative deviation of a delay, both ways


def compute_outage_delay(age, draw, patience=math.inf):
    """Return how long a caller should wait before it asks again, seconds.

    Parameters
    ----------
    age : float
        How long the store has been away, by the steady clock, seconds.
    draw : float
        Random number from 0 to 1 that spreads the callers' returns.
    patience : float, optional
        Longest wait that leaves the request its worth, seconds.

    Notes
    -----
    The jitter is wide because the delay is told in whole seconds: narrower, all callers
    of a second would get the same one.

    Examples
    --------
    >>> [compute_outage_delay(age, 0.5) for age in (0.0, 3.0, 60.0)]
    [1.5, 2.25, 3.0]
    >>> [compute_outage_delay(4.0, draw) for draw in (0.0, 1.0)]
    [1.5, 4.5]
    >>> compute_outage_delay(4.0, 1.0, patience=2.5)
    2.5
    """
    delay = min(max(GROWTH * age, MIN_DELAY), MAX_DELAY)
    spread = delay * (1.0 + JITTER * (2.0 * draw - 1.0))
    return min(spread, max(patience, MIN_DELAY))


def compute_patience(job):
    """Return the longest wait after which a job can still finish with worth, seconds.

    Parameters
    ----------
    job : Job

    Examples
    --------
    >>> from peridotspoke.workloads.jobs import Job, QueueTerms, Step
    >>> terms = QueueTerms(stretch=2.0, latency=1.0)
    >>> compute_patience(Job("a", "q", "p", "", (Step(1, estimate=1.5),), terms))
    10.5
    """
    critical_path = compute_critical_path(job, [step.estimate for step in job.steps])
    return compute_cutoff(job) - critical_path
