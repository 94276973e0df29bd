"""Failure detection: decides which processes are alive.

The decision is based on member records, on exchanged views and on their ages.
"""

import enum
from dataclasses import dataclass, replace

import xxhash

from peridotspoke.exceptions import PeerError
from peridotspoke.peers.records import MemberRecord

__all__ = ["MemberState", "Membership", "MembershipRules", "MemberView"]


class MemberState(enum.StrEnum):
    """State of a process, as judged by another one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class MembershipRules:
    """Durations, in seconds, of the failure detection.

    Parameters
    ----------
    suspect_after, gone_after : float, optional
        Time without a message or record after which a process is suspect or gone.
    tombstone_time : float, optional
        How long the incarnation of a gone process is remembered, so that outdated
        records from other peers don't add it again.
    retry_interval : float, optional
        Time between two messages to a suspect process.
    """

    suspect_after: float = 15.0
    gone_after: float = 45.0
    tombstone_time: float = 3600.0
    retry_interval: float = 2.0


@dataclass(frozen=True, slots=True)
class MemberView:
    """Another process, as this one sees it.

    Parameters
    ----------
    record : MemberRecord
    state : MemberState
    heard_at : float
        Local monotonic time in seconds of its latest message, or of the first record
        of its incarnation if there was no message since.
    listed : bool
        Whether its record exists in the platform's key-value service.
    load : float, optional
        Number of requests in flight and waiting at that process.
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
    """One process's view of all other processes.

    A process is alive if it was heard within `suspect_after` and no call to it has
    failed since. It is gone if it was not heard for `gone_after` and its record is
    deleted; while the record exists, it is only suspect. Messages from an older
    incarnation are refused [1]_.

    Parameters
    ----------
    own : MemberRecord
        Record of this process.
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
        """Apply the complete list of `MemberRecord` from the key-value service.

        Parameters
        ----------
        records : iterable of MemberRecord
        now : float
            Monotonic time in seconds.
        """
        stored = {record.name: record for record in records}
        for name, peer in self._peers.items():
            peer.listed = name in stored
        for record in stored.values():
            peer = self._merge_record(record, now)
            if peer is not None:
                peer.listed = peer.record.incarnation == record.incarnation
        self._remove_gone(now)

    def take_view(self, view, now):
        """Apply a view received from a peer.

        Parameters
        ----------
        view : PeerView
        now : float
            Monotonic time in seconds.

        Raises
        ------
        PeerError
            If the sender has this process's name or an older incarnation than the
            known one. Nothing is changed then.
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
            self._merge_record(record, now)
        self._remove_gone(now)

    def record_request(self, name, now):
        """Record that a message is sent to a peer at `now`."""
        if name in self._peers:
            self._peers[name].asked_at = now

    def record_failure(self, name, now):
        """Record that a call to a peer failed at `now`."""
        if name in self._peers:
            self._peers[name].failed_at = now
        self._remove_gone(now)

    def list_members(self, now):
        """Return a `MemberView` of each other process, sorted by name."""
        return tuple(
            MemberView(
                peer.record,
                self._compute_state(peer, now),
                peer.heard_at,
                peer.listed,
                peer.load,
            )
            for _, peer in sorted(self._peers.items())
        )

    def list_known(self):
        """Return the `MemberRecord` of this process and of all not removed as gone."""
        return (self.own, *(peer.record for peer in self._peers.values()))

    def list_alive(self, now, role=None, zone=None):
        """Return the records of processes that are alive and not stopping.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        role, zone : str or None, optional
            If given, only processes of this role or zone are returned.

        Returns
        -------
        tuple of MemberRecord
            Sorted by name; includes this process if it matches.
        """
        found = [self.own]
        found += [
            peer.record
            for peer in self._peers.values()
            if self._compute_state(peer, now) is MemberState.ALIVE
        ]
        return tuple(
            record
            for record in sorted(found, key=lambda record: record.name)
            if not record.stopping
            and role in (None, record.role)
            and zone in (None, record.zone)
        )

    def list_shared_records(self, now):
        """Return the records to send to a peer whose digest differs."""
        return tuple(
            replace(view.record, version=0)
            for view in self.list_members(now)
            if view.state is not MemberState.GONE
        )

    def compute_digest(self, now):
        """Return the digest of all known records, including the own one."""
        shared = [*self.list_shared_records(now), self.own]
        lines = sorted(f"{item.name} {item.incarnation}" for item in shared)
        return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

    def get_digests(self, name):
        """Return the leaving and member digests that a peer sent last, or Nones."""
        peer = self._peers.get(name)
        return (peer.leaving_digest, peer.members_digest) if peer else (None, None)

    def get_asked_at(self, name):
        """Return the monotonic time of the last message to a peer, or -inf."""
        peer = self._peers.get(name)
        return peer.asked_at if peer else float("-inf")

    def choose_target(self, now, changed_at=float("-inf")):
        """Return the record of the peer to exchange views with next, or None.

        Peers that were not contacted since `changed_at` come first, then the one
        contacted longest ago. Suspects are retried only at intervals.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        changed_at : float, optional
            Monotonic time in seconds at which this process last had news.

        Returns
        -------
        MemberRecord or None
        """
        ready = [peer for peer in self._peers.values() if self._may_exchange(peer, now)]
        chosen = min(
            ready,
            key=lambda peer: (peer.asked_at >= changed_at, peer.asked_at),
            default=None,
        )
        return chosen.record if chosen else None

    def _may_exchange(self, peer, now):
        state = self._compute_state(peer, now)
        if state is MemberState.SUSPECT:
            return now - peer.asked_at >= self._rules.retry_interval
        return state is MemberState.ALIVE

    def _compute_state(self, peer, now):
        age = now - peer.heard_at
        if age <= self._rules.suspect_after and peer.failed_at is None:
            return MemberState.ALIVE
        if age > self._rules.gone_after and not peer.listed:
            return MemberState.GONE
        return MemberState.SUSPECT

    def _merge_record(self, record, now):
        """Merge a record that did not come from the process itself.

        Returns
        -------
        _Peer or None
            None for this process's own name and for an incarnation known as gone.
        """
        if record.name == self.own.name:
            return None
        if self._tombstones.get(record.name, (-1, 0.0))[0] >= record.incarnation:
            return None
        peer = self._peers.get(record.name)
        if peer is None or record.incarnation > peer.record.incarnation:
            peer = self._peers[record.name] = _Peer(record, now)
        return peer

    def _remove_gone(self, now):
        """Replace gone peers by tombstones, and delete expired tombstones."""
        for name, peer in list(self._peers.items()):
            if self._compute_state(peer, now) is MemberState.GONE:
                del self._peers[name]
                self._tombstones[name] = (peer.record.incarnation, now)
        cutoff = now - self._rules.tombstone_time
        for name, (_, removed_at) in list(self._tombstones.items()):
            if removed_at < cutoff:
                del self._tombstones[name]
