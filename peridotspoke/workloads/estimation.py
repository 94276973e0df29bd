"""Learns how long tasks take, as estimates of callers are far off."""

from dataclasses import dataclass

__all__ = ["DurationModel"]

WEIGHT = 0.08  # of the newest observation in a mean
FIRST_DURATION = 1.0  # seconds, before anything was observed
LEAST_DURATION = 0.05  # seconds


@dataclass(slots=True)
class _Observed:
    duration: float
    estimate: float
    scaled_error: float = 0.0
    mean_error: float = 0.0
    count: int = 0


class DurationModel:
    """Means of the observed durations by queue, blended with the estimates.

    Notes
    -----
    Two predictions are blended: the estimate, scaled by the ratio of the means of
    durations and estimates, and the mean duration. Each counts by the inverse square
    of the mean absolute error that it has had.

    Examples
    --------
    >>> model = DurationModel()
    >>> model.predict("quotes", 2.0)
    2.0
    >>> for estimate in (1.0, 4.0) * 50:
    ...     model.observe("quotes", estimate, 1.0)
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
            known = self._observed[queue] = _Observed(duration, estimate)
        weight = max(WEIGHT, 1.0 / (known.count + 1))
        scaled = estimate * known.duration / known.estimate
        scaled_error = abs(scaled - duration)
        mean_error = abs(known.duration - duration)
        known.count += 1
        known.scaled_error += weight * (scaled_error - known.scaled_error)
        known.mean_error += weight * (mean_error - known.mean_error)
        known.duration += weight * (duration - known.duration)
        known.estimate += weight * (estimate - known.estimate)

    def predict(self, queue, estimate):
        """Return the expected seconds of a task with an `estimate`."""
        known = self._observed.get(queue)
        if known is None:
            return estimate or FIRST_DURATION
        if not estimate:
            return known.duration
        scaled = estimate * known.duration / known.estimate
        errors = known.scaled_error**2 + known.mean_error**2
        trust = known.mean_error**2 / errors if errors else 1.0
        blended = trust * scaled + (1.0 - trust) * known.duration
        return max(LEAST_DURATION, blended)
