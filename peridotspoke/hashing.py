"""Rendezvous hashing, the one rule by which shared work is divided."""

import xxhash

__all__ = ["choose_member", "rank_members"]


def rank_members(key, members):
    """Return `members` by falling rendezvous weight for `key`.

    Parameters
    ----------
    key : str
        What is to be owned, such as a pool's name.
    members : iterable of str
        Names of the live members, in any order.

    Notes
    -----
    Each member's weight depends on `key` and that member alone, so that a member
    that leaves or joins changes the owner of only its own share of the keys [1]_.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
       rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> rank_members("dornbirn", ["a", "b", "c"])
    ['a', 'b', 'c']
    """
    return sorted(
        members, key=lambda member: (_weigh(key, member), member), reverse=True
    )


def choose_member(key, members):
    """Return the member that owns `key`, or None where there is no member."""
    return max(members, key=lambda member: (_weigh(key, member), member), default=None)


def _weigh(key, member):
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode())
