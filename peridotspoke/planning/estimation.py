"""Estimates the need of each pool from delayed usage and inaccurate declarations."""

import math
from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = [
    "EstimationRules",
    "NeedEstimate",
    "NeedEstimator",
    "UsageSample",
    "compute_idle_timeout",
]

UNITS_PER_INSTANCE = 100  # histogram units per instance
MAX_UNITS = 10_000 * UNITS_PER_INSTANCE  # largest value that a histogram can record
SIGNIFICANT_DIGITS = 2  # significant decimal digits of a histogram
HOUR_S = 3600.0


@dataclass(frozen=True, slots=True)
class UsageSample:
    """The number of instances of a pool in use at one time.

    Parameters
    ----------
    pool : str
    at : float
        Time of the measurement in seconds, on the clock of the estimator's caller.
    used : float or None
        Work done, in instances; may be a fraction. None if it was not reported.
    available : int
        Number of instances that served.
    """

    pool: str
    at: float
    used: float | None
    available: int


@dataclass(frozen=True, slots=True)
class NeedEstimate:
    """The estimated need of a pool, with the values that it was computed from.

    Parameters
    ----------
    pool : str
    need : int
        Estimated need, in instances.
    declared : int
        Declared need, in instances.
    measured : float
        Need according to measured usage, in instances; 0 without any usage.
    blocks : int
        Number of averaged blocks of usage.
    """

    pool: str
    need: int
    declared: int
    measured: float
    blocks: int


@dataclass(frozen=True, slots=True)
class EstimationRules:
    """Parameters of the estimation.

    Parameters
    ----------
    block : float
        Length of a block, over which usage is averaged, in seconds. Averaging
        removes surges that last only seconds.
    window : float
        Length of the sliding window of usage, in seconds.
    slices : int
        Number of slices of the window. The window advances by whole slices.
    utilisation : float
        Target utilisation: the largest share of the need that the quantile of
        usage may fill.
    equal_weight_blocks : int
        Number of blocks at which measured and declared need have equal weight.
    saturation : float
        Share of the available instances from which on usage counts as saturated
        and the demand may be larger than the usage shows.
    growth : float
        Factor applied to the usage of a block with mostly saturated samples.
    max_age : float
        Maximum age of a sample, in seconds.
    max_clock_skew : float
        Maximum time by which a sample may lie in the future because clocks differ,
        in seconds.
    max_window : float
        Time in seconds over which the maximum of the need applies, so that the
        need falls with this delay.
    """

    block: float = 300.0
    window: float = 2 * 3600.0
    slices: int = 6
    utilisation: float = 0.85
    equal_weight_blocks: int = 6
    saturation: float = 0.95
    growth: float = 1.25
    max_age: float = 1800.0
    max_clock_skew: float = 60.0
    max_window: float = 3600.0


@dataclass(slots=True)
class _PoolUsage:
    blocks: dict = field(default_factory=dict)
    slices: dict = field(default_factory=dict)
    recent_maxima: list = field(default_factory=list)


def compute_idle_timeout(buffer, move):
    """Return the time in seconds for which an idle instance stays in its pool.

    The instance is moved once its idle time has cost as much as moving it away and
    back. This ski-rental rule costs at most twice the optimum, which would require
    knowing when the instance is needed again [1]_.

    Parameters
    ----------
    buffer : float
        Cost of an idle instance for one hour.
    move : float
        Cost of a move, in the same unit as `buffer`.

    Returns
    -------
    float
        Infinity if `buffer` is not positive.

    References
    ----------
    .. [1] A. Karlin, M. Manasse, L. Rudolph, D. Sleator, "Competitive snoopy
       caching", Algorithmica 3, 1988.

    Examples
    --------
    >>> compute_idle_timeout(buffer=4.0, move=1.0)
    1800.0
    """
    return HOUR_S * 2 * move / buffer if buffer > 0 else math.inf


