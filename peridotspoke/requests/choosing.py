"""Selects the upstream for a request."""

__all__ = ["choose_upstream"]


def choose_upstream(upstreams, in_use, shares, zone, now, excluded=frozenset()):
    """Return the least used upstream with a free slot, or None.

    Upstreams in the entry instance's own availability zone are preferred.

    Parameters
    ----------
    upstreams : iterable of Upstream
    in_use : dict of str to int
        Number of slots that this entry instance uses, by instance.
    shares : SlotShares
        Number of slots that this entry instance may use.
    zone : str
        The entry instance's availability zone.
    now : float
        Monotonic time in seconds.
    excluded : set of str, optional
        Instances that must not be selected, because they failed this request.

    Returns
    -------
    Upstream or None
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
