"""Divides the spare's free slots evenly between services."""

__all__ = ["FairTurns"]


class FairTurns:
    """Gives the next free slot to the service that has used least slot time.

    A service that returns after a pause starts from the least use among those that
    are served, so that nobody saves up turns.

    Notes
    -----
    Start-time fair queueing [1]_ with the slot seconds used as the virtual time.

    References
    ----------
    .. [1] P. Goyal, H. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
    """

    def __init__(self):
        self.used = {}
        self._running = {}
        self._waiting = frozenset()

    def choose(self, services):
        """Return the one of `services` whose turn it is, or None of none."""
        waiting = frozenset(services)
        self._admit(waiting)
        self._waiting = waiting
        return min(waiting, key=lambda name: (self.used[name], name), default=None)

    def note_start(self, service, expected):
        """Charge the seconds that the request is expected to hold the slot."""
        self._admit([service])
        self.used[service] += expected
        self._running[service] = self._running.get(service, 0) + 1

    def note_end(self, service, expected, taken):
        """Replace the expected seconds by those `taken`."""
        self.used[service] += taken - expected
        self._running[service] -= 1

    def _admit(self, services):
        active = {name for name, count in self._running.items() if count}
        active |= self._waiting & self.used.keys()
        newcomers = [name for name in services if name not in active]
        if not newcomers:
            return
        floor = min((self.used[name] for name in active), default=0.0)
        for name in newcomers:
            self.used[name] = max(self.used.get(name, 0.0), floor)
