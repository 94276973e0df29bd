"""The records under the work prefix that nodes write, and their encoding."""

import math

import msgspec

from peridotspoke.exceptions import RecordError
from peridotspoke.nodes.settings import DEFAULT_LINK, DEFAULT_PROCESSORS
from peridotspoke.store import decode_value
from peridotspoke.workloads.quotarecords import NOTHING, QuotaRecord, covers

__all__ = [
    "LeaseStatement",
    "NodeRecord",
    "OwnerRecord",
    "ProcessRecord",
    "QueueCounts",
    "RefusedRecord",
    "Withdrawal",
    "decode_quota",
    "decode_value",
    "encode_value",
]


class NodeRecord(msgspec.Struct, frozen=True):
    """A live node.

    Parameters
    ----------
    name : str
    incarnation : str
        Differs for each start of the node's process.
    zone : str
    address : str
        Where the node serves callers; no two live processes share an address.
    processors : float
        Processors of its instance.
    link : float
        Bandwidth of its instance's network link, in Mbit/s.
    """

    name: str
    incarnation: str
    zone: str = ""
    address: str = ""
    processors: float = DEFAULT_PROCESSORS
    link: float = DEFAULT_LINK


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of a unit."""

    name: str
    incarnation: str


class ProcessRecord(msgspec.Struct, frozen=True):
    """A process of a node; no two live ones share an address."""

    name: str
    incarnation: str
    address: str


class LeaseStatement(msgspec.Struct, frozen=True):
    """What a unit's last owner said of the leases that it grants.

    Parameters
    ----------
    fence : int
        Its fencing token; 0 in the statement of an owner that has not stopped, whose
        record has the owner's fencing token for its revision.
    waits : dict of str to float
        Seconds, from the writing, after which the leases of an executor have ended, by
        executor; empty unless the owner has stopped and extends no lease any more.
    owner : ProcessRecord, optional
        Set while the owner has not stopped.
    publishes_first : bool, optional
        Whether the owner grants no lease before it has published a `lease_horizon`.
    """

    fence: int
    waits: dict[str, float]
    owner: ProcessRecord | None = None
    publishes_first: bool = False


class Withdrawal(msgspec.Struct, frozen=True):
    """An executor whose work is to be removed; `empty` says whether it is."""

    executor_id: str
    pool: str
    reason: str
    fence: int
    empty: bool = False


class QueueCounts(msgspec.Struct, frozen=True):
    """The numbers of jobs that wait for their first start, published by a pool's owner.

    Parameters
    ----------
    fence : int
        The fencing token of the owner.
    waiting : dict of str to int
        By queue name.
    age : float
        Seconds since the owner's records were known to be complete.
    earlier_leases : float or None
        Seconds from the writing after which all leases that earlier owners granted
        have ended; None if the owner does not say.
    lease_horizon : float or None
        Longest time, seconds on an executor's clock, from the writing to the end of a
        lease that this owner grants by virtue of this record; it grants none without
        such a record. None if the owner does not say.
    silent : dict of str to float
        Seconds from the writing after which all leases on an executor have ended, by
        executor. The owner grants none there until a later record leaves it out.
    late : dict of str to float, or None
        Seconds from the writing after which all leases on an executor have ended that
        calls to an earlier incarnation have granted, by executor. The owner starts
        nothing on an incarnation before a record tells this of it. None if the owner
        does not say.
    """

    fence: int
    waiting: dict[str, int]
    age: float = 0.0
    earlier_leases: float | None = None
    lease_horizon: float | None = None
    silent: dict[str, float] = msgspec.field(default_factory=dict)
    late: dict[str, float] | None = None


class RefusedRecord(msgspec.Struct, frozen=True):
    """The jobs that a node refused while the store was away.

    Parameters
    ----------
    pools : dict of str to dict
        By pool and identity of the job: the processors to be expected of it, and for
        how many seconds from the writing its caller may come back.
    """

    pools: dict[str, dict[str, tuple[float, float]]] = msgspec.field(
        default_factory=dict
    )


def encode_value(value):
    """Return the JSON encoding of one of this module's records."""
    return msgspec.json.encode(value)


def decode_quota(record):
    """Return the `QuotaRecord` of a stored record.

    Raises
    ------
    RecordError
        If it does not have the form of one, or names a negative amount or time.
    """
    quota = decode_value(record, QuotaRecord)
    for pool, row in quota.pools.items():
        is_time = math.isfinite(row.waiting_since) and row.waiting_since >= 0
        if not is_time or not all(covers(n, NOTHING) for n in (row.granted, row.next)):
            raise RecordError(
                f"the row of pool {pool} is invalid",
                step="decode record",
                peer=record.key,
            )
    return quota
