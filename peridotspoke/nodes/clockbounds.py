"""Bounds of an executor's clock, read from its answers."""

__all__ = ["ClockBounds"]

CLOCK_DRIFT = 0.02  # share of elapsed time; the platform's bound for executors' clocks
MS_PER_SECOND = 1000


class ClockBounds:
    """Bounds of how far an executor's clock is ahead of this node's clock.

    Each answer from the executor gives bounds; they weaken over time by the possible
    drift of the executor's clock. The clock starts anew as the executor restarts, so a
    reading outside the bounds is one of a later incarnation.

    Examples
    --------
    >>> bounds = ClockBounds()
    >>> bounds.update(50_000, asked_at=9.0, answered_at=10.0)
    >>> bounds.min_offset(10.0), bounds.to_executor_time(10.0, 5.0)
    (40.0, 55000)
    >>> bounds.contain(51_000, asked_at=10.5, answered_at=11.0)
    True
    >>> bounds.contain(300, asked_at=10.5, answered_at=11.0)
    False
    """

    def __init__(self):
        self._min_offset = None
        self._max_offset = float("inf")
        self._updated_at = 0.0

    @property
    def is_known(self):
        """Whether the executor's clock has been read at least once."""
        return self._min_offset is not None

    def update(self, clock, asked_at, answered_at):
        """Update the bound from a reading of the executor's clock.

        Parameters
        ----------
        clock : int
            The executor's clock in milliseconds.
        asked_at, answered_at : float
            This node's monotonic seconds before the call and after its answer.
        """
        min_offset = clock / MS_PER_SECOND - answered_at
        max_offset = (clock + 1) / MS_PER_SECOND - asked_at
        if self._min_offset is not None:
            min_offset = max(min_offset, self.min_offset(answered_at))
            max_offset = min(max_offset, self._max_offset + self._drift(answered_at))
        self._min_offset, self._max_offset = min_offset, max_offset
        self._updated_at = answered_at

    def contain(self, clock, asked_at, answered_at):
        """Return whether a reading can be of the clock that was read before.

        Parameters
        ----------
        clock : int
            The reading, milliseconds.
        asked_at, answered_at : float
            This node's monotonic seconds before the call and after its answer.
        """
        if self._min_offset is None:
            return False
        earliest = self.min_offset(answered_at) + asked_at
        latest = self._max_offset + self._drift(answered_at) + answered_at
        return (
            earliest <= (clock + 1) / MS_PER_SECOND and clock <= latest * MS_PER_SECOND
        )

    def _drift(self, now):
        return CLOCK_DRIFT * (now - self._updated_at)

    def min_offset(self, now):
        """Return the least number of seconds that the executor's clock is ahead.

        Parameters
        ----------
        now : float
            This node's monotonic seconds.
        """
        return self._min_offset - self._drift(now)

    def to_executor_time(self, now, seconds):
        """Return a time on the executor's clock at most `seconds` after `now`.

        Parameters
        ----------
        now : float
            This node's monotonic seconds.
        seconds : float

        Returns
        -------
        int
            Milliseconds.
        """
        return int((now + seconds + self.min_offset(now)) * MS_PER_SECOND)
