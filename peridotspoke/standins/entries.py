"""Simulates entry instances that route requests by their views of the pools."""

from dataclasses import dataclass

from peridotspoke.exceptions import PeerError
from peridotspoke.peers import InFlightReport, InFlightSource, MemberRecord

__all__ = ["LEASE_TTL", "EntriesStandIn", "RunningRequest"]

LEASE_TTL = 6.0  # seconds


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request in flight from an entry instance to an instance.

    Parameters
    ----------
    entry : str
        Name of the entry instance.
    instance : str
        Name of the instance that runs the request.
    ends_at : float
        Time in seconds at which the request ends.
    """

    entry: str
    instance: str
    ends_at: float


class EntriesStandIn(InFlightSource):
    """Simulates entry instances, one in each zone, that route by their own views.

    A view holds the records of the instances that an entry instance read last. An
    entry instance that is cut off keeps its view: it uses instances of its own zone
    regardless of the view's age, and those of other zones while the view is at most
    ``bounds.view`` seconds old.

    Parameters
    ----------
    zones : list of str
        Names of the availability zones.
    bounds : DrainBounds
        Time limits of views and requests.
    read_records : callable
        Returns a dict of instance to `InstanceRecord` from the store.

    Attributes
    ----------
    members : dict of str to MemberRecord
        The entry instances whose leases have not expired.
    requests : list of RunningRequest
        The requests in flight.
    """

    def __init__(self, zones, bounds, read_records):
        self.members = {}
        self.requests = []
        self._bounds = bounds
        self._read_records = read_records
        self._views = {}
        self._views_read_at = {}
        self._cut_at = {}
        self._all_members = {}
        self._now = 0.0
        for zone in zones:
            name = f"entry-{zone}"
            self._all_members[name] = MemberRecord(name, "entry", zone, name, 1)
        self.members.update(self._all_members)

    def cut(self, name):
        """Disconnect an entry instance from the platform and the controllers."""
        self._cut_at.setdefault(name, self._now)

    def join(self, name):
        """Reconnect an entry instance."""
        self._cut_at.pop(name, None)
        self.members[name] = self._all_members[name]
        self.pass_time(self._now)

    def kill(self, name):
        """Stop an entry instance and end its requests."""
        self.cut(name)
        self._views[name] = {}
        self.requests = [item for item in self.requests if item.entry != name]

    def pass_time(self, now):
        """Advance to `now`: end requests, refresh views and expire leases."""
        self._now = now
        self.requests = [item for item in self.requests if item.ends_at > now]
        for name in self._all_members:
            if name not in self._cut_at:
                self._views[name] = self._read_records()
                self._views_read_at[name] = now
            elif now - self._cut_at[name] > LEASE_TTL:
                self.members.pop(name, None)

    def send(self, name, instance, seconds):
        """Send a request that runs for `seconds`, if the view allows `instance`."""
        record = self._views.get(name, {}).get(instance)
        if record is None or record.phase != "serving":
            return
        same_zone = record.zone == self._all_members[name].zone
        if (
            same_zone
            or self._now - self._views_read_at[name] <= self._bounds.max_view_age
        ):
            ends_at = self._now + min(seconds, self._bounds.max_request_time)
            self.requests.append(RunningRequest(name, instance, ends_at))

    async def report_in_flight(self, address, epochs):
        """Return an `InFlightReport` for each instance in `epochs`.

        Parameters
        ----------
        address : str
            Address of the entry instance; equal to its name here.
        epochs : dict of str to int
            Epoch by instance that the view must have reached.

        Returns
        -------
        dict of str to InFlightReport
            The report by instance.

        Raises
        ------
        PeerError
            If the entry instance is cut off or its lease has expired.
        """
        if address in self._cut_at or address not in self.members:
            raise PeerError(
                "entry instance did not answer", step="report in flight", peer=address
            )
        view = self._views[address]
        running = [item.instance for item in self.requests if item.entry == address]
        return {
            name: InFlightReport(
                running.count(name), name in view and view[name].epoch >= epoch
            )
            for name, epoch in epochs.items()
        }
