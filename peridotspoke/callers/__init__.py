"""HTTP servers for callers that nobody controls, with bounds on what they hold."""

from peridotspoke.callers.budget import CallerLimits, Listener
from peridotspoke.callers.refusals import CallerRefusedError, ResponseFormat
from peridotspoke.callers.server import BoundedServer

__all__ = [
    "BoundedServer",
    "CallerLimits",
    "CallerRefusedError",
    "Listener",
    "ResponseFormat",
]
