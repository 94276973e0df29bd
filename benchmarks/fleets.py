"""Declarations, instance lists and records of fleets of any size for benchmarks."""

from peridotspoke.pools import InstanceRecord, Phase, key_instance
from peridotspoke.store import ChangeNote, ListedInstance, Stored, encode_stored

__all__ = ["make_instances", "make_records", "make_texts", "name_pool"]

ZONES = 6
RACK_SIZE = 4  # instances


def name_pool(number):
    """Return the name of pool `number`."""
    return f"pool-{number:03d}"


def make_texts(instances, pools):
    """Return the TOML texts of the deployment and of `pools` services, by name.

    The first pool is the spare. Each pool needs all of its instances, so that the
    planner has no reason to move any while the benchmark measures.
    """
    texts = {"deployment": 'deployment = "benchmark"\n'}
    for number in range(pools):
        name = name_pool(number)
        size = instances // pools + (number < instances % pools)
        texts[f"service/{name}"] = _make_text(name, size, spare=number == 0)
    return texts


def _make_text(name, size, spare):
    return f"""service = "{name}"

[pool]
instances = {size}
spare = {str(spare).lower()}

[need]
instances = {size}
quantile = 0.95

[budget]
max_unavailable = 1

[maintenance]
period_days = 28
windows = ["00:00-08:00"]

[requests]
time_limit = 5.0
overflow = {str(not spare).lower()}
"""


def make_instances(count):
    """Return `count` listed instances without workers, four to a rack."""
    return [
        ListedInstance(
            instance=f"instance-{number:04d}",
            zone=f"zone-{number % ZONES}",
            rack=f"zone-{number % ZONES}-rack-{number // (ZONES * RACK_SIZE)}",
            state="live",
            incarnation=1,
            executor=f"127.9.{number // 250}.{number % 250}:8000",
            accelerators=number % 3,
        )
        for number in range(count)
    ]


def make_records(listed, pools, now):
    """Return the key and the encoded record of each instance.

    The instances are assigned to the pools in turn. The records say that all were
    maintained at `now`, in seconds since the Unix epoch.
    """
    records = []
    for number, item in enumerate(listed):
        record = InstanceRecord(
            instance=item.instance,
            pool=name_pool(number % pools),
            phase=Phase.SERVING,
            epoch=1,
            zone=item.zone,
            rack=item.rack,
            incarnation=item.incarnation,
            maintained_at=now,
        )
        note = ChangeNote(
            operation=f"{number:032x}",
            author="benchmark",
            action=f"adopt into pool {record.pool}",
            reason="listed without a record",
            at=0.0,
        )
        stored = Stored(record, (note,))
        records.append((key_instance(item.instance), encode_stored(stored)))
    return records
