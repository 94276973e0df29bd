"""Tells jobs that can never run from workers that fail all they start."""

from dataclasses import dataclass

__all__ = ["EvidenceSettings", "FailureEvidence", "JobVerdict", "WorkerVerdict"]


@dataclass(frozen=True, slots=True)
class EvidenceSettings:
    """What it takes to blame a job or a worker.

    Parameters
    ----------
    worker_names : int
        Different names of jobs that must have failed on a worker in a row.
    job_workers : int
        Different good workers on which a job must have failed.
    horizon : float
        Seconds after which a failure no longer counts.
    max_entries : int
        Failures kept for each worker.
    max_names : int
        Names of jobs whose failures are kept.
    """

    worker_names: int = 3
    job_workers: int = 3
    horizon: float = 3600.0
    max_entries: int = 64
    max_names: int = 1024


@dataclass(frozen=True, slots=True)
class JobVerdict:
    """Whether a job is set aside, and the reason."""

    set_aside: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class WorkerVerdict:
    """Whether a worker is suspected of failing all it starts, and the reason."""

    suspect: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _Failure:
    name: str
    at: float


class FailureEvidence:
    """Weighs failures from both sides.

    A worker is suspected once jobs of several different names have failed on it in
    a row. A name that fails on several workers says nothing against any of them.
    A job is set aside once it has failed on several different workers that are not
    suspected.

    Parameters
    ----------
    settings : EvidenceSettings, optional
    """

    def __init__(self, settings=None):
        self._settings = settings or EvidenceSettings()
        self._failures = {}
        self._by_name = {}

    def note_success(self, worker, name):
        """Take note that a job of `name` succeeded on `worker`."""
        self._failures.pop(worker, None)
        self._by_name.pop(name, None)

    def note_failure(self, worker, name, now):
        """Take note that a job of `name` failed on `worker` at the time `now`."""
        failures = self._failures.setdefault(worker, [])
        failures.append(_Failure(name, now))
        del failures[: -self._settings.max_entries]
        self._by_name.setdefault(name, {})[worker] = now
        while len(self._by_name) > self._settings.max_names:
            del self._by_name[next(iter(self._by_name))]

    def forget_worker(self, worker):
        """Forget what is held against a worker, such as after its reboot."""
        self._failures.pop(worker, None)

    def judge_worker(self, worker, now):
        """Return the `WorkerVerdict` at the time `now`."""
        names = {
            failure.name
            for failure in self._failures.get(worker, ())
            if self._counts(failure.at, now)
        }
        # A name that failed on several workers is more likely at fault itself, until
        # it succeeds on one of them.
        against = {name for name in names if self._count_workers(name, now) <= 1}
        if len(against) < self._settings.worker_names:
            return WorkerVerdict(False)
        shown = ", ".join(sorted(against)[:5])
        return WorkerVerdict(
            True, f"{len(against)} different jobs failed in a row: {shown}"
        )

    def judge_job(self, failed_on, now, usable):
        """Return the `JobVerdict` of a job that failed on the workers `failed_on`.

        `usable` is the number of workers on which jobs may start; where they are
        few, failing on each of them suffices.
        """
        good = [
            worker for worker in failed_on if not self.judge_worker(worker, now).suspect
        ]
        if len(good) < max(1, min(self._settings.job_workers, usable)):
            return JobVerdict(False)
        return JobVerdict(
            True, f"failed on {len(good)} good workers: {', '.join(sorted(good))}"
        )

    def _count_workers(self, name, now):
        workers = self._by_name.get(name, {})
        return sum(1 for at in workers.values() if self._counts(at, now))

    def _counts(self, at, now):
        return now - at <= self._settings.horizon
