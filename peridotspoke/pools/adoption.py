"""Assigns listed instances that have no record to pools."""

from collections import Counter
from dataclasses import dataclass

__all__ = ["Adoption", "choose_adoptions"]


@dataclass(frozen=True, slots=True)
class Adoption:
    """The assignment of a listed instance to a pool, and the reason for it."""

    instance: str
    pool: str
    reason: str


def choose_adoptions(listed, records, services):
    """Return an `Adoption` for each live instance that has no record.

    Each instance goes to the pool that is furthest below its declared size, and
    that pool takes the instance whose rack, and then zone, it uses least. Once
    every pool has its declared size, the remaining instances go to the spare
    pools, or to all pools if there is no spare.

    Parameters
    ----------
    listed : iterable of ListedInstance
    records : iterable of InstanceRecord
    services : dict of str to ServiceDeclaration
        By service name. If empty, nothing is adopted.

    Returns
    -------
    tuple of Adoption

    Notes
    -----
    The result depends only on the arguments. Each controller carries out only the
    adoptions into its own pools, so controllers rarely try to adopt the same
    instance.
    """
    known = {record.instance for record in records}
    unassigned = sorted(
        (
            item
            for item in listed
            if item.state == "live" and item.instance not in known
        ),
        key=lambda item: item.instance,
    )
    placement = _Placement(records)
    adoptions = []
    while unassigned and services:
        pool, reason = _choose_pool(placement, services)
        item = min(unassigned, key=lambda found: placement.rank(pool, found))
        unassigned.remove(item)
        placement.add(pool, item)
        adoptions.append(Adoption(item.instance, pool, reason))
    return tuple(adoptions)


class _Placement:
    """Counts of instances by pool, by pool and zone, and by pool and rack."""

    def __init__(self, records):
        self.sizes = Counter()
        self.zones = Counter()
        self.racks = Counter()
        for record in records:
            self.add(record.pool, record)

    def add(self, pool, item):
        self.sizes[pool] += 1
        self.zones[pool, item.zone] += 1
        self.racks[pool, item.zone, item.rack] += 1

    def rank(self, pool, item):
        rack = self.racks[pool, item.zone, item.rack]
        return rack, self.zones[pool, item.zone], item.instance


def _choose_pool(placement, services):
    def shortfall(name):
        return services[name].pool.instances - placement.sizes[name]

    pool = max(sorted(services), key=shortfall)
    if shortfall(pool) > 0:
        declared = services[pool].pool.instances
        return pool, f"{placement.sizes[pool]} of {declared} declared instances"
    spares = [name for name in sorted(services) if services[name].pool.spare]
    pool = max(spares or sorted(services), key=shortfall)
    return pool, f"all pools have their declared size, {pool} has the most room"
