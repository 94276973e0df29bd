"""Works out the limits on callers of an entry instance from its settings."""

from peridotspoke.callers import CallerLimits

__all__ = ["derive_entry_limits", "derive_monitoring_limits"]

BYTES_PER_MB = 1_000_000
PROCESS_MEMORY = 90  # MB; an entry takes some 80 MB before its first caller
CALLER_SHARE = 0.9  # of the memory above PROCESS_MEMORY
LEAST_MEMORY = 4_000_000  # bytes
MOST_MEMORY = 160_000_000  # bytes
RATE = 2000.0  # bytes per second that a caller sends at least
PAUSE = 20.0  # seconds between two pieces of a body
MONITORING_MEMORY = 1_000_000  # bytes
MONITORING_CONNECTIONS = 32


def derive_entry_limits(settings):
    """Return the `CallerLimits` of an entry instance's callers.

    Parameters
    ----------
    settings : EntrySettings

    Examples
    --------
    >>> from peridotspoke.programs.settings import EntrySettings
    >>> limits = derive_entry_limits(EntrySettings(name="e", zone="z"))
    >>> limits.memory, limits.connections
    (160000000, 4096)
    """
    memory = CALLER_SHARE * (settings.memory - PROCESS_MEMORY) * BYTES_PER_MB
    memory -= settings.body_memory + MONITORING_MEMORY
    return CallerLimits(
        int(min(max(LEAST_MEMORY, memory), MOST_MEMORY)),
        settings.caller_connections,
        settings.caller_connections,
        settings.body_timeout,
        RATE,
        PAUSE,
    )


def derive_monitoring_limits():
    """Return the `CallerLimits` of an address for health and metrics."""
    connections = MONITORING_CONNECTIONS
    return CallerLimits(MONITORING_MEMORY, connections, connections, PAUSE, RATE, PAUSE)
