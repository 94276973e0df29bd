"""Pools: instance records, the disruption ledger, planning and maintenance."""

from peridotspoke.pools.records import (
    INSTANCES_PREFIX,
    InstanceRecord,
    Phase,
    key_instance,
)

__all__ = ["INSTANCES_PREFIX", "InstanceRecord", "Phase", "key_instance"]
