"""Gathers accepted jobs, so that one swap of the platform's service serves many."""

from dataclasses import dataclass

from peridotspoke.jobs.messages import Job, JobBatch, JobSpec
from peridotspoke.jobs.records import derive_batch_id, digest_submission

__all__ = [
    "Acceptance",
    "BatchCollector",
    "CollectorSettings",
    "JobSubmission",
    "PendingBatch",
    "compare_repeat",
]

JOB_OVERHEAD = 500  # bytes


@dataclass(frozen=True, slots=True)
class CollectorSettings:
    """How long jobs wait for others, and how many share a batch.

    `interval` is in seconds, `max_bytes` bounds the value of a record.
    """

    interval: float = 0.05
    max_jobs: int = 16
    max_bytes: int = 512 * 1024


@dataclass(frozen=True, slots=True)
class JobSubmission:
    """The jobs of one call; `key` is its idempotency key, where it has one."""

    submission_id: str
    pool: str
    specs: tuple[JobSpec, ...]
    body: bytes
    key: str = ""

    def estimate_size(self):
        """Return about how many bytes the jobs take in a record."""
        return len(self.body) + JOB_OVERHEAD * len(self.specs)


@dataclass(frozen=True, slots=True)
class PendingBatch:
    """Submissions that are written by one swap."""

    batch_id: str
    pool: str
    submissions: tuple[JobSubmission, ...]
    keyed: bool

    def make_batch(self, now):
        """Return the `JobBatch` to write at the wall-clock time `now`."""
        jobs = tuple(
            Job(spec) for submission in self.submissions for spec in submission.specs
        )
        digest = digest_submission(self.submissions[0].body) if self.keyed else ""
        return JobBatch(self.pool, now, jobs, digest)


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The identities of a submission's jobs, which stand in the service.

    `repeated` says that an earlier submission had the same key.
    """

    job_ids: tuple[str, ...]
    repeated: bool = False


@dataclass(slots=True)
class _Gathering:
    submissions: list
    opened_at: float
    size: int = 0
    jobs: int = 0


class BatchCollector:
    """Decides which submissions share a batch.

    A submission with an idempotency key is a batch of its own, whose identity is
    derived from the key: the swap that creates it then decides between repeats at
    any entry instances. Submissions without a key share one batch for each pool and
    interval.

    Parameters
    ----------
    settings : CollectorSettings
    make_id : callable
        Returns a fresh identity.
    """

    def __init__(self, settings, make_id):
        self._settings = settings
        self._make_id = make_id
        self._gathering = {}

    def add(self, submission, now):
        """Take a `JobSubmission` at the monotonic time `now`.

        Returns
        -------
        tuple of PendingBatch
            The batches that are to be written at once.
        """
        if submission.key:
            batch_id = derive_batch_id(submission.pool, submission.key)
            return (PendingBatch(batch_id, submission.pool, (submission,), True),)
        settings = self._settings
        pool = submission.pool
        gathering = self._gathering.get(pool)
        full = ()
        if gathering is not None and (
            gathering.jobs + len(submission.specs) > settings.max_jobs
            or gathering.size + submission.estimate_size() > settings.max_bytes
        ):
            full = (self._close(pool),)
        gathering = self._gathering.setdefault(pool, _Gathering([], now))
        gathering.submissions.append(submission)
        gathering.size += submission.estimate_size()
        gathering.jobs += len(submission.specs)
        return full

    def take_due(self, now):
        """Return a tuple of the batches whose interval has passed."""
        due = [
            pool
            for pool, gathering in self._gathering.items()
            if now >= gathering.opened_at + self._settings.interval
        ]
        return tuple(self._close(pool) for pool in due)

    def get_next_due(self):
        """Return the monotonic time at which the next batch is due, or None."""
        opened = [gathering.opened_at for gathering in self._gathering.values()]
        return min(opened) + self._settings.interval if opened else None

    def _close(self, pool):
        gathering = self._gathering.pop(pool)
        submissions = tuple(gathering.submissions)
        return PendingBatch(self._make_id(), pool, submissions, False)


def compare_repeat(pending, found):
    """Return whether a batch found under a key is of the same submission.

    Parameters
    ----------
    pending : PendingBatch
    found : JobBatch
    """
    return found.digest == digest_submission(pending.submissions[0].body)
