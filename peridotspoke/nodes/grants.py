"""Until when a pool's owner may let the leases that it grants last.

It answers owners and executors that are lost together, or one after another. A lost
owner can't be told from one that is cut off and goes on extending leases, so that its
successor has to wait for the longest one. Each owner therefore publishes in the store,
before it relies on it, how long its leases can last at most: a horizon, counted from
that publication, and executors on which it grants none. A successor counts from when
it saw the last publication, not from its own takeover.
"""

from dataclasses import dataclass, field

__all__ = ["NEVER", "LeaseGrants", "LeasePublication"]

NEVER = float("-inf")  # before any time


@dataclass(frozen=True, slots=True)
class LeasePublication:
    """What an owner publishes of its leases, and when it began to.

    Parameters
    ----------
    begun_at : float
        Monotonic seconds, before it was sent.
    silent : dict of str to float
        Seconds, from then, after which every lease on an executor has ended, by
        executor; none is granted there until a later publication leaves it out.
    """

    begun_at: float
    silent: dict[str, float] = field(default_factory=dict)


class LeaseGrants:
    """The leases that an owner may grant by what it has published.

    Publications are stored one after another: each takes effect only if the one before
    it is the latest in the store.

    Parameters
    ----------
    horizon : float
        Longest time from a publication to the end of a lease, seconds.
    fence : int, optional
        The ownership's fencing token.

    Attributes
    ----------
    fence : int
        The highest fencing token that the owner may send: the store's revision as it
        took the latest publication. It took that only from the unit's owner, so that
        each later owner, whose record it creates afterwards, has a higher one.
    """

    def __init__(self, horizon, fence=0):
        self.fence = fence
        self._horizon = horizon
        self._limit = NEVER
        self._withheld = frozenset()

    def withhold(self, executor_ids):
        """Grant no lease on executors that a publication is about to name as silent.

        This comes before anything else can extend one of the leases whose ends the
        publication tells. It holds until a publication that leaves the executors out
        is stored: one without an answer may take effect.

        Parameters
        ----------
        executor_ids : iterable of str
        """
        self._withheld |= frozenset(executor_ids)

    def confirm(self, publication, revision=0):
        """Record that a publication is stored.

        Parameters
        ----------
        publication : LeasePublication
        revision : int, optional
            The store's revision that it made.
        """
        self.fence = max(self.fence, revision)
        self._limit = publication.begun_at + self._horizon
        self._withheld = frozenset(publication.silent)

    def allow_starts(self, lease_end):
        """Return whether leases until `lease_end`, monotonic seconds, may be granted.

        That is so on executors that answer; others get no start.
        """
        return self._limit >= lease_end

    def find_limit(self, executor_id):
        """Return until when leases on an executor may last, monotonic seconds.

        Parameters
        ----------
        executor_id : str

        Returns
        -------
        float
            Minus infinity if none may be granted there.

        Examples
        --------
        >>> grants = LeaseGrants(horizon=9.5)
        >>> grants.find_limit("e1")
        -inf
        >>> grants.withhold(["e2"])
        >>> grants.confirm(LeasePublication(100.0, {"e2": 4.0}))
        >>> grants.find_limit("e1"), grants.find_limit("e2")
        (109.5, -inf)
        """
        return NEVER if executor_id in self._withheld else self._limit
