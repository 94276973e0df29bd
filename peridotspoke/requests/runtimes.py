"""Estimates of how long a service's requests run."""

__all__ = ["RunTimes"]

GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS_FOR_MOST = 2.0
DEVIATIONS_FOR_ALL = 4.0
LEAST_SPREAD = 0.1  # of the mean


class RunTimes:
    """Smoothed mean and mean deviation of run times, in seconds.

    Notes
    -----
    The estimator is that of TCP's retransmission timer [1]_: constant time and
    memory, and it follows a shift of the run times within some ten requests.

    References
    ----------
    .. [1] V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.

    Examples
    --------
    >>> times = RunTimes()
    >>> times.add(0.2)
    >>> times.mean
    0.2
    """

    def __init__(self):
        self.mean = 0.0
        self._deviation = 0.0
        self._seen = False

    def add(self, seconds):
        """Take one run time into account."""
        if not self._seen:
            self._seen = True
            self.mean = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self.mean
        self.mean += GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def estimate_most(self):
        """Return a time within which most requests end; 0 before the first."""
        return self.mean + self._estimate_spread(DEVIATIONS_FOR_MOST)

    def estimate_all(self):
        """Return a time within which nearly all requests end; 0 before the first."""
        return self.mean + self._estimate_spread(DEVIATIONS_FOR_ALL)

    def _estimate_spread(self, deviations):
        """Return the spread; even run times without any don't end on the point."""
        return max(deviations * self._deviation, LEAST_SPREAD * self.mean)
