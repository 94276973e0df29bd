"""Builds the input of job scheduling from a controller's view of the fleet."""

from peridotspoke.jobs import JobPoolView, Resources, WorkerCapacity
from peridotspoke.pools import Phase

__all__ = ["describe_pools"]


def describe_pools(owned, configuration, records, listed):
    """Return a dict of pool to `JobPoolView` for the pools in `owned`.

    Parameters
    ----------
    owned : iterable of str
        Names of pools; those without a declared service are left out.
    configuration : Configuration or None
    records : dict of str to InstanceRecord
        The stored records, by instance.
    listed : dict of str to ListedInstance
        The platform's instance list, by instance.

    Notes
    -----
    Jobs are started only on instances that serve and are listed as live. Jobs that
    already run on other instances continue, except those that can be checkpointed.
    """
    services = configuration.services if configuration else {}
    members = {pool: [] for pool in owned if pool in services}
    for record in records.values():
        item = listed.get(record.instance)
        if record.pool in members and item is not None and item.worker:
            members[record.pool].append((record, item))
    return {
        pool: _describe_pool(services[pool], items) for pool, items in members.items()
    }


def _describe_pool(declaration, items):
    workers = tuple(
        WorkerCapacity(
            item.instance,
            item.rack,
            Resources(item.cores, item.memory, item.accelerators),
            record.phase is Phase.SERVING and item.state == "live",
        )
        for record, item in items
    )
    quotas = {
        team: Resources(quota.cores, 0, quota.accelerators)
        for team, quota in declaration.quota.items()
    }
    addresses = {item.instance: item.worker for _, item in items}
    return JobPoolView(workers, addresses, quotas)
