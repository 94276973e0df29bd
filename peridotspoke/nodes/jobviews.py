"""The jobs of a pool as they are recorded in the store."""

from collections import Counter
from dataclasses import dataclass, replace

from reactivex.subject import Subject

from peridotspoke.exceptions import RecordError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import split_job_key
from peridotspoke.store import FollowedRecords
from peridotspoke.workloads.jobs import Job
from peridotspoke.workloads.progress import (
    JobOutcome,
    ProgressSummary,
    decode_job,
    decode_summary,
)

__all__ = ["JobView", "PoolJobs"]


@dataclass(frozen=True, slots=True)
class JobView:
    """A job as it is recorded in the store.

    Parameters
    ----------
    job : Job or None
        None until the job's description has been read.
    revision : int
        Revision of the job's description.
    summary : ProgressSummary or None
    progress : Record or None
        The undecoded record of the job's progress.
    cancelled : bool
        Whether the cancellation of the job is stored.
    """

    job: Job | None
    revision: int = 0
    summary: ProgressSummary | None = None
    progress: object = None
    cancelled: bool = False

    @property
    def state(self):
        """The state that is shown to callers."""
        if self.summary is not None and self.summary.outcome:
            return self.summary.outcome
        if self.cancelled:
            return str(JobOutcome.CANCELLED)
        has_begun = self.summary is not None and self.summary.begun
        return "running" if has_begun else "queued"

    @property
    def is_open(self):
        """Whether the job has not ended."""
        return self.state in ("running", "queued")


EMPTY_VIEW = JobView(None)


class PoolJobs:
    """The jobs of one pool, as far as their records have been read.

    Parameters
    ----------
    pool : str

    Attributes
    ----------
    views : dict of str to JobView
        By the identity of the job.
    changes : reactivex.Subject
        Emits the set of the identities of changed jobs.
    revision : int
        The revision of the store up to which the records are complete.
    confirmed_at : float or None
        The monotonic time, in seconds, as of which the records were complete. None
        before any has been read.
    """

    def __init__(self, pool):
        self.pool = pool
        self.views = {}
        self.changes = Subject()
        self.revision = 0
        self.confirmed_at = None

    @classmethod
    def from_snapshot(cls, pool, snapshot, asked_at):
        """Return the `PoolJobs` of a `Snapshot`.

        Parameters
        ----------
        pool : str
        snapshot : Snapshot
        asked_at : float
            The monotonic time, in seconds, at which the snapshot was requested.
        """
        records = {record.key: record for record in snapshot.records}
        jobs = cls(pool)
        jobs.apply_records(
            FollowedRecords(records, frozenset(records), asked_at, snapshot.revision)
        )
        return jobs

    def find_age(self, now):
        """Return the seconds since the records were known to be complete, or None.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        return None if self.confirmed_at is None else now - self.confirmed_at

    def find(self, job_id):
        """Return the `JobView` of a job, or None while its description is not read."""
        found = self.views.get(job_id)
        return found if found is not None and found.job is not None else None

    def count_waiting(self):
        """Return the number of jobs that wait for their first start, by queue name."""
        return Counter(
            view.job.queue
            for view in self.views.values()
            if view.job is not None and view.state == "queued"
        )

    def apply_records(self, followed):
        """Apply the changed records of the pool's jobs; unreadable ones are logged.

        Parameters
        ----------
        followed : FollowedRecords
        """
        changed = set()
        for key in followed.changed:
            try:
                job_key = split_job_key(key)
                self._apply(job_key, followed.records.get(key))
            except (RecordError, ValueError) as error:
                log_event("record-unreadable", "ERROR", key=key, error=error)
                continue
            changed.add(job_key.job_id)
        self.revision = max(self.revision, followed.revision)
        self.confirmed_at = followed.confirmed_at
        self.changes.on_next(changed)

    def add_job(self, job, revision):
        """Add a job that this node has just stored, unless it is known already."""
        if self.find(job.job_id) is None:
            self._update(job.job_id, job=job, revision=revision)
            self.changes.on_next({job.job_id})

    def mark_cancelled(self, job_id):
        """Mark a job as cancelled, after this node has stored its cancellation."""
        self._update(job_id, cancelled=True)
        self.changes.on_next({job_id})

    def _apply(self, job_key, record):
        if job_key.kind == "job" and record is None:
            self.views.pop(job_key.job_id, None)
        elif job_key.kind == "job":
            self._update(
                job_key.job_id, job=decode_job(record), revision=record.revision
            )
        elif job_key.kind == "progress" and record is not None:
            self._update(
                job_key.job_id, summary=decode_summary(record), progress=record
            )
        elif job_key.kind == "cancel" and record is not None:
            self._update(job_key.job_id, cancelled=True)

    def _update(self, job_id, **fields):
        self.views[job_id] = replace(self.views.get(job_id, EMPTY_VIEW), **fields)
