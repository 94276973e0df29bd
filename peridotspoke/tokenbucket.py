"""The one token bucket, by which rates and retries are kept within a share."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """A bucket that fills at a steady rate, and by deposits, up to its capacity.

    Parameters
    ----------
    rate : float
        Tokens that come in each second; 0 for a bucket that fills by deposits only.
    capacity : float
        Most tokens held.
    now : float, optional
        The time at which the bucket begins, seconds.
    tokens : float, optional
        Tokens held at the start; the capacity by default.

    Notes
    -----
    Callers of less urgent work leave a reserve in the bucket, so that more urgent
    work finds a token at once [1]_.

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
        self._filled_at = now

    def take(self, now, amount=1.0, reserve=0.0):
        """Take `amount` tokens if at least `reserve` stay; return whether taken."""
        self._fill(now)
        if self._tokens - amount < reserve:
            return False
        self._tokens -= amount
        return True

    def compute_wait(self, now, amount=1.0, reserve=0.0):
        """Return the seconds until `take` succeeds if nothing else is taken.

        Infinity where it never will.
        """
        self._fill(now)
        missing = amount + reserve - self._tokens
        if missing <= 0:
            return 0.0
        if self.rate <= 0 or amount + reserve > self.capacity:
            return float("inf")
        return missing / self.rate

    def _fill(self, now):
        gained = max(0.0, now - self._filled_at) * self.rate
        self._tokens = min(self.capacity, self._tokens + gained)
        self._filled_at = max(self._filled_at, now)
