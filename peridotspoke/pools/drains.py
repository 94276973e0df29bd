"""Decides when nothing is in flight any more to a draining instance."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "DrainBounds",
    "DrainVerdict",
    "EntryView",
    "InFlight",
    "decide_drain",
    "is_zone_heard",
]


class DrainVerdict(enum.StrEnum):
    """What a drain may do next."""

    WAIT = "wait"
    EMPTY = "empty"
    GIVE_BACK = "give back"


@dataclass(frozen=True, slots=True)
class InFlight:
    """An entry instance's word on one instance.

    Parameters
    ----------
    epoch : int
        Epoch of the instance's record that the entry instance has in force.
    running : int
        Requests in flight from the entry instance to it.
    """

    epoch: int
    running: int


@dataclass(frozen=True, slots=True)
class EntryView:
    """An entry instance as a controller sees it.

    Parameters
    ----------
    name, zone : str
    heard_at : float
        Monotonic time at which the call was sent that it answered last; minus
        infinity where it never answered.
    is_member : bool
        Whether its record stands in the platform's service.
    in_flight : dict of str to InFlight
        By instance, from that answer.
    """

    name: str
    zone: str
    heard_at: float = float("-inf")
    is_member: bool = True
    in_flight: dict[str, InFlight] = field(default_factory=dict)

    def is_heard(self, now, silence):
        """Return whether it is a member that answered within `silence` seconds."""
        return self.is_member and now - self.heard_at <= silence


@dataclass(frozen=True, slots=True)
class DrainBounds:
    """The bounds, in seconds, that a drain relies on.

    Parameters
    ----------
    view : float
        Age above which an entry instance uses no upstream of another zone.
    request : float
        The longest time that a request may take.
    silence : float
        Time without an answer after which an entry instance counts as silent.
    """

    view: float
    request: float
    silence: float


def is_zone_heard(zone, entries, now, bounds):
    """Return whether planned work may start in a zone.

    It may where the zone has an entry instance and each one that is known answers.
    A process that vanished without taking its leave may be cut off and still use
    the instances of its own zone, so it counts as known.
    """
    of_zone = [entry for entry in entries if entry.zone == zone]
    return bool(of_zone) and all(
        entry.is_heard(now, bounds.silence) for entry in of_zone
    )


def decide_drain(record, announced_at, entries, now, bounds):
    """Return the `DrainVerdict` for a draining instance.

    Parameters
    ----------
    record : InstanceRecord
        In phase draining.
    announced_at : float
        Monotonic time at which this controller knew the record to be written.
    entries : iterable of EntryView
        All that have been members since before the drain was announced.
    now : float
        Monotonic time.
    bounds : DrainBounds

    Notes
    -----
    An entry instance of another zone stops using the instance once its view is
    older than the bound; a view that is younger has the announcement in it. Its last
    request has then ended after the longest time of a request. One of the same zone
    is under no such bound, so its silence ends the drain.
    """
    waited = now - announced_at > bounds.view + bounds.request
    verdict = DrainVerdict.EMPTY
    for entry in entries:
        if _is_cleared(entry, record, announced_at):
            continue
        if entry.is_heard(now, bounds.silence):
            verdict = DrainVerdict.WAIT
        elif entry.zone == record.zone:
            if now - max(entry.heard_at, announced_at) > bounds.silence:
                return DrainVerdict.GIVE_BACK
            verdict = DrainVerdict.WAIT
        elif not waited:
            verdict = DrainVerdict.WAIT
    return verdict


def _is_cleared(entry, record, announced_at):
    """Return whether the entry instance can never again have a request in flight.

    It asked nothing of the instance after it had the epoch in force, and then had
    nothing in flight.
    """
    said = entry.in_flight.get(record.instance)
    if said is None or entry.heard_at < announced_at:
        return False
    return said.epoch >= record.epoch and said.running == 0
