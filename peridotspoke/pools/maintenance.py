"""Decides which instance is maintained next, and what will be late."""

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

DAY = 86_400.0  # seconds
MINUTE = 60  # seconds
DUE_SHARE = 0.75  # of the period, after which an instance is maintained


@dataclass(frozen=True, slots=True)
class LateMaintenance:
    """An instance that can't be maintained in time.

    Times are in seconds since the Unix epoch.
    """

    instance: str
    due_at: float
    earliest_at: float
    reason: str


def is_in_window(windows, now):
    """Return whether a time lies in one of the daily windows.

    Parameters
    ----------
    windows : iterable of str
        UTC times of day such as ``20:00-04:00``; the end is outside the window.
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
        (now - start) % DAY < (end - start) % DAY
        for start, end in map(_parse_window, windows)
    )


def _parse_window(window):
    start, end = window.split("-")
    return _parse_time(start), _parse_time(end)


def _parse_time(text):
    hours, minutes = text.split(":")
    return (int(hours) * 60 + int(minutes)) * MINUTE


def next_opening(windows, now):
    """Return the first time from `now` on that lies in a window, or infinity.

    Examples
    --------
    >>> next_opening(["20:00-04:00"], 5 * 3600.0) / 3600
    20.0
    """
    if is_in_window(windows, now):
        return now
    openings = [
        now + (start - now) % DAY
        for start, end in map(_parse_window, windows)
        if start != end
    ]
    return min(openings, default=float("inf"))


def list_due(records, period_days, now):
    """Return the serving records that are due, in the order of the waves.

    A wave goes through one rack after the other. The rack with the longest wait is
    first, then the next in its zone, so that a zone is done before the next.

    Parameters
    ----------
    records : iterable of InstanceRecord
        Those of one pool.
    period_days : int
    now : float
        Seconds since the Unix epoch.
    """
    ages = {item.instance: now - item.maintained_at for item in records}
    limit = period_days * DAY * DUE_SHARE
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
    """Return a `LateMaintenance` for each instance that can't be done in time.

    Parameters
    ----------
    due : list of InstanceRecord
        In the order in which they will be maintained.
    maintenance : MaintenanceDeclaration
    duration : float
        How long one instance takes, seconds.
    now : float
        Seconds since the Unix epoch.
    reason : str
        Why nothing was started in the last round; empty where something was.

    Notes
    -----
    One after the other, each begun inside a window; where the last round was
    refused, the first one begins when the next window opens, at the earliest.
    """
    late = []
    at = now
    for item in due:
        at = next_opening(maintenance.windows, at)
        finished_at = at + duration
        due_at = item.maintained_at + maintenance.period_days * DAY
        if finished_at > due_at:
            why = reason or f"{len(due)} due, {duration:g} s each, in the windows"
            late.append(LateMaintenance(item.instance, due_at, finished_at, why))
        at = finished_at
    return tuple(late)


def format_date(seconds):
    """Return a time in ISO 8601 form, in UTC, to the minute."""
    if seconds == float("inf"):
        return "never"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%MZ")
