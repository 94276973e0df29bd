"""Routing table from services to their upstreams."""

from dataclasses import dataclass, field

from peridotspoke.requests.messages import Upstream

__all__ = ["RoutingTable", "build_routing_table"]


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Upstreams by service, without those that are being drained or removed."""

    upstreams: dict[str, tuple[Upstream, ...]] = field(default_factory=dict)

    def get_upstreams(self, service):
        """Return the upstreams of `service`; an empty tuple if there are none."""
        return self.upstreams.get(service, ())


def build_routing_table(listed, records):
    """Build the routing table from the platform's instance list and pool records.

    Only instances that are live and whose pool record says that they serve become
    upstreams.

    Parameters
    ----------
    listed : iterable of ListedInstance
        Instances as listed by the platform.
    records : dict of str to InstanceRecord
        Pool records by instance; an instance without a record is left out.

    Returns
    -------
    RoutingTable
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
    return RoutingTable({pool: tuple(members) for pool, members in upstreams.items()})
