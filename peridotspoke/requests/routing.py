"""The routing table: which upstreams serve which service."""

from dataclasses import dataclass, field

from peridotspoke.requests.messages import Upstream

__all__ = ["RoutingTable", "build_routing_table"]


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Upstreams by service; those that leave are absent."""

    upstreams: dict[str, tuple[Upstream, ...]] = field(default_factory=dict)

    def get_upstreams(self, service):
        """Return the upstreams of `service`."""
        return self.upstreams.get(service, ())


def build_routing_table(listed, records):
    """Return the `RoutingTable` of the platform's list and the pool records.

    Parameters
    ----------
    listed : iterable of ListedInstance
    records : dict of str to InstanceRecord
        By instance; an instance without a record serves nothing.
    """
    upstreams = {}
    for item in listed:
        record = records.get(item.instance)
        if item.state != "live" or record is None or record.phase != "serving":
            continue
        upstream = Upstream(
            instance=item.instance,
            address=item.executor,
            zone=item.zone,
            rack=item.rack,
            slots=item.slots,
            connections=item.connections,
            epoch=record.epoch,
        )
        upstreams.setdefault(record.pool, []).append(upstream)
    return RoutingTable({pool: tuple(found) for pool, found in upstreams.items()})
