"""A token bucket, which limits the rate of calls, retries and log lines."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """A bucket that gains tokens at a constant rate up to its capacity.

    Parameters
    ----------
    rate : float
        Tokens gained per second; a bucket with rate 0 gains none.
    capacity : float
        Greatest number of tokens held.
    now : float, optional
        Time from which tokens are gained, seconds on a monotonic clock.
    tokens : float, optional
        Initial number of tokens; the capacity by default.

    Notes
    -----
    Less urgent work must leave a reserve of tokens in the bucket, so that more
    urgent work finds a token immediately [1]_.

    References
    ----------
    .. [1] J. S. Turner, "New directions in communications (or which way to the
       information age?)", IEEE Communications Magazine 24(10), 1986.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2, capacity=1)
    >>> bucket.take(now=0.0), bucket.take(now=0.0), bucket.take(now=0.5)
    (True, False, True)
    """

    def __init__(self, rate, capacity, now=0.0, tokens=None):
        self.rate = rate
        self.capacity = capacity
        self._tokens = capacity if tokens is None else tokens
        self._refilled_at = now

    def take(self, now, amount=1.0, reserve=0.0):
        """Take tokens if enough of them remain afterwards.

        Parameters
        ----------
        now : float
            Current time, seconds on a monotonic clock.
        amount : float, optional
            Tokens to take.
        reserve : float, optional
            Tokens that must remain.

        Returns
        -------
        bool
            Whether the tokens were taken.
        """
        self._refill(now)
        if self._tokens - amount < reserve:
            return False
        self._tokens -= amount
        return True

    def compute_wait(self, now, amount=1.0, reserve=0.0):
        """Return the time until `take` succeeds if no other tokens are taken.

        Parameters
        ----------
        now : float
            Current time, seconds on a monotonic clock.
        amount : float, optional
            Tokens to take.
        reserve : float, optional
            Tokens that must remain.

        Returns
        -------
        float
            Seconds; infinity if `take` can never succeed.
        """
        self._refill(now)
        missing = amount + reserve - self._tokens
        if missing <= 0:
            return 0.0
        if self.rate <= 0 or amount + reserve > self.capacity:
            return float("inf")
        return missing / self.rate

    def _refill(self, now):
        gained = max(0.0, now - self._refilled_at) * self.rate
        self._tokens = min(self.capacity, self._tokens + gained)
        self._refilled_at = max(self._refilled_at, now)
