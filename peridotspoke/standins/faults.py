"""Faults that the stand-ins can be told to show."""

from dataclasses import dataclass

__all__ = ["PlatformFaults", "UpstreamFaults", "WorkerFaults"]


@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Faults of the platform.

    Parameters
    ----------
    down : bool
        Close each connection without doing anything.
    delay : float
        Seconds by which each call is late.
    lose_answers : int
        So many coming calls take effect, then lose their answers.
    lose_after : str
        Only calls of this method, such as ``kv/txn``, lose their answers.
    late_effect : float
        Seconds after which a call whose answer is lost takes effect.
    mute_watches : bool
        Watches stay open and tell nothing.
    babble : bool
        Answer each call with a document of another form, without effect.
    list_lag : float
        Seconds by which the instance list lags.
    usage_lag : float
        Seconds by which the usage reports lag.
    cut_zones : tuple of str
        Zones whose processes don't reach the platform.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_after: str = ""
    late_effect: float = 0.0
    mute_watches: bool = False
    babble: bool = False
    list_lag: float = 0.0
    usage_lag: float = 0.0
    cut_zones: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamFaults:
    """Faults of an upstream.

    Parameters
    ----------
    service_time : float
        Seconds that each request runs.
    refuse : bool
        Refuse each request before running it.
    fail : bool
        Answer each request with status 500 after running it.
    cut_body : bool
        Close the connection in the middle of the answer's body.
    cross : bool
        Answer with another request's identity.
    silent : bool
        Run the request and never answer on this connection.
    silent_connections : bool
        Connections that are open now go silent; new ones work.
    close_early : bool
        Close the connection without running the request.
    oversize : int
        Answer with a body of this many bytes, where above zero.
    double : bool
        Send each answer twice.
    unframed : bool
        Send the answer without a length, ended by closing the connection.
    forge : bool
        Answer with the headers that only an entry instance may set.
    """

    service_time: float = 0.0
    refuse: bool = False
    fail: bool = False
    cut_body: bool = False
    cross: bool = False
    silent: bool = False
    silent_connections: bool = False
    close_early: bool = False
    oversize: int = 0
    double: bool = False
    unframed: bool = False
    forge: bool = False


@dataclass(frozen=True, slots=True)
class WorkerFaults:
    """Faults of a worker.

    Parameters
    ----------
    fail_all : bool
        Each task that is started fails at once.
    frozen : bool
        Calls wait until this ends, then take effect.
    silent : bool
        Calls are neither carried out nor answered.
    lose_answers : int
        So many coming calls take effect, then lose their answers.
    run_time_factor : float
        Reported run times are the true ones times this.
    usage_lag : float
        Seconds by which reported usage lags.
    """

    fail_all: bool = False
    frozen: bool = False
    silent: bool = False
    lose_answers: int = 0
    run_time_factor: float = 1.0
    usage_lag: float = 0.0
