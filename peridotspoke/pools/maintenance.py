"""Decides the order of maintenance and forecasts which instances will be late."""

import datetime
from dataclasses import dataclass

from peridotspoke.pools.records import Phase

__all__ = [
    "LateMaintenance",
    "forecast_late",
    "is_in_window",
    "list_due",
    "next_opening",
]

SECONDS_PER_DAY = 86_400.0
SECONDS_PER_MINUTE = 60
DUE_FRACTION = 0.75  # fraction of the maintenance period after which it is due


@dataclass(frozen=True, slots=True)
class LateMaintenance:
    """An instance whose maintenance is forecast to end after it is due.

    Parameters
    ----------
    instance : str
    due_at : float
        End of the maintenance period, in seconds since the Unix epoch.
    earliest_at : float
        Earliest time at which its maintenance can end, in seconds since the Unix
        epoch; infinity if no window ever opens.
    reason : str
        Why the maintenance is late.
    """

    instance: str
    due_at: float
    earliest_at: float
    reason: str


def is_in_window(windows, now):
    """Return whether a time is inside one of the daily windows.

    Parameters
    ----------
    windows : iterable of str
        UTC times of day such as ``20:00-04:00``. The start is inside the window,
        the end is outside.
    now : float
        Seconds since the Unix epoch.

    Examples
    --------
    >>> is_in_window(["20:00-04:00"], 3 * 3600.0)
    True
    >>> is_in_window(["20:00-04:00"], 4 * 3600.0)
    False
    """
    return any(
        (now - start) % SECONDS_PER_DAY < (end - start) % SECONDS_PER_DAY
        for start, end in map(_parse_window, windows)
    )


def _parse_window(window):
    start, end = window.split("-")
    return _parse_time(start), _parse_time(end)


def _parse_time(text):
    hours, minutes = text.split(":")
    return (int(hours) * 60 + int(minutes)) * SECONDS_PER_MINUTE


def next_opening(windows, now):
    """Return the first time at or after `now` that is inside a window.

    Parameters
    ----------
    windows : iterable of str
        As for `is_in_window`.
    now : float
        Seconds since the Unix epoch.

    Returns
    -------
    float
        Seconds since the Unix epoch, or infinity if no window ever opens.

    Examples
    --------
    >>> next_opening(["20:00-04:00"], 5 * 3600.0) / 3600
    20.0
    """
    if is_in_window(windows, now):
        return now
    openings = [
        now + (start - now) % SECONDS_PER_DAY
        for start, end in map(_parse_window, windows)
        if start != end
    ]
    return min(openings, default=float("inf"))


def list_due(records, period_days, now):
    """Return the serving records that are due for maintenance, in wave order.

    A maintenance wave covers one zone after the other, and within a zone one rack
    after the other. The zone and the rack that contain the instance with the
    longest time since its maintenance come first.

    Parameters
    ----------
    records : iterable of InstanceRecord
        Those of one pool.
    period_days : int
        Maintenance period, in days. An instance is due after the fraction
        `DUE_FRACTION` of it.
    now : float
        Seconds since the Unix epoch.

    Returns
    -------
    list of InstanceRecord
    """
    ages = {item.instance: now - item.maintained_at for item in records}
    limit = period_days * SECONDS_PER_DAY * DUE_FRACTION
    due = [
        item
        for item in records
        if item.phase is Phase.SERVING and ages[item.instance] >= limit
    ]
    zone_ages, rack_ages = {}, {}
    for item in due:
        age, rack = ages[item.instance], (item.zone, item.rack)
        zone_ages[item.zone] = max(age, zone_ages.get(item.zone, 0.0))
        rack_ages[rack] = max(age, rack_ages.get(rack, 0.0))

    def order(item):
        rack = (item.zone, item.rack)
        zone = (-zone_ages[item.zone], item.zone)
        return (*zone, -rack_ages[rack], item.rack, item.maintained_at, item.instance)

    return sorted(due, key=order)


def forecast_late(due, maintenance, duration, now, reason):
    """Return a `LateMaintenance` for each instance that will be maintained too late.

    Parameters
    ----------
    due : list of InstanceRecord
        In the order in which they will be maintained.
    maintenance : MaintenanceDeclaration
    duration : float
        Duration of the maintenance of one instance, in seconds.
    now : float
        Seconds since the Unix epoch.
    reason : str
        Why the last permit was refused, or empty if none was.

    Returns
    -------
    tuple of LateMaintenance

    Notes
    -----
    The forecast assumes that instances are maintained one at a time and that each
    maintenance begins inside a window: now if a window is open, otherwise when the
    next one opens.
    """
    late = []
    at = now
    for item in due:
        at = next_opening(maintenance.windows, at)
        finished_at = at + duration
        due_at = item.maintained_at + maintenance.period_days * SECONDS_PER_DAY
        if finished_at > due_at:
            why = reason or f"{len(due)} due, {duration:g} s each, in the windows"
            late.append(LateMaintenance(item.instance, due_at, finished_at, why))
        at = finished_at
    return tuple(late)


def format_date(seconds):
    """Return a time in ISO 8601 format, in UTC, with a resolution of one minute.

    Parameters
    ----------
    seconds : float
        Seconds since the Unix epoch. Infinity gives ``never``.
    """
    if seconds == float("inf"):
        return "never"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%MZ")
