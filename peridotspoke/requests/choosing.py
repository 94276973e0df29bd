"""Chooses the upstream that gets a request."""

__all__ = ["choose_upstream"]


def choose_upstream(upstreams, in_use, shares, zone, excluded=frozenset()):
    """Return the least used upstream with a free slot, own zone first, or None.

    Parameters
    ----------
    upstreams : iterable of Upstream
    in_use : dict of str to int
        Slots that this entry uses, by instance.
    shares : dict of str to int
        Slots that this entry may use, by instance.
    zone : str
        The entry's availability zone.
    excluded : set of str, optional
        Instances that have been tried already.
    """
    free = [
        upstream
        for upstream in upstreams
        if upstream.instance not in excluded
        and in_use.get(upstream.instance, 0) < shares.get(upstream.instance, 0)
    ]
    return min(
        free,
        key=lambda upstream: (
            upstream.zone != zone,
            in_use.get(upstream.instance, 0),
            upstream.instance,
        ),
        default=None,
    )
