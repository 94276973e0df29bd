"""The one rule for how long to wait before trying again."""

from dataclasses import dataclass

__all__ = ["BackoffRules", "compute_backoff"]


@dataclass(frozen=True, slots=True)
class BackoffRules:
    """The bound of the first wait and of the longest, in seconds."""

    first: float = 0.25
    most: float = 2.0


def compute_backoff(rules, failures, random):
    """Return the seconds to wait after so many failures in a row.

    The bound doubles with each failure; the wait is drawn evenly from the upper
    half below the bound, so that clients that failed together come back apart [1]_.

    Parameters
    ----------
    rules : BackoffRules
    failures : int
        At least 1.
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
