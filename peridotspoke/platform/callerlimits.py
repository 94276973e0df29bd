"""Works out the limits on callers of a node from the settings of its instance."""

import resource

from peridotspoke.callers import CallerLimits, Listener

__all__ = ["count_descriptors", "derive_limits"]

BYTES_PER_MB = 1_000_000
PROCESS_MEMORY = 80  # MB; a node process takes some 50 MB before its first caller
CALLER_SHARE = 0.9  # of the memory above PROCESS_MEMORY
LEAST_MEMORY = 8  # MB
# MB; 300 of the largest bodies take 90 MB, and a process that holds more than it needs
# leaves less room for what the memory allocator can't reuse.
MOST_MEMORY = 160
# Descriptors for the executors, the watches of the store and the log, and for the
# connections that the event loop accepts together before it passes on the first.
RESERVED_SHARE = 0.125
LEAST_RESERVED = 64
HANDLED_SHARE = 1 / 12  # requests handled at once, for each descriptor
# Connections to the store for each request handled at once: those of calls without a
# response stay open for a few more seconds while later calls open others.
STORE_CONNECTIONS = 4
LEAST_CONNECTIONS = 16
# Each address for readiness checks or metrics has limits of its own, so that a crowd at
# one address leaves room at the others.
MONITORING_MEMORY = 1  # MB
MONITORING_SHARE = 1 / 64  # connections, for each descriptor
LEAST_MONITORING = 8  # connections
MOST_MONITORING = 32  # connections
MONITORING = (Listener.READINESS, Listener.METRICS)


def count_descriptors(settings):
    """Return the file descriptors that the process may have open.

    Parameters
    ----------
    settings : NodeSettings
    """
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed == resource.RLIM_INFINITY:
        return settings.descriptors
    return min(allowed, settings.descriptors)


def derive_limits(settings, descriptors, listener=Listener.CALLERS):
    """Return the `CallerLimits` of a listener.

    Parameters
    ----------
    settings : NodeSettings
        What `CallerSettings` leaves open follows from the memory of the instance.
    descriptors : int
        File descriptors that the process may have open.
    listener : Listener, optional

    Examples
    --------
    >>> from peridotspoke.nodes.settings import NodeSettings
    >>> node = NodeSettings("n", "z", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    >>> limits = derive_limits(node, 4100)
    >>> limits.memory, limits.connections, limits.handled
    (160000000, 2160, 341)
    """
    callers = settings.callers
    timing = (callers.arrival, callers.rate, callers.pause)
    handled = max(1, int(HANDLED_SHARE * descriptors))
    monitoring = int(MONITORING_SHARE * descriptors)
    monitoring = min(max(LEAST_MONITORING, monitoring), MOST_MONITORING)
    if listener in MONITORING:
        memory = MONITORING_MEMORY * BYTES_PER_MB
        return CallerLimits(memory, monitoring, handled, *timing)
    memory = CALLER_SHARE * (settings.memory - PROCESS_MEMORY)
    memory -= len(MONITORING) * MONITORING_MEMORY
    derived_memory = min(max(LEAST_MEMORY, memory), MOST_MEMORY)
    reserved = max(LEAST_RESERVED, int(RESERVED_SHARE * descriptors))
    reserved += STORE_CONNECTIONS * handled + len(MONITORING) * monitoring
    derived_connections = max(LEAST_CONNECTIONS, descriptors - reserved)
    return CallerLimits(
        int((callers.memory or derived_memory) * BYTES_PER_MB),
        callers.connections or derived_connections,
        handled,
        *timing,
    )
