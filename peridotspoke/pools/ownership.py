"""Divides the pools among the live controllers by rendezvous hashing and leases."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from peridotspoke.exceptions import OperationConflictError
from peridotspoke.hashing import choose_member
from peridotspoke.logs import log_event
from peridotspoke.store import ChangeNote, Stored, decode_record, swap_stored

__all__ = [
    "OWNERS_PREFIX",
    "OwnerRecord",
    "OwnershipChange",
    "ProcessIdentity",
    "decide_ownership",
    "key_owner",
    "list_owned",
    "write_ownership",
]

OWNERS_PREFIX = "owners/"


class ProcessIdentity(ABC):
    """The identity and lease of a controller process.

    Attributes
    ----------
    name : str
    incarnation : int
    lease_id : int
        0 while the process has no lease.
    """

    name: str
    incarnation: int
    lease_id: int

    @abstractmethod
    def is_held(self):
        """Return whether the process may still act under its lease.

        The lease's duration is counted on the monotonic clock from just before the
        last renewal was sent, so that the process stops acting before the service
        lets the lease expire.
        """


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """The stored owner of a pool, which is deleted when the holder's lease expires.

    A controller whose lease expired owns none of its pools any more, even after it
    was granted another lease; `lease` distinguishes the two.

    Parameters
    ----------
    pool : str
    holder : str
        Name of the controller.
    incarnation : int
        Incarnation of the controller's process.
    lease : int
        Id of the lease that the record is attached to.
    """

    pool: str
    holder: str
    incarnation: int
    lease: int


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """A pool to claim, or to release to the controller that should own it.

    Parameters
    ----------
    pool : str
    claims : bool
        True to claim the pool, False to release it.
    """

    pool: str
    claims: bool


def key_owner(pool):
    """Return the store key of a pool's owner record."""
    return OWNERS_PREFIX + pool


def decide_ownership(pools, controllers, owners, own_record):
    """Return the pools that this controller has to claim or release.

    Parameters
    ----------
    pools : iterable of str
        Names of all declared pools.
    controllers : iterable of str
        Names of the live controllers.
    owners : dict of str to OwnerRecord
        By pool name. A pool that is not owned under a live lease is absent.
    own_record : OwnerRecord
        This controller; its `pool` is ignored.

    Returns
    -------
    tuple of OwnershipChange

    Notes
    -----
    A pool's owner record is a key attached to the lease of the holder's process, so
    the service itself deletes it when that lease expires [1]_. A controller claims
    a pool that rendezvous hashing assigns to it if the key is absent, and releases
    a pool that rendezvous hashing assigns to another live controller. While nothing
    changes, ownership therefore costs one lease renewal per process, regardless of
    the number of pools.

    References
    ----------
    .. [1] "0042 - A plant is its database, and a node is a process that asks the
       database whether it may write", decision record, 2026.
    """
    controllers = frozenset(controllers)
    changes = []
    for pool in sorted(pools):
        chosen = choose_member(pool, controllers)
        owner = owners.get(pool)
        if chosen == own_record.holder and owner is None:
            changes.append(OwnershipChange(pool, claims=True))
        elif (
            owner is not None
            and _is_own(owner, own_record)
            and chosen != own_record.holder
        ):
            changes.append(OwnershipChange(pool, claims=False))
    return tuple(changes)


def list_owned(owners, own_record):
    """Return the names of the pools that this process owns under its current lease.

    Parameters
    ----------
    owners : dict of str to OwnerRecord
        By pool name.
    own_record : OwnerRecord
        This controller; its `pool` is ignored.

    Returns
    -------
    frozenset of str
    """
    return frozenset(
        pool for pool, owner in owners.items() if _is_own(owner, own_record)
    )


def _is_own(owner, own_record):
    own_identity = (own_record.holder, own_record.incarnation, own_record.lease)
    return (owner.holder, owner.incarnation, owner.lease) == own_identity


async def write_ownership(service, change, owner, note):
    """Claim or release a pool in the store.

    Parameters
    ----------
    service : KeyValueService
    change : OwnershipChange
    owner : OwnerRecord
        The record to write, or the one to delete.
    note : ChangeNote
        Stored with a claim.

    Raises
    ------
    OperationConflictError
        If the pool to claim has an owner, or the pool to release is not owned by
        `owner`.
    """
    key = key_owner(change.pool)
    if change.claims:
        await swap_stored(service, key, Stored(owner, (note,)), 0, owner.lease)
        log_event("pool-claimed", pool=change.pool, holder=owner.holder)
        return
    record = await service.read(key)
    if record is None or decode_record(record, OwnerRecord).body != owner:
        raise OperationConflictError(
            "the pool is not owned by this process", step="release pool", peer=key
        )
    await service.swap(key, None, record.revision)
    log_event("pool-released", pool=change.pool, holder=owner.holder)


def make_ownership_note(make_id, author, change, members, now):
    """Return the `ChangeNote` of an ownership change.

    Parameters
    ----------
    make_id : callable
        Takes no arguments and returns a new operation id as a str.
    author : str
        Name of the controller.
    change : OwnershipChange
    members : int
        Number of live controllers.
    now : float
        Seconds since the Unix epoch.
    """
    action = "claim" if change.claims else "release"
    return ChangeNote(
        operation=make_id(),
        author=author,
        action=f"{action} pool {change.pool}",
        reason=f"rendezvous over {members} live controllers",
        at=now,
    )
