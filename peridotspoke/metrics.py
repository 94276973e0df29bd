"""Counters, gauges and duration histograms, exported in Prometheus' text format."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

__all__ = ["MetricsRegistry", "Series"]

MICROSECONDS = 1_000_000  # per second
MAX_DURATION = 3600 * MICROSECONDS  # microseconds; longer ones count as this
SIGNIFICANT_DIGITS = 2  # decimal digits that a histogram resolves
QUANTILES = (0.5, 0.9, 0.99, 0.999)
PREFIX = "peridotspoke_"


@dataclass(frozen=True, slots=True)
class Series:
    """A time series: a metric with one combination of label values.

    Parameters
    ----------
    name : str
        The metric's name without the common prefix.
    labels : tuple of (str, str)
        Names and values of the labels, sorted.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()

    @classmethod
    def make(cls, name, labels):
        """Return the series of metric `name` with `labels`, a dict."""
        return cls(name, tuple(sorted((key, str(val)) for key, val in labels.items())))


class MetricsRegistry:
    """The metrics of one process.

    Not thread-safe; only the process's event loop may use it.

    Examples
    --------
    >>> metrics = MetricsRegistry()
    >>> metrics.count("requests", outcome="answered")
    >>> metrics.observe("request_seconds", 0.25)
    >>> print(metrics.render().decode().splitlines()[2])
    peridotspoke_requests_total{outcome="answered"} 1.0
    """

    def __init__(self):
        self._counters = {}
        self._gauges = {}
        self._histograms = {}
        self._registry = CollectorRegistry()
        self._registry.register(_MetricsCollector(self))

    def count(self, name, amount=1, **labels):
        """Add `amount` to a counter."""
        series = Series.make(name, labels)
        self._counters[series] = self._counters.get(series, 0) + amount

    def set_gauge(self, name, value, **labels):
        """Set a gauge to `value`."""
        self._gauges[Series.make(name, labels)] = value

    def observe(self, name, seconds, **labels):
        """Add a duration to a histogram.

        Parameters
        ----------
        name : str
        seconds : float
            Stored in whole microseconds, at least 1 and at most an hour.
        **labels
            Values of the labels by name.
        """
        series = Series.make(name, labels)
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_DURATION, SIGNIFICANT_DIGITS)
            self._histograms[series] = histogram
        microseconds = min(max(round(seconds * MICROSECONDS), 1), MAX_DURATION)
        histogram.record_value(microseconds)

    def get_count(self, name, **labels):
        """Return a counter's value; 0 if it was never incremented."""
        return self._counters.get(Series.make(name, labels), 0)

    def get_quantile(self, name, quantile, **labels):
        """Return a quantile of the observed durations.

        Parameters
        ----------
        name : str
        quantile : float
            From 0 to 1.
        **labels
            Values of the labels by name.

        Returns
        -------
        float or None
            Seconds; None if nothing was observed.
        """
        histogram = self._histograms.get(Series.make(name, labels))
        return None if histogram is None else _read_quantile(histogram, quantile)

    def render(self):
        """Return all metrics as bytes in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect_families(self):
        """Yield the metric families: counters, gauges, then summaries."""
        yield from _group(self._counters, CounterMetricFamily)
        yield from _group(self._gauges, GaugeMetricFamily)
        summaries = {}
        for series, histogram in self._histograms.items():
            name = PREFIX + series.name
            family = summaries.setdefault(name, SummaryMetricFamily(name, name))
            _add_summary(family, name, dict(series.labels), histogram)
        yield from summaries.values()


class _MetricsCollector(Collector):
    """Adapter through which prometheus_client reads a `MetricsRegistry`."""

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Yield the metric families."""
        return self._metrics.collect_families()


def _group(values, family_class):
    families = {}
    for series, value in values.items():
        name = PREFIX + series.name
        labels = [key for key, _ in series.labels]
        family = families.setdefault(
            (name, tuple(labels)), family_class(name, name, labels=labels)
        )
        family.add_metric([text for _, text in series.labels], value)
    return families.values()


def _add_summary(family, name, labels, histogram):
    for quantile in QUANTILES:
        value = _read_quantile(histogram, quantile)
        family.add_sample(name, {**labels, "quantile": f"{quantile:g}"}, value)
    total = histogram.get_total_count()
    seconds = histogram.get_mean_value() * total / MICROSECONDS
    family.add_sample(f"{name}_count", labels, total)
    family.add_sample(f"{name}_sum", labels, seconds)


def _read_quantile(histogram, quantile):
    return histogram.get_value_at_percentile(quantile * 100) / MICROSECONDS
