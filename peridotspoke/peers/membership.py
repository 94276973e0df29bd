"""Decides which processes are alive, from records, exchanges and their ages."""

import enum
from dataclasses import dataclass, replace

import xxhash

from peridotspoke.exceptions import PeerError
from peridotspoke.peers.records import MemberRecord

__all__ = ["MemberState", "Membership", "MembershipRules", "MemberView"]


class MemberState(enum.StrEnum):
    """How sure it is that a process is alive."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class MembershipRules:
    """Ages in seconds at which a process that is not heard changes its state.

    A tombstone keeps hearsay from bringing a gone process back.
    """

    suspect_after: float = 15.0
    gone_after: float = 45.0
    tombstone_time: float = 3600.0
    retry_interval: float = 2.0


@dataclass(frozen=True, slots=True)
class MemberView:
    """A process as another one sees it.

    `heard_at` is the local monotonic time of its latest message or record;
    `listed` tells whether its record stands in the platform's service.
    """

    record: MemberRecord
    state: MemberState
    heard_at: float
    listed: bool
    load: float = 0.0


@dataclass(slots=True)
class _Peer:
    record: MemberRecord
    heard_at: float
    listed: bool = False
    failed_at: float | None = None
    asked_at: float = float("-inf")
    load: float = 0.0
    leaving_digest: int | None = None
    members_digest: int | None = None


class Membership:
    """The view of one process of all others.

    A process is alive while it was heard within `suspect_after` and no call to it
    has failed since. It is gone when it was not heard for `gone_after`, or when its
    record is deleted and it is suspect; a record that stands keeps it suspect. What
    is told by an older incarnation is refused [1]_.

    Parameters
    ----------
    own : MemberRecord
    rules : MembershipRules, optional

    References
    ----------
    .. [1] A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent
       infection-style process group membership protocol", DSN 2002.
    """

    def __init__(self, own, rules=None):
        self.own = own
        self._rules = rules or MembershipRules()
        self._peers = {}
        self._tombstones = {}

    def take_records(self, records, now):
        """Take all `MemberRecord` that stand in the platform's service."""
        standing = {record.name: record for record in records}
        for name, peer in self._peers.items():
            peer.listed = name in standing
        for record in standing.values():
            peer = self._learn(record, now)
            if peer is not None:
                peer.listed = peer.record.incarnation == record.incarnation
        self._bury(now)

    def take_view(self, view, now):
        """Take what a peer said of itself and of others.

        Raises
        ------
        PeerError
            If it bears this process's name or is of an older incarnation than the
            one known; nothing is changed then.
        """
        sender = view.sender
        if sender.name == self.own.name:
            raise PeerError(
                f"sender: expected another process, found {sender.name!r}",
                step="take view",
                peer=sender.address,
            )
        peer = self._peers.get(sender.name)
        if peer is not None and sender.incarnation < peer.record.incarnation:
            raise PeerError(
                f"incarnation: expected {peer.record.incarnation} or later, "
                f"found {sender.incarnation}",
                step="take view",
                peer=sender.name,
            )
        if peer is None or sender.incarnation > peer.record.incarnation:
            self._peers[sender.name] = peer = _Peer(sender, now)
        self._tombstones.pop(sender.name, None)
        peer.record = sender
        peer.heard_at = max(peer.heard_at, now)
        peer.failed_at = None
        peer.load = view.load
        peer.leaving_digest = view.leaving_digest
        peer.members_digest = view.members_digest
        for record in view.members:
            self._learn(record, now)
        self._bury(now)

    def note_asked(self, name, now):
        """Note that a message is sent to a peer."""
        if name in self._peers:
            self._peers[name].asked_at = now

    def note_failure(self, name, now):
        """Note that a call to a peer failed."""
        if name in self._peers:
            self._peers[name].failed_at = now
        self._bury(now)

    def list_members(self, now):
        """Return a `MemberView` of each other process, by name."""
        return tuple(
            MemberView(
                peer.record,
                self._judge(peer, now),
                peer.heard_at,
                peer.listed,
                peer.load,
            )
            for _, peer in sorted(self._peers.items())
        )

    def list_known(self):
        """Return the `MemberRecord` of all that are not gone, own included."""
        return (self.own, *(peer.record for peer in self._peers.values()))

    def list_alive(self, now, role=None, zone=None):
        """Return the `MemberRecord` of those alive and not stopping, own included."""
        found = [self.own]
        found += [
            peer.record
            for peer in self._peers.values()
            if self._judge(peer, now) is MemberState.ALIVE
        ]
        return tuple(
            record
            for record in sorted(found, key=lambda record: record.name)
            if not record.stopping
            and role in (None, record.role)
            and zone in (None, record.zone)
        )

    def list_told(self, now):
        """Return the records to pass on to a peer whose list differs."""
        return tuple(
            replace(view.record, version=0)
            for view in self.list_members(now)
            if view.state is not MemberState.GONE
        )

    def compute_digest(self, now):
        """Return the digest of the records known, the own one included."""
        told = [*self.list_told(now), self.own]
        lines = sorted(f"{item.name} {item.incarnation}" for item in told)
        return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

    def get_digests(self, name):
        """Return the digests of leaving news and members that a peer last told."""
        peer = self._peers.get(name)
        return (peer.leaving_digest, peer.members_digest) if peer else (None, None)

    def get_asked_at(self, name):
        """Return the monotonic time at which a peer was last asked."""
        peer = self._peers.get(name)
        return peer.asked_at if peer else float("-inf")

    def choose_target(self, now, changed_at=float("-inf")):
        """Return the record of the peer to exchange views with next, or None.

        Those not asked since `changed_at`, when there was news, go first; else the
        one asked longest ago. Suspects are asked at intervals.

        Parameters
        ----------
        now, changed_at : float
            Monotonic times in seconds.
        """
        ready = [peer for peer in self._peers.values() if self._may_ask(peer, now)]
        chosen = min(
            ready,
            key=lambda peer: (peer.asked_at >= changed_at, peer.asked_at),
            default=None,
        )
        return chosen.record if chosen else None

    def _may_ask(self, peer, now):
        state = self._judge(peer, now)
        if state is MemberState.SUSPECT:
            return now - peer.asked_at >= self._rules.retry_interval
        return state is MemberState.ALIVE

    def _judge(self, peer, now):
        age = now - peer.heard_at
        if age <= self._rules.suspect_after and peer.failed_at is None:
            return MemberState.ALIVE
        if age > self._rules.gone_after and not peer.listed:
            return MemberState.GONE
        return MemberState.SUSPECT

    def _learn(self, record, now):
        """Return the `_Peer` of a record from another source than itself."""
        if record.name == self.own.name:
            return None
        if self._tombstones.get(record.name, (-1, 0.0))[0] >= record.incarnation:
            return None
        peer = self._peers.get(record.name)
        if peer is None or record.incarnation > peer.record.incarnation:
            peer = self._peers[record.name] = _Peer(record, now)
        return peer

    def _bury(self, now):
        """Turn those gone into tombstones, and forget old tombstones."""
        for name, peer in list(self._peers.items()):
            if self._judge(peer, now) is MemberState.GONE:
                del self._peers[name]
                self._tombstones[name] = (peer.record.incarnation, now)
        horizon = now - self._rules.tombstone_time
        for name, (_, buried_at) in list(self._tombstones.items()):
            if buried_at < horizon:
                del self._tombstones[name]
