"""Shares the pools between the live controllers by rendezvous and leases."""

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
    """A process that acts under its lease.

    Its attributes are `name`, `incarnation` and `lease_id`, 0 without a lease.
    """

    name: str
    incarnation: int
    lease_id: int

    @abstractmethod
    def is_held(self):
        """Return whether the process may act under its lease now.

        It counts the lease from before the renewal was sent, on its monotonic
        clock, so that it stops before the service frees the lease.
        """


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """The controller of a pool; the record ends with its holder's lease.

    A controller that lost its lease and got another has lost its pools with it:
    `lease` tells the two apart.
    """

    pool: str
    holder: str
    incarnation: int
    lease: int


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """A pool to claim, or to release for the member that ranks higher."""

    pool: str
    claims: bool


def key_owner(pool):
    """Return the key of a pool's owner."""
    return OWNERS_PREFIX + pool


def decide_ownership(pools, controllers, owners, me):
    """Return the `OwnershipChange` tuple that brings this controller its share.

    Parameters
    ----------
    pools : iterable of str
        All declared pools.
    controllers : iterable of str
        Names of the live controllers.
    owners : dict of str to OwnerRecord
        By pool; absent where no live lease holds it.
    me : OwnerRecord
        This controller, with any pool.

    Notes
    -----
    The pool's owner is a key under the lease of the holder's process, so that the
    service itself frees the pools of a holder that is gone [1]_. A pool is claimed
    where its key is absent, and released where rendezvous names another live
    controller. So the cost of ownership at rest is the renewal of one lease for
    each process, whatever the number of pools.

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
        if chosen == me.holder and owner is None:
            changes.append(OwnershipChange(pool, claims=True))
        elif owner is not None and _is_mine(owner, me) and chosen != me.holder:
            changes.append(OwnershipChange(pool, claims=False))
    return tuple(changes)


def list_owned(owners, me):
    """Return the frozenset of pools that this process holds under its lease."""
    return frozenset(pool for pool, owner in owners.items() if _is_mine(owner, me))


def _is_mine(owner, me):
    mine = (me.holder, me.incarnation, me.lease)
    return (owner.holder, owner.incarnation, owner.lease) == mine


async def write_ownership(service, change, owner, note):
    """Claim or release a pool.

    Parameters
    ----------
    service : KeyValueService
    change : OwnershipChange
    owner : OwnerRecord
    note : ChangeNote

    Raises
    ------
    OperationConflictError
        If another controller holds the pool.
    """
    key = key_owner(change.pool)
    if change.claims:
        await swap_stored(service, key, Stored(owner, (note,)), 0, owner.lease)
        log_event("pool-claimed", pool=change.pool, holder=owner.holder)
        return
    record = await service.read(key)
    if record is None or decode_record(record, OwnerRecord).body != owner:
        raise OperationConflictError(
            "expected to hold the pool", step="release pool", peer=key
        )
    await service.swap(key, None, record.revision)
    log_event("pool-released", pool=change.pool, holder=owner.holder)


def make_claim_note(make_id, author, change, members, now):
    """Return the `ChangeNote` of an ownership change."""
    action = "claim" if change.claims else "release"
    return ChangeNote(
        operation=make_id(),
        author=author,
        action=f"{action} pool {change.pool}",
        reason=f"rendezvous over {members} live controllers",
        at=now,
    )
