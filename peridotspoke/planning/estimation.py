"""From usage that lags, and declarations that are far off, to each pool's need."""

import math
from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = [
    "EstimationRules",
    "NeedEstimate",
    "NeedEstimator",
    "UsageSample",
    "compute_hold",
]

UNITS = 100  # recorded per instance
MOST_UNITS = 10_000 * UNITS
DIGITS = 2
HOUR = 3600.0  # seconds


@dataclass(frozen=True, slots=True)
class UsageSample:
    """How many of a pool's instances were in use at a time.

    Parameters
    ----------
    pool : str
    at : float
        Seconds, on the clock of the estimator's caller.
    used : float or None
        Instances' worth of work, a fraction allowed; None where it is missing.
    available : int
        Instances that served.
    """

    pool: str
    at: float
    used: float | None
    available: int


@dataclass(frozen=True, slots=True)
class NeedEstimate:
    """A pool's need in instances, with what it is made from."""

    pool: str
    need: int
    declared: int
    measured: float
    blocks: int


@dataclass(frozen=True, slots=True)
class EstimationRules:
    """How usage becomes a need.

    Parameters
    ----------
    block : float
        Seconds over which usage is averaged, so that surges of seconds vanish.
    window : float
        Seconds of usage that count.
    slices : int
        Parts of the window that are forgotten as a whole.
    utilisation : float
        Share of the need that the quantile of use may fill.
    trust_blocks : int
        Blocks after which measured and declared need weigh the same.
    saturation : float
        Share of the available instances above which use hides a larger demand.
    growth : float
        Factor by which such use is raised.
    most_age : float
        Seconds after which a sample is too old.
    most_lead : float
        Seconds by which a sample's clock may be ahead.
    hold : float
        Seconds for which the highest need stays in force.
    """

    block: float = 300.0
    window: float = 2 * 3600.0
    slices: int = 6
    utilisation: float = 0.85
    trust_blocks: int = 6
    saturation: float = 0.95
    growth: float = 1.25
    most_age: float = 1800.0
    most_lead: float = 60.0
    hold: float = 3600.0


@dataclass(slots=True)
class _PoolUsage:
    blocks: dict = field(default_factory=dict)
    slices: dict = field(default_factory=dict)
    raised: list = field(default_factory=list)


def compute_hold(buffer, move):
    """Return the seconds for which an idle instance is kept before it is moved.

    Keeping it until its idle time has cost as much as moving it away and back costs
    at most twice as much as knowing when it is needed again [1]_.

    Parameters
    ----------
    buffer, move : float
        What an idle instance-hour and a move cost, relative to each other.

    References
    ----------
    .. [1] A. Karlin, M. Manasse, L. Rudolph, D. Sleator, "Competitive snoopy
       caching", Algorithmica 3, 1988.

    Examples
    --------
    >>> compute_hold(buffer=4.0, move=1.0)
    1800.0
    """
    return HOUR * 2 * move / buffer if buffer > 0 else math.inf


class NeedEstimator:
    """Estimates needs by quantiles of averaged use.

    `rejected` counts the samples that were left out, by reason.

    Parameters
    ----------
    rules : EstimationRules

    Notes
    -----
    Use is averaged over blocks of minutes and the blocks are kept in histograms
    with a fixed relative error [1]_, one for each slice of the window. Declared and
    measured need are blended by their logarithms, since declarations are off by a
    factor; the weight of the measured one grows with the number of blocks.

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
        """Take a sample; return the reason where it is left out, else None."""
        reason = self._find_fault(sample, now)
        if reason is not None:
            self.rejected[reason] += 1
            return reason
        usage = self._pools.setdefault(sample.pool, _PoolUsage())
        index = int(sample.at // self._rules.block)
        total, count, full = usage.blocks.get(index, (0.0, 0, 0))
        share = self._rules.saturation * sample.available
        saturated = sample.available > 0 and sample.used >= share
        usage.blocks[index] = (total + sample.used, count + 1, full + saturated)
        return None

    def _find_fault(self, sample, now):
        if sample.used is None:
            return "missing"
        if not math.isfinite(sample.used) or not math.isfinite(sample.at):
            return "not a number"
        if sample.used < 0 or sample.available < 0:
            return "negative"
        if sample.used * UNITS > MOST_UNITS:
            return "too large"
        if sample.at > now + self._rules.most_lead:
            return "from the future"
        if now - sample.at > self._rules.most_age:
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
            The quantile of averaged use that must fit.
        now : float
            Seconds, on the clock of the samples.
        """
        usage = self._pools.setdefault(pool, _PoolUsage())
        self._close_blocks(usage, now)
        merged = self._merge(usage, now)
        blocks = merged.get_total_count() if merged is not None else 0
        if not blocks:
            need = usage.raised[0][1] if usage.raised else declared
            return NeedEstimate(pool, need, declared, 0.0, 0)
        value = merged.get_value_at_percentile(100 * quantile) / UNITS
        measured = max(value / self._rules.utilisation, 1 / UNITS)
        weight = blocks / (blocks + self._rules.trust_blocks)
        blended = declared ** (1 - weight) * measured**weight
        need = self._hold_need(usage, max(1, math.ceil(blended - 0.05)), now)
        return NeedEstimate(pool, need, declared, measured, blocks)

    def _close_blocks(self, usage, now):
        """Record the blocks that no sample may belong to any more."""
        rules = self._rules
        for index in sorted(usage.blocks):
            if (index + 1) * rules.block + rules.block > now:
                continue
            total, count, full = usage.blocks.pop(index)
            mean = total / count
            if 2 * full > count:
                mean *= rules.growth
            name = int(index * rules.block // (rules.window / rules.slices))
            histogram = usage.slices.get(name)
            if histogram is None:
                histogram = usage.slices[name] = _make_histogram()
            histogram.record_value(max(1, min(MOST_UNITS, round(mean * UNITS))))

    def _merge(self, usage, now):
        rules = self._rules
        oldest = int((now - rules.window) // (rules.window / rules.slices))
        kept = {name: item for name, item in usage.slices.items() if name > oldest}
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

    def _hold_need(self, usage, need, now):
        """Return the highest need of the last `hold` seconds.

        `raised` keeps, by falling need, when each need was last the highest.
        """
        since = now - self._rules.hold
        kept = [(at, past) for at, past in usage.raised if past > need and at >= since]
        usage.raised = [*kept, (now, need)]
        return usage.raised[0][1]


def _make_histogram():
    return HdrHistogram(1, MOST_UNITS, DIGITS)
