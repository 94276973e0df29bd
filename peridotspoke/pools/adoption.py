"""Decides which pool takes an instance that has no record."""

from collections import Counter
from dataclasses import dataclass

__all__ = ["Adoption", "choose_adoptions"]


@dataclass(frozen=True, slots=True)
class Adoption:
    """A listed instance and the pool that takes it."""

    instance: str
    pool: str
    reason: str


def choose_adoptions(listed, records, services):
    """Return an `Adoption` for each live instance that has no record.

    Pools below their declared size are filled in turn, the emptiest first; each
    takes the instance whose zone and rack it uses least. What is left over goes to
    the spare pools, or else to all pools in turn.

    Parameters
    ----------
    listed : iterable of ListedInstance
    records : iterable of InstanceRecord
    services : dict of str to ServiceDeclaration

    Notes
    -----
    The same input gives the same adoptions in every process, so that controllers
    which each carry out those of their own pools rarely want the same instance.
    """
    known = {record.instance for record in records}
    fresh = sorted(
        (
            item
            for item in listed
            if item.state == "live" and item.instance not in known
        ),
        key=lambda item: item.instance,
    )
    spread = _Spread(records)
    adoptions = []
    while fresh and services:
        pool, reason = _choose_pool(spread, services)
        item = min(fresh, key=lambda found: spread.weigh(pool, found))
        fresh.remove(item)
        spread.add(pool, item)
        adoptions.append(Adoption(item.instance, pool, reason))
    return tuple(adoptions)


class _Spread:
    """How many instances each pool has in all, in each zone and in each rack."""

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

    def weigh(self, pool, item):
        rack = self.racks[pool, item.zone, item.rack]
        return rack, self.zones[pool, item.zone], item.instance


def _choose_pool(spread, services):
    def lack(name):
        return services[name].pool.instances - spread.sizes[name]

    pool = max(sorted(services), key=lack)
    if lack(pool) > 0:
        declared = services[pool].pool.instances
        return pool, f"{spread.sizes[pool]} of {declared} declared instances"
    spares = [name for name in sorted(services) if services[name].pool.spare]
    pool = max(spares or sorted(services), key=lack)
    return pool, f"all pools have their declared size, {pool} has the most room"
