"""Collects a controller's inputs into the view that a round is based on."""

from collections import Counter

from peridotspoke.exceptions import RecordError
from peridotspoke.logs import log_event
from peridotspoke.pools.actions import FleetView
from peridotspoke.pools.entries import EntryTracker
from peridotspoke.pools.ledger import POOLS_PREFIX, DisruptionLedger, key_ledger
from peridotspoke.pools.records import (
    INSTANCES_PREFIX,
    InstanceRecord,
    Phase,
    key_instance,
)
from peridotspoke.store import decode_record

__all__ = ["FleetObserver"]

LEDGER_SUFFIX = "/disruptions"


class FleetObserver:
    """Keeps the last valid value of each input of a controller.

    A value that cannot be decoded is counted and logged together with the position
    of the error, and the last valid value stays in use. Repeated errors of a list
    are logged once until a list can be read again.

    Parameters
    ----------
    controller : str
        Name of the controller.
    bounds : RoundBounds
    entry_retention : float
        Time for which an entry instance that disappeared is kept, in seconds.

    Attributes
    ----------
    rejected : collections.Counter
        Number of rejected inputs, by kind.
    """

    def __init__(self, controller, bounds, entry_retention=600.0):
        self.configuration = None
        self.records = {}
        self.ledgers = {}
        self.listed = {}
        self.moves = ()
        self.unreadable = set()
        self.usage = ()
        self.entries = EntryTracker(entry_retention)
        self.rejected = Counter()
        self._controller = controller
        self._bounds = bounds
        self._list_read_at = float("-inf")
        self._logged_list_errors = set()
        self._missing_since = {}
        self._announced_at = {}
        self._reboot_requested_at = {}

    def take_record(self, key, record, now):
        """Update an instance record or a ledger from the store.

        Parameters
        ----------
        key : str
            A key under ``instances/`` or ``pools/``. Other records of a pool are
            ignored.
        record : Record or None
            None if the record was deleted.
        now : float
            Monotonic time, in seconds.
        """
        if key.startswith(INSTANCES_PREFIX):
            name = key.removeprefix(INSTANCES_PREFIX)
            self._store_decoded(self.records, name, record, InstanceRecord)
            self._track_phase(name, now)
        elif key.endswith(LEDGER_SUFFIX):
            name = key.removeprefix(POOLS_PREFIX).removesuffix(LEDGER_SUFFIX)
            self._store_decoded(self.ledgers, name, record, DisruptionLedger)

    def _store_decoded(self, values, name, record, body_class):
        self.unreadable.discard((body_class, name))
        if record is None:
            values.pop(name, None)
            return
        try:
            values[name] = decode_record(record, body_class).body
        except RecordError as error:
            self.unreadable.add((body_class, name))
            self.rejected["record"] += 1
            log_event("record-rejected", "ERROR", revision=record.revision, error=error)

    def _track_phase(self, name, now):
        record = self.records.get(name)
        phase = record.phase if record else None
        if phase is Phase.DRAINING:
            self._announced_at.setdefault(name, now)
        else:
            self._announced_at.pop(name, None)
        if phase is not Phase.REBOOTING:
            self._reboot_requested_at.pop(name, None)

    def take_list(self, listed, asked_at):
        """Replace the instance list.

        Parameters
        ----------
        listed : iterable of ListedInstance
        asked_at : float
            Monotonic time, in seconds, at which the list was requested.
        """
        self.listed = {item.instance: item for item in listed}
        self._list_read_at = asked_at
        self._logged_list_errors.clear()

    def record_list_error(self, error, kind="list"):
        """Count and log a list that could not be read; the last one stays in use.

        Parameters
        ----------
        error : Exception
        kind : str, optional
            The kind under which it is counted and logged.
        """
        self.rejected[kind] += 1
        if str(error) not in self._logged_list_errors:
            self._logged_list_errors.add(str(error))
            log_event(f"{kind}-rejected", "WARNING", error=error)

    def change_bounds(self, bounds):
        """Use other `RoundBounds` from now on."""
        self._bounds = bounds

    def record_reboot_request(self, instance, now):
        """Record that the platform was asked to reboot an instance.

        Parameters
        ----------
        instance : str
        now : float
            Monotonic time, in seconds.
        """
        self._reboot_requested_at[instance] = now

    def reset_announcements(self, now):
        """Count all drains as first seen at the monotonic time `now`.

        Needed after this process was paused, since its view may be outdated.
        """
        self._announced_at = dict.fromkeys(self._announced_at, now)

    def list_keys(self, prefix):
        """Return the set of known keys under ``instances/`` or ``pools/``."""
        if prefix == INSTANCES_PREFIX:
            return {key_instance(name) for name in self.records}
        return {key_ledger(name) for name in self.ledgers}

    def list_draining(self):
        """Return the epoch of each draining record, by instance name."""
        return {name: self.records[name].epoch for name in self._announced_at}

    def make_view(self, owned, now, wall, refusals):
        """Return the current `FleetView`.

        Parameters
        ----------
        owned : frozenset of str
            The pools that this controller owns.
        now, wall : float
            The current time, in seconds on the monotonic clock and in seconds since
            the Unix epoch.
        refusals : dict of str to str
            Why the last planned operation of a pool was refused, by pool name.
        """
        self._update_missing(now)
        self.entries.discard_ended_drains(self._announced_at.keys())
        drain = self._bounds.drain
        return FleetView(
            controller=self._controller,
            wall=wall,
            monotonic=now,
            configuration=self.configuration,
            listed=self.listed,
            list_age=now - self._list_read_at,
            records=self.records,
            ledgers=self.ledgers,
            owned=owned,
            entries=self.entries.list_views(now),
            announced_at=self._announced_at,
            reboot_requested_at=self._reboot_requested_at,
            missing_since=self._missing_since,
            moves=self.moves,
            unreadable=self._list_unreadable(),
            usage=self.usage,
            warmed_up=self.entries.is_warmed_up(
                now, drain.max_view_age + drain.max_request_time
            ),
            refusals=refusals,
        )

    def _list_unreadable(self):
        return frozenset(
            name for kind, name in self.unreadable if kind is InstanceRecord
        )

    def _update_missing(self, now):
        if self._list_read_at == float("-inf"):
            return
        self._missing_since = {
            name: self._missing_since.get(name, now)
            for name in self.records
            if name not in self.listed
        }
