"""What the owner of a pool may run of one workspace, and which grant it requests.

The pools share a workspace's limit by one record of the store, in which each pool has a
grant. The rules here only decide; `peridotspoke.nodes.quotas` reads and writes.
"""

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.quotarecords import (
    NOTHING,
    QuotaRow,
    QuotaRules,
    add_needs,
    combine_needs,
    count_fitting,
    covers,
    mask_need,
    multiply_need,
    raise_to_zero,
    subtract_needs,
)
from peridotspoke.workloads.storedquota import StoredQuota

__all__ = ["WorkspaceQuota"]

NEVER = float("inf")
MAX_PASSING = 16  # steps that may pass one that is held back, for each round


class WorkspaceQuota(StoredQuota):
    """A `StoredQuota` that decides what may start, and which grant is requested.

    Parameters
    ----------
    pool, limit, fence, rules
        As for `StoredQuota`.

    Attributes
    ----------
    use : Need
        What may be running in the pool, with what the round has placed; only resources
        that are limited.
    is_held_back : bool
        Whether the quota held back a task in this round.
    waiting_since : float
        Since when tasks have been held back without any start, seconds since the Unix
        epoch; 0 if none is.
    next : Need
        Need of the first task that was held back in this round.
    next_task : TaskKey or None
        That task; the last one such if none was in this round.
    """

    def __init__(self, pool, limit, fence, rules=QuotaRules()):
        super().__init__(pool, limit, fence, rules)
        self.use = NOTHING
        self.is_held_back = False
        self.waiting_since, self.next, self.next_task = 0.0, NOTHING, None
        self._demand = NOTHING
        self._held, self._peaks = [], []
        self._yielded, self._wall = NOTHING, 0.0

    def is_idle(self, as_of):
        """Return whether the pool has neither use of the quota nor a share in it.

        Parameters
        ----------
        as_of : int
            Revision as of which another copy of the record is known; if that is older,
            it may still have a grant that the pool has returned.
        """
        if as_of < self._as_of or self.is_writing or self._sent_grants:
            return False
        return self.use == NOTHING and not self.is_held_back and self._row == QuotaRow()

    def begin_round(self, use, now, wall):
        """Begin a round with what may be running.

        Parameters
        ----------
        use : Need
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        self.use, self._wall = mask_need(use, self.limit), wall
        self._demand, self.next, self.is_held_back = NOTHING, NOTHING, False
        self._yielded = NOTHING
        self._held.clear()
        for row in self._list_earlier_waiters():
            if self._rules.is_urgent(row.waiting_since, wall):
                self._yielded = combine_needs(max, self._yielded, self._find_lacks(row))
        if self._sent_at is None:
            self._sent_at = now

    def is_behind(self, need):
        """Return whether a task waits because one before it was held back.

        Smaller tasks don't take what that one waits for, but pass it at times, as it
        may need more than will ever be free.
        """
        if not self.is_held_back or mask_need(need, self.limit) == NOTHING:
            return False
        return not self._may_be_passed() or len(self._held) > MAX_PASSING

    def has_room(self, need, now):
        """Return whether a task may start.

        Parameters
        ----------
        need : Need
            That of all tasks that start together.
        now : float
            Monotonic seconds.
        """
        need = mask_need(need, self.limit)
        if need == NOTHING:
            return True
        if not self.is_known or now < self.settled_at:
            return False
        if self.is_behind(need) or mask_need(need, self._yielded) != NOTHING:
            return False
        if not covers(self.granted, add_needs(self.use, need)):
            return False
        if covers(self.limit, mask_need(self._total, need)):
            return True
        is_alone = self.others == NOTHING and self.use == NOTHING
        return is_alone and self._is_oversized(need)

    def find_unused(self, now):
        """Return how much of the grant nothing uses, in the limited resources."""
        if not self.is_known or now < self.settled_at:
            return NOTHING
        return raise_to_zero(subtract_needs(self.granted, self.use))

    def reserve(self, need):
        """Count a task that starts, or all of a gang."""
        need = mask_need(need, self.limit)
        self.use = add_needs(self.use, need)
        if self.waiting_since and need != NOTHING and not self.is_held_back:
            self.waiting_since = self._wall

    def hold_back(self, need, count, task=None):
        """Record that tasks can't start, though executors have room for them.

        Parameters
        ----------
        need : Need
            That of all tasks that start together.
        count : int
            How many times as much could start.
        task : TaskKey, optional
            The first of the tasks.
        """
        need = mask_need(need, self.limit)
        if not self.is_held_back:
            self.is_held_back, self.next, self.next_task = True, need, task
        self._demand = add_needs(self._demand, multiply_need(need, count))
        if len(self._held) <= MAX_PASSING:
            self._held.append((need, count))

    def plan_row(self, now):
        """Return the `QuotaRow` to write after a round, or None if none is due.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._note_peak(now)
        # It also counts while a grant is requested and not used yet: the pool would
        # else leave what it has just got to the next one that waits.
        self.waiting_since = (
            (self.waiting_since or self._wall) if self.is_held_back else 0.0
        )
        if self.is_writing or not self.is_known:
            return None
        known = self._row
        if self._is_at_rest(now):
            return None
        row = self._choose_row(now)
        if self._sent_grants:
            return row  # until a later write is answered, the lower grant holds
        if row == known:
            return None
        is_detail = row.granted == known.granted
        is_detail &= bool(row.waiting_since) == bool(known.waiting_since)
        if is_detail and now - self._sent_at < self._rules.rewrite:
            return None
        return row

    def _is_at_rest(self, now):
        """Return whether the row certainly stays; most rounds end here."""
        if self.is_held_back or self._sent_grants or self._waiters:
            return False
        if not self._is_within or self._row.waiting_since:
            return False
        is_due = now - self._sent_at >= self._rules.unused
        return not is_due and covers(self._row.granted, self.use)

    def _is_oversized(self, need):
        return not covers(self.limit, mask_need(need, self.limit))

    def _list_earlier_waiters(self):
        """Yield the rows of the pools that have waited longer than this one."""
        own = (self.waiting_since or NEVER, self._pool)
        for pool, row in self._waiters:
            if (row.waiting_since, pool) < own:
                yield row

    def _find_lacks(self, row):
        """Return a need that is 1 in each resource of which a waiter lacks quota.

        A task larger than the limit lacks all while another pool has any grant.
        """
        if self._is_oversized(row.next):
            is_alone = self._total == mask_need(row.granted, self.limit)
            return NOTHING if is_alone else mask_need(Need(1, 1, 1), self.limit)
        wanted = mask_need(row.next, self.limit)
        missing = subtract_needs(wanted, subtract_needs(self.limit, self._total))
        missing = raise_to_zero(mask_need(missing, wanted))
        return combine_needs(min, Need(1, 1, 1), missing)

    def _note_peak(self, now):
        start = now - self._rules.unused
        while self._peaks and self._peaks[0][0] < start:
            self._peaks.pop(0)
        while self._peaks and covers(self.use, self._peaks[-1][1]):
            self._peaks.pop()
        self._peaks.append((now, self.use))

    def _choose_row(self, now):
        kept = self._choose_kept(now)
        if not self.is_held_back:
            return QuotaRow(kept)
        waiting = QuotaRow(kept, self.waiting_since, self.next)
        if now < self.settled_at:
            return waiting
        if self._is_oversized(self.next):
            is_alone = self.use == NOTHING and self.others == NOTHING
            return QuotaRow(self.next) if is_alone else waiting
        most = add_needs(kept, self._compute_available(kept))
        if not covers(most, add_needs(self.use, self.next)):
            passing = self._add_passing(most)
            granted = combine_needs(max, kept, passing)
            return QuotaRow(granted, self.waiting_since, self.next)
        wanted = add_needs(self.use, self._demand)
        return QuotaRow(combine_needs(max, kept, combine_needs(min, wanted, most)))

    def _may_be_passed(self):
        since = self.waiting_since
        return bool(since) and not self._rules.is_reserved(since, self._wall)

    def _add_passing(self, most):
        """Return the use with the tasks that may pass the first and fit into `most`."""
        total = self.use
        if not self._may_be_passed():
            return total
        for need, count in self._held[1:]:
            fitting = count_fitting(subtract_needs(most, total), need, count)
            total = add_needs(total, multiply_need(need, fitting))
        return total

    def _choose_kept(self, now):
        """Return how much of its grant the pool keeps: at least what it uses.

        What runs without a grant, for example because the limit is new, is recorded as
        granted, so that no other pool takes it for free.
        """
        granted = mask_need(self._row.granted, self.limit)
        if not self._is_within:
            return self.use
        kept = combine_needs(max, self.use, granted)
        is_due = not self.is_held_back and now - self._sent_at >= self._rules.unused
        if is_due and kept != self.use:
            peak = self.use
            for _, use in self._peaks:
                peak = combine_needs(max, peak, use)
            kept = combine_needs(max, self.use, combine_needs(min, granted, peak))
        for row in self._list_earlier_waiters():
            kept = subtract_needs(
                kept,
                mask_need(subtract_needs(kept, self.use), self._find_lacks(row)),
            )
        return kept

    def _compute_available(self, kept):
        """Return what the pool may add to its grant, beside what others wait for."""
        total = add_needs(self.others, kept)
        free = raise_to_zero(subtract_needs(self.limit, total))
        for row in self._list_earlier_waiters():
            if not self._rules.is_reserved(row.waiting_since, self._wall):
                continue
            if self._is_oversized(row.next):
                return NOTHING
            free = subtract_needs(free, mask_need(row.next, self.limit))
        return raise_to_zero(free)
