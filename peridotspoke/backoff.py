"""Exponential backoff with jitter, used by every retry."""

from dataclasses import dataclass

__all__ = ["BackoffRules", "compute_backoff"]


@dataclass(frozen=True, slots=True)
class BackoffRules:
    """Bounds of the wait before a retry.

    Parameters
    ----------
    first : float
        Upper bound of the wait after the first failure, seconds.
    most : float
        Upper bound of every wait, seconds.
    """

    first: float = 0.25
    most: float = 2.0


def compute_backoff(rules, failures, random):
    """Return the seconds to wait before the next retry.

    The upper bound doubles with each failure, up to the longest. The wait is drawn
    uniformly between half the bound and the bound, so that clients that failed at
    the same time retry at different times [1]_.

    Parameters
    ----------
    rules : BackoffRules
    failures : int
        Consecutive failures so far, at least 1.
    random : random.Random

    References
    ----------
    .. [1] R. M. Metcalfe, D. R. Boggs, "Ethernet: distributed packet switching for
       local computer networks", Communications of the ACM 19(7), 1976.

    Examples
    --------
    >>> import random
    >>> rules = BackoffRules(first=1.0, most=4.0)
    >>> [round(compute_backoff(rules, n, random.Random(1)), 2) for n in (1, 2, 9)]
    [0.57, 1.13, 2.27]
    """
    bound = min(rules.most, rules.first * 2 ** min(failures - 1, 32))
    return random.uniform(bound / 2, bound)
