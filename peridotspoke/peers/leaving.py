"""Rules that decide which upstreams are leaving and get no new work.

They combine instance records, the platform's list, news from peers and refusals by
the upstreams themselves.
"""

from dataclasses import dataclass, replace

import xxhash

from peridotspoke.peers.messages import LeavingNews
from peridotspoke.pools import Phase

__all__ = ["LeavingRules", "LeavingView"]


@dataclass(frozen=True, slots=True)
class LeavingRules:
    """Durations, in seconds, for which information about upstreams is valid.

    Parameters
    ----------
    returned_time : float, optional
        How long news that an instance serves again is passed on.
    refusal_time : float, optional
        How long an instance gets no new work after it refused some.
    """

    returned_time: float = 120.0
    refusal_time: float = 5.0


@dataclass(frozen=True, slots=True)
class _LeavingState:
    epoch: int
    returned: bool
    pool: str
    originated_at: float


@dataclass(frozen=True, slots=True)
class _ListedLeaving:
    incarnation: int
    epoch: int


class LeavingView:
    """One entry instance's view of the instances that are leaving.

    The newest epoch wins, whether it came from a record or from a peer; at equal
    epochs, leaving takes precedence over returning. The platform's list lags behind.
    An instance that it lists as leaving counts as leaving until a record or news has
    a newer epoch than the one known when the list first said so. An instance that it
    lists as live may nevertheless be leaving.

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
        """Apply the complete set of instance records from the key-value service.

        Parameters
        ----------
        records : dict of str to InstanceRecord
            Records by instance.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the news to pass on to peers has changed.
        """
        before = self.compute_digest(now)
        self._records = dict(records)
        self._assign_listed_epochs()
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
        """Apply news from peers.

        A peer with an older record than the own one is corrected: if the instance
        serves again, that is added to the news to pass on.

        Parameters
        ----------
        news : iterable of LeavingNews
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the news to pass on to peers has changed.
        """
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
        """Apply the platform's list of `ListedInstance`."""
        leaving = {}
        for item in listed:
            if item.state != "leaving":
                continue
            known = self._listed.get(item.instance)
            if known is None or known.incarnation != item.incarnation:
                known = _ListedLeaving(item.incarnation, self._get_epoch(item.instance))
            leaving[item.instance] = known
        self._listed = leaving

    def record_refusal(self, instance, now):
        """Record that an upstream refused a request or closed before running it."""
        self._refused[instance] = now

    def confirm_until(self, at):
        """Record that all changes up to the monotonic time `at` are known here."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def get_age(self, now):
        """Return the view's age in seconds, or None if it was never confirmed."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def list_news(self, now):
        """Return the `LeavingNews` to pass on to peers, with their current ages."""
        self._remove_expired(now)
        cutoff = now - self._rules.returned_time
        return tuple(
            LeavingNews(
                instance, item.epoch, item.returned, item.pool, now - item.originated_at
            )
            for instance, item in sorted(self._news.items())
            if not item.returned or item.originated_at >= cutoff
        )

    def compute_digest(self, now):
        """Return the digest of the news to pass on, which doesn't depend on ages."""
        lines = [
            f"{item.instance} {item.epoch} {item.returned}"
            for item in self.list_news(now)
        ]
        return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

    def knows_epoch(self, instance, epoch):
        """Return whether news of `instance` of `epoch` or a later epoch is known."""
        item = self._news.get(instance)
        return item is not None and item.epoch >= epoch

    def select_records(self):
        """Return the records by instance, updated with newer news from peers."""
        records = dict(self._records)
        for instance, item in self._news.items():
            record = records.get(instance)
            if record is None or not _supersedes(item, record):
                continue
            phase = Phase.SERVING if item.returned else Phase.DRAINING
            records[instance] = replace(
                record, phase=phase, epoch=item.epoch, pool=item.pool or record.pool
            )
        return records

    def select_listed(self, listed, zone, view_bound, now):
        """Return the listed instances that may get new work, with state ``live``.

        Parameters
        ----------
        listed : iterable of ListedInstance
        zone : str
            Availability zone of this entry instance.
        view_bound : float
            Age of the view, in seconds, from which on upstreams of other zones are
            not used.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of ListedInstance
        """
        age = self.get_age(now)
        up_to_date = age is not None and age < view_bound
        cutoff = now - self._rules.refusal_time
        return tuple(
            item if item.state == "live" else replace(item, state="live")
            for item in listed
            if (item.zone == zone or up_to_date)
            and not self._is_listed_as_leaving(item.instance)
            and self._refused.get(item.instance, float("-inf")) <= cutoff
        )

    def compute_time_dependent_state(self, view_bound, now):
        """Return the part of the state of `select_listed` that depends on time.

        If two values are equal and there was no news in between, the selection is the
        same, and the routing table need not be rebuilt.

        Parameters
        ----------
        view_bound : float
            As for `select_listed`, in seconds.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of bool and frozenset of str
            Whether the view is recent enough for other zones, and the instances
            that refused work recently.
        """
        age = self.get_age(now)
        cutoff = now - self._rules.refusal_time
        refused = frozenset(
            instance for instance, at in self._refused.items() if at > cutoff
        )
        return age is not None and age < view_bound, refused

    def _assign_listed_epochs(self):
        """Set the epoch of instances listed as leaving before any record was known."""
        for instance, known in self._listed.items():
            if known.epoch == 0:
                epoch = self._get_epoch(instance)
                self._listed[instance] = replace(known, epoch=epoch)

    def _is_listed_as_leaving(self, instance):
        known = self._listed.get(instance)
        if known is None:
            return False
        return self._get_epoch(instance) <= known.epoch

    def _get_epoch(self, instance):
        record = self._records.get(instance)
        item = self._news.get(instance)
        return max(record.epoch if record else 0, item.epoch if item else 0)

    def _merge(self, news, now):
        originated_at = now - news.age
        if news.returned and news.age > self._rules.returned_time:
            return
        known = self._news.get(news.instance)
        rank = (news.epoch, not news.returned)
        if known is None or rank > (known.epoch, not known.returned):
            self._news[news.instance] = _LeavingState(
                news.epoch, news.returned, news.pool, originated_at
            )

    def _remove_expired(self, now):
        """Delete expired refusals, and expired news of returns that records confirm."""
        cutoff = now - self._rules.returned_time
        for instance, item in list(self._news.items()):
            record = self._records.get(instance)
            known = record is not None and record.epoch >= item.epoch
            if item.returned and known and item.originated_at < cutoff:
                del self._news[instance]
        cutoff = now - self._rules.refusal_time
        self._refused = {name: at for name, at in self._refused.items() if at > cutoff}


def _supersedes(news, record):
    """Return whether news takes precedence over a record.

    At equal epochs, news of leaving does.
    """
    return news.epoch > record.epoch or (
        news.epoch == record.epoch and not news.returned
    )
