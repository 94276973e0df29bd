"""The durations by which a pool's ledger awaits the end of leases and of stops."""

from peridotspoke.workloads.ledgertypes import LedgerRules

__all__ = ["derive_ledger_rules", "stretch_lease"]

SLOW_CLOCK_FACTOR = 1.0 / 0.98  # of a duration; executors' clocks may be 2% slow


def stretch_lease(seconds):
    """Return how long a lease lasts on the slowest clock of an executor, seconds."""
    return seconds * SLOW_CLOCK_FACTOR


def derive_ledger_rules(settings):
    """Return the `LedgerRules` for the leases that sessions grant to runs.

    Parameters
    ----------
    settings : NodeSettings

    Returns
    -------
    LedgerRules
        Durations in seconds on this node's clock, long enough for the slowest clock of
        an executor.
    """
    run_lease = settings.run_lease
    timing = settings.timing
    longest_lease = stretch_lease(settings.bounds.max_run_lease)
    under_way = timing.call + timing.poll_wait
    return LedgerRules(
        inherited_lease=stretch_lease(timing.unstated_lease),
        margin=(SLOW_CLOCK_FACTOR - 1.0) * run_lease,
        restart_excess=max(0.0, under_way + longest_lease - run_lease),
        longest_lease=longest_lease,
        run_lease=run_lease,
        stop_limit=stretch_lease(settings.bounds.stop),
    )
