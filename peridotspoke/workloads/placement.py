"""Chooses executors for tasks."""

from dataclasses import dataclass, field

from peridotspoke.workloads.jobs import Need

__all__ = ["Offer", "choose_executor", "find_gang", "fits"]


@dataclass(slots=True)
class Offer:
    """Room on one executor while placements are planned.

    Parameters
    ----------
    executor_id, rack : str
    labels : frozenset of str
    cpu, memory, accelerators : int
        What is free.
    counts : dict of (str, int, int) to int
        Tasks of each step of a job's occurrence that are there.
    strikes : float
        How much the executor is suspected.
    lasting : int
        Lasting tasks that are there.
    """

    executor_id: str
    rack: str
    labels: frozenset
    cpu: int
    memory: int
    accelerators: int
    counts: dict = field(default_factory=dict)
    strikes: float = 0.0
    lasting: int = 0

    def take(self, need, group):
        """Reserve room for one task of a step."""
        self.cpu -= need.cpu
        self.memory -= need.memory
        self.accelerators -= need.accelerators
        self.counts[group] = self.counts.get(group, 0) + 1

    def give_back(self, need, group):
        """Undo `take`."""
        self.take(Need(-need.cpu, -need.memory, -need.accelerators), group)
        self.counts[group] -= 2


def fits(offer, step, need, group):
    """Return whether one more task of a step may run there."""
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
    """Return the best `Offer` for one task, or None.

    Executors that are not suspected, near the data and not avoided go first. Lasting
    tasks are spread over executors and racks, the others packed on full ones.

    Parameters
    ----------
    offers : iterable of Offer
    step : Step
    need : Need
    group : tuple
        Names the step of the job's occurrence.
    avoid : set of str, optional
        Executors where the task failed before.
    allowed : container of str, optional
        The only executors that may run the step.
    """
    best, best_rank = None, None
    for offer in offers:
        if allowed is not None and offer.executor_id not in allowed:
            continue
        if not fits(offer, step, need, group):
            continue
        rank = _rank_offer(offer, step, need, group, avoid)
        if best_rank is None or rank < best_rank:
            best, best_rank = offer, rank
    return best


def _rank_offer(offer, step, need, group, avoid):
    if step.lasting:
        spread = (offer.counts.get(group, 0), offer.lasting, -offer.cpu)
    else:
        spread = (0, 0, offer.cpu - need.cpu)
    return (
        offer.executor_id in avoid,
        offer.strikes,
        bool(step.affinity) and offer.rack != step.affinity,
        *spread,
        offer.executor_id,
    )


def find_gang(offers, step, need, group, allowed=None):
    """Return one `Offer` for each task of a gang, or None if they don't all fit.

    The offers that are returned have been taken from.
    """
    racks = sorted({offer.rack for offer in offers}) if step.same_rack else [None]
    if step.affinity in racks:
        racks.remove(step.affinity)
        racks.insert(0, step.affinity)
    for rack in [*racks, None] if step.same_rack else racks:
        chosen = []
        nearby = [offer for offer in offers if rack in (None, offer.rack)]
        for _ in range(step.count):
            offer = choose_executor(nearby, step, need, group, allowed=allowed)
            if offer is None:
                break
            offer.take(need, group)
            chosen.append(offer)
        if len(chosen) == step.count:
            return chosen
        for offer in chosen:
            offer.give_back(need, group)
    return None
