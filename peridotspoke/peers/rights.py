"""Rules that decide which process may lend the executor slots of a zone.

This module does no I/O.
"""

from dataclasses import dataclass

__all__ = [
    "KEEPERS_PREFIX",
    "KeeperRecord",
    "LendingRight",
    "LendingRightRules",
    "key_keeper",
]

KEEPERS_PREFIX = "keepers/"


@dataclass(frozen=True, slots=True)
class KeeperRecord:
    """Stored record of the keeper of one zone and its possible successors.

    `keeper` and `electors` hold identities such as ``entry-1@17``, made of the name
    and the incarnation; a restarted process has a new identity. An empty `keeper`
    means that the last keeper returned the right after all its loans had ended.
    """

    zone: str
    keeper: str
    epoch: int
    electors: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LendingRightRules:
    """Durations, in seconds, that govern the right to lend.

    Parameters
    ----------
    promise_time : float, optional
        Validity of an elector's promise.
    isolation_limit : float, optional
        How long a keeper may lend without the platform. A process that is not an
        elector waits this long before it replaces the keeper.
    """

    promise_time: float = 4.0
    isolation_limit: float = 900.0


class LendingRight:
    """The right to lend a zone's slots, as one process knows it.

    A keeper may lend while it holds the process lease under which it wrote the
    keeper record. Without that lease it may lend while every other elector's
    promise not to replace it is valid, up to the isolation limit.

    If the keeper's member record is gone, an elector may replace the keeper once its
    own promise has expired. Any other entry of the zone may do so only after the
    isolation limit. The record is written by compare-and-swap, so that only one of
    several candidates succeeds.

    Parameters
    ----------
    identity : str
        Name and incarnation of this process, such as ``entry-1@17``.
    zone : str
    rules : LendingRightRules, optional

    Notes
    -----
    The keeper puts its own time into each answer, and an elector sends it back with
    its promise. The keeper counts the promise from that time, which is earlier than
    the making of the promise, whatever the network delays. An elector makes no
    promise while its own write of the record is pending.
    """

    def __init__(self, identity, zone, rules=None):
        self.identity = identity
        self.record = None
        self._zone = zone
        self._rules = rules or LendingRightRules()
        self._written_grant = None
        self._lease_end = float("-inf")
        self._promises = {}
        self._promised_until = float("-inf")
        self._pending = None
        self._unconfirmed_electors = frozenset()
        self._keeper_missing = None

    def is_keeper(self):
        """Return whether the last known record names this process as keeper."""
        return self.record is not None and self.record.keeper == self.identity

    def take_record(self, record):
        """Apply the zone's `KeeperRecord` as read from the key-value service.

        A record of an older epoch is ignored.
        """
        if self.record is not None and record.epoch < self.record.epoch:
            return
        if self.record is not None and record.keeper != self.record.keeper:
            self._keeper_missing = None
            self._promises.clear()
        if record.keeper != self.identity:
            self._written_grant = None
            self._lease_end = float("-inf")
        if self._pending is not None and record.epoch >= self._pending.epoch:
            self._pending = None
            self._unconfirmed_electors = frozenset()
        self.record = record

    def note_lease(self, grant, ends_at):
        """Record the expiry of the process lease.

        A lease other than the one under which the record was written is ignored.

        Parameters
        ----------
        grant : int
            Number of the lease, as counted by `ProcessLease.grant_count`.
        ends_at : float
            Monotonic time in seconds at which the lease ends for its holder.
        """
        if grant == self._written_grant:
            self._lease_end = max(self._lease_end, ends_at)

    def may_lend(self, now):
        """Return whether this process may lend at `now`."""
        if not self.is_keeper() or self._written_grant is None:
            return False
        if now < self._lease_end:
            return True
        if now >= self._lease_end + self._rules.isolation_limit:
            return False
        electors = set(self.record.electors)
        electors.update(self._unconfirmed_electors)
        electors.discard(self.identity)
        return all(
            now < self._promises.get(elector, float("-inf")) for elector in electors
        )

    def take_promise(self, elector, epoch, keeper_time):
        """Record an elector's promise not to replace the keeper of `epoch`.

        Parameters
        ----------
        elector : str
            Identity of the elector.
        epoch : int
        keeper_time : float
            Monotonic time in seconds of this process, sent back by the elector.
        """
        if self.is_keeper() and epoch == self.record.epoch:
            until = keeper_time + self._rules.promise_time
            known = self._promises.get(elector, float("-inf"))
            self._promises[elector] = max(known, until)

    def make_promise(self, epoch, now):
        """Promise the keeper of `epoch` not to replace it, if that is allowed.

        No promise is made to a keeper whose member record was found missing.

        Parameters
        ----------
        epoch : int
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the promise is made and may be sent.
        """
        free = self._pending is None and self.record is not None
        if not free or epoch != self.record.epoch or self.is_keeper():
            return False
        if self._keeper_missing is not None and self._keeper_missing[0] == epoch:
            return False
        self._promised_until = now + self._rules.promise_time
        return True

    def propose(self, electors, grant, keeper_listed, now):
        """Return the `KeeperRecord` to write now, or None if none is due.

        The caller writes it by compare-and-swap against the revision of the known
        record. It must read the keeper's member record after it read `now`.

        Parameters
        ----------
        electors : iterable of str
            Identities of the zone's live entries, according to the platform's
            member records.
        grant : int
            Number of the process lease that is held now.
        keeper_listed : bool
            Whether the member record of the known keeper exists.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        KeeperRecord or None
        """
        wanted = tuple(sorted({*electors, self.identity}))
        if self.record is None:
            return self._make_proposal(1, wanted)
        if self.is_keeper():
            if grant == self._written_grant and wanted == self.record.electors:
                return None
            return self._make_proposal(self.record.epoch + 1, wanted)
        if self.record.keeper and not self._may_replace(keeper_listed, now):
            return None
        return self._make_proposal(self.record.epoch + 1, wanted)

    def _may_replace(self, keeper_listed, now):
        if keeper_listed:
            self._keeper_missing = None
            return False
        if self._keeper_missing is None or self._keeper_missing[0] != self.record.epoch:
            self._keeper_missing = (self.record.epoch, now)
        if self.identity in self.record.electors:
            return now >= self._promised_until
        return now >= self._keeper_missing[1] + self._rules.isolation_limit

    def _make_proposal(self, epoch, electors):
        self._pending = KeeperRecord(self._zone, self.identity, epoch, electors)
        # A write whose outcome is unknown may still take effect, so its electors count.
        self._unconfirmed_electors = self._unconfirmed_electors.union(electors)
        return self._pending

    def apply_write_outcome(self, won, grant, ends_at):
        """Apply the outcome of writing the proposed record.

        Parameters
        ----------
        won : bool or None
            Whether the write succeeded; None if the outcome is unknown, in which
            case the proposal stays pending.
        grant : int
            Number of the process lease, read before the proposal was made.
        ends_at : float
            Monotonic time in seconds at which that lease ends for its holder.

        Returns
        -------
        bool
            Whether the right was taken over while another keeper's loans may be in
            use. This includes this process itself if it wrote an earlier record
            without learning that the write had succeeded.
        """
        if won is None or self._pending is None:
            return False
        pending, self._pending = self._pending, None
        self._unconfirmed_electors = frozenset()
        if not won:
            return False
        before = self.record
        held = self.is_keeper() and self._written_grant is not None
        taken = before is not None and before.keeper != "" and not held
        self.record = pending
        self._written_grant = grant
        self._lease_end = ends_at
        return taken


def key_keeper(zone):
    """Return the key under which a zone's keeper record is stored."""
    return KEEPERS_PREFIX + zone
