"""Distinguishes jobs that always fail from workers that fail every job."""

from dataclasses import dataclass

__all__ = ["EvidenceSettings", "FailureEvidence", "JobVerdict", "WorkerVerdict"]


@dataclass(frozen=True, slots=True)
class EvidenceSettings:
    """Thresholds for attributing failures to a job or to a worker.

    Parameters
    ----------
    worker_names : int
        Number of different job names that must have failed in a row on a worker for
        it to be suspected.
    job_workers : int
        Number of different unsuspected workers on which a job must have failed to
        be set aside.
    horizon : float
        Age in seconds from which failures are ignored.
    max_entries : int
        Maximum number of failures kept for each worker.
    max_names : int
        Maximum number of job names for which failures are kept.
    """

    worker_names: int = 3
    job_workers: int = 3
    horizon: float = 3600.0
    max_entries: int = 64
    max_names: int = 1024


@dataclass(frozen=True, slots=True)
class JobVerdict:
    """Whether a job is to be set aside, and the reason."""

    set_aside: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class WorkerVerdict:
    """Whether a worker is suspected of failing every job, and the reason."""

    suspect: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _Failure:
    name: str
    at: float


class FailureEvidence:
    """Records failures and attributes them to jobs or to workers.

    A worker is suspected once jobs of several different names have failed on it
    without a success in between. A name that fails on several workers is not held
    against any of them. A job is to be set aside once it has failed on several
    different workers that are not suspected.

    Parameters
    ----------
    settings : EvidenceSettings, optional
    """

    def __init__(self, settings=None):
        self._settings = settings or EvidenceSettings()
        self._failures = {}
        self._failed_workers = {}

    def record_success(self, worker, name):
        """Record that a job called `name` succeeded on `worker`."""
        self._failures.pop(worker, None)
        self._failed_workers.pop(name, None)

    def record_failure(self, worker, name, now):
        """Record that a job called `name` failed on `worker` at `now`, in seconds."""
        failures = self._failures.setdefault(worker, [])
        failures.append(_Failure(name, now))
        del failures[: -self._settings.max_entries]
        self._failed_workers.setdefault(name, {})[worker] = now
        while len(self._failed_workers) > self._settings.max_names:
            del self._failed_workers[next(iter(self._failed_workers))]

    def forget_worker(self, worker):
        """Delete the failures of a worker, for example after it has restarted."""
        self._failures.pop(worker, None)

    def judge_worker(self, worker, now):
        """Return the `WorkerVerdict` of `worker` at the time `now`, in seconds."""
        names = {
            failure.name
            for failure in self._failures.get(worker, ())
            if self._is_recent(failure.at, now)
        }
        # A name that failed on several workers is more likely to be at fault than the
        # workers are, until it succeeds on one of them.
        incriminating = {
            name for name in names if self._count_failed_workers(name, now) <= 1
        }
        if len(incriminating) < self._settings.worker_names:
            return WorkerVerdict(False)
        examples = ", ".join(sorted(incriminating)[:5])
        return WorkerVerdict(
            True, f"{len(incriminating)} different jobs failed in a row: {examples}"
        )

    def judge_job(self, failed_on, now, usable):
        """Return the `JobVerdict` of a job.

        Parameters
        ----------
        failed_on : tuple of str
            Workers on which the job failed.
        now : float
            Time in seconds, on the clock of `record_failure`.
        usable : int
            Number of workers on which jobs may start. If it is smaller than
            `job_workers`, a failure on that many workers suffices.
        """
        healthy = [
            worker for worker in failed_on if not self.judge_worker(worker, now).suspect
        ]
        if len(healthy) < max(1, min(self._settings.job_workers, usable)):
            return JobVerdict(False)
        return JobVerdict(
            True,
            f"failed on {len(healthy)} good workers: {', '.join(sorted(healthy))}",
        )

    def _count_failed_workers(self, name, now):
        workers = self._failed_workers.get(name, {})
        return sum(1 for at in workers.values() if self._is_recent(at, now))

    def _is_recent(self, at, now):
        return now - at <= self._settings.horizon
