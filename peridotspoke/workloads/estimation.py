"""Learns how long tasks take, as estimates of callers are far off."""

from dataclasses import dataclass

__all__ = ["DurationModel"]

WEIGHT = 0.08  # of the newest observation in a mean
FIRST_DURATION = 1.0  # seconds, before anything was observed
LEAST_DURATION = 0.05  # seconds


@dataclass(slots=True)
class _Observed:
    mean: float
    ratio: float
    error: float = 0.5
    count: int = 0


class DurationModel:
    """Means of the observed durations by queue, blended with the estimates.

    Notes
    -----
    The estimate counts by how well estimates of the queue have proved: its weight is
    one less the mean relative error of the estimate, and at least 0.

    Examples
    --------
    >>> model = DurationModel()
    >>> model.predict("quotes", 2.0)
    2.0
    >>> for _ in range(100):
    ...     model.observe("quotes", 4.0, 1.0)
    >>> round(model.predict("quotes", 4.0), 1)
    1.0
    """

    def __init__(self):
        self._observed = {}

    def observe(self, queue, estimate, duration):
        """Learn that a task with an `estimate` took `duration` seconds."""
        estimate = max(estimate, LEAST_DURATION)
        known = self._observed.get(queue)
        if known is None:
            known = self._observed[queue] = _Observed(duration, duration / estimate)
        weight = max(WEIGHT, 1.0 / (known.count + 1))
        error = abs(estimate * known.ratio - duration) / max(duration, LEAST_DURATION)
        known.count += 1
        known.mean += weight * (duration - known.mean)
        known.ratio += weight * (duration / estimate - known.ratio)
        known.error += weight * (min(error, 1.0) - known.error)

    def predict(self, queue, estimate):
        """Return the expected seconds of a task with an `estimate`."""
        known = self._observed.get(queue)
        if known is None:
            return estimate or FIRST_DURATION
        trust = max(0.0, 1.0 - known.error)
        scaled = estimate * known.ratio if estimate else known.mean
        return max(LEAST_DURATION, trust * scaled + (1.0 - trust) * known.mean)
