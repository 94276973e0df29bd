"""Fault switches of the stand-ins."""

from dataclasses import dataclass

__all__ = ["PlatformFaults", "UpstreamFaults", "WorkerFaults"]


@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Fault switches of `PlatformStandIn`.

    Parameters
    ----------
    down : bool
        Abort the connection of each call without carrying the call out.
    delay : float
        Seconds that each call waits before it is handled.
    lose_answers : int
        Number of upcoming calls that take effect but are not answered; their
        connections are aborted. Watches are not affected.
    lose_after : str
        Method to which `lose_answers` is limited, such as ``kv/txn``; an empty
        string stands for every method.
    late_effect : float
        Seconds by which the effect of a call is delayed if its answer is lost.
    mute_watches : bool
        Keep watches open but send no changes on them.
    babble : bool
        Answer each call with JSON of an unexpected form, without carrying it out.
    list_lag : float
        Age in seconds of the instance list that is returned.
    usage_lag : float
        Age in seconds of the usage reports that are returned.
    cut_zones : tuple of str
        Availability zones whose processes cannot reach the platform.
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
    """Fault switches of `UpstreamStandIn`.

    Parameters
    ----------
    service_time : float
        Run time of each request in seconds.
    refuse : bool
        Answer each request with status 503 without running it.
    fail : bool
        Answer each request with status 500 after running it.
    cut_body : bool
        Close the connection after part of the answer's body.
    cross : bool
        Answer with the ID of another request.
    silent : bool
        Run the request but never answer it.
    silent_connections : bool
        Stop answering on the connections that are open when the switch is set;
        later connections are served.
    close_early : bool
        Close the connection without running the request.
    oversize : int
        Bytes of padding in the answer's body.
    double : bool
        Send each answer twice.
    unframed : bool
        Send the answer without ``Content-Length``; closing the connection ends
        the body.
    forge : bool
        Set response headers that only an entry instance may set.
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
    """Fault switches of `TaskRunner` and `WorkerStandIn`.

    Parameters
    ----------
    fail_all : bool
        Let each task fail as soon as it starts.
    frozen : bool
        Hold each call until the switch is cleared, then carry it out.
    silent : bool
        Neither carry out nor answer calls.
    lose_answers : int
        Number of upcoming calls that take effect but are not answered; their
        connections are aborted.
    run_time_factor : float
        Ratio of the reported run times to the true ones.
    usage_lag : float
        Seconds of run time before which a task's usage is reported as zero.
    """

    fail_all: bool = False
    frozen: bool = False
    silent: bool = False
    lose_answers: int = 0
    run_time_factor: float = 1.0
    usage_lag: float = 0.0
