"""Stores the progress of a pool's jobs, on condition that this node owns the pool."""

import asyncio

from peridotspoke.backoff import BackoffRules, compute_backoff
from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import key_owner, key_progress
from peridotspoke.store import Condition, Put, Transaction

__all__ = [
    "MAX_JOBS_PER_COMMIT",
    "CommitTracker",
    "OwnershipLostError",
    "ProgressWriter",
]

# A transaction holds 32 entries: 2 for each job and 1 for the owner.
MAX_JOBS_PER_COMMIT = 15
COMMIT_BACKOFF = BackoffRules(first=0.05, most=0.4)  # seconds
MAX_CONCURRENT_COMMITS = 4
BATCHING_DELAY = 0.05  # seconds for which a partial batch waits for an open commit


class OwnershipLostError(Exception):
    """The pool is owned by another process or by none."""


class CommitTracker:
    """Tracks open commits, and which ends of tasks executors may forget.

    A job is in at most one open commit. An executor keeps the end of each task until
    it is acknowledged by a cursor; this may happen once every job that was changed
    when the ledger handled the end is stored.
    """

    def __init__(self):
        self._open_commits = {}
        self._next_number = 1
        self._checkpoint = None
        self._jobs_before_checkpoint = {}

    def list_jobs(self):
        """Return the set of identities of the jobs in open commits."""
        return {job_id for jobs, _ in self._open_commits.values() for job_id in jobs}

    def may_begin(self, waiting, now):
        """Return whether another commit may begin.

        A full batch begins at once; a smaller one waits up to `BATCHING_DELAY` seconds
        for the oldest open commit, so that more jobs are written together.

        Parameters
        ----------
        waiting : int
            Number of jobs that have changed and are in no open commit.
        now : float
            Monotonic seconds.
        """
        if not waiting or len(self._open_commits) >= MAX_CONCURRENT_COMMITS:
            return False
        oldest = min(
            (begun_at for _, begun_at in self._open_commits.values()), default=None
        )
        if oldest is None or waiting >= MAX_JOBS_PER_COMMIT:
            return True
        return now - oldest > BATCHING_DELAY

    def begin(self, job_ids, now):
        """Record an open commit of these jobs, and return the commit's number.

        Parameters
        ----------
        job_ids : iterable of str
        now : float
            Monotonic seconds.
        """
        number, self._next_number = self._next_number, self._next_number + 1
        self._open_commits[number] = (frozenset(job_ids), now)
        return number

    def end(self, number):
        """Record that the commit with this number has taken effect."""
        jobs, _ = self._open_commits.pop(number)
        for job_id in jobs:
            if self._jobs_before_checkpoint.get(job_id, number + 1) <= number:
                del self._jobs_before_checkpoint[job_id]

    def advance_cursors(self, cursors, dirty):
        """Return the cursors up to which ends may be forgotten, or None if not yet.

        If there is no checkpoint, the current cursors become one. The checkpoint is
        returned, and dropped, once all jobs that had changed before it are stored. A
        job that is neither changed nor in an open commit is stored, or the ledger has
        dropped it, since its end is stored and nothing is left of it to store.

        Parameters
        ----------
        cursors : callable
            Returns, by executor, how far the ledger has handled the ends.
        dirty : set of str
            Identities of jobs that have changed since they were last stored.
        """
        if self._checkpoint is None:
            self._checkpoint = cursors()
            self._jobs_before_checkpoint = {
                job_id: number
                for number, (jobs, _) in self._open_commits.items()
                for job_id in jobs
            }
            self._jobs_before_checkpoint.update(dict.fromkeys(dirty, self._next_number))
        waiting = self._jobs_before_checkpoint.keys() & (dirty | self.list_jobs())
        if waiting:
            return None
        self._jobs_before_checkpoint = {}
        checkpoint, self._checkpoint = self._checkpoint, None
        return checkpoint


class ProgressWriter:
    """Writes the progress of jobs, and retries until the outcome is known.

    Batches that are written concurrently must have no job in common. Each transaction
    is conditional on the revisions of the owner record and of each job's progress, so
    that one which the store applies late has no effect.

    Parameters
    ----------
    commits : TimedCommits
    holding : Holding
    revisions : dict of str to int
        The last known revision of each job's progress; updated by writes.
    chance : random.Random
        Source of the jitter of retries.
    pause : callable, optional
        Coroutine function that waits for a number of seconds before a retry.
    """

    def __init__(self, commits, holding, revisions, chance, pause=None):
        self._commits = commits
        self._holding = holding
        self._revisions = revisions
        self._chance = chance
        self._pause = pause or asyncio.sleep

    async def write(self, values):
        """Store the progress of jobs, and return once it is stored.

        Parameters
        ----------
        values : dict of str to bytes
            Encoded progress by job.

        Raises
        ------
        OwnershipLostError
            If this node no longer owns the pool. The attempt that found this wrote
            nothing.
        """
        failures = 0
        while True:
            try:
                result = await self._commits.commit(
                    self._make_transaction(values), failures
                )
            except (AnswerLostError, PlatformUnavailableError) as error:
                failures += 1
                log_event(
                    "progress-not-stored", "WARNING", error=error, jobs=len(values)
                )
                await self._pause(
                    compute_backoff(COMMIT_BACKOFF, failures, self._chance)
                )
                continue
            if result.succeeded:
                self._revisions.update(dict.fromkeys(values, result.revision))
                return
            if self._was_applied(values, result):
                return

    def forget(self, job_id):
        """Drop the revision of a job whose records have been removed."""
        self._revisions.pop(job_id, None)

    def _make_transaction(self, values):
        conditions = [Condition(key_owner(self._holding.unit), self._holding.fence)]
        conditions += [
            Condition(
                key_progress(self._holding.unit, job_id),
                self._revisions.get(job_id, 0),
            )
            for job_id in values
        ]
        puts = [
            Put(key_progress(self._holding.unit, job_id), value)
            for job_id, value in values.items()
        ]
        return Transaction(tuple(conditions), tuple(puts))

    def _was_applied(self, values, result):
        """Return whether an earlier attempt of the same write has taken effect.

        Called when a condition failed. Updates the revisions for the next attempt.

        Raises
        ------
        OwnershipLostError
            If this node no longer owns the pool.
        """
        owner = result.find_current(key_owner(self._holding.unit))
        if owner is None or owner.revision != self._holding.fence:
            raise OwnershipLostError(
                f"pool {self._holding.unit} is no longer owned by this node"
            )
        applied = True
        for job_id, value in values.items():
            key = key_progress(self._holding.unit, job_id)
            record = result.find_current(key)
            self._revisions[job_id] = record.revision if record else 0
            applied = applied and record is not None and record.value == value
        log_event("progress-read-back", "WARNING", applied=applied, jobs=len(values))
        return applied
