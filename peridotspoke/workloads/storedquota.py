"""What the owner of a pool knows of one workspace's quota, and what it has sent.

It answers writes whose answers are lost and copies of the record that are late: the
owner goes by the lowest grant that the store may have for its pool.
"""

from peridotspoke.workloads.quotarecords import (
    NOTHING,
    QuotaRow,
    QuotaRules,
    add_needs,
    combine_needs,
    covers,
    mask_need,
)

__all__ = ["StoredQuota"]


class StoredQuota:
    """The record of a workspace's quota as the owner of one pool knows it.

    Parameters
    ----------
    pool : str
    limit : Need
        0 in a field for no limit of that resource.
    fence : int
        Revision of the owner's claim. Nothing starts, and nothing is written, before
        the record is known as of it: an earlier owner may have changed the pool's row.
    rules : QuotaRules, optional

    Attributes
    ----------
    revision : int
        Revision of the known record; 0 if there is none.
    rows : dict of str to QuotaRow, or None
        By pool; None if the record is unreadable, which grants no pool anything.
    others : Need
        What the other pools have been granted.
    is_writing : bool
        Whether a write has been sent and not answered.
    observed_at : float or None
        When the known record was first seen, monotonic seconds.
    settled_at : float
        Monotonic time before which nothing starts, seconds.
    """

    def __init__(self, pool, limit, fence, rules=QuotaRules()):
        self.limit = limit
        self.revision, self.rows = 0, {}
        self.is_writing = False
        self.observed_at = None
        self.settled_at = float("-inf")
        self._pool, self._fence, self._rules = pool, fence, rules
        self._as_of = self._absent_at = -1
        self._sent_grants, self._sent_at = [], None
        self._digest()

    @property
    def is_known(self):
        """Whether the record is known as of the owner's claim, and readable."""
        return self._as_of >= self._fence and self.rows is not None

    @property
    def granted(self):
        """What the owner may use: never more than a write may have left to it."""
        granted = self._row.granted
        for sent in self._sent_grants:
            granted = combine_needs(min, granted, sent)
        return granted

    def set_limit(self, limit, now):
        """Go by a limit from now on.

        Where it restricts a resource that was free before, the other pools may run more
        than their rows tell; nothing starts until they have recorded it.

        Parameters
        ----------
        limit : Need
        now : float
            Monotonic seconds.
        """
        if mask_need(limit, self.limit) != limit:
            self.settled_at = now + self._rules.settling
        self.limit = limit
        self._digest()

    def observe(self, as_of, revision, rows, now):
        """Take over what the store holds; knowledge that is not newer is ignored.

        Writes that were conditional on an earlier revision have taken effect in what is
        seen, or never will.

        Parameters
        ----------
        as_of : int
            Revision of the store as of which this is known.
        revision : int
            Revision of the record; 0 if there is none.
        rows : dict of str to QuotaRow, or None
            None if it can't be decoded.
        now : float
            Monotonic seconds.
        """
        is_newer = revision > max(self.revision, self._absent_at)
        if as_of <= self._as_of and not is_newer:
            return
        is_first, self._as_of = self._as_of < 0, max(as_of, self._as_of)
        if not is_first and (revision == self.revision or 0 < revision < self.revision):
            return
        if not revision:
            self._absent_at = as_of
        self.observed_at = now
        if not is_first and (self.rows is None or (self.revision and not revision)):
            self.settled_at = now + self._rules.settling
        self.revision, self.rows = revision, rows
        self._sent_grants.clear()
        self._digest()

    def make_rows(self, row):
        """Return the rows of the record with one of this pool's; none that is empty."""
        rows = {**self.rows, self._pool: row}
        return {pool: item for pool, item in rows.items() if item != QuotaRow()}

    def note_sent(self, row, now):
        """Record that a row is sent; a decrease takes effect now."""
        self.is_writing, self._sent_at = True, now
        self._sent_grants.append(row.granted)

    def note_unsent(self, row):
        """Record that a write certainly had no effect."""
        self.is_writing = False
        if row.granted in self._sent_grants:
            self._sent_grants.remove(row.granted)

    def note_answered(self):
        """Record that a write was answered, or that its answer is lost."""
        self.is_writing = False

    def find_age(self, now):
        """Return the seconds since the known record was first seen; None before."""
        return None if self.observed_at is None else now - self.observed_at

    def _digest(self):
        """Compute what the rules need of the record, once for each change of it."""
        rows = dict(self.rows or {})
        self._row = rows.pop(self._pool, None) or QuotaRow()
        self.others = NOTHING
        for row in rows.values():
            self.others = add_needs(self.others, mask_need(row.granted, self.limit))
        self._waiters = [item for item in rows.items() if item[1].waiting_since]
        self._total = add_needs(self.others, mask_need(self._row.granted, self.limit))
        self._is_within = covers(self.limit, self._total)
