"""What a placement round knows and has decided so far: free resources, usage, jobs."""

from dataclasses import dataclass, field

from peridotspoke.jobs.needs import PlacementSettings, Resources

__all__ = ["RoundState", "begin_round"]


@dataclass(slots=True)
class RoundState:
    """The state of one placement round; each decision changes it.

    Parameters
    ----------
    settings : PlacementSettings
    capacities : dict of str to WorkerCapacity
        By worker, as are `free`, `being_freed` and `running`.
    free : dict of str to Resources
    being_freed : dict of str to Resources
        What jobs that are being stopped or throttled still occupy.
    rack_counts : dict of (str, str) to int
        Number of jobs by name and rack.
    team_usage : dict of str to Resources
    running : dict of str to list of RunningJob
    starts : list of Placement, optional
    stops, throttles : list of str, optional
        Identifiers of jobs.
    """

    settings: PlacementSettings
    capacities: dict
    free: dict
    being_freed: dict
    rack_counts: dict
    team_usage: dict
    running: dict
    starts: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    throttles: list = field(default_factory=list)

    def occupy(self, item, worker):
        """Count the need of a `QueuedJob` as occupied on `worker`."""
        self.free[worker] = self.free[worker].add(item.need, -1)
        team = item.spec.team
        usage = self.team_usage.get(team, Resources(0, 0))
        self.team_usage[team] = usage.add(item.need)
        rack_key = (item.spec.name, self.capacities[worker].rack)
        self.rack_counts[rack_key] = self.rack_counts.get(rack_key, 0) + 1

    def list_suitable(self, item):
        """Return the workers that would fit a `QueuedJob` if they were empty."""
        return [
            name
            for name, capacity in self.capacities.items()
            if capacity.usable
            and item.need.fits(capacity.size)
            and name not in item.avoid
        ]


def begin_round(settings, running, workers):
    """Return the `RoundState` before any decision.

    Parameters
    ----------
    settings : PlacementSettings
    running : iterable of RunningJob
    workers : iterable of WorkerCapacity
    """
    capacities = {capacity.worker: capacity for capacity in workers}
    free = {name: capacity.size for name, capacity in capacities.items()}
    being_freed = {name: Resources(0.0, 0, 0) for name in capacities}
    team_usage, rack_counts = {}, {}
    by_worker = {name: [] for name in capacities}
    for item in running:
        team_usage[item.spec.team] = team_usage.get(
            item.spec.team, Resources(0, 0)
        ).add(item.need)
        if item.worker not in capacities:
            continue
        by_worker[item.worker].append(item)
        free[item.worker] = free[item.worker].add(item.need, -1)
        rack_key = (item.spec.name, capacities[item.worker].rack)
        rack_counts[rack_key] = rack_counts.get(rack_key, 0) + 1
        if item.stopping:
            being_freed[item.worker] = being_freed[item.worker].add(item.need)
    return RoundState(
        settings, capacities, free, being_freed, rack_counts, team_usage, by_worker
    )
