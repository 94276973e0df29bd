"""Chooses the upstream that gets a request."""

__all__ = ["choose_upstream"]


def choose_upstream(upstreams, in_use, shares, zone, now, excluded=frozenset()):
    """Return the least used upstream with a free slot, own zone first, or None.

    Parameters
    ----------
    upstreams : iterable of Upstream
    in_use : dict of str to int
        Slots that this entry uses, by instance.
    shares : SlotShares
    zone : str
        The entry's availability zone.
    now : float
        Monotonic seconds.
    excluded : set of str, optional
        Instances that have failed this request.
    """
    best = None
    best_rank = None
    for upstream in upstreams:
        used = in_use.get(upstream.instance, 0)
        rank = (upstream.zone != zone, used, upstream.instance)
        if upstream.instance in excluded or (best is not None and rank > best_rank):
            continue
        if used < shares.get_share(upstream, now):
            best, best_rank = upstream, rank
    return best
