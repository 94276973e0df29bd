"""Commits whose limits follow the time that the store's answers take."""

from peridotspoke.exceptions import AnswerLostError

__all__ = ["AnswerTime", "TimedCommits"]

MEAN_WEIGHT = 0.125  # of the newest answer in the mean, from the reference
DEVIATION_WEIGHT = 0.25  # of the newest answer in the deviation, from the reference
DEVIATIONS = 4  # beyond the mean, from the reference
LEAST_LIMIT = 0.12  # seconds
MOST_LIMIT = 0.4  # seconds
LATER_LIMITS = (0.4, 0.6, 0.8)  # seconds of the tries after the first


class AnswerTime:
    """Estimates within which time an answer comes, if it is not lost [1]_.

    Examples
    --------
    >>> estimate = AnswerTime()
    >>> estimate.limit
    0.4
    >>> for _ in range(40):
    ...     estimate.observe(0.01)
    >>> estimate.limit
    0.12
    >>> estimate.note_late()
    >>> estimate.limit
    0.24

    References
    ----------
    .. [1] V. Paxson et al., "Computing TCP's retransmission timer", RFC 6298, 2011.
    """

    def __init__(self):
        self._mean = MOST_LIMIT
        self._deviation = 0.0
        self._factor = 1.0

    @property
    def limit(self):
        """The limit of a first try in seconds."""
        limit = self._mean + DEVIATIONS * self._deviation
        return min(MOST_LIMIT, self._factor * max(LEAST_LIMIT, limit))

    def observe(self, seconds):
        """Learn that an answer took so long."""
        error = abs(seconds - self._mean)
        self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
        self._mean += MEAN_WEIGHT * (seconds - self._mean)
        self._factor = 1.0

    def note_late(self):
        """Learn that an answer did not come within the limit."""
        self._factor *= 2.0


class TimedCommits:
    """Commits transactions; a first try gives up early, as a second one is safe.

    A transaction that names the revisions it replaces takes effect at most once,
    however often it is sent. So it is sent again as soon as its answer is overdue.

    Parameters
    ----------
    store : KeyValueService
    clock : Clock
    observe : callable, optional
        Called with the seconds that each answer to a first try took.
    """

    def __init__(self, store, clock, observe=None):
        self._store = store
        self._clock = clock
        self._observe = observe
        self._answer_time = AnswerTime()

    async def commit(self, transaction, failures=0):
        """Return the `CommitResult`; `failures` counts the tries without an answer.

        Raises
        ------
        PlatformUnavailableError, AnswerLostError
            As `KeyValueService.commit` does.
        """
        if failures:
            limit = LATER_LIMITS[min(failures, len(LATER_LIMITS)) - 1]
            return await self._store.commit(transaction, limit)
        asked_at = self._clock.read_monotonic()
        try:
            result = await self._store.commit(transaction, self._answer_time.limit)
        except AnswerLostError:
            self._answer_time.note_late()
            raise
        seconds = self._clock.read_monotonic() - asked_at
        self._answer_time.observe(seconds)
        if self._observe is not None:
            self._observe(seconds)
        return result
