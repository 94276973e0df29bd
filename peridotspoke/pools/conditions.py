"""What is known of each pool: its instances, who is out, and how old the view is."""

from collections import Counter
from dataclasses import dataclass

from peridotspoke.pools.records import Phase

__all__ = ["PoolCondition", "observe_pools"]


@dataclass(frozen=True, slots=True)
class PoolCondition:
    """A pool as last seen.

    Parameters
    ----------
    pool : str
    racks : dict of str to tuple of str
        Rack by instance, as (zone, rack).
    failed : frozenset of str
        Instances that the platform doesn't list as live.
    out : frozenset of str
        `failed`, and those whose record is in any phase but serving.
    age : float
        Seconds since the list that this rests on was read; infinite without one.
    """

    pool: str
    racks: dict[str, tuple[str, str]]
    failed: frozenset[str]
    out: frozenset[str]
    age: float

    @property
    def size(self):
        """The number of the pool's instances."""
        return len(self.racks)

    def count_available(self, out):
        """Return the number of instances that are not in `out`."""
        return sum(instance not in out for instance in self.racks)

    def count_after_rack_loss(self, out):
        """Return what `count_available` is after the loss of the worst rack."""
        left = Counter(
            rack for instance, rack in self.racks.items() if instance not in out
        )
        return left.total() - max(left.values(), default=0)


def observe_pools(records, listed, age):
    """Return a `PoolCondition` by pool.

    Parameters
    ----------
    records : iterable of InstanceRecord
    listed : dict of str to ListedInstance
        The last list that could be read, by instance.
    age : float
        Seconds since that list was read.

    Notes
    -----
    An instance that came back by itself (its incarnation is not the one that
    joined) counts as failed until its record takes the new incarnation.
    """
    pools = {}
    for record in records:
        pools.setdefault(record.pool, []).append(record)
    return {
        pool: _observe_pool(pool, found, listed, age) for pool, found in pools.items()
    }


def _observe_pool(pool, records, listed, age):
    failed = {record.instance for record in records if _has_failed(record, listed)}
    held = {record.instance for record in records if record.phase is not Phase.SERVING}
    return PoolCondition(
        pool=pool,
        racks={record.instance: (record.zone, record.rack) for record in records},
        failed=frozenset(failed),
        out=frozenset(failed | held),
        age=age,
    )


def _has_failed(record, listed):
    item = listed.get(record.instance)
    if item is None or item.state != "live":
        return True
    serving = record.phase is Phase.SERVING
    return serving and record.incarnation not in (0, item.incarnation)
