"""Decides when a draining instance has no more requests in flight."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "DrainBounds",
    "DrainVerdict",
    "EntryView",
    "InFlight",
    "decide_drain",
    "is_zone_responsive",
]


class DrainVerdict(enum.StrEnum):
    """The next step of a drain.

    ``CANCEL_DRAIN`` cancels the drain and returns the instance to service.
    """

    WAIT = "wait"
    EMPTY = "empty"
    CANCEL_DRAIN = "give back"


@dataclass(frozen=True, slots=True)
class InFlight:
    """What an entry instance reported about one draining instance.

    Parameters
    ----------
    epoch : int
        Epoch of the instance's record that the entry instance is using.
    running : int
        Number of requests in flight from the entry instance to the instance.
    """

    epoch: int
    running: int


@dataclass(frozen=True, slots=True)
class EntryView:
    """A controller's view of one entry instance.

    Parameters
    ----------
    name, zone : str
    answered_call_at : float
        Monotonic time, in seconds, at which the last call that it answered was
        sent; minus infinity if it has never answered.
    is_member : bool
        Whether the platform's service holds its member record.
    in_flight : dict of str to InFlight
        The last report for each draining instance, by instance name.
    """

    name: str
    zone: str
    answered_call_at: float = float("-inf")
    is_member: bool = True
    in_flight: dict[str, InFlight] = field(default_factory=dict)

    def is_responsive(self, now, answer_timeout):
        """Return whether it is a member that answered a recent call.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        answer_timeout : float
            Maximum age of that call, in seconds.
        """
        return self.is_member and now - self.answered_call_at <= answer_timeout


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """Time limits of a drain, in seconds.

    Parameters
    ----------
    max_view_age : float
        An entry instance whose view is older than this sends no request to
        upstreams in other zones.
    max_request_time : float
        The maximum duration of a request.
    answer_timeout : float
        An entry instance that has not answered for longer than this counts as
        unresponsive.
    """

    max_view_age: float
    max_request_time: float
    answer_timeout: float


def is_zone_responsive(zone, entries, now, bounds):
    """Return whether planned work may start in a zone.

    The zone needs at least one known entry instance, and all of its known entry
    instances must be responsive. An entry instance that disappeared without
    announcing its stop still counts as known: it may be partitioned from the
    platform and still send requests to the instances of its own zone.

    Parameters
    ----------
    zone : str
    entries : iterable of EntryView
    now : float
        Monotonic time, in seconds.
    bounds : DrainBounds
    """
    of_zone = [entry for entry in entries if entry.zone == zone]
    return bool(of_zone) and all(
        entry.is_responsive(now, bounds.answer_timeout) for entry in of_zone
    )


def decide_drain(record, announced_at, entries, now, bounds):
    """Return whether a drain has to wait, is complete or is cancelled.

    Parameters
    ----------
    record : InstanceRecord
        In phase draining.
    announced_at : float
        Monotonic time, in seconds, at which this controller first saw the draining
        record in the store.
    entries : iterable of EntryView
        Every entry instance that has been a member at any time since the drain was
        announced.
    now : float
        Monotonic time, in seconds.
    bounds : DrainBounds

    Returns
    -------
    DrainVerdict

    Notes
    -----
    An unresponsive entry instance in another zone needs no answer after
    ``bounds.max_view_age + bounds.max_request_time`` seconds. Its view is then
    either newer than the draining record or older than ``bounds.max_view_age``, and
    in both cases it sends the instance no new requests; its last request has ended
    after at most ``bounds.max_request_time``. An entry instance in the same zone may
    use a view of any age, so the drain is cancelled if that entry instance is
    unresponsive.
    """
    requests_ended = now - announced_at > bounds.max_view_age + bounds.max_request_time
    verdict = DrainVerdict.EMPTY
    for entry in entries:
        if _has_finished_requests(entry, record, announced_at):
            continue
        if entry.is_responsive(now, bounds.answer_timeout):
            verdict = DrainVerdict.WAIT
        elif entry.zone == record.zone:
            if now - max(entry.answered_call_at, announced_at) > bounds.answer_timeout:
                return DrainVerdict.CANCEL_DRAIN
            verdict = DrainVerdict.WAIT
        elif not requests_ended:
            verdict = DrainVerdict.WAIT
    return verdict


def _has_finished_requests(entry, record, announced_at):
    """Return whether an entry instance has sent its last request to the instance.

    It has if it reported that it uses the draining record, under which it sends no
    new requests, and that it has no request in flight.
    """
    report = entry.in_flight.get(record.instance)
    if report is None or entry.answered_call_at < announced_at:
        return False
    return report.epoch >= record.epoch and report.running == 0
