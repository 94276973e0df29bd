"""Tracks the entry instances that a controller knows of."""

from dataclasses import replace

from peridotspoke.pools.drains import EntryView

__all__ = ["EntryTracker"]


class EntryTracker:
    """Tracks the entry instances that are members or disappeared recently.

    A process whose member record disappears without an announced stop may still be
    running, partitioned from the platform. It is kept for `retention` seconds, so that
    no planned work starts in its zone.

    Parameters
    ----------
    retention : float
        Time for which a disappeared process is kept, in seconds.

    Attributes
    ----------
    members : dict of str to MemberRecord
        The current members, by name.
    started_at : float or None
        Monotonic time, in seconds, of the first update of the members.
    """

    def __init__(self, retention):
        self.members = {}
        self.started_at = None
        self._retention = retention
        self._views = {}
        self._disappeared_at = {}

    def take_members(self, members, now):
        """Update the set of current members.

        Parameters
        ----------
        members : iterable of MemberRecord
            Of the role ``entry``.
        now : float
            Monotonic time, in seconds.
        """
        if self.started_at is None:
            self.started_at = now
        before, self.members = self.members, {item.name: item for item in members}
        for name, member in self.members.items():
            known = before.get(name)
            if known is None or known.incarnation != member.incarnation:
                self._views[name] = EntryView(name, member.zone)
            self._disappeared_at.pop(name, None)
        for name in before.keys() - self.members.keys():
            self._record_departure(name, before[name], now)

    def _record_departure(self, name, member, now):
        if member.stopping:
            self._views.pop(name, None)
            return
        self._disappeared_at[name] = now
        self._views[name] = replace(self._views[name], is_member=False)

    def record_report(self, name, asked_at, in_flight):
        """Record an entry instance's answer.

        An answer from an unknown entry instance is ignored.

        Parameters
        ----------
        name : str
        asked_at : float
            Monotonic time, in seconds, at which the call was sent.
        in_flight : dict of str to InFlight
            By instance name.
        """
        view = self._views.get(name)
        if view is not None:
            kept = view.in_flight | in_flight
            self._views[name] = replace(view, answered_call_at=asked_at, in_flight=kept)

    def discard_ended_drains(self, draining):
        """Discard reports about instances that are not in `draining`.

        Parameters
        ----------
        draining : collection of str
        """
        for name, view in self._views.items():
            kept = {
                key: report for key, report in view.in_flight.items() if key in draining
            }
            if len(kept) != len(view.in_flight):
                self._views[name] = replace(view, in_flight=kept)

    def list_views(self, now):
        """Return the `EntryView` of each known entry instance, as a tuple.

        Processes that disappeared more than `retention` seconds before the monotonic
        time `now` are discarded first.
        """
        for name, at in list(self._disappeared_at.items()):
            if now - at > self._retention:
                del self._disappeared_at[name]
                self._views.pop(name, None)
        return tuple(self._views[name] for name in sorted(self._views))

    def is_warmed_up(self, now, delay):
        """Return whether members have been tracked for at least `delay` seconds.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        delay : float
            Seconds.
        """
        return self.started_at is not None and now - self.started_at >= delay
