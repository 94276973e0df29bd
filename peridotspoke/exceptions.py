"""Exception classes; each error names the step that failed and the peer."""

__all__ = [
    "AnswerLostError",
    "CallRefusedError",
    "DeclarationError",
    "LeaseExpiredError",
    "MalformedDataError",
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
        What was expected and what was found.
    step : str, optional
        The step of an operation that failed.
    peer : str, optional
        What the step worked on or talked to: an address, a key or a file.
    """

    def __init__(self, message, *, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        """Return the message, followed by the step and the peer if they are given."""
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
    """The platform was not reached or refused the call, which had no effect."""


class AnswerLostError(PlatformError):
    """No response arrived from the platform; the call may have taken effect."""


class LeaseExpiredError(PlatformUnavailableError):
    """The lease attached to a write has expired; the write had no effect."""


class RecordError(PlatformError):
    """A record of the key-value service can't be decoded or is inconsistent."""


class MalformedDataError(PeridotspokeError):
    """Data from another process or a file can't be decoded."""


class OperationConflictError(PlatformError):
    """Another writer changed the record since it was read."""


class CallRefusedError(PeridotspokeError):
    """An executor or a platform service refused a call, which had no effect."""


class PeerError(PeridotspokeError):
    """A call to another peridotspoke process failed."""


class RequestError(PeridotspokeError):
    """A caller's request is malformed."""


class PhaseError(PeridotspokeError):
    """A change of an instance's record is not an allowed transition."""


class PermitRefusedError(PeridotspokeError):
    """A pool's disruption ledger refused to take an instance out of service."""
