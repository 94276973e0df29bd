"""Stores the progress of a pool's jobs under the pool's ownership."""

import asyncio

from peridotspoke.backoff import BackoffRules, compute_backoff
from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.logs import log_event
from peridotspoke.nodes.keys import key_owner, key_progress
from peridotspoke.store import Condition, Put, Transaction

__all__ = ["MOST_JOBS", "OwnershipLostError", "ProgressWriter"]

MOST_JOBS = 15  # a condition and a put each, and the owner's condition, in 32 entries
RETRIES = BackoffRules(first=0.05, most=0.4)
TIMEOUTS = (0.4, 0.6, 0.8)  # seconds of the first tries; the last one for all others


class OwnershipLostError(Exception):
    """Another process owns the pool, or nobody does."""


class ProgressWriter:
    """Writes batches one after the other, each until its outcome is certain.

    Each write names the revision of the owner's record and of each job's progress,
    so that one that is carried out late has no effect.

    Parameters
    ----------
    store : KeyValueService
    holding : Holding
    revisions : dict of str to int
        The revision of each job's progress as it was read.
    chance : random.Random
    """

    def __init__(self, store, holding, revisions, chance):
        self._store = store
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
                timeout = TIMEOUTS[min(failures, len(TIMEOUTS) - 1)]
                result = await self._store.commit(
                    self._make_transaction(values), timeout
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
            Condition(key_progress(job_id), self._revisions.get(job_id, 0))
            for job_id in values
        ]
        puts = [Put(key_progress(job_id), value) for job_id, value in values.items()]
        return Transaction(tuple(conditions), tuple(puts))

    def _settle(self, values, result):
        """Return whether an earlier try of the same write has taken effect."""
        owner = result.find_current(key_owner(self._holding.unit))
        if owner is None or owner.revision != self._holding.fence:
            raise OwnershipLostError(self._holding.unit)
        applied = True
        for job_id, value in values.items():
            record = result.find_current(key_progress(job_id))
            self._revisions[job_id] = record.revision if record else 0
            applied = applied and record is not None and record.value == value
        log_event("progress-read-back", "WARNING", applied=applied, jobs=len(values))
        return applied
