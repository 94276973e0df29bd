"""Counters of what a pool's owner orders and releases, taken from its events."""

from peridotspoke.workloads.ledgertypes import find_cause

__all__ = ["count_run_event"]

COUNTERS = {  # by event: the counter, and the field that is its label
    "run-ordered": ("runs_ordered", None),
    "run-over": ("runs_released", "reason"),
    "run-stopping": ("run_stops", "reason"),
    "run-ended": ("run_ends", "kind"),
    "run-foreign": ("foreign_runs", None),
    "ends-missing": ("ends_missing", "first"),
    "late-end": ("late_ends", "kind"),
    "executor-reborn": ("executor_restarts", "by"),
}


def count_run_event(metrics, event, fields):
    """Count an event in the metrics, if it is one that is counted.

    Parameters
    ----------
    metrics : MetricsRegistry
    event : str
    fields : dict of str to object
        The event's fields; with ``missing``, that many are counted.

    Examples
    --------
    >>> from peridotspoke.metrics import MetricsRegistry
    >>> metrics = MetricsRegistry()
    >>> fields = {"reason": "stalled at 42 percent"}
    >>> count_run_event(metrics, "run-stopping", fields)
    >>> metrics.get_count("run_stops", reason="stalled")
    1
    """
    counter = COUNTERS.get(event)
    if counter is None:
        return
    name, label = counter
    amount = fields.get("missing", 1)
    if label is None:
        metrics.count(name, amount)
        return
    metrics.count(name, amount, **{label: find_cause(str(fields[label]))})
