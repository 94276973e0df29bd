"""The jobs of a pool as the store has them."""

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
    """A job as the store has it; `job` is None until its own record is read."""

    job: Job | None
    revision: int = 0
    summary: ProgressSummary | None = None
    progress: object = None
    cancelled: bool = False

    @property
    def state(self):
        """The state that callers are told."""
        if self.summary is not None and self.summary.outcome:
            return self.summary.outcome
        if self.cancelled:
            return str(JobOutcome.CANCELLED)
        begun = self.summary is not None and self.summary.begun
        return "running" if begun else "queued"

    @property
    def is_open(self):
        """Whether the job has not ended."""
        return self.state in ("running", "queued")


ABSENT = JobView(None)


class PoolJobs:
    """The jobs of one pool, as far as their records have been read.

    `views` maps each identity to its `JobView`, `changes` is an observable of the set
    of changed identities. `revision` is the revision up to which the records are
    complete, and `confirmed_at` the monotonic time, seconds, as of which they were.

    Parameters
    ----------
    pool : str
    """

    def __init__(self, pool):
        self.pool = pool
        self.views = {}
        self.changes = Subject()
        self.revision = 0
        self.confirmed_at = None

    @classmethod
    def from_snapshot(cls, pool, snapshot, asked_at):
        """Return the jobs of a `Snapshot` that was asked for at `asked_at`."""
        records = {record.key: record for record in snapshot.records}
        jobs = cls(pool)
        jobs.note_records(
            FollowedRecords(records, frozenset(records), asked_at, snapshot.revision)
        )
        return jobs

    def find_age(self, now):
        """Return the seconds since the records were complete, or None."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def find(self, job_id):
        """Return the `JobView` of a job, or None."""
        found = self.views.get(job_id)
        return found if found is not None and found.job is not None else None

    def count_waiting(self):
        """Return the number of jobs without a start by the name of their queue."""
        return Counter(
            view.job.queue
            for view in self.views.values()
            if view.job is not None and view.state == "queued"
        )

    def note_records(self, followed):
        """Take in changed records of the pool's jobs."""
        changed = set()
        for key in followed.changed:
            try:
                named = split_job_key(key)
                self._apply(named, followed.records.get(key))
            except (RecordError, ValueError) as error:
                log_event("record-unreadable", "ERROR", key=key, error=error)
                continue
            changed.add(named.job_id)
        self.revision = max(self.revision, followed.revision)
        self.confirmed_at = followed.confirmed_at
        self.changes.on_next(changed)

    def note_job(self, job, revision):
        """Take in a job that this node has just stored."""
        if self.find(job.job_id) is None:
            self._update(job.job_id, job=job, revision=revision)
            self.changes.on_next({job.job_id})

    def note_cancel(self, job_id):
        """Take in that a job's cancelling is stored."""
        self._update(job_id, cancelled=True)
        self.changes.on_next({job_id})

    def _apply(self, named, record):
        if named.kind == "job" and record is None:
            self.views.pop(named.job_id, None)
        elif named.kind == "job":
            self._update(named.job_id, job=decode_job(record), revision=record.revision)
        elif named.kind == "progress" and record is not None:
            self._update(named.job_id, summary=decode_summary(record), progress=record)
        elif named.kind == "cancel" and record is not None:
            self._update(named.job_id, cancelled=True)

    def _update(self, job_id, **fields):
        self.views[job_id] = replace(self.views.get(job_id, ABSENT), **fields)
