"""Predicts task durations from past runs.

The estimates that callers submit are too far off to plan with.
"""

from dataclasses import dataclass

__all__ = ["DurationModel"]

MIN_WEIGHT = 0.08  # of the newest observation in an exponential moving average
DEFAULT_DURATION = 1.0  # seconds; without an estimate or observations
MIN_DURATION = 0.05  # seconds


@dataclass(slots=True)
class _QueueStatistics:
    """Moving averages over the tasks of one queue, in seconds.

    `scaled_error` is the mean absolute error of the scaled estimate, `mean_error`
    that of the mean duration.
    """

    duration: float
    estimate: float
    scaled_error: float = 0.0
    mean_error: float = 0.0
    count: int = 0


class DurationModel:
    """Predicts the duration of a task from its queue and its caller's estimate.

    Notes
    -----
    Two predictions are combined: the estimate, scaled by the ratio of the queue's
    mean duration to its mean estimate, and the mean duration itself. The weight of
    each is the inverse square of its mean absolute error so far. All means are
    exponential moving averages.

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
        self._statistics = {}

    def observe(self, queue, estimate, duration):
        """Record the duration of a finished task.

        Parameters
        ----------
        queue : str
        estimate : float
            The caller's estimate, seconds.
        duration : float
            Measured duration, seconds.
        """
        estimate = max(estimate, MIN_DURATION)
        statistics = self._statistics.get(queue)
        if statistics is None:
            statistics = self._statistics[queue] = _QueueStatistics(duration, estimate)
        weight = max(MIN_WEIGHT, 1.0 / (statistics.count + 1))
        scaled = estimate * statistics.duration / statistics.estimate
        scaled_error = abs(scaled - duration)
        mean_error = abs(statistics.duration - duration)
        statistics.count += 1
        statistics.scaled_error += weight * (scaled_error - statistics.scaled_error)
        statistics.mean_error += weight * (mean_error - statistics.mean_error)
        statistics.duration += weight * (duration - statistics.duration)
        statistics.estimate += weight * (estimate - statistics.estimate)

    def predict(self, queue, estimate):
        """Return the expected duration of a task, seconds.

        Parameters
        ----------
        queue : str
        estimate : float
            The caller's estimate, seconds; 0 if there is none.
        """
        statistics = self._statistics.get(queue)
        if statistics is None:
            return estimate or DEFAULT_DURATION
        if not estimate:
            return statistics.duration
        scaled = estimate * statistics.duration / statistics.estimate
        errors = statistics.scaled_error**2 + statistics.mean_error**2
        scaled_weight = statistics.mean_error**2 / errors if errors else 1.0
        combined = scaled_weight * scaled + (1.0 - scaled_weight) * statistics.duration
        return max(MIN_DURATION, combined)
