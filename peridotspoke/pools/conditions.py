"""The condition of each pool: its instances, their availability and the view's age."""

from collections import Counter
from dataclasses import dataclass

from peridotspoke.pools.records import Phase

__all__ = ["PoolCondition", "observe_pools"]


@dataclass(frozen=True, slots=True)
class PoolCondition:
    """The last known state of a pool.

    Parameters
    ----------
    pool : str
    racks : dict of str to tuple of str
        The zone and rack of each instance, by instance name.
    failed : frozenset of str
        Instances that the platform does not list as live, and serving instances
        that restarted without an operation.
    unavailable : frozenset of str
        `failed`, and the instances whose record is in any phase except serving.
    age : float
        Seconds since the instance list was read; infinity if none has been read.
    """

    pool: str
    racks: dict[str, tuple[str, str]]
    failed: frozenset[str]
    unavailable: frozenset[str]
    age: float

    @property
    def size(self):
        """The number of instances in the pool, available or not."""
        return len(self.racks)

    def count_available(self, unavailable):
        """Return the number of instances that are not in `unavailable`.

        Parameters
        ----------
        unavailable : collection of str
            Names of the instances that count as unavailable.
        """
        return sum(instance not in unavailable for instance in self.racks)

    def count_after_rack_loss(self, unavailable):
        """Return what `count_available` is after the loss of any one rack, at worst.

        Parameters
        ----------
        unavailable : collection of str
            Names of the instances that count as unavailable.
        """
        left = Counter(
            rack for instance, rack in self.racks.items() if instance not in unavailable
        )
        return left.total() - max(left.values(), default=0)


def observe_pools(records, listed, age):
    """Return the `PoolCondition` of each pool that has records, by pool name.

    Parameters
    ----------
    records : iterable of InstanceRecord
    listed : dict of str to ListedInstance
        The last instance list that could be read, by instance name.
    age : float
        Seconds since that list was read.

    Returns
    -------
    dict of str to PoolCondition

    Notes
    -----
    A serving instance that restarted without an operation, so that the platform
    lists another incarnation than its record has, counts as failed until the record
    is updated to the new incarnation.
    """
    pools = {}
    for record in records:
        pools.setdefault(record.pool, []).append(record)
    return {
        pool: _observe_pool(pool, found, listed, age) for pool, found in pools.items()
    }


def _observe_pool(pool, records, listed, age):
    failed = {record.instance for record in records if _has_failed(record, listed)}
    not_serving = {
        record.instance for record in records if record.phase is not Phase.SERVING
    }
    return PoolCondition(
        pool=pool,
        racks={record.instance: (record.zone, record.rack) for record in records},
        failed=frozenset(failed),
        unavailable=frozenset(failed | not_serving),
        age=age,
    )


def _has_failed(record, listed):
    item = listed.get(record.instance)
    if item is None or item.state != "live":
        return True
    serving = record.phase is Phase.SERVING
    return serving and record.incarnation not in (0, item.incarnation)
