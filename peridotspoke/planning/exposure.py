"""Measures missing capacity, now and after the loss of any one rack."""

from collections import Counter

__all__ = ["Assignment"]


class Assignment:
    """Numbers of instances by pool and rack, updated by tentative moves.

    Parameters
    ----------
    pools : iterable of PoolView

    Attributes
    ----------
    pools : dict of str to PoolView
    racks : dict of str to Counter
        For each pool, the number of counted instances by rack.
    sizes : dict of str to int
        For each pool, the number of counted instances.

    Notes
    -----
    After the loss of a rack, the deficit of a pool is the amount by which its need
    exceeds its remaining instances. Spare pools cover deficits with the instances
    that they have beyond their own need. The exposure of a rack is the deficit that
    is left. The contribution of each pool is stored as a base value, valid for
    racks where the pool has no instances, and a difference from it for each rack
    where it has some, so that a tentative move updates two pools only.
    """

    def __init__(self, pools):
        self.pools = {pool.pool: pool for pool in pools}
        self.racks = {
            name: Counter(item.rack for item in pool.instances if item.is_counted())
            for name, pool in self.pools.items()
        }
        self.sizes = {name: racks.total() for name, racks in self.racks.items()}
        self._base = 0
        self._rack_differences = Counter()
        for name in self.pools:
            self._add_contribution(name, 1)

    def get_excess(self, pool):
        """Return the counted instances of a pool beyond its need; may be negative."""
        return self.sizes[pool] - self.pools[pool].need

    def measure_shortage(self):
        """Return the number of instances missing now, summed over all pools."""
        return sum(max(0, -self.get_excess(name)) for name in self.pools)

    def measure_exposure(self):
        """Return the number of instances missing after the loss of a rack.

        Returns
        -------
        worst : int
            The number for the rack whose loss is worst.
        total : int
            The sum over all racks.
        """
        worst = self._base + max(self._rack_differences.values(), default=0)
        if worst <= 0:
            return 0, 0
        deficits = (self._base + change for change in self._rack_differences.values())
        return worst, sum(deficit for deficit in deficits if deficit > 0)

    def count_releasable(self):
        """Return the number of spare instances not needed for the loss of any rack."""
        worst = max(self._rack_differences.values(), default=0)
        return max(0, -(self._base + worst))

    def list_exposed_pools(self):
        """Return the pools that fall below their need if the worst rack is lost."""
        if not self._rack_differences:
            return []
        rack = max(
            self._rack_differences, key=lambda key: (self._rack_differences[key], key)
        )
        return [
            name
            for name, racks in self.racks.items()
            if self.get_excess(name) - racks[rack] < 0
        ]

    def move(self, rack, source, target):
        """Move one available instance of `rack` from pool `source` to pool `target`."""
        for name, change in ((source, -1), (target, 1)):
            self._add_contribution(name, -1)
            self.sizes[name] += change
            self.racks[name][rack] += change
            self._add_contribution(name, 1)

    def _add_contribution(self, name, sign):
        excess = self.get_excess(name)
        spare = self.pools[name].spare
        base = _compute_deficit(excess, spare)
        self._base += sign * base
        for rack, count in self.racks[name].items():
            self._rack_differences[rack] += sign * (
                _compute_deficit(excess - count, spare) - base
            )


def _compute_deficit(excess, spare):
    """Return the deficit of a pool; negative for a spare pool that has an excess."""
    return -excess if spare else max(0, -excess)
