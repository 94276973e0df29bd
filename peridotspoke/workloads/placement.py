"""Chooses the executors that tasks are placed on.

Long-running tasks are put on few executors, so that a pool whose load falls can give
up the others, but the tasks of a step on two at least where the executors have room.
"""

import math
from dataclasses import dataclass, field

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.quotarecords import count_fitting

__all__ = [
    "Offer",
    "choose_executor",
    "count_places",
    "find_gang",
    "fits",
    "rank_offer",
]

MIN_EXECUTORS_OF_LASTING_STEP = 2


@dataclass(slots=True)
class Offer:
    """Free capacity of one executor while placements are planned.

    Parameters
    ----------
    executor_id, rack : str
    labels : frozenset of str
    cpu : int
        Free thousandths of a core.
    memory : int
        Free memory, MB.
    accelerators : int
        Free accelerators.
    counts : dict of (str, int, int) to int, optional
        Number of tasks on the executor by job ID, occurrence and step.
    penalty : float, optional
        Penalty for recent failures, stalls and refusals; lower is better.
    lasting : int, optional
        Number of long-running tasks on the executor.
    """

    executor_id: str
    rack: str
    labels: frozenset
    cpu: int
    memory: int
    accelerators: int
    counts: dict = field(default_factory=dict)
    penalty: float = 0.0
    lasting: int = 0

    def reserve(self, need, group):
        """Reserve capacity for one task of the step that `group` identifies."""
        self.cpu -= need.cpu
        self.memory -= need.memory
        self.accelerators -= need.accelerators
        self.counts[group] = self.counts.get(group, 0) + 1

    def release(self, need, group):
        """Release capacity that `reserve` set aside."""
        self.reserve(Need(-need.cpu, -need.memory, -need.accelerators), group)
        self.counts[group] -= 2


def fits(offer, step, need, group):
    """Return whether one more task of a step may be placed on an executor."""
    return (
        offer.cpu >= need.cpu
        and offer.memory >= need.memory
        and offer.accelerators >= need.accelerators
        and (not step.requires or step.requires in offer.labels)
        and (
            not step.most_per_executor
            or offer.counts.get(group, 0) < step.most_per_executor
        )
    )


def choose_executor(offers, step, need, group, avoid=frozenset(), allowed=None):
    """Return the best `Offer` for one task, or None if it fits nowhere.

    Executors are preferred that are not in `avoid`, that have a low penalty and that
    are in the rack of the step's data, in this order. Long-running tasks then go to
    executors with an even share of their step at most and with the most tasks of
    their kind; other tasks are packed on the fullest ones.

    Parameters
    ----------
    offers : iterable of Offer
    step : Step
    need : Need
        Capacity that the task takes.
    group : tuple of (str, int, int)
        Job ID, occurrence and step.
    avoid : set of str, optional
        Executors on which the task has failed before.
    allowed : container of str or None, optional
        Executors that may run the step; None for all.

    Returns
    -------
    Offer or None
        Nothing is reserved on it yet.
    """
    best, best_rank = None, None
    for offer in offers:
        if allowed is not None and offer.executor_id not in allowed:
            continue
        if not fits(offer, step, need, group):
            continue
        rank = rank_offer(offer, step, need, group, avoid)
        if best_rank is None or rank < best_rank:
            best, best_rank = offer, rank
    return best


def count_places(offer, step, need, group):
    """Return how many more tasks of a step may be placed on an executor.

    At most the number of the step's tasks.
    """
    if not fits(offer, step, need, group):
        return 0
    places = count_fitting(offer, need, step.count)
    if step.most_per_executor:
        places = min(places, step.most_per_executor - offer.counts.get(group, 0))
    return places


def rank_offer(offer, step, need, group, avoid):
    """Return the sort key by which executors are preferred for a task."""
    if step.lasting:
        share = math.ceil(step.count / MIN_EXECUTORS_OF_LASTING_STEP)
        has_share = offer.counts.get(group, 0) >= share
        fill_order = (has_share, -offer.lasting, -offer.cpu)
    else:
        fill_order = (0, 0, offer.cpu - need.cpu)
    return (
        offer.executor_id in avoid,
        offer.penalty,
        bool(step.affinity) and offer.rack != step.affinity,
        *fill_order,
        offer.executor_id,
    )


def find_gang(candidates, step, need, group, allowed=None):
    """Return one `Offer` for each task of a gang, or None if they don't all fit.

    The capacity is reserved on the returned offers. The rack of the step's data is
    tried first. A step that should run in one rack is placed over several racks only
    if no single rack has the capacity.

    Parameters
    ----------
    candidates : list of collection of Offer
        The executors on which each of the tasks may start.
    step : Step
    need : Need
        Capacity that each task takes.
    group : tuple of (str, int, int)
        Job ID, occurrence and step.
    allowed : container of str or None, optional
        Executors that may run the step; None for all.
    """
    racks = [None]
    if step.same_rack:
        racks = sorted({offer.rack for offers in candidates for offer in offers})
        racks.append(None)
    if step.affinity in racks:
        racks.remove(step.affinity)
        racks.insert(0, step.affinity)
    for rack in racks:
        chosen = _choose_in_rack(candidates, rack, step, need, group, allowed)
        if chosen is not None:
            return chosen
    return None


def _choose_in_rack(candidates, rack, step, need, group, allowed):
    """Return one `Offer` for each task of a gang in a rack, or in any if it is None.

    The tasks with the fewest candidates come first.
    """
    chosen = {}
    for number in sorted(range(step.count), key=lambda item: len(candidates[item])):
        offers = [offer for offer in candidates[number] if rack in (None, offer.rack)]
        offer = choose_executor(offers, step, need, group, allowed=allowed)
        if offer is None:
            for reserved in chosen.values():
                reserved.release(need, group)
            return None
        offer.reserve(need, group)
        chosen[number] = offer
    return [chosen[number] for number in range(step.count)]
