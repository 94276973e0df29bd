"""Remembers refused jobs whose callers will come back, as demand that is still out.

It answers an outage of the store in a peak: nothing is accepted for seconds, so that no
demand is seen, and then the refused callers come back within a few seconds, while
machines take more than a second to come.
"""

from dataclasses import dataclass

from peridotspoke.workloads.sizing import SizingRules
from peridotspoke.workloads.urgency import compute_critical_path, compute_timing

__all__ = [
    "Arrival",
    "RefusedJobs",
    "ReturningJob",
    "estimate_arrival",
    "sum_returning",
]

MAX_REFUSED_JOBS = 128  # entries, some 4 kB when told
MIN_SPAN = 0.2  # seconds over which the work of a job is spread


@dataclass(frozen=True, slots=True)
class Arrival:
    """What a job asks for when it arrives.

    Parameters
    ----------
    work : float
        Processor-seconds of its finite steps.
    critical_path : float
        Seconds.
    wait : float
        Time that the work may wait for machines, seconds.
    """

    work: float
    critical_path: float
    wait: float

    @property
    def cores(self):
        """Processors that finish the work in time."""
        return self.work / max(self.critical_path + self.wait, MIN_SPAN)


@dataclass(frozen=True, slots=True)
class ReturningJob:
    """A refused job whose caller may come back.

    Parameters
    ----------
    job_id, pool : str
    cores : float
        Processors that it will need.
    since : float
        When it was refused, or told as refused, monotonic seconds.
    until : float
        When its caller has come back or given up, monotonic seconds.
    """

    job_id: str
    pool: str
    cores: float
    since: float
    until: float

    def compute_expected(self, now):
        """Return the processors to be expected of it.

        They fall steadily to 0: the longer a caller stays away, the less likely it is
        to come back. Some had no retry left, which no node knows.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if now >= self.until:
            return 0.0
        return self.cores * (self.until - now) / (self.until - self.since)


class RefusedJobs:
    """The jobs that one node refused and whose callers may come back.

    A job that is refused again replaces its entry. Beyond `most` entries the oldest is
    dropped.

    Parameters
    ----------
    most : int, optional

    Attributes
    ----------
    has_untold : bool
        Whether any was recorded since the last call of `mark_told`.

    Examples
    --------
    >>> jobs = RefusedJobs(most=2)
    >>> for job_id, until in (("a", 3.0), ("b", 4.0), ("a", 6.0), ("c", 5.0)):
    ...     jobs.record(ReturningJob(job_id, "pool", 1.0, 2.0, until))
    >>> [job.job_id for job in jobs.list_current(now=5.5)]
    ['a']
    """

    def __init__(self, most=MAX_REFUSED_JOBS):
        self.has_untold = False
        self._most = most
        self._jobs = {}

    def record(self, job):
        """Record a `ReturningJob`."""
        self.has_untold = True
        self._jobs.pop(job.job_id, None)
        self._jobs[job.job_id] = job
        if len(self._jobs) > self._most:
            del self._jobs[next(iter(self._jobs))]

    def discard(self, job_id):
        """Forget a job that has been accepted."""
        self._jobs.pop(job_id, None)

    def list_current(self, now):
        """Return the jobs whose callers may still come back, and forget the others."""
        for job in [job for job in self._jobs.values() if job.until <= now]:
            del self._jobs[job.job_id]
        return tuple(self._jobs.values())

    def mark_told(self):
        """Note that the jobs have been told; they are kept until they expire."""
        self.has_untold = False


def estimate_arrival(job, durations, rules=SizingRules()):
    """Return the `Arrival` of a job.

    Parameters
    ----------
    job : Job
    durations : sequence of float
        Duration of one task of each step, seconds.
    rules : SizingRules, optional

    Examples
    --------
    >>> from peridotspoke.workloads.jobs import Job, Need, QueueTerms, Step
    >>> terms = QueueTerms(stretch=1.5, latency=1.0)
    >>> job = Job("a", "q", "p", "", (Step(4, Need(cpu=2000)),), terms)
    >>> estimate_arrival(job, (2.0,))
    Arrival(work=16.0, critical_path=2.0, wait=1.0)
    """
    work = sum(
        step.count * step.need.cpu / 1000 * duration
        for step, duration in zip(job.steps, durations, strict=True)
        if not step.lasting
    )
    critical_path = compute_critical_path(job, durations)
    timing = compute_timing(job, critical_path, critical_path, work, job.accepted_at)
    return Arrival(work, critical_path, rules.slack_share * timing.slack)


def sum_returning(told, accepted, now):
    """Return the processors that the refused jobs of a pool will need.

    Parameters
    ----------
    told : iterable of ReturningJob
        By several nodes: a caller's retries reach other nodes, so that the same job may
        be told more than once, and counts once.
    accepted : container of str
        Identities of the jobs that have been accepted, which do not count any more.
    now : float
        Monotonic seconds.

    Examples
    --------
    >>> told = [ReturningJob(name, "p", 8.0, 1.0, 3.0) for name in ("a", "a", "b", "c")]
    >>> [sum_returning(told, {"c"}, now) for now in (1.0, 2.0, 3.0)]
    [16.0, 8.0, 0.0]
    """
    cores = {}
    for job in told:
        if job.job_id not in accepted:
            expected = job.compute_expected(now)
            cores[job.job_id] = max(expected, cores.get(job.job_id, 0.0))
    return float(sum(cores.values()))
