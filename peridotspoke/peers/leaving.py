"""Decides which upstreams leave, from records, the list, peers and refusals."""

from dataclasses import dataclass, replace

import xxhash

from peridotspoke.peers.messages import LeavingNews
from peridotspoke.pools import Phase

__all__ = ["LeavingRules", "LeavingView"]


@dataclass(frozen=True, slots=True)
class LeavingRules:
    """How long things count, in seconds.

    `returned_time` bounds the life of news that an instance serves again;
    `refusal_time` is how long an instance that refused gets nothing.
    """

    returned_time: float = 120.0
    refusal_time: float = 5.0


@dataclass(frozen=True, slots=True)
class _Heard:
    epoch: int
    returned: bool
    pool: str
    arose_at: float


@dataclass(frozen=True, slots=True)
class _ListedLeaving:
    incarnation: int
    epoch: int


class LeavingView:
    """What one entry knows of instances that leave.

    The newest epoch decides, whether it came by a record or by a peer's news; at the
    same epoch leaving goes before returning. The platform's list lags: what it calls
    leaving leaves until a record or news of a newer epoch than that known when the
    list said so first; what it calls live proves nothing.

    Parameters
    ----------
    rules : LeavingRules, optional
    """

    def __init__(self, rules=None):
        self._rules = rules or LeavingRules()
        self._records = {}
        self._news = {}
        self._listed = {}
        self._refused = {}
        self._confirmed_at = None

    def take_records(self, records, now):
        """Take the `InstanceRecord` by instance that stand in the service.

        Returns
        -------
        bool
            Whether there is news for peers.
        """
        before = self.compute_digest(now)
        self._records = dict(records)
        self._date_listed()
        for instance, record in self._records.items():
            serves = record.phase == Phase.SERVING
            if not serves:
                self._merge(
                    LeavingNews(instance, record.epoch, False, record.pool), now
                )
            elif instance in self._news:
                self._merge(LeavingNews(instance, record.epoch, True, record.pool), now)
        return self.compute_digest(now) != before

    def take_news(self, news, now):
        """Take peers' `LeavingNews`; return whether any was new."""
        before = self.compute_digest(now)
        for item in news:
            record = self._records.get(item.instance)
            if record is None or item.epoch >= record.epoch:
                self._merge(item, now)
            elif record.phase == Phase.SERVING and not item.returned:
                self._merge(
                    LeavingNews(item.instance, record.epoch, True, record.pool), now
                )
        return self.compute_digest(now) != before

    def take_list(self, listed):
        """Take the platform's list of `ListedInstance`."""
        leaving = {}
        for item in listed:
            if item.state != "leaving":
                continue
            known = self._listed.get(item.instance)
            if known is None or known.incarnation != item.incarnation:
                known = _ListedLeaving(item.incarnation, self._get_epoch(item.instance))
            leaving[item.instance] = known
        self._listed = leaving

    def note_refusal(self, instance, now):
        """Note that an upstream refused work or closed before running it."""
        self._refused[instance] = now

    def confirm(self, at):
        """Note that all news that had arisen by the monotonic time `at` is known."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def get_age(self, now):
        """Return the age of the view in seconds, or None where there is none yet."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def list_news(self, now):
        """Return the `LeavingNews` to pass on, with their ages."""
        self._forget(now)
        horizon = now - self._rules.returned_time
        return tuple(
            LeavingNews(
                instance, item.epoch, item.returned, item.pool, now - item.arose_at
            )
            for instance, item in sorted(self._news.items())
            if not item.returned or item.arose_at >= horizon
        )

    def compute_digest(self, now):
        """Return the digest of the news to pass on; ages don't count."""
        lines = [
            f"{item.instance} {item.epoch} {item.returned}"
            for item in self.list_news(now)
        ]
        return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

    def has_seen(self, instance, epoch):
        """Return whether it is known that `instance` leaves since `epoch` or later."""
        item = self._news.get(instance)
        return item is not None and item.epoch >= epoch

    def select_records(self):
        """Return the records by instance, brought up to date by peers' news."""
        records = dict(self._records)
        for instance, item in self._news.items():
            record = records.get(instance)
            if record is None or not _is_later(item, record):
                continue
            phase = Phase.SERVING if item.returned else Phase.DRAINING
            records[instance] = replace(
                record, phase=phase, epoch=item.epoch, pool=item.pool or record.pool
            )
        return records

    def select_listed(self, listed, zone, view_bound, now):
        """Return those of `listed` that may get new work, as live.

        Parameters
        ----------
        listed : iterable of ListedInstance
        zone : str
            The entry's own availability zone.
        view_bound : float
            Age of the view in seconds at which other zones' upstreams aren't used.
        now : float
            Monotonic time in seconds.
        """
        age = self.get_age(now)
        fresh = age is not None and age < view_bound
        horizon = now - self._rules.refusal_time
        return tuple(
            item if item.state == "live" else replace(item, state="live")
            for item in listed
            if (item.zone == zone or fresh)
            and not self._leaves_by_list(item.instance)
            and self._refused.get(item.instance, float("-inf")) <= horizon
        )

    def describe_ageing(self, view_bound, now):
        """Return what changes in `select_listed` by the passing of time alone.

        Two equal values mean that no upstream has come or gone since, unless there
        was news; the routing table then needn't be built again.
        """
        age = self.get_age(now)
        horizon = now - self._rules.refusal_time
        refused = frozenset(
            instance for instance, at in self._refused.items() if at > horizon
        )
        return age is not None and age < view_bound, refused

    def _date_listed(self):
        """Give an epoch to what was listed as leaving before any record was known."""
        for instance, known in self._listed.items():
            if known.epoch == 0:
                epoch = self._get_epoch(instance)
                self._listed[instance] = replace(known, epoch=epoch)

    def _leaves_by_list(self, instance):
        known = self._listed.get(instance)
        if known is None:
            return False
        return self._get_epoch(instance) <= known.epoch

    def _get_epoch(self, instance):
        record = self._records.get(instance)
        item = self._news.get(instance)
        return max(record.epoch if record else 0, item.epoch if item else 0)

    def _merge(self, news, now):
        arose_at = now - news.age
        if news.returned and news.age > self._rules.returned_time:
            return
        known = self._news.get(news.instance)
        rank = (news.epoch, not news.returned)
        if known is None or rank > (known.epoch, not known.returned):
            self._news[news.instance] = _Heard(
                news.epoch, news.returned, news.pool, arose_at
            )

    def _forget(self, now):
        """Drop old news of returns whose record is known, and old refusals."""
        horizon = now - self._rules.returned_time
        for instance, item in list(self._news.items()):
            record = self._records.get(instance)
            known = record is not None and record.epoch >= item.epoch
            if item.returned and known and item.arose_at < horizon:
                del self._news[instance]
        horizon = now - self._rules.refusal_time
        self._refused = {name: at for name, at in self._refused.items() if at > horizon}


def _is_later(news, record):
    """Return whether news goes before a record; at one epoch leaving does."""
    return news.epoch > record.epoch or (
        news.epoch == record.epoch and not news.returned
    )
