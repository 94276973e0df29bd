"""Keeps what a controller knows of the entry instances."""

from dataclasses import replace

from peridotspoke.pools.drains import EntryView

__all__ = ["EntryWatch"]


class EntryWatch:
    """The entry instances that are members, and those that vanished not long ago.

    A process whose record disappears although it never said that it stops may still
    run, cut off from the platform. It is remembered for a while, so that planned
    work does not start in its zone.

    Parameters
    ----------
    memory : float
        Seconds for which such a process is remembered.
    """

    def __init__(self, memory):
        self.members = {}
        self.started_at = None
        self._memory = memory
        self._views = {}
        self._vanished_at = {}

    def take_members(self, members, now):
        """Note the entry instances that are members now.

        Parameters
        ----------
        members : iterable of MemberRecord
            Of the role ``entry``.
        now : float
            Monotonic time.
        """
        if self.started_at is None:
            self.started_at = now
        before, self.members = self.members, {item.name: item for item in members}
        for name, member in self.members.items():
            known = before.get(name)
            if known is None or known.incarnation != member.incarnation:
                self._views[name] = EntryView(name, member.zone)
            self._vanished_at.pop(name, None)
        for name in before.keys() - self.members.keys():
            self._note_gone(name, before[name], now)

    def _note_gone(self, name, member, now):
        if member.stopping:
            self._views.pop(name, None)
            return
        self._vanished_at[name] = now
        self._views[name] = replace(self._views[name], is_member=False)

    def take_report(self, name, asked_at, in_flight):
        """Note what an entry instance answered to a call sent at `asked_at`."""
        view = self._views.get(name)
        if view is not None:
            kept = view.in_flight | in_flight
            self._views[name] = replace(view, heard_at=asked_at, in_flight=kept)

    def forget_drains(self, draining):
        """Drop what was said of instances that no longer drain."""
        for name, view in self._views.items():
            kept = {
                key: said for key, said in view.in_flight.items() if key in draining
            }
            if len(kept) != len(view.in_flight):
                self._views[name] = replace(view, in_flight=kept)

    def list_views(self, now):
        """Return the `EntryView` of all that are known."""
        for name, at in list(self._vanished_at.items()):
            if now - at > self._memory:
                del self._vanished_at[name]
                self._views.pop(name, None)
        return tuple(self._views[name] for name in sorted(self._views))

    def is_settled(self, now, delay):
        """Return whether members have been watched for `delay` seconds."""
        return self.started_at is not None and now - self.started_at >= delay
