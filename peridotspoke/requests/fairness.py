"""Fair queueing of services for the free slots of the spare pools."""

__all__ = ["FairQueue"]


class FairQueue:
    """Selects the service that has used the least slot time.

    A service that becomes active again starts at the least slot time of the active
    services, so that an idle service doesn't accumulate credit.

    Notes
    -----
    This is start-time fair queueing [1]_ with the slot seconds used as virtual
    time. A service is active while it has running requests, or if it waited at the
    last call of `choose`.

    References
    ----------
    .. [1] P. Goyal, H. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
    """

    def __init__(self):
        self.used = {}
        self._running = {}
        self._waiting = frozenset()

    def choose(self, services):
        """Select the service that gets the next free slot.

        Parameters
        ----------
        services : iterable of str
            Services with a waiting request.

        Returns
        -------
        str or None
            None if `services` is empty.
        """
        waiting = frozenset(services)
        self._activate(waiting)
        self._waiting = waiting
        return min(waiting, key=lambda name: (self.used[name], name), default=None)

    def record_start(self, service, expected):
        """Charge `service` for a request that starts.

        Parameters
        ----------
        service : str
        expected : float
            Expected time for which the request holds the slot, in seconds.
        """
        self._activate([service])
        self.used[service] += expected
        self._running[service] = self._running.get(service, 0) + 1

    def record_end(self, service, expected, taken):
        """Replace the charge of a request that ended by its actual slot time.

        Parameters
        ----------
        service : str
        expected : float
            Seconds charged by `record_start`.
        taken : float
            Seconds for which the request held the slot.
        """
        self.used[service] += taken - expected
        self._running[service] -= 1

    def _activate(self, services):
        active = {name for name, count in self._running.items() if count}
        active |= self._waiting & self.used.keys()
        inactive = [name for name in services if name not in active]
        if not inactive:
            return
        virtual_time = min((self.used[name] for name in active), default=0.0)
        for name in inactive:
            self.used[name] = max(self.used.get(name, 0.0), virtual_time)
