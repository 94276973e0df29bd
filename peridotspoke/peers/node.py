"""Background tasks with which a process exchanges state with its peers."""

import asyncio
from collections import Counter
from dataclasses import dataclass, replace
from functools import partial

from peridotspoke.exceptions import PeerError, PeridotspokeError
from peridotspoke.logs import log_event
from peridotspoke.peers.lease import ProcessLease
from peridotspoke.peers.leaving import LeavingView
from peridotspoke.peers.membership import Membership
from peridotspoke.peers.messages import PeerView
from peridotspoke.peers.records import MEMBERS_PREFIX, MemberRecord
from peridotspoke.peers.server import PeerServer
from peridotspoke.store import FollowingRules, decode_record, follow_prefix

__all__ = ["PeerNode", "PeerStatus"]

# Longer than the default, since peers also pass member records on to each other.
MEMBER_FOLLOWING_RULES = FollowingRules(check_interval=4.0)  # seconds
EXCHANGE_CYCLE_S = 6.0  # within which each peer is contacted once
LONGEST_INTERVAL_S = 1.0  # between two exchanges
SHORTEST_INTERVAL_S = 0.25  # between two exchanges without news
NEWS_INTERVAL_S = 0.1  # between two exchanges while a peer lacks news
MEMBER_LIST_INTERVAL_S = 10.0  # between two member lists sent to the same peer
PLATFORM_WAIT_S = 3.0  # before a starting process takes the configuration from peers


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Connection status of a process.

    Parameters
    ----------
    platform_reachable : bool
    peers_heard : int
        Number of peers that are alive and not stopping.
    view_age : float or None
        Age in seconds of the view of leaving instances, or None if there is none.
    version : int
        Version of the configuration in force.
    """

    platform_reachable: bool
    peers_heard: int
    view_age: float | None
    version: int


class PeerNode:
    """Exchanges membership, leaving news and configuration with other processes.

    Parameters
    ----------
    own : MemberRecord
        Record of this process; its address is set once the server listens.
    settings : EntrySettings or ControlSettings
        Provides `peer_listen`, `seed_peers` and `lease_ttl`.
    service : KeyValueService
    follower : ConfigurationFollower
    client : PeerClient
    clock : Clock
    random : random.Random
    """

    def __init__(self, own, settings, service, follower, client, clock, random):
        self.lease = ProcessLease(service, clock, random, settings.lease_ttl)
        self.membership = Membership(own)
        self.leaving = LeavingView()
        self.client = client
        self.server = None
        self.exchanges = Counter()
        self.leaving_changed = asyncio.Event()
        self._settings = settings
        self._service = service
        self._follower = follower
        self._clock = clock
        self._random = random
        self._seeds = [item for item in settings.seed_peers.split(",") if item]
        self._member_list_sent_at = {}
        self._news_at = float("-inf")
        self._news_event = asyncio.Event()
        self._exchange_tasks = set()
        self._tasks = []
        self._started_at = clock.read_monotonic()

    @property
    def own(self):
        """The `MemberRecord` of this process."""
        return self.membership.own

    async def start(self, handlers):
        """Start the server, register this process and start to exchange views.

        Parameters
        ----------
        handlers : PeerHandlers
            Handlers of the program. Those for exchanges and configuration parts are
            replaced by this node's own.

        Raises
        ------
        PeerError
            If the server can't listen on its port.
        """
        handlers = replace(
            handlers, exchange=self.answer_view, get_part=self._follower.get_part
        )
        self.server = PeerServer(self.own.name, self.own.incarnation, handlers)
        address = await self.server.start(self._settings.peer_listen)
        self._update_own_record(address=address)
        self._follower.configurations.subscribe(self._note_configuration)
        self._tasks = [
            asyncio.create_task(self.lease.run()),
            asyncio.create_task(self._follow_members()),
            asyncio.create_task(self._run_exchanges()),
        ]
        log_event("peers-started", listen=address)

    def advertise(self, address):
        """Publish `address` to peers instead of the one that the server listens on."""
        self._update_own_record(address=address)

    async def announce_stop(self):
        """Tell the platform and all live peers that this process is stopping."""
        self._update_own_record(stopping=True)
        now = self._clock.read_monotonic()
        peers = [item for item in self.membership.list_alive(now) if item != self.own]
        calls = [self._exchange(peer.address, peer.name) for peer in peers]
        await asyncio.gather(self.lease.renew(), *calls)

    async def stop(self):
        """Cancel all tasks, revoke the lease, and close the client and the server."""
        for task in [*self._tasks, *self._exchange_tasks]:
            task.cancel()
        await asyncio.gather(
            *self._tasks, *self._exchange_tasks, return_exceptions=True
        )
        await self.lease.release()
        await self.client.close()
        if self.server is not None:
            await self.server.stop()

    def take_instances(self, records, read_at):
        """Apply instance records read from the key-value service.

        Parameters
        ----------
        records : dict of str to InstanceRecord
            All records, by instance.
        read_at : float or None
            Monotonic time in seconds from before a complete read. None for a change
            from a watch, which may have missed earlier changes and so can't confirm
            the view.
        """
        if self.leaving.take_records(records, self._clock.read_monotonic()):
            self._note_news()
        if read_at is not None:
            self.leaving.confirm_until(read_at)
        self.leaving_changed.set()

    def take_followed(self, records, followed):
        """Apply an update from following the instance records.

        A check that found no change only confirms the view, at a cost that doesn't
        grow with the size of the fleet.

        Parameters
        ----------
        records : dict of str to InstanceRecord
            All records, by instance.
        followed : FollowedRecords
            The update.
        """
        if followed.changed:
            self.take_instances(records, followed.confirmed_at)
        else:
            self.leaving.confirm_until(followed.confirmed_at)

    def get_status(self):
        """Return the current `PeerStatus`."""
        now = self._clock.read_monotonic()
        return PeerStatus(
            platform_reachable=self.lease.is_held() and self.lease.last_error is None,
            peers_heard=len(self.membership.list_alive(now)) - 1,
            view_age=self.leaving.get_age(now),
            version=self._follower.version,
        )

    def answer_view(self, view):
        """Apply a peer's view and return the own one in answer.

        If the peer has a newer configuration, an exchange with it is started to
        fetch it; if it has an older one, the answer carries the own head.

        Parameters
        ----------
        view : PeerView

        Returns
        -------
        PeerView

        Raises
        ------
        PeerError
            If the sender has this process's name or an outdated incarnation.
        """
        now = self._clock.read_monotonic()
        self.membership.take_view(view, now)
        self._apply_news(view)
        self.exchanges["answered"] += 1
        if view.sender.version > self._follower.version > 0:
            self._start_exchange(self._exchange(view.sender.address, view.sender.name))
        digests = (view.leaving_digest, view.members_digest)
        answer = self._make_view(view.sender.name, *digests)
        if view.sender.version < self._follower.version:
            answer = replace(answer, head=self._follower.head)
        return answer

    def _make_view(self, name, leaving_digest, members_digest):
        now = self._clock.read_monotonic()
        view = PeerView(
            sender=self.own,
            leaving_digest=self.leaving.compute_digest(now),
            members_digest=self.membership.compute_digest(now),
            view_age=self.leaving.get_age(now),
        )
        if view.leaving_digest != leaving_digest:
            view = replace(view, leaving=self.leaving.list_news(now))
        list_due = (
            now - self._member_list_sent_at.get(name, float("-inf"))
            >= MEMBER_LIST_INTERVAL_S
        )
        if view.members_digest != members_digest and list_due:
            self._member_list_sent_at[name] = now
            view = replace(view, members=self.membership.list_shared_records(now))
        return view

    def _apply_news(self, view):
        if self.leaving.take_news(view.leaving, self._clock.read_monotonic()):
            self._note_news()
            self.leaving_changed.set()

    def _note_news(self):
        self._news_at = self._clock.read_monotonic()
        self._news_event.set()

    def _note_configuration(self, configuration):
        if configuration is not None:
            self._update_own_record(version=configuration.version)
            self._note_news()

    def _update_own_record(self, **changes):
        self.membership.own = replace(self.own, **changes)
        self.lease.set_member(self.own)

    async def _follow_members(self):
        follow = follow_prefix(
            self._service, MEMBERS_PREFIX, rules=MEMBER_FOLLOWING_RULES
        )
        async for followed in follow:
            records = []
            for record in followed.records.values():
                try:
                    records.append(decode_record(record, MemberRecord).body)
                except PeridotspokeError as error:
                    log_event("record-rejected", "ERROR", error=error)
            self.membership.take_records(records, self._clock.read_monotonic())

    async def _run_exchanges(self):
        while True:
            if self._follower.version == 0 and self._is_platform_unavailable():
                await self._exchange_with_all()
            else:
                self._exchange_with_next()
            interval = self._choose_interval()
            self._news_event.clear()
            try:
                async with asyncio.timeout(interval):
                    await self._news_event.wait()
            except TimeoutError:
                continue

    def _choose_interval(self):
        now = self._clock.read_monotonic()
        members = self.membership.list_members(now)
        if any(self._lacks_news(item) for item in members):
            return NEWS_INTERVAL_S
        interval = EXCHANGE_CYCLE_S / max(1, len(members))
        return min(LONGEST_INTERVAL_S, max(SHORTEST_INTERVAL_S, interval))

    def _lacks_news(self, member):
        asked_at = self.membership.get_asked_at(member.record.name)
        return member.state == "alive" and asked_at < self._news_at

    def _is_platform_unavailable(self):
        """Return whether a call to the platform failed or it did not answer in time."""
        if self.lease.is_held():
            return False
        waited = self._clock.read_monotonic() - self._started_at
        return self.lease.last_error is not None or waited > PLATFORM_WAIT_S

    def _exchange_with_next(self):
        now = self._clock.read_monotonic()
        target = self.membership.choose_target(now, self._news_at)
        if target is not None:
            self._start_exchange(self._exchange(target.address, target.name))
        for address in self._list_unknown_seeds(now):
            self._start_exchange(self._exchange(address, ""))

    def _list_unknown_seeds(self, now):
        members = self.membership.list_members(now)
        known = {item.record.address for item in members} | {self.own.address}
        return [address for address in self._seeds if address not in known]

    async def _exchange_with_all(self):
        """Exchange views with all known peers and apply the newest configuration."""
        now = self._clock.read_monotonic()
        members = self.membership.list_members(now)
        targets = [(item.record.address, item.record.name) for item in members]
        targets += [(address, "") for address in self._list_unknown_seeds(now)]
        answers = await asyncio.gather(
            *(self._request_view(*target) for target in targets)
        )
        with_head = [
            item for item in answers if item is not None and item.head is not None
        ]
        for answer in sorted(
            with_head, key=lambda item: item.head.version, reverse=True
        ):
            if self._follower.version == 0:
                await self._apply_head(answer)

    async def _exchange(self, address, name):
        answer = await self._request_view(address, name)
        if answer is None or answer.head is None:
            return
        if self._follower.version > 0:
            await self._apply_head(answer)

    async def _request_view(self, address, name):
        """Exchange views with a peer; return its `PeerView`, or None on failure."""
        asked_at = self._clock.read_monotonic()
        self.membership.record_request(name, asked_at)
        self.exchanges["asked"] += 1
        view = self._make_view(name, *self.membership.get_digests(name))
        try:
            answer = await self.client.exchange(address, view)
            self.membership.take_view(answer, self._clock.read_monotonic())
        except PeerError as error:
            self.exchanges["failed"] += 1
            self.membership.record_failure(name, self._clock.read_monotonic())
            log_event("exchange-failed", "WARNING", error=error)
            return None
        self._apply_news(answer)
        self._confirm_view(view, answer, asked_at)
        return answer

    def _confirm_view(self, view, answer, asked_at):
        """Confirm the own view as of the peer's, if it has no news unknown here."""
        same = answer.leaving_digest == view.leaving_digest
        if answer.view_age is not None and (same or answer.leaving):
            self.leaving.confirm_until(asked_at - answer.view_age)

    async def _apply_head(self, answer):
        sender = answer.sender
        fetch_part = partial(self.client.fetch_part, sender.address)
        try:
            await self._follower.apply_head(answer.head, fetch_part)
        except PeridotspokeError as error:
            log_event("configuration-rejected", "ERROR", peer=sender.name, error=error)

    def _start_exchange(self, work):
        task = asyncio.create_task(work)
        self._exchange_tasks.add(task)
        task.add_done_callback(self._finish_exchange)

    def _finish_exchange(self, task):
        self._exchange_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("exchange-broken", "ERROR", error=repr(task.exception()))
