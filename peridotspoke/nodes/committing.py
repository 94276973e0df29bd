"""Stores the progress of a pool's jobs under the pool's ownership."""

import asyncio

from peridotspoke.backoff import BackoffRules, compute_backoff
from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import key_owner, key_progress
from peridotspoke.store import Condition, Put, Transaction

__all__ = ["MOST_JOBS", "CommitBook", "OwnershipLostError", "ProgressWriter"]

MOST_JOBS = 15  # a condition and a put each, and the owner's condition, in 32 entries
RETRIES = BackoffRules(first=0.05, most=0.4)
MOST_COMMITS = 4  # that are under way at once
SLOW_COMMIT = 0.05  # seconds after which another commit does not wait for one


class OwnershipLostError(Exception):
    """Another process owns the pool, or nobody does."""


class CommitBook:
    """Which jobs are being stored, and when executors may forget their ends.

    A job is in one commit at a time. An end may be forgotten once all jobs that had
    changed when it was taken into account are stored.
    """

    def __init__(self):
        self._under_way = {}
        self._next = 1
        self._cursors = None
        self._needed = {}

    def list_jobs(self):
        """Return the set of the jobs that are being stored."""
        return {job_id for jobs, _ in self._under_way.values() for job_id in jobs}

    def may_begin(self, waiting, now):
        """Return whether another commit may begin.

        Parameters
        ----------
        waiting : int
            Jobs that have changed and are not being stored.
        now : float
            Monotonic seconds.
        """
        if not waiting or len(self._under_way) >= MOST_COMMITS:
            return False
        oldest = min((begun for _, begun in self._under_way.values()), default=None)
        if oldest is None or waiting >= MOST_JOBS:
            return True
        return now - oldest > SLOW_COMMIT

    def begin(self, job_ids, now):
        """Note that jobs are being stored, and return the commit's number."""
        number, self._next = self._next, self._next + 1
        self._under_way[number] = (frozenset(job_ids), now)
        return number

    def end(self, number):
        """Note that a commit has taken effect."""
        jobs, _ = self._under_way.pop(number)
        for job_id in jobs:
            if self._needed.get(job_id, number + 1) <= number:
                del self._needed[job_id]

    def note_cursors(self, cursors, dirty):
        """Return the cursors up to which ends may be forgotten, or None.

        Parameters
        ----------
        cursors : callable
            Returns how far ends are taken into account now.
        dirty : set of str
            Jobs that have changed since they were last stored.
        """
        if self._cursors is None:
            self._cursors = cursors()
            self._needed = {
                job_id: number
                for number, (jobs, _) in self._under_way.items()
                for job_id in jobs
            }
            self._needed.update(dict.fromkeys(dirty, self._next))
        if self._needed:
            return None
        reached, self._cursors = self._cursors, None
        return reached


class ProgressWriter:
    """Writes batches of different jobs, each until its outcome is certain.

    Each write names the revision of the owner's record and of each job's progress,
    so that one that is carried out late has no effect.

    Parameters
    ----------
    commits : TimedCommits
    holding : Holding
    revisions : dict of str to int
        The revision of each job's progress as it was read.
    chance : random.Random
    """

    def __init__(self, commits, holding, revisions, chance):
        self._commits = commits
        self._holding = holding
        self._revisions = revisions
        self._chance = chance

    async def write(self, values):
        """Store the progress of jobs.

        Parameters
        ----------
        values : dict of str to bytes

        Raises
        ------
        OwnershipLostError
            If the pool is not owned any more; nothing was written.
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
                await asyncio.sleep(compute_backoff(RETRIES, failures, self._chance))
                continue
            if result.won:
                self._revisions.update(dict.fromkeys(values, result.revision))
                return
            if self._settle(values, result):
                return

    def forget(self, job_id):
        """Forget a job whose records are removed."""
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

    def _settle(self, values, result):
        """Return whether an earlier try of the same write has taken effect."""
        owner = result.find_current(key_owner(self._holding.unit))
        if owner is None or owner.revision != self._holding.fence:
            raise OwnershipLostError(self._holding.unit)
        applied = True
        for job_id, value in values.items():
            key = key_progress(self._holding.unit, job_id)
            record = result.find_current(key)
            self._revisions[job_id] = record.revision if record else 0
            applied = applied and record is not None and record.value == value
        log_event("progress-read-back", "WARNING", applied=applied, jobs=len(values))
        return applied
