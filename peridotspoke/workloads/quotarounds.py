"""Asks the quotas of workspaces while a round chooses places for tasks.

It answers a workspace with a long backlog at its limit: after the first task that its
quota holds back, its other steps are only counted, and no place is looked for.
"""

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.quotarecords import (
    count_fitting,
    mask_need,
    multiply_need,
    subtract_needs,
)
from peridotspoke.workloads.quotas import compute_quota_need
from peridotspoke.workloads.runs import compute_need

__all__ = ["RoundQuotas", "count_startable"]


class RoundQuotas:
    """The quotas of workspaces in one round.

    Parameters
    ----------
    book : QuotaBook
    offers : dict of str to Offer
        The free resources of executors, as they change during the round.
    """

    def __init__(self, book, offers):
        self._book = book
        self._offers = offers
        self._free = {}
        self._last_held = None

    def take(self, item, tasks, together):
        """Count tasks that have places, if their quota has room; return whether it has.

        Parameters
        ----------
        item : StepWork
        tasks : sequence of TaskProgress
            Those of the item that have no run yet.
        together : int
            How many of them start now.
        """
        workspace, step = _describe(item)
        need = multiply_need(compute_quota_need(step), together)
        if self._book.has_room(workspace, need):
            self._book.reserve(workspace, need)
            return True
        self._hold_back(item, tasks)
        return False

    def is_held_back(self, item, tasks):
        """Return whether the tasks wait behind one that was held back in this round.

        They then count as held back as well.

        Parameters
        ----------
        item : StepWork
        tasks : sequence of TaskProgress
        """
        workspace, step = _describe(item)
        if not self._book.is_held_back(workspace, compute_quota_need(step)):
            return False
        self._hold_back(item, tasks)
        return True

    def has_held_back(self, item):
        """Return whether tasks of the item were held back in this round."""
        return self._last_held is item

    def _hold_back(self, item, tasks):
        """Hold tasks back, and count as many of them as executors have room for.

        A pool doesn't request quota for more, as others could use it meanwhile.
        """
        self._last_held = item
        workspace, step = _describe(item)
        size = step.count if step.gang else 1
        need = multiply_need(compute_need(step), size)
        free = self._free.get(workspace)
        if free is None:  # the first one is known to have room
            free, at_least = self._sum_free(), 1
        else:
            at_least = 0
        count = max(at_least, count_fitting(free, need, len(tasks) // size))
        self._free[workspace] = subtract_needs(free, multiply_need(need, count))
        quota_need = multiply_need(compute_quota_need(step), size)
        self._book.hold_back(workspace, quota_need, count, tasks[0].key)

    def _sum_free(self):
        offers = self._offers.values()
        return Need(
            sum(offer.cpu for offer in offers),
            sum(offer.memory for offer in offers),
            sum(offer.accelerators for offer in offers),
        )


def count_startable(book, work):
    """Return for each step how many of its tasks the quotas have room for.

    Earlier steps of a workspace take what is unused of its grant before later ones.

    Parameters
    ----------
    book : QuotaBook
    work : list of StepWork

    Returns
    -------
    list of int
    """
    unused, counts = {}, []
    for item in work:
        workspace, step = _describe(item)
        limit, count = book.limits.get(workspace), len(item.tasks)
        if limit is not None:
            if workspace not in unused:
                unused[workspace] = book.find_unused(workspace)
            size = step.count if step.gang else 1
            need = mask_need(compute_quota_need(step), limit)
            fitting = count_fitting(unused[workspace], need, count)
            count = fitting - fitting % size
            if count:
                taken = multiply_need(need, count)
                unused[workspace] = subtract_needs(unused[workspace], taken)
        counts.append(count)
    return counts


def _describe(item):
    job = item.progress.job
    return job.workspace, job.steps[item.step_number]
