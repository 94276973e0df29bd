"""The tasks by which one process keeps in touch with the others."""

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

MEMBER_RULES = FollowingRules(check_interval=4.0)  # peers tell of each other too
CYCLE = 6.0  # seconds in which each peer is asked once
LONGEST_INTERVAL = 1.0  # seconds between two exchanges
SHORTEST_INTERVAL = 0.25  # seconds
NEWS_INTERVAL = 0.1  # seconds, while there is news
LIST_INTERVAL = 10.0  # seconds between two lists of members to one peer
PLATFORM_WAIT = 3.0  # seconds before peers' configuration is taken at the start


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a process tells of its contacts; `view_age` is in seconds, or None."""

    platform_reachable: bool
    peers_heard: int
    view_age: float | None
    version: int


class PeerNode:
    """Membership, leaving news and configuration passed between processes.

    Parameters
    ----------
    own : MemberRecord
        Without its address, which is known once the server listens.
    settings : EntrySettings or ControlSettings
        Gives `peer_listen`, `seed_peers` and `lease_ttl`.
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
        self._listed_at = {}
        self._changed_at = float("-inf")
        self._news = asyncio.Event()
        self._calls = set()
        self._tasks = []
        self._started_at = clock.read_monotonic()

    @property
    def own(self):
        """The own `MemberRecord`."""
        return self.membership.own

    async def start(self, handlers):
        """Serve peers, register and begin to exchange views.

        Parameters
        ----------
        handlers : PeerHandlers
            Those of the program; exchanges and parts are answered here.
        """
        handlers = replace(
            handlers, exchange=self.answer_view, get_part=self._follower.get_part
        )
        self.server = PeerServer(self.own.name, self.own.incarnation, handlers)
        address = await self.server.start(self._settings.peer_listen)
        self._describe(address=address)
        self._follower.configurations.subscribe(self._note_configuration)
        self._tasks = [
            asyncio.create_task(self.lease.run()),
            asyncio.create_task(self._follow_members()),
            asyncio.create_task(self._run_exchanges()),
        ]
        log_event("peers-started", listen=address)

    def advertise(self, address):
        """Tell peers `address` instead of the one that the server listens on."""
        self._describe(address=address)

    async def announce_stop(self):
        """Tell the platform and all peers alive that this process stops."""
        self._describe(stopping=True)
        now = self._clock.read_monotonic()
        peers = [item for item in self.membership.list_alive(now) if item != self.own]
        calls = [self._exchange(peer.address, peer.name) for peer in peers]
        await asyncio.gather(self.lease.renew(), *calls)

    async def stop(self):
        """Leave: end all tasks, give the lease back and close all sockets."""
        for task in [*self._tasks, *self._calls]:
            task.cancel()
        await asyncio.gather(*self._tasks, *self._calls, return_exceptions=True)
        await self.lease.release()
        await self.client.close()
        if self.server is not None:
            await self.server.stop()

    def take_instances(self, records, read_at):
        """Take the `InstanceRecord` by instance read from the service.

        Parameters
        ----------
        records : dict of str to InstanceRecord
        read_at : float or None
            Monotonic time from before a whole reading; None for a watch's change,
            which proves nothing of the changes that it may have missed.
        """
        if self.leaving.take_records(records, self._clock.read_monotonic()):
            self._note_news()
        if read_at is not None:
            self.leaving.confirm(read_at)
        self.leaving_changed.set()

    def take_followed(self, records, followed):
        """Take what following the service's instance records has told.

        A check that found nothing new dates the view and costs the same whatever
        the fleet's size.

        Parameters
        ----------
        records : dict of str to InstanceRecord
        followed : FollowedRecords
        """
        if followed.changed:
            self.take_instances(records, followed.confirmed_at)
        else:
            self.leaving.confirm(followed.confirmed_at)

    def get_status(self):
        """Return the `PeerStatus` now."""
        now = self._clock.read_monotonic()
        return PeerStatus(
            platform_reachable=self.lease.is_held() and self.lease.last_error is None,
            peers_heard=len(self.membership.list_alive(now)) - 1,
            view_age=self.leaving.get_age(now),
            version=self._follower.version,
        )

    def answer_view(self, view):
        """Return the own `PeerView` in answer to a peer's, which is taken."""
        now = self._clock.read_monotonic()
        self.membership.take_view(view, now)
        self._take_news(view)
        self.exchanges["answered"] += 1
        if view.sender.version > self._follower.version > 0:
            self._spawn(self._exchange(view.sender.address, view.sender.name))
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
        list_due = now - self._listed_at.get(name, float("-inf")) >= LIST_INTERVAL
        if view.members_digest != members_digest and list_due:
            self._listed_at[name] = now
            view = replace(view, members=self.membership.list_told(now))
        return view

    def _take_news(self, view):
        if self.leaving.take_news(view.leaving, self._clock.read_monotonic()):
            self._note_news()
            self.leaving_changed.set()

    def _note_news(self):
        self._changed_at = self._clock.read_monotonic()
        self._news.set()

    def _note_configuration(self, configuration):
        if configuration is not None:
            self._describe(version=configuration.version)
            self._note_news()

    def _describe(self, **changes):
        self.membership.own = replace(self.own, **changes)
        self.lease.describe(self.own)

    async def _follow_members(self):
        follow = follow_prefix(self._service, MEMBERS_PREFIX, rules=MEMBER_RULES)
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
            if self._follower.version == 0 and self._may_take_from_peers():
                await self._ask_all()
            else:
                self._ask_next()
            interval = self._choose_interval()
            self._news.clear()
            try:
                async with asyncio.timeout(interval):
                    await self._news.wait()
            except TimeoutError:
                continue

    def _choose_interval(self):
        now = self._clock.read_monotonic()
        members = self.membership.list_members(now)
        if any(self._lacks_news(item) for item in members):
            return NEWS_INTERVAL
        interval = CYCLE / max(1, len(members))
        return min(LONGEST_INTERVAL, max(SHORTEST_INTERVAL, interval))

    def _lacks_news(self, member):
        asked_at = self.membership.get_asked_at(member.record.name)
        return member.state == "alive" and asked_at < self._changed_at

    def _may_take_from_peers(self):
        """Return whether the platform had its chance to answer, and doesn't."""
        if self.lease.is_held():
            return False
        waited = self._clock.read_monotonic() - self._started_at
        return self.lease.last_error is not None or waited > PLATFORM_WAIT

    def _ask_next(self):
        now = self._clock.read_monotonic()
        target = self.membership.choose_target(now, self._changed_at)
        if target is not None:
            self._spawn(self._exchange(target.address, target.name))
        for address in self._list_unknown_seeds(now):
            self._spawn(self._exchange(address, ""))

    def _list_unknown_seeds(self, now):
        members = self.membership.list_members(now)
        known = {item.record.address for item in members} | {self.own.address}
        return [address for address in self._seeds if address not in known]

    async def _ask_all(self):
        """Ask every peer that is known and take the newest configuration told."""
        now = self._clock.read_monotonic()
        members = self.membership.list_members(now)
        targets = [(item.record.address, item.record.name) for item in members]
        targets += [(address, "") for address in self._list_unknown_seeds(now)]
        answers = await asyncio.gather(*(self._ask(*target) for target in targets))
        told = [item for item in answers if item is not None and item.head is not None]
        for answer in sorted(told, key=lambda item: item.head.version, reverse=True):
            if self._follower.version == 0:
                await self._take_head(answer)

    async def _exchange(self, address, name):
        answer = await self._ask(address, name)
        if answer is None or answer.head is None:
            return
        if self._follower.version > 0:
            await self._take_head(answer)

    async def _ask(self, address, name):
        """Return the peer's `PeerView`, or None where there is none."""
        asked_at = self._clock.read_monotonic()
        self.membership.note_asked(name, asked_at)
        self.exchanges["asked"] += 1
        view = self._make_view(name, *self.membership.get_digests(name))
        try:
            answer = await self.client.exchange(address, view)
            self.membership.take_view(answer, self._clock.read_monotonic())
        except PeerError as error:
            self.exchanges["failed"] += 1
            self.membership.note_failure(name, self._clock.read_monotonic())
            log_event("exchange-failed", "WARNING", error=error)
            return None
        self._take_news(answer)
        self._confirm_view(view, answer, asked_at)
        return answer

    def _confirm_view(self, view, answer, asked_at):
        """Date the own view by the peer's, where all its news is known here."""
        same = answer.leaving_digest == view.leaving_digest
        if answer.view_age is not None and (same or answer.leaving):
            self.leaving.confirm(asked_at - answer.view_age)

    async def _take_head(self, answer):
        sender = answer.sender
        fetch_part = partial(self.client.fetch_part, sender.address)
        try:
            await self._follower.take_head(answer.head, fetch_part)
        except PeridotspokeError as error:
            log_event("configuration-rejected", "ERROR", peer=sender.name, error=error)

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._end_call)

    def _end_call(self, task):
        self._calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("exchange-broken", "ERROR", error=repr(task.exception()))
