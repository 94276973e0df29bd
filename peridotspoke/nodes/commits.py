"""Commits with a time limit that adapts to the store's measured response times."""

from peridotspoke.exceptions import AnswerLostError

__all__ = ["TimedCommits", "TimeoutEstimator"]

MEAN_WEIGHT = 0.125  # of the newest sample; "alpha" of RFC 6298
DEVIATION_WEIGHT = 0.25  # of the newest sample; "beta" of RFC 6298
DEVIATIONS = 4  # added to the mean; "K" of RFC 6298
MIN_TIMEOUT = 0.12  # seconds
MAX_TIMEOUT = 0.4  # seconds
RETRY_TIMEOUTS = (0.4, 0.6, 0.8)  # seconds, by the number of failures before


class TimeoutEstimator:
    """Estimates a time limit from response times, like TCP's retransmission timer [1]_.

    Examples
    --------
    >>> estimator = TimeoutEstimator()
    >>> estimator.timeout
    0.4
    >>> for _ in range(40):
    ...     estimator.observe(0.01)
    >>> estimator.timeout
    0.12
    >>> estimator.record_timeout()
    >>> estimator.timeout
    0.24

    References
    ----------
    .. [1] V. Paxson et al., "Computing TCP's retransmission timer", RFC 6298, 2011.
    """

    def __init__(self):
        self._mean = MAX_TIMEOUT
        self._deviation = 0.0
        self._factor = 1.0

    @property
    def timeout(self):
        """The time limit of a first attempt, in seconds."""
        limit = self._mean + DEVIATIONS * self._deviation
        return min(MAX_TIMEOUT, self._factor * max(MIN_TIMEOUT, limit))

    def observe(self, seconds):
        """Record the response time of an answered call, in seconds."""
        error = abs(seconds - self._mean)
        self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
        self._mean += MEAN_WEIGHT * (seconds - self._mean)
        self._factor = 1.0

    def record_timeout(self):
        """Record that a call had no answer within the limit; doubles the limit."""
        self._factor *= 2.0


class TimedCommits:
    """Commits transactions, with a short adaptive time limit on the first attempt.

    A transaction that is conditional on the revisions it replaces takes effect at most
    once, however often it is sent. So the caller can safely send it again as soon as
    the answer is overdue.

    Parameters
    ----------
    store : KeyValueService
    clock : Clock
    observe : callable, optional
        Called with the response time, in seconds, of each answered first attempt.
    """

    def __init__(self, store, clock, observe=None):
        self._store = store
        self._clock = clock
        self._observe = observe
        self._estimator = TimeoutEstimator()

    async def commit(self, transaction, failures=0):
        """Send a transaction once and return its `CommitResult`.

        Parameters
        ----------
        transaction : Transaction
        failures : int, optional
            Number of earlier attempts at this transaction that failed.

        Raises
        ------
        PlatformUnavailableError
            If the transaction was not carried out.
        AnswerLostError
            If its outcome is unknown, for example after the time limit.
        """
        if failures:
            limit = RETRY_TIMEOUTS[min(failures, len(RETRY_TIMEOUTS)) - 1]
            return await self._store.commit(transaction, limit)
        asked_at = self._clock.read_monotonic()
        try:
            result = await self._store.commit(transaction, self._estimator.timeout)
        except AnswerLostError:
            self._estimator.record_timeout()
            raise
        seconds = self._clock.read_monotonic() - asked_at
        self._estimator.observe(seconds)
        if self._observe is not None:
            self._observe(seconds)
        return result
