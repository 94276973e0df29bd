"""Rendezvous hashing, by which work is divided among the live members."""

import xxhash

__all__ = ["choose_member", "rank_members"]


def rank_members(key, members):
    """Return `members` sorted by descending rendezvous weight for `key`.

    Parameters
    ----------
    key : str
        Name of what a member is to own, such as a pool.
    members : iterable of str
        Names of the live members, in any order.

    Returns
    -------
    list of str

    Notes
    -----
    A member's weight depends only on `key` and that member. When a member joins or
    leaves, only the keys that it owns afterwards or owned before change owner [1]_.

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
    """Return the member with the highest rendezvous weight for `key`.

    Parameters
    ----------
    key : str
        Name of what a member is to own, such as a pool.
    members : iterable of str
        Names of the live members, in any order.

    Returns
    -------
    str or None
        None if there is no member.
    """
    return max(members, key=lambda member: (_weigh(key, member), member), default=None)


def _weigh(key, member):
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode())