class NeedEstimator:
    """Estimates the need of pools from quantiles of averaged usage.

    Parameters
    ----------
    rules : EstimationRules

    Attributes
    ----------
    rejected : Counter
        Number of rejected samples by reason.

    Notes
    -----
    Usage is averaged over blocks of minutes. The averages are recorded in
    histograms with a fixed relative error [1]_, one for each slice of the window.
    The estimate is the weighted geometric mean of declared and measured need, since
    declarations are wrong by a factor rather than by an amount. The weight of the
    measured need grows with the number of blocks.

    References
    ----------
    .. [1] G. Tene, "HdrHistogram: a high dynamic range histogram", 2012.

    Examples
    --------
    >>> estimator = NeedEstimator(EstimationRules())
    >>> for at in range(0, 21600, 60):
    ...     _ = estimator.observe(UsageSample("lustenau", at, 3.4, 8), at)
    >>> estimator.estimate("lustenau", declared=8, quantile=0.95, now=21600).need
    5
    """

    def __init__(self, rules):
        self.rejected = Counter()
        self._rules = rules
        self._pools = {}

    def observe(self, sample, now):
        """Add a sample.

        Parameters
        ----------
        sample : UsageSample
        now : float
            Current time in seconds, on the clock of the samples.

        Returns
        -------
        str or None
            The reason if the sample was rejected, else None.
        """
        reason = self._find_rejection_reason(sample, now)
        if reason is not None:
            self.rejected[reason] += 1
            return reason
        usage = self._pools.setdefault(sample.pool, _PoolUsage())
        index = int(sample.at // self._rules.block)
        total, count, saturated_count = usage.blocks.get(index, (0.0, 0, 0))
        share = self._rules.saturation * sample.available
        saturated = sample.available > 0 and sample.used >= share
        usage.blocks[index] = (
            total + sample.used,
            count + 1,
            saturated_count + saturated,
        )
        return None

    def _find_rejection_reason(self, sample, now):
        if sample.used is None:
            return "missing"
        if not math.isfinite(sample.used) or not math.isfinite(sample.at):
            return "not a number"
        if sample.used < 0 or sample.available < 0:
            return "negative"
        if sample.used * UNITS_PER_INSTANCE > MAX_UNITS:
            return "too large"
        if sample.at > now + self._rules.max_clock_skew:
            return "from the future"
        if now - sample.at > self._rules.max_age:
            return "too old"
        return None

    def estimate(self, pool, declared, quantile, now):
        """Return the `NeedEstimate` of a pool.

        Parameters
        ----------
        pool : str
        declared : int
            The declared need, in instances.
        quantile : float
            The quantile of averaged usage that the need must cover, from 0 to 1.
        now : float
            Current time in seconds, on the clock of the samples.
        """
        usage = self._pools.setdefault(pool, _PoolUsage())
        self._close_blocks(usage, now)
        merged = self._merge_slices(usage, now)
        blocks = merged.get_total_count() if merged is not None else 0
        if not blocks:
            need = usage.recent_maxima[0][1] if usage.recent_maxima else declared
            return NeedEstimate(pool, need, declared, 0.0, 0)
        value = merged.get_value_at_percentile(100 * quantile) / UNITS_PER_INSTANCE
        measured = max(value / self._rules.utilisation, 1 / UNITS_PER_INSTANCE)
        measured_weight = blocks / (blocks + self._rules.equal_weight_blocks)
        blended = declared ** (1 - measured_weight) * measured**measured_weight
        need = self._compute_recent_maximum(
            usage, max(1, math.ceil(blended - 0.05)), now
        )
        return NeedEstimate(pool, need, declared, measured, blocks)

    def _close_blocks(self, usage, now):
        """Move completed blocks, which receive no more samples, into the histograms."""
        rules = self._rules
        for index in sorted(usage.blocks):
            if (index + 1) * rules.block + rules.block > now:
                continue
            total, count, saturated_count = usage.blocks.pop(index)
            mean = total / count
            if 2 * saturated_count > count:
                mean *= rules.growth
            slice_index = int(index * rules.block // (rules.window / rules.slices))
            histogram = usage.slices.get(slice_index)
            if histogram is None:
                histogram = usage.slices[slice_index] = _make_histogram()
            histogram.record_value(
                max(1, min(MAX_UNITS, round(mean * UNITS_PER_INSTANCE)))
            )

    def _merge_slices(self, usage, now):
        rules = self._rules
        oldest = int((now - rules.window) // (rules.window / rules.slices))
        kept = {
            slice_index: item
            for slice_index, item in usage.slices.items()
            if slice_index > oldest
        }
        if not kept and usage.slices:
            newest = max(usage.slices)
            kept = {newest: usage.slices[newest]}
        usage.slices = kept
        if not kept:
            return None
        merged = _make_histogram()
        for histogram in kept.values():
            merged.add(histogram)
        return merged

    def _compute_recent_maximum(self, usage, need, now):
        """Return the maximum of the needs of the last `max_window` seconds.

        `recent_maxima` is a monotonic queue of (time, need) by decreasing need.
        """
        since = now - self._rules.max_window
        kept = [
            (at, past)
            for at, past in usage.recent_maxima
            if past > need and at >= since
        ]
        usage.recent_maxima = [*kept, (now, need)]
        return usage.recent_maxima[0][1]


def _make_histogram():
    return HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
