"""The durations by which a pool's ledger awaits the end of leases and of stops."""

from peridotspoke.workloads.ledgertypes import LedgerRules

__all__ = ["derive_ledger_rules"]

SLOW_CLOCK_FACTOR = 1.0 / 0.98  # of a duration; executors' clocks may be 2% slow


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
    longest_lease = (
        settings.bounds.max_run_lease * SLOW_CLOCK_FACTOR + settings.timing.call
    )
    return LedgerRules(
        inherited_lease=(run_lease + settings.timing.extension_limit)
        * SLOW_CLOCK_FACTOR,
        margin=(SLOW_CLOCK_FACTOR - 1.0) * run_lease,
        restart_excess=max(0.0, longest_lease - run_lease),
        run_lease=run_lease,
        stop_limit=settings.bounds.stop * SLOW_CLOCK_FACTOR,
    )
