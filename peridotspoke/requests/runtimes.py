"""Estimates of the run times of a service's requests."""

__all__ = ["RunTimes"]

MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS_FOR_TYPICAL_LIMIT = 2.0  # mean deviations
DEVIATIONS_FOR_UPPER_LIMIT = 4.0  # mean deviations
MIN_SPREAD = 0.1  # fraction of the mean


class RunTimes:
    """Exponentially smoothed mean and mean deviation of run times, in seconds.

    Notes
    -----
    The estimator is that of TCP's retransmission timer [1]_. It takes constant time
    and memory, and follows a shift of the run times within about ten requests.

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
        self._has_samples = False

    def add(self, seconds):
        """Add one run time, in seconds, to the estimate."""
        if not self._has_samples:
            self._has_samples = True
            self.mean = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self.mean
        self.mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def estimate_typical_limit(self):
        """Return a run time in seconds that most requests don't exceed.

        It is 0 before the first run time has been added.
        """
        return self.mean + self._estimate_spread(DEVIATIONS_FOR_TYPICAL_LIMIT)

    def estimate_upper_limit(self):
        """Return a run time in seconds that nearly all requests don't exceed.

        It is 0 before the first run time has been added.
        """
        return self.mean + self._estimate_spread(DEVIATIONS_FOR_UPPER_LIMIT)

    def _estimate_spread(self, deviations):
        """Return the margin above the mean, in seconds.

        It has a minimum, because even constant run times vary slightly.
        """
        return max(deviations * self._deviation, MIN_SPREAD * self.mean)
