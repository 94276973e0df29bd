"""The exception tree; each error carries the step and the peer at which it arose."""

__all__ = [
    "AnswerLostError",
    "CallRefusedError",
    "DeclarationError",
    "LeaseExpiredError",
    "OperationConflictError",
    "PeerError",
    "PeridotspokeError",
    "PermitRefusedError",
    "PhaseError",
    "PlatformError",
    "PlatformUnavailableError",
    "RecordError",
    "RequestError",
    "SettingsError",
]


class PeridotspokeError(Exception):
    """Base of all errors raised by peridotspoke.

    Parameters
    ----------
    message : str
        What was asked and what was found.
    step : str, optional
        The step of the pipeline or operation that failed.
    peer : str, optional
        The other side of the exchange: an address, a key or a file.
    """

    def __init__(self, message, *, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        """Return the message followed by the step and the peer, where known."""
        context = [f"{name}={value}" for name, value in self._context() if value]
        return f"{self.message} ({', '.join(context)})" if context else self.message

    def _context(self):
        return (("step", self.step), ("peer", self.peer))


class SettingsError(PeridotspokeError):
    """One or more flags or environment variables are invalid."""


class DeclarationError(PeridotspokeError):
    """One or more declaration files are invalid."""


class PlatformError(PeridotspokeError):
    """A call to the platform failed."""


class PlatformUnavailableError(PlatformError):
    """The platform did not receive or refused the call; it had no effect."""


class AnswerLostError(PlatformError):
    """The platform's answer was lost; the call may have taken effect."""


class LeaseExpiredError(PlatformUnavailableError):
    """The lease that a write names has ended; the write had no effect."""


class RecordError(PlatformError):
    """A record of the key-value service does not have the expected form."""


class OperationConflictError(PlatformError):
    """Another writer changed the record first."""


class CallRefusedError(PeridotspokeError):
    """An executor or a service of the platform refused a call; it had no effect."""


class PeerError(PeridotspokeError):
    """A call to another process of the system failed."""


class RequestError(PeridotspokeError):
    """A caller's request is malformed."""


class PhaseError(PeridotspokeError):
    """An instance's record may not change in this way."""


class PermitRefusedError(PeridotspokeError):
    """A pool's disruption ledger does not let an instance out of service."""
