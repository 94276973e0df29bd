"""Decides who may lend the slots of an availability zone's executors."""

from dataclasses import dataclass

__all__ = ["KEEPERS_PREFIX", "KeeperRecord", "KeeperRight", "RightRules", "key_keeper"]

KEEPERS_PREFIX = "keepers/"


@dataclass(frozen=True, slots=True)
class KeeperRecord:
    """The keeper of one zone, and the processes that may replace it.

    `keeper` and each of `electors` are identities such as ``entry-1@17``; a process
    that starts again under its name is another one. An empty `keeper` has given the
    right back after all its loans ended.
    """

    zone: str
    keeper: str
    epoch: int
    electors: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RightRules:
    """Times in seconds.

    `promise_time` is how long an elector's promise holds; `isolation_limit` is how
    long a keeper goes on without the platform, and how long a process that is no
    elector waits before it replaces one.
    """

    promise_time: float = 4.0
    isolation_limit: float = 900.0


class KeeperRight:
    """Tells one process whether it may lend, and whether it may take the right.

    A keeper may lend while its process's lease is held and the record was written
    since that lease was granted; without the lease, while every other elector has
    promised not to replace it, up to the isolation limit. An elector may replace a
    keeper whose member record is gone once its own promise has passed; any other
    entry of the zone only after the isolation limit. All of them write the record by
    compare-and-swap, so that of two who may only one does.

    Parameters
    ----------
    identity, zone : str
    rules : RightRules, optional

    Notes
    -----
    A promise is counted by the keeper from the time that it put into an earlier
    answer, which the elector returns with the promise: that time is before the
    promise was made, whatever the delays. An elector makes none while its own
    writing of the record is under way.
    """

    def __init__(self, identity, zone, rules=None):
        self.identity = identity
        self.record = None
        self._zone = zone
        self._rules = rules or RightRules()
        self._written_grant = None
        self._lease_end = float("-inf")
        self._promises = {}
        self._promised_until = float("-inf")
        self._pending = None
        self._doubtful = frozenset()
        self._absent = None

    def is_keeper(self):
        """Return whether the record that is known names this process."""
        return self.record is not None and self.record.keeper == self.identity

    def take_record(self, record):
        """Take the zone's `KeeperRecord` as the service told it."""
        if self.record is not None and record.epoch < self.record.epoch:
            return
        if self.record is not None and record.keeper != self.record.keeper:
            self._absent = None
            self._promises.clear()
        if record.keeper != self.identity:
            self._written_grant = None
            self._lease_end = float("-inf")
        if self._pending is not None and record.epoch >= self._pending.epoch:
            self._pending = None
            self._doubtful = frozenset()
        self.record = record

    def note_lease(self, grant, ends_at):
        """Note the grant of the process's lease, and when it ends by its own count.

        Only a lease under which the record was written counts.
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
        electors.update(self._doubtful)
        electors.discard(self.identity)
        return all(
            now < self._promises.get(elector, float("-inf")) for elector in electors
        )

    def take_promise(self, elector, epoch, keeper_time):
        """Take an elector's promise not to replace the keeper of `epoch`."""
        if self.is_keeper() and epoch == self.record.epoch:
            until = keeper_time + self._rules.promise_time
            known = self._promises.get(elector, float("-inf"))
            self._promises[elector] = max(known, until)

    def make_promise(self, epoch, now):
        """Return whether a promise to the keeper of `epoch` may be sent now.

        None is made to a keeper whose member record was found to be gone.
        """
        free = self._pending is None and self.record is not None
        if not free or epoch != self.record.epoch or self.is_keeper():
            return False
        if self._absent is not None and self._absent[0] == epoch:
            return False
        self._promised_until = now + self._rules.promise_time
        return True

    def propose(self, electors, grant, keeper_listed, now):
        """Return the `KeeperRecord` to write by compare-and-swap now, or None.

        It is written over the revision of the record that is known. The caller
        reads the keeper's member record after `now` was read, and gives the result
        as `keeper_listed`.

        Parameters
        ----------
        electors : iterable of str
            Identities of the zone's live entries by the platform's records.
        grant : int
            The number of the lease that is held now.
        keeper_listed : bool
            Whether the member record of the known keeper stands.
        now : float
        """
        wanted = tuple(sorted({*electors, self.identity}))
        if self.record is None:
            return self._write(1, wanted)
        if self.is_keeper():
            if grant == self._written_grant and wanted == self.record.electors:
                return None
            return self._write(self.record.epoch + 1, wanted)
        if self.record.keeper and not self._may_replace(keeper_listed, now):
            return None
        return self._write(self.record.epoch + 1, wanted)

    def _may_replace(self, keeper_listed, now):
        if keeper_listed:
            self._absent = None
            return False
        if self._absent is None or self._absent[0] != self.record.epoch:
            self._absent = (self.record.epoch, now)
        if self.identity in self.record.electors:
            return now >= self._promised_until
        return now >= self._absent[1] + self._rules.isolation_limit

    def _write(self, epoch, electors):
        self._pending = KeeperRecord(self._zone, self.identity, epoch, electors)
        # A write whose outcome is unknown may still take effect.
        self._doubtful = self._doubtful.union(electors)
        return self._pending

    def conclude(self, won, grant, ends_at):
        """Take the outcome of writing what was proposed.

        Parameters
        ----------
        won : bool or None
            None where it could not be found out; the proposal stays pending then.
        grant : int
            The lease that was held from before the proposal.
        ends_at : float
            When that lease ends by the holder's count.

        Returns
        -------
        bool
            Whether the right was taken while another process may have lent. A
            process that wrote the record before without learning of it counts as
            another one.
        """
        if won is None or self._pending is None:
            return False
        pending, self._pending = self._pending, None
        self._doubtful = frozenset()
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
    """Return the key of a zone's keeper record."""
    return KEEPERS_PREFIX + zone
