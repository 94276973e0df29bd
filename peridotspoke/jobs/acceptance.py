"""Groups submitted jobs into batches, so that one swap stores many jobs."""

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

JOB_OVERHEAD = 500  # bytes per job in a record, added to the submitted body


@dataclass(frozen=True, slots=True)
class CollectorSettings:
    """Limits of a batch.

    Parameters
    ----------
    interval : float
        Time for which a batch stays open for further submissions, in seconds.
    max_jobs : int
        Maximum number of jobs in a batch that several submissions share.
    max_bytes : int
        Maximum estimated size of the record of such a batch, in bytes.
    """

    interval: float = 0.05
    max_jobs: int = 16
    max_bytes: int = 512 * 1024


@dataclass(frozen=True, slots=True)
class JobSubmission:
    """The jobs of one request.

    Parameters
    ----------
    submission_id : str
    pool : str
    specs : tuple of JobSpec
    body : bytes
        Body of the request.
    key : str
        Idempotency key, or empty without one.
    """

    submission_id: str
    pool: str
    specs: tuple[JobSpec, ...]
    body: bytes
    key: str = ""

    def estimate_size(self):
        """Return the estimated size of the jobs in a record, in bytes."""
        return len(self.body) + JOB_OVERHEAD * len(self.specs)


@dataclass(frozen=True, slots=True)
class PendingBatch:
    """Submissions to be written as one batch.

    `keyed` says whether the submission has an idempotency key.
    """

    batch_id: str
    pool: str
    submissions: tuple[JobSubmission, ...]
    keyed: bool

    def make_batch(self, now):
        """Return the `JobBatch` accepted at the wall-clock time `now`, in seconds."""
        jobs = tuple(
            Job(spec) for submission in self.submissions for spec in submission.specs
        )
        digest = digest_submission(self.submissions[0].body) if self.keyed else ""
        return JobBatch(self.pool, now, jobs, digest)


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The identifiers of a submission's jobs, which are stored.

    `repeated` says whether an earlier submission had the same idempotency key.
    """

    job_ids: tuple[str, ...]
    repeated: bool = False


@dataclass(slots=True)
class _OpenBatch:
    submissions: list
    opened_at: float
    size: int = 0
    jobs: int = 0


class BatchCollector:
    """Groups submissions into batches.

    A submission with an idempotency key gets a batch of its own whose identifier is
    derived from the key. Of several repeats, at whichever entry instance, only one
    can create that record. Submissions without a key share a batch for each pool
    and interval.

    Parameters
    ----------
    settings : CollectorSettings
    make_id : callable
        Returns a new unique identifier, a str.
    """

    def __init__(self, settings, make_id):
        self._settings = settings
        self._make_id = make_id
        self._open_batches = {}

    def add(self, submission, now):
        """Add a `JobSubmission` at the monotonic time `now`, in seconds.

        Returns
        -------
        tuple of PendingBatch
            Batches that are to be written immediately.
        """
        if submission.key:
            batch_id = derive_batch_id(submission.pool, submission.key)
            return (PendingBatch(batch_id, submission.pool, (submission,), True),)
        settings = self._settings
        pool = submission.pool
        open_batch = self._open_batches.get(pool)
        closed = ()
        if open_batch is not None and (
            open_batch.jobs + len(submission.specs) > settings.max_jobs
            or open_batch.size + submission.estimate_size() > settings.max_bytes
        ):
            closed = (self._close(pool),)
        open_batch = self._open_batches.setdefault(pool, _OpenBatch([], now))
        open_batch.submissions.append(submission)
        open_batch.size += submission.estimate_size()
        open_batch.jobs += len(submission.specs)
        return closed

    def take_due(self, now):
        """Close the batches whose interval has passed; return a tuple of them."""
        due = [
            pool
            for pool, open_batch in self._open_batches.items()
            if now >= open_batch.opened_at + self._settings.interval
        ]
        return tuple(self._close(pool) for pool in due)

    def get_next_due(self):
        """Return the monotonic time in seconds at which a batch is due, or None."""
        opened = [open_batch.opened_at for open_batch in self._open_batches.values()]
        return min(opened) + self._settings.interval if opened else None

    def _close(self, pool):
        open_batch = self._open_batches.pop(pool)
        submissions = tuple(open_batch.submissions)
        return PendingBatch(self._make_id(), pool, submissions, False)


def compare_repeat(pending, found):
    """Return whether a stored batch has the same body as a repeated submission.

    Parameters
    ----------
    pending : PendingBatch
        Batch of the repeated submission.
    found : JobBatch
        Batch stored under the same idempotency key.
    """
    return found.digest == digest_submission(pending.submissions[0].body)
