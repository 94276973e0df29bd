"""What an assignment lacks now and would lack after the loss of any one rack."""

from collections import Counter

__all__ = ["Assignment"]


class Assignment:
    """Counts of instances that meet needs, by pool and rack, changed by trial moves.

    Parameters
    ----------
    pools : iterable of PoolView

    Notes
    -----
    After the loss of a rack each pool lacks what its need exceeds its remaining
    instances by; the spare pools give what they have beyond their own need. The
    exposure of a rack is what is lacking after that. A pool's part of it is kept as
    a base for racks where the pool has nothing, and an addition for each rack where
    it has instances, so that a trial move costs only the parts of two pools.
    """

    def __init__(self, pools):
        self.pools = {pool.pool: pool for pool in pools}
        self.racks = {
            name: Counter(item.rack for item in pool.instances if item.is_counted())
            for name, pool in self.pools.items()
        }
        self.sizes = {name: racks.total() for name, racks in self.racks.items()}
        self._base = 0
        self._additions = Counter()
        for name in self.pools:
            self._count_part(name, 1)

    def get_excess(self, pool):
        """Return the available instances of a pool beyond its need."""
        return self.sizes[pool] - self.pools[pool].need

    def measure_shortage(self):
        """Return the instances that are missing now over all pools."""
        return sum(max(0, -self.get_excess(name)) for name in self.pools)

    def measure_exposure(self):
        """Return the instances missing after a rack's loss: the worst, the sum."""
        worst = self._base + max(self._additions.values(), default=0)
        if worst <= 0:
            return 0, 0
        lacking = (self._base + part for part in self._additions.values())
        return worst, sum(part for part in lacking if part > 0)

    def count_releasable(self):
        """Return the spare's instances beyond what any one rack's loss needs."""
        worst = max(self._additions.values(), default=0)
        return max(0, -(self._base + worst))

    def list_exposed_pools(self):
        """Return the pools that the worst rack's loss leaves below their need."""
        if not self._additions:
            return []
        rack = max(self._additions, key=lambda key: (self._additions[key], key))
        return [
            name
            for name, racks in self.racks.items()
            if self.get_excess(name) - racks[rack] < 0
        ]

    def move(self, rack, source, target):
        """Count one available instance of `rack` in `target` instead of `source`."""
        for name, change in ((source, -1), (target, 1)):
            self._count_part(name, -1)
            self.sizes[name] += change
            self.racks[name][rack] += change
            self._count_part(name, 1)

    def _count_part(self, name, sign):
        excess = self.get_excess(name)
        spare = self.pools[name].spare
        base = _lack(excess, spare)
        self._base += sign * base
        for rack, count in self.racks[name].items():
            self._additions[rack] += sign * (_lack(excess - count, spare) - base)


def _lack(excess, spare):
    """Return what a pool lacks; a spare pool's excess counts below 0."""
    return -excess if spare else max(0, -excess)
