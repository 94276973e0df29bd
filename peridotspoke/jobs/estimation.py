"""Estimates the need of jobs from the measured usage of earlier jobs."""

from collections import OrderedDict
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from peridotspoke.jobs.needs import Resources

__all__ = ["EstimationSettings", "UsageEstimator"]

MILLICORES = 1000  # per core
MEBIBYTE = 1 << 20  # bytes

# Largest values that the histograms can record.
MAX_MILLICORES = 4096 * MILLICORES
MAX_MEBIBYTES = 1 << 24
MAX_SECONDS = 30 * 86400


@dataclass(frozen=True, slots=True)
class EstimationSettings:
    """Parameters of the estimation from measured usage.

    Parameters
    ----------
    min_samples : int
        Number of finished jobs of a name from which on measured usage replaces the
        declared need.
    quantile : float
        Percentile of cores, from 0 to 100.
    memory_quantile : float
        Percentile of memory, from 0 to 100. It is higher than that of cores
        because memory, unlike cores, can't be throttled.
    memory_margin : float
        Factor applied to measured memory.
    max_names : int
        Maximum number of job names; the least recently used one is evicted.
    """

    min_samples: int = 5
    quantile: float = 90.0
    memory_quantile: float = 99.0
    memory_margin: float = 1.15
    max_names: int = 256


class _Usage:
    def __init__(self):
        self.cores = HdrHistogram(1, MAX_MILLICORES, 1)
        self.memory = HdrHistogram(1, MAX_MEBIBYTES, 1)
        self.run_time = HdrHistogram(1, MAX_SECONDS, 1)


class UsageEstimator:
    """Records measured usage by job name in histograms [1]_.

    Parameters
    ----------
    settings : EstimationSettings, optional

    References
    ----------
    .. [1] G. Tene, HdrHistogram, a high dynamic range histogram.

    Examples
    --------
    >>> from peridotspoke.jobs.messages import JobSpec
    >>> estimator = UsageEstimator()
    >>> spec = JobSpec("cutting-plan", "feldkirch", cores=8)
    >>> estimator.estimate_need(spec).cores
    8
    >>> for _ in range(5):
    ...     estimator.note_finished("cutting-plan", 2.0, 1 << 28, 30.0)
    >>> estimator.estimate_need(spec).cores < 2.5
    True
    """

    def __init__(self, settings=None):
        self._settings = settings or EstimationSettings()
        self._usage = OrderedDict()

    def note_finished(self, name, cores, memory, run_time):
        """Record the usage of a finished job.

        Negative values are invalid, and a job that has one is ignored. Zero cores
        or memory mean that no usage was reported.

        Parameters
        ----------
        name : str
            Name of the job.
        cores : float
            Peak number of cores in use.
        memory : int
            Peak memory in bytes.
        run_time : float
            Seconds.
        """
        if cores < 0 or memory < 0 or run_time < 0:
            return
        usage = self._usage.setdefault(name, _Usage())
        self._usage.move_to_end(name)
        if len(self._usage) > self._settings.max_names:
            self._usage.popitem(last=False)
        _record_clamped(usage.run_time, run_time, MAX_SECONDS)
        if cores and memory:
            _record_clamped(usage.cores, cores * MILLICORES, MAX_MILLICORES)
            _record_clamped(usage.memory, memory / MEBIBYTE, MAX_MEBIBYTES)

    def estimate_need(self, spec, largest=None):
        """Return the estimated `Resources` of a job.

        Parameters
        ----------
        spec : JobSpec
        largest : Resources, optional
            Size of the pool's largest worker. The estimate does not exceed it unless
            the declaration does.
        """
        declared = Resources(spec.cores, spec.memory, spec.accelerators)
        usage = self._usage.get(spec.name)
        settings = self._settings
        if usage is None or usage.cores.get_total_count() < settings.min_samples:
            return declared
        cores = usage.cores.get_value_at_percentile(settings.quantile) / MILLICORES
        memory = usage.memory.get_value_at_percentile(settings.memory_quantile)
        measured = round(memory * MEBIBYTE * settings.memory_margin)
        if largest is None:
            return Resources(cores, measured, spec.accelerators)
        return Resources(
            min(cores, max(largest.cores, spec.cores)),
            min(measured, max(largest.memory, spec.memory)),
            spec.accelerators,
        )


def _record_clamped(histogram, value, largest):
    histogram.record_value(min(max(1, round(value)), largest))
